//! Faults of a tree that would break a promise at once, or come close to it.
//!
//! Operators' tools refuse a tree with an error of these. Instances don't run these checks: they take
//! every tree that compiles, so that a check that is added later never parts the fleet.

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

/// The faults of `view` that concern what the fleet can hold.
#[must_use]
pub fn check(view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(load::oversold(view));
    faults.extend(time::fleet(view));
    faults.extend(account::check(view));
    faults.extend(route::check(view));
    faults.extend(target::check(view));
    faults.extend(link::check(view));
    for service in view.services.values() {
        faults.extend(limit::check(service));
        faults.extend(time::service(service));
        faults.extend(load::accounts(view, service));
        faults.extend(region::check(view, service));
    }
    faults
}

fn service_path(service: &Service) -> Path {
    Path::root().join("services").join(&service.name)
}

/// The part of all sold rates that may come to `service`, by its part of the whole capacity.
#[must_use]
pub fn demand(view: &View, service: &Service) -> f64 {
    let all: f64 = view
        .services
        .values()
        .map(|service| capacity::total(view, service).as_f64())
        .sum();
    if all == 0.0 {
        return capacity::sold(view).as_f64();
    }
    capacity::sold(view).as_f64() * capacity::total(view, service).as_f64() / all
}

/// The region's part of the service's traffic: the tree's weight, or an equal part.
#[must_use]
pub fn weight(view: &View, service: &Service, region: &id::Region) -> Percent {
    if service.split.is_empty() {
        let regions = u32::try_from(view.regions.len().max(1)).unwrap_or(u32::MAX);
        return Percent::from_ppm(Percent::FULL.as_ppm() / regions);
    }
    service.split.get(region).copied().unwrap_or_default()
}
