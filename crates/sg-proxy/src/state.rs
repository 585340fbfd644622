//! State on which the decisions of the request path are based, behind one lock that is never held
//! across an await point.

use sg_dispatch::Price;
use sg_place::{
    Pool, Target,
    departure::{Departures, Run},
    location::Location,
    member::Member,
    quarantine::Table,
    quota::{self, TokenShare},
    reach::Reach,
    relay::Peer,
    retry::{self, Budget},
    round_robin::WeightedRoundRobin,
    shift_limit::ShiftLimiter,
    work_estimate::{MovingAverage, WorkEstimate},
};
use sg_types::prelude::*;

/// Number of different targets that must be lost with a request before the request is refused.
const QUARANTINE_LOSSES: usize = 3;
/// Maximum number of removed targets of which the last description and what they said is known.
const MAX_UNLISTED: usize = 1_024;
/// Time constant of the demand average.
const DEMAND_TIME_CONSTANT_SECONDS: f64 = 2.0;

/// State of a route.
#[derive(Debug)]
pub struct RouteStats {
    /// Estimates of the processing time of the route's requests.
    pub work: WorkEstimate,
    /// Average processing time of requests that have to run in another region. Their objects are often
    /// cold there, because the targets keep those of their own region.
    pub remote_bound_work: MovingAverage,
    /// Distributes requests over the services of the route by weight.
    pub round_robin: WeightedRoundRobin,
}

/// Exponentially decaying average of the slots that arriving requests keep busy.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    slots: f64,
    updated: Instant,
    /// Time of the first request.
    started: Option<Instant>,
}

impl Demand {
    /// Records a request with an expected processing time of `work_seconds`.
    pub fn record_work(&mut self, work_seconds: f64, now: Instant) {
        self.slots = self.decayed(now) + work_seconds / DEMAND_TIME_CONSTANT_SECONDS;
        self.updated = now;
        self.started.get_or_insert(now);
    }

    /// Returns the average number of busy slots. Shortly after the first request the average covers only
    /// the time since then.
    #[must_use]
    pub fn slots(&self, now: Instant) -> f64 {
        let started = self.started.unwrap_or(now);
        let age_seconds = now.since(started).as_secs_f64().max(MIN_DEMAND_SECONDS);
        let covered = 1.0 - (-age_seconds / DEMAND_TIME_CONSTANT_SECONDS).exp();
        self.decayed(now) / covered
    }

    fn decayed(&self, now: Instant) -> f64 {
        self.slots * (-now.since(self.updated).as_secs_f64() / DEMAND_TIME_CONSTANT_SECONDS).exp()
    }
}

/// Minimum time that a demand average covers, so that a few first requests don't count as a high demand.
const MIN_DEMAND_SECONDS: f64 = 0.5;

/// Limits the requests that leave the region named by the plan, so that a burst of requests does
/// not shift between regions faster than the cap allows.
#[derive(Debug, Clone, Copy, Default)]
pub struct OffPlanLimiter {
    credit: f64,
}

/// Fraction of the requests that may leave the planned region: a third of the usual limit on the
/// requests that may change their region within two seconds.
const OFF_PLAN_FRACTION: f64 = 0.02;
/// Number of requests that may leave the planned region in a burst.
const OFF_PLAN_BURST: f64 = 3.0;

impl OffPlanLimiter {
    /// Records a request. Returns whether the request may leave the planned region.
    pub fn record_request(&mut self) -> bool {
        self.credit = (self.credit + OFF_PLAN_FRACTION).min(OFF_PLAN_BURST);
        self.credit >= 1.0
    }

    /// Records that a request leaves the planned region.
    pub fn record_departure(&mut self) {
        self.credit -= 1.0;
    }
}

/// Returns the initial estimate of a route's processing time: the latency objective, but at most
/// half of the timeout.
fn initial_work(route: &sg_catalog::Route) -> Span {
    let timeout = route.timeout.map(|timeout| timeout.mul_f64(0.5));
    timeout.map_or(route.latency_objective, |limit| {
        route.latency_objective.min(limit)
    })
}

/// Shared mutable state of the request path.
#[derive(Debug)]
pub struct State {
    /// Targets by service.
    pub pools: IndexMap<id::Service, Pool>,
    /// Service of each target, also of those that the store no longer lists.
    pub services: IndexMap<id::Target, id::Service>,
    /// Targets that the store no longer lists, the oldest removal first.
    unlisted: IndexSet<id::Target>,
    /// Runs of targets that say that they are leaving.
    pub departures: Departures,
    /// Failure domains that accept no requests.
    pub closed_domains: IndexSet<id::Domain>,
    /// Location of this instance.
    pub location: Location,
    /// Statistics by route.
    pub routes: IndexMap<id::Route, RouteStats>,
    /// Prices of slots by service.
    pub prices: IndexMap<id::Service, Price>,
    /// Retry budgets by service.
    pub retry_budgets: IndexMap<id::Service, Budget>,
    /// Quota shares by client account.
    pub shares: IndexMap<id::Account, TokenShare>,
    /// Fraction of the fleet-wide quotas that the fleet may use, from 0 to 1.
    pub budget_fraction: f64,
    /// Number of instances in the fleet.
    pub fleet_size: u32,
    /// Requests that are suspected of crashing targets, or quarantined.
    pub quarantine: Table,
    /// Other instances that accept requests and reach targets.
    pub peers: Vec<Peer>,
    /// Paths to targets.
    pub reach: Reach,
    /// Limiter of the requests that leave the planned region.
    pub off_plan: OffPlanLimiter,
    /// Limiter of how fast requests shift between regions during a load surge.
    pub shift_limiter: ShiftLimiter,
    /// Fraction of requests that are assumed to find their object cold, before the first response.
    pub initial_cold_fraction: f64,
    /// Whether the plans follow the measured load.
    pub is_plan_measured: bool,
    /// Demand by service.
    pub demand: IndexMap<id::Service, Demand>,
    /// Part of the demand that may run in one region only.
    pub bound_demand: IndexMap<(id::Service, id::Region), Demand>,
}

impl State {
    pub fn new(location: Location, initial_cold_fraction: f64) -> Self {
        Self {
            pools: IndexMap::new(),
            services: IndexMap::new(),
            unlisted: IndexSet::new(),
            departures: Departures::default(),
            closed_domains: IndexSet::new(),
            location,
            initial_cold_fraction,
            routes: IndexMap::new(),
            prices: IndexMap::new(),
            retry_budgets: IndexMap::new(),
            shares: IndexMap::new(),
            budget_fraction: 0.0,
            fleet_size: 1,
            quarantine: Table::after(QUARANTINE_LOSSES),
            peers: Vec::new(),
            reach: Reach::default(),
            off_plan: OffPlanLimiter::default(),
            shift_limiter: ShiftLimiter::default(),
            is_plan_measured: false,
            demand: IndexMap::new(),
            bound_demand: IndexMap::new(),
        }
    }

    pub fn pool(&mut self, service: &id::Service) -> &mut Pool {
        self.pools.entry(service.clone()).or_default()
    }

    /// Returns the pool of the target called `id`, with the location of this instance.
    pub fn pool_of(&mut self, id: &id::Target) -> Option<(&mut Pool, &Location)> {
        let pool = self.pools.get_mut(self.services.get(id)?)?;
        Some((pool, &self.location))
    }

    /// Returns the target called `id`, also if the store no longer lists it.
    pub fn member_mut(&mut self, id: &id::Target) -> Option<&mut Member> {
        self.pool_of(id)?.0.member_mut(id)
    }

    /// Adds a target or updates the known one, also if the target has moved to another service.
    /// Ignores an outdated description. Returns whether the target is new to its service.
    pub fn upsert_target(&mut self, target: Target, now: Instant) -> bool {
        let known = self.member_mut(&target.id);
        if known.is_some_and(|member| !member.admits(&target)) {
            return false;
        }
        let (service, id) = (target.service.clone(), target.id.clone());
        self.unlisted.shift_remove(&id);
        self.move_target(&id, &service);
        let is_leaving = self.departures.includes(&Run::of(&target));
        let pool = self.pool(&service);
        let is_new = pool.upsert_target(target, now);
        if let Some(member) = pool.member_mut(&id) {
            member.is_leaving = is_leaving;
        }
        is_new
    }

    /// Moves what is known of the target `id` to the pool of `service`.
    fn move_target(&mut self, id: &id::Target, service: &id::Service) {
        let previous = self.services.insert(id.clone(), service.clone());
        let Some(previous) = previous.filter(|previous| previous != service) else {
            return;
        };
        if let Some(mut member) = self.pool(&previous).forget_target(id) {
            member.unlist();
            self.pool(service).adopt_member(member);
        }
    }

    /// Records that the store no longer lists a target. Returns whether it was listed.
    pub fn remove_target(&mut self, target: &id::Target) -> bool {
        let pool = self.pool_of(target);
        if pool.is_none_or(|(pool, _)| pool.remove_target(target).is_none()) {
            return false;
        }
        self.unlisted.insert(target.clone());
        if self.unlisted.len() > MAX_UNLISTED
            && let Some(oldest) = self.unlisted.shift_remove_index(0)
            && let Some(service) = self.services.swap_remove(&oldest)
        {
            self.pool(&service).forget_target(&oldest);
        }
        true
    }

    /// Returns this instance's fraction of an account's quota.
    pub fn quota_fraction(&self, account: &id::Account, bounds: quota::Bounds) -> f64 {
        let location = &self.location;
        quota::holder_fraction(
            account,
            bounds,
            &location.instance,
            &location.instances,
            self.fleet_size,
            self.budget_fraction,
        )
    }

    /// Returns the other instances that hold a part of an account's quota.
    pub fn holders(&self, account: &id::Account, bounds: quota::Bounds) -> Vec<id::Instance> {
        let location = &self.location;
        let others = location
            .instances
            .iter()
            .filter(|other| **other != location.instance);
        let holds_part = |other: &&id::Instance| {
            quota::holder_fraction(
                account,
                bounds,
                other,
                &location.instances,
                self.fleet_size,
                1.0,
            ) > 0.0
        };
        others.filter(holds_part).cloned().collect()
    }

    /// Returns this instance's share of an account's quota, refilled up to `now`.
    pub fn share(
        &mut self,
        account: &id::Account,
        bounds: quota::Bounds,
        now: Instant,
    ) -> &mut TokenShare {
        let fraction = self.quota_fraction(account, bounds);
        let share = self
            .shares
            .entry(account.clone())
            .or_insert_with(|| TokenShare::new(now));
        share.refill(bounds, fraction, now);
        share
    }

    pub fn route_stats(&mut self, route: &sg_catalog::Route) -> &mut RouteStats {
        let initial_cold_fraction = self.initial_cold_fraction;
        self.routes
            .entry(route.name.clone())
            .or_insert_with(|| RouteStats {
                work: WorkEstimate::new(initial_work(route), initial_cold_fraction),
                remote_bound_work: MovingAverage::default(),
                round_robin: WeightedRoundRobin::default(),
            })
    }

    /// Returns the estimates of the work of a route's requests.
    pub fn work(&self, route: &sg_catalog::Route) -> WorkEstimate {
        let stats = self.routes.get(&route.name);
        stats.map_or_else(
            || WorkEstimate::new(initial_work(route), self.initial_cold_fraction),
            |stats| stats.work,
        )
    }

    /// Records a request for `service` with an expected processing time of `work_seconds`.
    /// `bound_to` is the region where the request has to run, if there is only one.
    pub fn record_demand(
        &mut self,
        service: &id::Service,
        bound_to: Option<&id::Region>,
        work_seconds: f64,
        now: Instant,
    ) {
        let demand = self.demand.entry(service.clone()).or_default();
        demand.record_work(work_seconds, now);
        if let Some(region) = bound_to {
            let key = (service.clone(), region.clone());
            let bound = self.bound_demand.entry(key).or_default();
            bound.record_work(work_seconds, now);
        }
    }

    pub fn retry_budget(
        &mut self,
        service: &id::Service,
        bounds: &retry::Bounds,
        now: Instant,
    ) -> &mut Budget {
        let fleet_size = self.fleet_size;
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(bounds, fleet_size, now))
    }
}
