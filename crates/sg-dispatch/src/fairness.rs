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

/// Demand of an account.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    counts: Counts,
    /// Requests offered over a longer time, of which only a part counts while the account asks for more.
    usual: Decaying,
    first_offer: Instant,
}

impl Demand {
    /// Returns the mean rate of `sum` over the last `horizon`, or since the first offer.
    fn rate(&self, sum: &Decaying, horizon: Span, now: Instant) -> f64 {
        let age = now.since(self.first_offer).as_secs_f64();
        let horizon_seconds = horizon.as_secs_f64();
        let weight = horizon_seconds * (1.0 - (-age / horizon_seconds).exp());
        if weight > 0.0 {
            sum.value(horizon, now) / weight
        } else {
            0.0
        }
    }

    /// Returns the ratio of the present to the usual demand, or 1 while the usual demand is unknown.
    fn rise(&self, horizon: Span, usual_horizon: Span, now: Instant) -> f64 {
        let usual_rate = self.rate(&self.usual, usual_horizon, now);
        let is_known = now.since(self.first_offer) > horizon && usual_rate > 0.0;
        if is_known {
            self.rate(&self.counts.offered, horizon, now) / usual_rate
        } else {
            1.0
        }
    }
}

/// Service of routes and accounts.
#[derive(Debug, Clone)]
pub(crate) struct Fairness {
    horizon: Span,
    all: Counts,
    routes: IndexMap<id::Route, Counts>,
    accounts: IndexMap<Option<id::Account>, Demand>,
}

impl Fairness {
    /// Creates the observation; `horizon` is the time over which the present treatment is observed.
    pub(crate) fn new(horizon: Span) -> Self {
        Self {
            horizon,
            all: Counts::default(),
            routes: IndexMap::new(),
            accounts: IndexMap::new(),
        }
    }

    fn usual_horizon(&self) -> Span {
        self.horizon.mul_f64(USUAL_FACTOR)
    }

    pub(crate) fn record_offer(&mut self, bid: &Bid, now: Instant) {
        let (horizon, usual) = (self.horizon, self.usual_horizon());
        let account = bid.account.clone();
        let demand = self.accounts.entry(account).or_insert_with(|| Demand {
            first_offer: now,
            ..Demand::default()
        });
        demand.counts.offered.add(1.0, horizon, now);
        let counted = 1.0 / demand.rise(horizon, usual, now).max(EXCESS_RATIO) * EXCESS_RATIO;
        demand.usual.add(counted, usual, now);
        // The demand beyond an account's usual does not count as unserved demand of its route.
        if !self.is_excess(&bid.account, now) {
            let route = self.routes.entry(bid.route.clone()).or_default();
            route.offered.add(1.0, horizon, now);
            self.all.offered.add(1.0, horizon, now);
        }
    }

    pub(crate) fn record_taken(&mut self, bid: &Bid, now: Instant) {
        let horizon = self.horizon;
        if let Some(demand) = self.accounts.get_mut(&bid.account) {
            demand.counts.taken.add(1.0, horizon, now);
        }
        if !self.is_excess(&bid.account, now) {
            let route = self.routes.entry(bid.route.clone()).or_default();
            route.taken.add(1.0, horizon, now);
            self.all.taken.add(1.0, horizon, now);
        }
    }

    /// Returns whether the account asks for more than usual and has already got its usual share.
    fn is_excess(&self, account: &Option<id::Account>, now: Instant) -> bool {
        let (horizon, usual) = (self.horizon, self.usual_horizon());
        self.accounts.get(account).is_some_and(|demand| {
            let taken_rate = demand.rate(&demand.counts.taken, horizon, now);
            demand.rise(horizon, usual, now) > EXCESS_RATIO
                && taken_rate > demand.rate(&demand.usual, usual, now)
        })
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
