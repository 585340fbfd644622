//! What each region carries of a service, also after the loss of a failure domain.

use sg_types::prelude::*;

use super::{demand, service_path, weight};
use crate::{
    Fault, View,
    capacity::{self, Capacity},
    view::{Service, Target},
};

/// The faults of the regions' parts of `service`.
pub(super) fn check(view: &View, service: &Service) -> Vec<Fault> {
    let demand = demand(view, service);
    let mut faults = Vec::new();
    faults.extend(unsplit(view, service));
    for (region, capacity) in capacity::of_service(view, service) {
        let weight = weight(view, service, &region);
        if weight == Percent::ZERO {
            faults.extend(unused(service, &region));
        } else if drained(service, &region) {
            faults.push(drained_fault(service, &region, weight));
        } else {
            let load = demand * weight.as_f64();
            faults.extend(overload(service, &region, capacity, load));
        }
    }
    faults
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

/// The service's targets in `region`.
fn targets<'a>(service: &'a Service, region: &'a id::Region) -> impl Iterator<Item = &'a Target> {
    let targets = service.targets.values();
    targets.filter(move |target| target.region == *region)
}

/// Whether the service has targets in `region`, all of them drained.
fn drained(service: &Service, region: &id::Region) -> bool {
    let mut any = false;
    for target in targets(service, region) {
        any = true;
        if !target.drain {
            return false;
        }
    }
    any
}

fn drained_fault(service: &Service, region: &id::Region, weight: Percent) -> Fault {
    Fault::warning(
        service_path(service).join("split").join(region),
        format!(
            "every target of region '{region}' is drained and its weight is {weight}: what may not \
             move yet is refused as 'shift-capped', not run"
        ),
        "set the region's weight to 0%, wait until 0% is in force ('sg status'), then drain",
    )
}

/// The region has targets that can do work and gets none.
fn unused(service: &Service, region: &id::Region) -> Option<Fault> {
    let able = targets(service, region)
        .filter(|target| !target.drain)
        .count();
    (able > 0).then(|| {
        Fault::warning(
            service_path(service).join("split").join(region),
            format!("{able} targets in region '{region}' get no traffic: its weight is 0%"),
            "give the region a weight, or drain its targets",
        )
    })
}

/// The region would be left with no headroom after losing a failure domain. What is drained is out
/// for a while only: then the rest has to carry the load, and a loss on top of it is warned of.
fn overload(
    service: &Service,
    region: &id::Region,
    capacity: Capacity,
    load: f64,
) -> Option<Fault> {
    let path = service_path(service).join("split").join(region);
    let usable = |rate: Rate| rate.as_f64() * (1.0 - service.headroom.as_f64());
    let degraded = capacity.degraded;
    let is_drained = capacity.undrained != degraded;
    if is_drained && load > usable(capacity.full) {
        return Some(Fault::error(
            path,
            format!(
                "with its drains the region carries {}, less {} headroom, and {load:.1}/s may \
                 come; after losing a failure domain it carries {degraded}",
                capacity.full, service.headroom
            ),
            "lower the region's weight first, or drain less",
        ));
    }
    if load > capacity.undrained.as_f64() {
        return Some(Fault::error(
            path,
            format!(
                "after losing a failure domain the region carries {degraded}, and {load:.1}/s may \
                 come"
            ),
            "lower the region's weight, or add targets in another of its failure domains",
        ));
    }
    if load > degraded.as_f64() {
        return Some(Fault::warning(
            path,
            format!(
                "while it is drained, losing a failure domain leaves {degraded} of the region, and \
                 {load:.1}/s may come"
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
