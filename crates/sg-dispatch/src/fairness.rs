//! How often routes and accounts are served, compared with all requests.

use sg_types::prelude::*;

use crate::order::{Bid, Standing};

/// Ratio of a route's or account's served fraction to that of all requests below which its requests go
/// first. The ratio that callers are owed is a quarter; the rest covers the delay of the observation.
const LEAST_RATIO: f64 = 0.3;
/// Ratio of the time over which an account's usual demand is observed to the time over which the present
/// demand is observed.
const USUAL_FACTOR: f64 = 30.0;
/// Ratio of an account's present to its usual demand from which the account is in excess. Demand varies by
/// about a half without a change of behaviour.
const EXCESS_RATIO: f64 = 2.0;
/// Offers below which nothing is concluded about a route or an account.
const LEAST_OFFERS: f64 = 8.0;

/// A sum whose parts decay with age.
#[derive(Debug, Clone, Copy, Default)]
struct Decaying {
    sum: f64,
    updated_at: Instant,
}

impl Decaying {
    fn value(&self, horizon: Span, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * (-age / horizon.as_secs_f64()).exp()
    }

    fn add(&mut self, amount: f64, horizon: Span, now: Instant) {
        self.sum = self.value(horizon, now) + amount;
        self.updated_at = now;
    }
}

/// Counts of offered and served requests.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    offered: Decaying,
    taken: Decaying,
}

impl Counts {
    /// Returns the fraction of the offered requests that were served, or `None` if there were too few.
    fn served(&self, horizon: Span, now: Instant) -> Option<f64> {
        let offered = self.offered.value(horizon, now);
        let is_known = offered >= LEAST_OFFERS;
        is_known.then(|| self.taken.value(horizon, now) / offered)
    }
}

/// Demand of an account, or of all.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    counts: Counts,
    /// Requests offered over a longer time, of which only a part counts while the account asks for more.
    usual: Decaying,
    /// The same over the present time, which doesn't count as usual yet.
    unsettled: Decaying,
    first_offer: Instant,
}

/// Rates of a demand, in requests per second.
#[derive(Debug, Clone, Copy)]
struct Rates {
    usual: f64,
    present: f64,
    taken: f64,
}

impl Demand {
    /// Returns the rates of the demand without that of `part`, or `None` while the usual rate is unknown.
    fn rates(&self, part: &Self, horizon: Span, now: Instant) -> Option<Rates> {
        let usual_horizon = horizon.mul_f64(USUAL_FACTOR);
        let age = now.since(self.first_offer).as_secs_f64();
        // Time that a decaying sum covers.
        let covered = |horizon: Span| {
            let seconds = horizon.as_secs_f64();
            seconds * (1.0 - (-age / seconds).exp())
        };
        let present = covered(horizon);
        let settled = covered(usual_horizon) - present;
        let value = |sum: &Decaying, part: &Decaying, horizon| {
            (sum.value(horizon, now) - part.value(horizon, now)).max(0.0)
        };
        let usual = value(&self.usual, &part.usual, usual_horizon)
            - value(&self.unsettled, &part.unsettled, horizon);
        let offered = value(&self.counts.offered, &part.counts.offered, horizon);
        let taken = value(&self.counts.taken, &part.counts.taken, horizon);
        let is_known = now.since(self.first_offer) > horizon && usual > LEAST_OFFERS;
        is_known.then(|| Rates {
            usual: usual / settled,
            present: offered / present,
            taken: taken / present,
        })
    }
}

/// Service of routes and accounts.
#[derive(Debug, Clone)]
pub(crate) struct Fairness {
    horizon: Span,
    all: Counts,
    demand: Demand,
    routes: IndexMap<id::Route, Counts>,
    accounts: IndexMap<Option<id::Account>, Demand>,
}

impl Fairness {
    /// Creates the observation; `horizon` is the time over which the present treatment is observed.
    pub(crate) fn new(horizon: Span) -> Self {
        Self {
            horizon,
            all: Counts::default(),
            demand: Demand::default(),
            routes: IndexMap::new(),
            accounts: IndexMap::new(),
        }
    }

    fn usual_horizon(&self) -> Span {
        self.horizon.mul_f64(USUAL_FACTOR)
    }

    pub(crate) fn record_offer(&mut self, bid: &Bid, now: Instant) {
        let (horizon, usual) = (self.horizon, self.usual_horizon());
        // The demand beyond an account's usual is learned slowly.
        let rise = self.rise(&bid.account, now).map_or(1.0, |(rise, _)| rise);
        let counted = EXCESS_RATIO / rise.max(EXCESS_RATIO);
        let account = self.accounts.entry(bid.account.clone());
        let new = Demand {
            first_offer: now,
            ..Demand::default()
        };
        if self.all.offered.sum == 0.0 {
            self.demand = new;
        }
        for demand in [account.or_insert(new), &mut self.demand] {
            demand.counts.offered.add(1.0, horizon, now);
            demand.usual.add(counted, usual, now);
            demand.unsettled.add(counted, horizon, now);
        }
        self.count(bid, now, |counts| &mut counts.offered);
    }

    pub(crate) fn record_taken(&mut self, bid: &Bid, now: Instant) {
        let horizon = self.horizon;
        let account = self.accounts.get_mut(&bid.account);
        for demand in account.into_iter().chain([&mut self.demand]) {
            demand.counts.taken.add(1.0, horizon, now);
        }
        self.count(bid, now, |counts| &mut counts.taken);
    }

    /// Counts a request for its route, unless it is beyond the usual demand of its account.
    fn count(&mut self, bid: &Bid, now: Instant, of: impl Fn(&mut Counts) -> &mut Decaying) {
        if !self.is_excess(&bid.account, now) {
            let route = self.routes.entry(bid.route.clone()).or_default();
            of(route).add(1.0, self.horizon, now);
            of(&mut self.all).add(1.0, self.horizon, now);
        }
    }

    /// Returns the ratio of the account's present to its usual demand, and that of its taken to its usual
    /// demand, each compared with the other accounts. Demand that rises for all accounts is thus no excess.
    fn rise(&self, account: &Option<id::Account>, now: Instant) -> Option<(f64, f64)> {
        let demand = self.accounts.get(account)?;
        let own = demand.rates(&Demand::default(), self.horizon, now)?;
        let others = self.demand.rates(demand, self.horizon, now)?;
        let compared = |own_rate: f64, others_rate: f64| {
            own_rate / own.usual / (others_rate / others.usual).max(f64::MIN_POSITIVE)
        };
        let rise = compared(own.present, others.present);
        Some((rise, compared(own.taken, others.taken)))
    }

    /// Returns whether the account asks for more than usual and has already got its usual share.
    fn is_excess(&self, account: &Option<id::Account>, now: Instant) -> bool {
        let rise = self.rise(account, now);
        rise.is_some_and(|(rise, taken)| rise > EXCESS_RATIO && taken > 1.0)
    }

    /// Returns how the account and the route of `bid` were treated recently.
    pub(crate) fn standing(&self, bid: &Bid, now: Instant) -> Standing {
        let is_excess = self.is_excess(&bid.account, now);
        let horizon = self.horizon;
        let least = self.all.served(horizon, now).unwrap_or(0.0) * LEAST_RATIO;
        let route = self.routes.get(&bid.route);
        let account = self.accounts.get(&bid.account);
        let counts = route
            .into_iter()
            .chain(account.map(|demand| &demand.counts));
        let served = counts.filter_map(|counts| counts.served(horizon, now));
        Standing {
            is_underserved: !is_excess && served.into_iter().any(|served| served < least),
            is_excess,
        }
    }

    /// Forgets the routes and accounts that have offered nothing for a long time.
    pub(crate) fn prune(&mut self, now: Instant) {
        let oldest = now - self.usual_horizon();
        let is_recent = |counts: &Counts| counts.offered.updated_at >= oldest;
        self.routes.retain(|_, counts| is_recent(counts));
        self.accounts.retain(|_, demand| is_recent(&demand.counts));
    }
}
