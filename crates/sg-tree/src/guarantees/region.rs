//! Checks that each region's targets can handle the region's fraction of a service's traffic, even
//! after the loss of a failure domain.

use sg_types::prelude::*;

use super::{expected_rate, region_weight, service_path};
use crate::{
    Fault, View,
    capacity::{self, Capacity},
    view::{Service, Target},
};

/// Returns the faults of `service` in each region.
pub(super) fn check(view: &View, service: &Service) -> Vec<Fault> {
    let expected_rate = expected_rate(view, service);
    let mut faults = Vec::new();
    faults.extend(missing_split(view, service));
    for (region, capacity) in capacity::by_region(view, service) {
        let weight = region_weight(view, service, &region);
        if weight == Percent::ZERO {
            faults.extend(targets_without_weight(service, &region));
        } else if all_drained(service, &region) {
            faults.push(all_drained_fault(service, &region, weight));
        } else {
            let load = expected_rate * weight.as_f64();
            faults.extend(check_overload(service, &region, capacity, load));
        }
    }
    faults
}

fn missing_split(view: &View, service: &Service) -> Option<Fault> {
    if !service.split.is_empty() || view.regions.len() < 2 {
        return None;
    }
    Some(Fault::warning(
        service_path(service).join("split"),
        "no split is set, so each region gets an equal part of the traffic",
        "set a weight for each region",
    ))
}

/// Returns the service's targets in `region`.
fn targets_in<'a>(
    service: &'a Service,
    region: &'a id::Region,
) -> impl Iterator<Item = &'a Target> {
    let targets = service.targets.values();
    targets.filter(move |target| target.region == *region)
}

/// Returns whether the service has targets in `region` and all of them are drained.
fn all_drained(service: &Service, region: &id::Region) -> bool {
    let mut has_targets = false;
    for target in targets_in(service, region) {
        has_targets = true;
        if !target.drain {
            return false;
        }
    }
    has_targets
}

fn all_drained_fault(service: &Service, region: &id::Region, weight: Percent) -> Fault {
    Fault::warning(
        service_path(service).join("split").join(region),
        format!(
            "every target of region '{region}' is drained and its weight is {weight}: traffic \
             that may not move yet is refused as 'shift-capped', not run"
        ),
        "set the region's weight to 0%, wait until 0% is in force ('sg status'), then drain",
    )
}

/// Returns a fault if the region has undrained targets but no weight.
fn targets_without_weight(service: &Service, region: &id::Region) -> Option<Fault> {
    let available = targets_in(service, region)
        .filter(|target| !target.drain)
        .count();
    (available > 0).then(|| {
        Fault::warning(
            service_path(service).join("split").join(region),
            format!("{available} targets in region '{region}' get no traffic: its weight is 0%"),
            "give the region a weight, or drain its targets",
        )
    })
}

/// Returns a fault if the region can't handle `load` requests per second, either now or after the
/// loss of a failure domain.
///
/// The check for the loss of a failure domain counts drained targets, because drains are temporary.
/// While targets are drained, the others must handle the load and leave the headroom unused. A
/// region that a failure domain's loss would overload only during the drain gets a warning: if it
/// got an error, neither domain of a region with two failure domains could be drained.
fn check_overload(
    service: &Service,
    region: &id::Region,
    capacity: Capacity,
    load: f64,
) -> Option<Fault> {
    let path = service_path(service).join("split").join(region);
    let usable = |rate: Rate| rate.as_f64() * (1.0 - service.headroom.as_f64());
    let degraded = capacity.degraded;
    let has_drains = capacity.degraded_including_drained != degraded;
    if has_drains && load > usable(capacity.full) {
        return Some(Fault::error(
            path,
            format!(
                "with its drains the region carries {}, less {} headroom, but up to {load:.1}/s \
                 may arrive; after losing a failure domain it carries {degraded}",
                capacity.full, service.headroom
            ),
            "lower the region's weight first, or drain less",
        ));
    }
    if load > capacity.degraded_including_drained.as_f64() {
        return Some(Fault::error(
            path,
            format!(
                "after losing a failure domain the region carries {degraded}, but up to \
                 {load:.1}/s may arrive"
            ),
            "lower the region's weight, or add targets in another of its failure domains",
        ));
    }
    if load > degraded.as_f64() {
        return Some(Fault::warning(
            path,
            format!(
                "while targets are drained, losing a failure domain leaves {degraded} of the \
                 region's capacity, but up to {load:.1}/s may arrive"
            ),
            "lower the region's weight until the drain is undone, or keep the drain short",
        ));
    }
    (load > usable(degraded)).then(|| {
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
