//! The loads that instances report to each other, and the plans that follow from them.

use sg_place::{Pool, plan};
use sg_types::prelude::*;

use crate::{Core, quotas::quota_bounds, state::State};

/// Maximum fraction of the requests that a plan moves between regions in one step.
const MAX_PLAN_STEP: f64 = 0.0095;
/// Time after its start at which an instance that joins a running system adopts the plan for the measured
/// load at once, in one step: targets are warm for the plan of the other instances, or of its own earlier
/// run.
const FIRST_PLAN_DELAY: Span = Span::from_millis(800);
/// Upper bound of the ratio of the region's demand to this instance's own demand. After a first
/// request, the measured ratio says little about the other instances.
const MAX_DEMAND_RATIO: f64 = 6.0;
/// Demand that is assumed before enough requests have been measured, as a fraction of all slots, in
/// a system that is already running.
const INITIAL_DEMAND_FRACTION: f64 = 0.45;
/// Demand that is assumed when the whole system starts and all objects are cold, as a fraction of
/// all slots.
const COLD_START_DEMAND_FRACTION: f64 = 0.7;
/// Measured demand, as a fraction of the assumed one, below which the assumed demand is used.
const TRAFFIC_START_FRACTION: f64 = 0.25;

/// Load that an instance reports to the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InstanceLoad {
    /// Slots that the requests of this instance keep busy, by service.
    pub demand: Vec<(id::Service, f64)>,
    /// The part of these slots that requests which may run in one region only keep busy.
    pub bound: Vec<(id::Service, id::Region, f64)>,
    /// Tokens that this instance asks for, by account.
    pub wanted_tokens: Vec<(id::Account, u32)>,
}

impl InstanceLoad {
    /// Returns the slots that the requests for `service` keep busy.
    fn demand(&self, service: &id::Service) -> f64 {
        let demand = self.demand.iter().filter(|(name, _)| name == service);
        demand.map(|(_, slots)| slots).sum()
    }

    /// Returns the part of the demand for `service` that may run in one of the regions for which
    /// `is_home` returns true and nowhere else.
    fn bound(&self, service: &id::Service, is_home: impl Fn(&id::Region) -> bool) -> f64 {
        let bound = self.bound.iter();
        let bound = bound.filter(|(name, region, _)| name == service && is_home(region));
        bound.map(|(.., slots)| slots).sum()
    }
}

/// Loads of all instances with their regions.
struct FleetLoad<'a> {
    instances: Vec<(&'a id::Region, &'a InstanceLoad)>,
}

impl FleetLoad<'_> {
    fn at<'b>(&'b self, region: &'b id::Region) -> impl Iterator<Item = &'b InstanceLoad> {
        let instances = self.instances.iter().filter(move |(at, _)| *at == region);
        instances.map(|(_, load)| *load)
    }

    /// Returns the demand for `service` that arrives in `region`.
    fn arriving_demand(&self, service: &id::Service, region: &id::Region) -> f64 {
        self.at(region).map(|load| load.demand(service)).sum()
    }

    /// Returns the part of the arriving demand that may run in several regions.
    fn free_demand(&self, service: &id::Service, region: &id::Region) -> f64 {
        let free = |load: &InstanceLoad| load.demand(service) - load.bound(service, |_| true);
        self.at(region).map(|load| free(load).max(0.0)).sum()
    }

    /// Returns the demand for `service`, wherever it arrives, that may run in `region` only.
    fn bound_demand(&self, service: &id::Service, region: &id::Region) -> f64 {
        let loads = self.instances.iter().map(|(_, load)| load);
        loads
            .map(|load| load.bound(service, |home| home == region))
            .sum()
    }
}

impl<D> Core<D> {
    /// Returns the load that this instance reports to the others.
    #[must_use]
    pub fn load(&self) -> InstanceLoad {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let demand = state.demand.iter();
        let demand = demand.map(|(service, demand)| (service.clone(), demand.slots(now)));
        let demand = demand.collect();
        let bound = state.bound_demand.iter();
        let bound = bound.map(|((service, region), demand)| {
            (service.clone(), region.clone(), demand.slots(now))
        });
        let bound = bound.collect();
        let mut wanted_tokens = Vec::new();
        if let Some(catalog) = self.catalog() {
            for account in catalog.accounts.values() {
                let Some(bounds) = quota_bounds(account) else {
                    continue;
                };
                let fraction = state.quota_fraction(&account.name, bounds);
                let share = state.share(&account.name, bounds, now);
                let tokens = share.wanted_tokens(bounds, fraction);
                if tokens > 0 {
                    wanted_tokens.push((account.name.clone(), tokens));
                }
            }
        }
        InstanceLoad {
            demand,
            bound,
            wanted_tokens,
        }
    }

    /// Moves the plan of each service one step toward the plan for the current load. `others` are the
    /// loads of the other instances with their regions.
    pub fn update_plans(
        &self,
        domains: &IndexMap<id::Domain, id::Region>,
        others: &[(id::Region, InstanceLoad)],
    ) {
        let now = self.timer.now();
        let own = self.load();
        let home = &self.options.location.region;
        let others = others.iter().map(|(region, load)| (region, load));
        let fleet = FleetLoad {
            instances: others.chain([(home, &own)]).collect(),
        };
        let mut state = self.state.lock();
        let all_cold = state.initial_cold_fraction >= 1.0;
        let demand_fraction = if all_cold {
            COLD_START_DEMAND_FRACTION
        } else {
            INITIAL_DEMAND_FRACTION
        };
        let levels = self.catalog().is_some_and(|c| c.has_large_responses());
        let filling = match levels {
            true => plan::Filling::Leveled,
            false => plan::Filling::Home,
        };
        let is_first_plan = self.is_first_plan(&mut state, now);
        let closed = state.closed_domains.clone();
        for (service, pool) in &mut state.pools {
            let arriving = fleet.arriving_demand(service, home);
            pool.set_sender_ratio(sender_ratio(arriving, own.demand(service)));
            let mut loads = region_loads(&fleet, service, pool, domains, &closed, now);
            assume_initial_demand(&mut loads, demand_fraction);
            let next = plan::plan_with(&loads, home, filling);
            // The load of a surge is no guide to where requests ran before.
            let adopts = is_first_plan && !all_cold && !plan::is_overloaded(&loads);
            let max_step = if adopts { 1.0 } else { MAX_PLAN_STEP };
            let step = pool.plan().step_toward(&next, max_step);
            pool.set_plan(step);
        }
    }

    /// Returns whether this is the first plan after the load has been measured for a while.
    fn is_first_plan(&self, state: &mut State, now: Instant) -> bool {
        let loaded_at = *self.loaded_at.borrow();
        let is_measured = loaded_at.is_some_and(|at| now.since(at) >= FIRST_PLAN_DELAY);
        let is_first = is_measured && !state.is_plan_measured;
        state.is_plan_measured |= is_measured;
        is_first
    }
}

/// Returns the ratio of the requests that arrive in the region to those that arrive at this instance.
fn sender_ratio(regional: f64, own: f64) -> f64 {
    let ratio = if own > 0.0 { regional / own } else { 1.0 };
    ratio.clamp(1.0, MAX_DEMAND_RATIO)
}

/// Returns the demand for `service` and the slots of its targets in each region.
fn region_loads(
    fleet: &FleetLoad<'_>,
    service: &id::Service,
    pool: &Pool,
    domains: &IndexMap<id::Domain, id::Region>,
    closed: &IndexSet<id::Domain>,
    now: Instant,
) -> Vec<plan::RegionLoad> {
    let slots = |region: &id::Region| -> f64 {
        if pool.is_scarce(region, now) {
            return 0.0;
        }
        let inside = domains.iter().filter(|(_, at)| *at == region);
        let open = inside.filter(|(domain, _)| !closed.contains(*domain));
        open.map(|(domain, _)| pool.slots(domain, now)).sum()
    };
    let regions: IndexSet<&id::Region> = domains.values().collect();
    let loads = regions.into_iter().map(|region| plan::RegionLoad {
        name: region.clone(),
        demand: fleet.free_demand(service, region),
        bound: fleet.bound_demand(service, region),
        slots: slots(region),
    });
    loads.collect()
}

/// Replaces the demand of all regions by an assumed, evenly spread one as long as little demand has
/// been measured.
fn assume_initial_demand(loads: &mut [plan::RegionLoad], demand_fraction: f64) {
    let slots: f64 = loads.iter().map(|load| load.slots).sum();
    let measured: f64 = loads.iter().map(|load| load.demand).sum();
    let assumed = slots * demand_fraction;
    if measured < assumed * TRAFFIC_START_FRACTION {
        let per_region = assumed / loads.len().max(1) as f64;
        loads.iter_mut().for_each(|load| load.demand = per_region);
    }
}
