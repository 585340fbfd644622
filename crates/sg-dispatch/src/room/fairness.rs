//! How often routes and accounts are served, compared with all requests.

use sg_types::prelude::*;

use crate::order::{Bid, Standing};

/// Ratio of a route's or account's served fraction to that of all requests below which its requests go
/// first. The ratio that callers are owed is a quarter; the rest covers the delay of the observation.
const LEAST_RATIO: f64 = 0.35;
/// Ratio of the time over which an account's usual demand is observed to the time over which the present
/// demand is observed.
const USUAL_FACTOR: f64 = 10.0;
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
    /// Work offered recently.
    present_seconds: Decaying,
    /// Work taken recently.
    taken_seconds: Decaying,
    /// Work offered over a longer time.
    usual_seconds: Decaying,
    first_offer: Option<Instant>,
}

/// Service of routes and accounts.
#[derive(Debug, Clone)]
pub(super) struct Fairness {
    horizon: Span,
    all: Counts,
    routes: IndexMap<id::Route, Counts>,
    accounts: IndexMap<Option<id::Account>, Demand>,
}

impl Fairness {
    /// Creates the observation; `horizon` is the time over which the present treatment is observed.
    pub(super) fn new(horizon: Span) -> Self {
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

    pub(super) fn record_offer(&mut self, bid: &Bid, now: Instant) {
        let (horizon, usual) = (self.horizon, self.usual_horizon());
        let work = bid.work.as_secs_f64();
        let demand = self.accounts.entry(bid.account.clone()).or_default();
        demand.first_offer.get_or_insert(now);
        demand.counts.offered.add(1.0, horizon, now);
        demand.present_seconds.add(work, horizon, now);
        demand.usual_seconds.add(work, usual, now);
        // The demand beyond an account's usual does not count as unserved demand of its route.
        if !self.is_excess(&bid.account, now) {
            let route = self.routes.entry(bid.route.clone()).or_default();
            route.offered.add(1.0, horizon, now);
            self.all.offered.add(1.0, horizon, now);
        }
    }

    pub(super) fn record_taken(&mut self, bid: &Bid, now: Instant) {
        let horizon = self.horizon;
        if let Some(demand) = self.accounts.get_mut(&bid.account) {
            demand.counts.taken.add(1.0, horizon, now);
            demand
                .taken_seconds
                .add(bid.work.as_secs_f64(), horizon, now);
        }
        if !self.is_excess(&bid.account, now) {
            let route = self.routes.entry(bid.route.clone()).or_default();
            route.taken.add(1.0, horizon, now);
            self.all.taken.add(1.0, horizon, now);
        }
    }

    /// Returns whether the account asks for more than usual and has already got its usual share.
    fn is_excess(&self, account: &Option<id::Account>, now: Instant) -> bool {
        let Some(demand) = self.accounts.get(account) else {
            return false;
        };
        let Some(first_offer) = demand.first_offer else {
            return false;
        };
        // What each sum would be at a constant demand of one, since the first offer.
        let weight = |horizon: Span| {
            let age = now.since(first_offer).as_secs_f64() / horizon.as_secs_f64();
            horizon.as_secs_f64() * (1.0 - (-age).exp())
        };
        let usual = self.usual_horizon();
        let present_weight = weight(self.horizon);
        if present_weight <= 0.0 {
            return false;
        }
        let usual_rate = demand.usual_seconds.value(usual, now) / weight(usual);
        let present_rate = demand.present_seconds.value(self.horizon, now) / present_weight;
        let taken_rate = demand.taken_seconds.value(self.horizon, now) / present_weight;
        present_rate > usual_rate * EXCESS_RATIO && taken_rate > usual_rate
    }

    /// Returns how the account and the route of `bid` were treated recently.
    pub(super) fn standing(&self, bid: &Bid, now: Instant) -> Standing {
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
    pub(super) fn prune(&mut self, now: Instant) {
        let oldest = now - self.usual_horizon();
        let is_recent = |counts: &Counts| counts.offered.updated_at >= oldest;
        self.routes.retain(|_, counts| is_recent(counts));
        self.accounts.retain(|_, demand| is_recent(&demand.counts));
    }
}
