//! Faults of a tree that would break a promise at once, or come close to it.

use sg_types::prelude::*;

use crate::{
    Fault, Path, View,
    capacity::{self, Capacity},
    view::Service,
};

/// The faults of `view` that concern what the fleet can hold.
#[must_use]
pub fn check(view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(oversold(view));
    for service in view.services.values() {
        faults.extend(unsplit(view, service));
        faults.extend(account_faults(view, service));
        faults.extend(region_faults(view, service));
    }
    faults
}

fn service_path(service: &Service) -> Path {
    Path::root().join("services").join(&service.name)
}

/// All rates together exceed what all services carry.
fn oversold(view: &View) -> Option<Fault> {
    let carried: u64 = view
        .services
        .values()
        .map(|service| capacity::total(view, service).as_micros())
        .sum();
    let sold = capacity::sold(view);
    if view.services.is_empty() || sold.as_micros() <= carried {
        return None;
    }
    Some(Fault::error(
        Path::root().join("accounts"),
        format!(
            "the client accounts' rates add up to {sold}, and the services carry {}",
            Rate::from_micros(carried)
        ),
        "lower the rates, or add targets",
    ))
}

fn unsplit(view: &View, service: &Service) -> Option<Fault> {
    if !service.split.is_empty() || view.regions.len() < 2 {
        return None;
    }
    Some(Fault::warning(
        service_path(service).join("split"),
        "no split is set, so that each region gets an equal part",
        "set a weight for each region",
    ))
}

/// One client account alone may exceed the service.
fn account_faults(view: &View, service: &Service) -> Vec<Fault> {
    let total = capacity::total(view, service);
    let over = view
        .accounts
        .iter()
        .filter(|(_, account)| account.rate > total);
    over.map(|(name, account)| {
        Fault::error(
            Path::root().join("accounts").join(name).join("rate"),
            format!(
                "{} exceeds what service '{}' carries ({total})",
                account.rate, service.name
            ),
            "lower the rate, or add targets to the service",
        )
    })
    .collect()
}

/// A region would be left with no headroom after losing a failure domain.
fn region_faults(view: &View, service: &Service) -> Vec<Fault> {
    let demand = demand(view, service);
    let mut faults = Vec::new();
    for (region, capacity) in capacity::of_service(view, service) {
        let weight = weight(view, service, &region);
        let load = demand * weight.as_f64();
        if load > 0.0 {
            faults.extend(region_fault(service, &region, capacity, load));
        }
    }
    faults
}

fn region_fault(
    service: &Service,
    region: &id::Region,
    capacity: Capacity,
    load: f64,
) -> Option<Fault> {
    let path = service_path(service).join("split").join(region);
    let degraded = capacity.degraded.as_f64();
    let usable = degraded * (1.0 - service.headroom.as_f64());
    if load > degraded {
        return Some(Fault::error(
            path,
            format!(
                "after losing a failure domain the region carries {}, and {load:.1}/s may come",
                capacity.degraded
            ),
            "lower the region's weight, or add targets in another of its failure domains",
        ));
    }
    (load > usable).then(|| {
        Fault::warning(
            path,
            format!(
                "after losing a failure domain less than {} of the capacity is unused",
                service.headroom
            ),
            "lower the region's weight, or add targets",
        )
    })
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
