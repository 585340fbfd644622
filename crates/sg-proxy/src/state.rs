//! What the decisions of the request path need, under one lock that is never held across a wait.

use sg_place::{
    Pool, Target,
    pool::Here,
    quarantine::Table,
    quota::{self, Share},
    retry::{self, Budget},
    shift::Guard,
    spread::Spread,
    work::Work,
};
use sg_types::prelude::*;

/// Different targets that must be lost with a request before it is refused.
const LOSSES: usize = 3;
/// The time over which the demand for a service is averaged, in seconds.
const DEMAND_SPAN: f64 = 2.0;

/// What is learnt of a route.
#[derive(Debug)]
pub struct Road {
    /// How long its requests take.
    pub work: Work,
    /// Keeps its parts at their weights.
    pub spread: Spread,
}

/// Slots that arriving requests keep busy.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    slots: f64,
    at: Instant,
}

impl Demand {
    /// Counts a request of `work` seconds.
    pub fn add(&mut self, work: f64, now: Instant) {
        self.slots = self.get(now) + work / DEMAND_SPAN;
        self.at = now;
    }

    /// The slots kept busy.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        self.slots * (-now.since(self.at).as_secs_f64() / DEMAND_SPAN).exp()
    }
}

/// Bounds the requests that leave the region that the plan names, so that a crowd does not shift faster
/// than its cap.
#[derive(Debug, Clone, Copy, Default)]
pub struct Roam {
    credit: f64,
}

/// The part of the requests that may roam: a third of what usually may change its region in two seconds.
const ROAM_PART: f64 = 0.02;
/// Requests that may roam at once.
const ROAM_BURST: f64 = 3.0;

impl Roam {
    /// Counts a request; tells whether it may roam.
    pub fn earn(&mut self) -> bool {
        self.credit = (self.credit + ROAM_PART).min(ROAM_BURST);
        self.credit >= 1.0
    }

    /// A request roams.
    pub fn spend(&mut self) {
        self.credit -= 1.0;
    }
}

/// What a route's work is guessed by before any answer: its objective, but no more than fits its timeout.
fn first_guess(route: &sg_catalog::Route) -> Span {
    let timeout = route.timeout.map(|timeout| timeout.mul_f64(0.5));
    timeout.map_or(route.objective, |most| route.objective.min(most))
}

/// The state of the request path.
#[derive(Debug)]
pub struct State {
    /// The targets by service.
    pub pools: IndexMap<id::Service, Pool>,
    /// The service of each target.
    pub services: IndexMap<id::Target, id::Service>,
    /// Domains that take nothing.
    pub closed: IndexSet<id::Domain>,
    /// Where this instance is.
    pub here: Here,
    /// What is learnt of routes.
    pub roads: IndexMap<id::Route, Road>,
    /// Retry budgets by service.
    pub retries: IndexMap<id::Service, Budget>,
    /// Shares by client account.
    pub shares: IndexMap<id::Account, Share>,
    /// How much of fleet-wide budgets the fleet may use, 0 to 1.
    pub whole: f64,
    /// How many instances the fleet has.
    pub fleet: u32,
    /// Requests that targets are lost with.
    pub quarantine: Table,
    /// Sends that may leave the region that the plan names.
    pub roam: Roam,
    /// Bounds how fast requests change their region in a crowd.
    pub guard: Guard,
    /// The doubt that a target knows an object, before any answer.
    pub first_doubt: f64,
    /// Demand by service.
    pub demand: IndexMap<id::Service, Demand>,
}

impl State {
    pub fn new(here: Here, first_doubt: f64) -> Self {
        Self {
            pools: IndexMap::new(),
            services: IndexMap::new(),
            closed: IndexSet::new(),
            here,
            first_doubt,
            roads: IndexMap::new(),
            retries: IndexMap::new(),
            shares: IndexMap::new(),
            whole: 0.0,
            fleet: 1,
            quarantine: Table::after(LOSSES),
            roam: Roam::default(),
            guard: Guard::default(),
            demand: IndexMap::new(),
        }
    }

    pub fn pool(&mut self, service: &id::Service) -> &mut Pool {
        self.pools.entry(service.clone()).or_default()
    }

    pub fn put(&mut self, target: Target, now: Instant) -> bool {
        let before = self
            .services
            .insert(target.id.clone(), target.service.clone());
        if let Some(before) = before.filter(|before| *before != target.service) {
            self.pool(&before).remove(&target.id);
        }
        let service = target.service.clone();
        self.pool(&service).put(target, now)
    }

    pub fn remove(&mut self, target: &id::Target) -> bool {
        let Some(service) = self.services.swap_remove(target) else {
            return false;
        };
        self.pool(&service).remove(target)
    }

    /// This instance's part of an account's budget.
    pub fn part_of(&self, account: &id::Account, bounds: quota::Bounds) -> f64 {
        let here = &self.here;
        quota::part(
            account,
            bounds,
            &here.instance,
            &here.instances,
            self.fleet,
            self.whole,
        )
    }

    /// The other instances that hold a part of an account's budget.
    pub fn holders(&self, account: &id::Account, bounds: quota::Bounds) -> Vec<id::Instance> {
        let here = &self.here;
        let others = here
            .instances
            .iter()
            .filter(|other| **other != here.instance);
        let holds = |other: &&id::Instance| {
            quota::part(account, bounds, other, &here.instances, self.fleet, 1.0) > 0.0
        };
        others.filter(holds).cloned().collect()
    }

    pub fn share(
        &mut self,
        account: &id::Account,
        bounds: quota::Bounds,
        now: Instant,
    ) -> &mut Share {
        let part = self.part_of(account, bounds);
        let share = self
            .shares
            .entry(account.clone())
            .or_insert_with(|| Share::new(now));
        share.refill(bounds, part, now);
        share
    }

    pub fn road(&mut self, route: &sg_catalog::Route) -> &mut Road {
        let doubt = self.first_doubt;
        self.roads
            .entry(route.name.clone())
            .or_insert_with(|| Road {
                work: Work::new(first_guess(route), doubt),
                spread: Spread::default(),
            })
    }

    pub fn budget(
        &mut self,
        service: &id::Service,
        bounds: &retry::Bounds,
        now: Instant,
    ) -> &mut Budget {
        let fleet = self.fleet;
        self.retries
            .entry(service.clone())
            .or_insert_with(|| Budget::new(bounds, fleet, now))
    }
}
