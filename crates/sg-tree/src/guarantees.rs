//! Checks a view for settings that break the fleet's guarantees to client accounts, or put them at
//! risk.
//!
//! Operators' tools reject a tree if one of these checks gives an error. Instances don't run the
//! checks and accept every tree that compiles: otherwise instances of a release with a new check
//! would reject a tree that instances of an older release accept, and the fleet would use different
//! trees.

mod account;
mod limit;
mod link;
mod load;
mod region;
mod route;
mod target;
mod time;

use sg_types::prelude::*;

use crate::{Fault, Path, View, capacity, view::Service};

/// Runs all checks of this module and returns the faults of `view`.
#[must_use]
pub fn check(view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(load::check_total_rate(view));
    faults.extend(time::check_fleet(view));
    faults.extend(account::check(view));
    faults.extend(route::check(view));
    faults.extend(target::check(view));
    faults.extend(link::check(view));
    for service in view.services.values() {
        faults.extend(limit::check(service));
        faults.extend(time::check_service(service));
        faults.extend(load::check_account_rates(view, service));
        faults.extend(region::check(view, service));
    }
    faults
}

fn service_path(service: &Service) -> Path {
    Path::root().join("services").join(&service.name)
}

/// Returns the requests per second to expect at `service`: the part of all accounts' rates that
/// corresponds to the service's part of the capacity of all services.
#[must_use]
pub fn expected_rate(view: &View, service: &Service) -> f64 {
    let total_capacity: f64 = view
        .services
        .values()
        .map(|service| capacity::total(view, service).as_f64())
        .sum();
    if total_capacity == 0.0 {
        return capacity::total_account_rate(view).as_f64();
    }
    capacity::total_account_rate(view).as_f64() * capacity::total(view, service).as_f64()
        / total_capacity
}

/// Returns the fraction of the service's traffic that `region` receives: the weight set in the tree,
/// or an equal fraction for each region if the service has no split.
#[must_use]
pub fn region_weight(view: &View, service: &Service, region: &id::Region) -> Percent {
    if service.split.is_empty() {
        let regions = u32::try_from(view.regions.len().max(1)).unwrap_or(u32::MAX);
        return Percent::from_ppm(Percent::FULL.as_ppm() / regions);
    }
    service.split.get(region).copied().unwrap_or_default()
}
