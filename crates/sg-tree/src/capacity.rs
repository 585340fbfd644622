//! What services and regions can carry, worked out from a view.

use sg_types::prelude::*;

use crate::{View, view::Service};

/// What a service's targets in one region carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// With every target that is not drained.
    pub full: Rate,
    /// After the loss of the failure domain that carries most.
    pub degraded: Rate,
    /// The same, if no target were drained.
    pub undrained: Rate,
}

/// The capacity of each region for `service`, in the order of the tree.
#[must_use]
pub fn of_service(view: &View, service: &Service) -> IndexMap<id::Region, Capacity> {
    view.regions
        .iter()
        .map(|(name, region)| {
            let rates = |drained| {
                let domains = region.domains.iter();
                domains.map(move |domain| of_domain(service, domain, drained))
            };
            let (full, degraded) = sum(rates(false));
            let (_, undrained) = sum(rates(true));
            let capacity = Capacity {
                full,
                degraded,
                undrained,
            };
            (name.clone(), capacity)
        })
        .collect()
}

/// The capacity of `service` over all regions.
#[must_use]
pub fn total(view: &View, service: &Service) -> Rate {
    let micros = of_service(view, service)
        .values()
        .map(|capacity| capacity.full.as_micros())
        .sum();
    Rate::from_micros(micros)
}

/// The sum of all client accounts' rates.
#[must_use]
pub fn sold(view: &View) -> Rate {
    let micros = view
        .accounts
        .values()
        .map(|account| account.rate.as_micros())
        .sum();
    Rate::from_micros(micros)
}

/// The sum of the failure domains' rates, with all and without the greatest.
fn sum(domains: impl Iterator<Item = Rate>) -> (Rate, Rate) {
    let (full, most) = domains.fold((0, 0), |(sum, most), rate| {
        (sum + rate.as_micros(), most.max(rate.as_micros()))
    });
    (Rate::from_micros(full), Rate::from_micros(full - most))
}

/// What the service's targets in `domain` carry, the drained ones included if `drained`.
fn of_domain(service: &Service, domain: &id::Domain, drained: bool) -> Rate {
    let slots: u64 = service
        .targets
        .values()
        .filter(|target| target.domain == *domain && (drained || !target.drain))
        .map(|target| u64::from(target.slots))
        .sum();
    let time = service.service_time.as_secs_f64().max(1e-6);
    Rate::from_micros((slots as f64 / time * rate::MICRO as f64) as u64)
}
