//! The request rates that services can handle and that client accounts may make, computed from a
//! view.

use sg_types::prelude::*;

use crate::{View, view::Service};

/// The request rate that a service's targets in one region can handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// Rate of all targets that are not drained.
    pub full: Rate,
    /// Rate of all targets that are not drained, after the loss of the failure domain with the
    /// highest rate.
    pub degraded: Rate,
    /// Rate of all targets, including drained ones, after the loss of the failure domain with the
    /// highest rate.
    pub degraded_including_drained: Rate,
}

/// Returns the capacity of each region for `service`, in the order of the tree.
#[must_use]
pub fn by_region(view: &View, service: &Service) -> IndexMap<id::Region, Capacity> {
    view.regions
        .iter()
        .map(|(name, region)| {
            let rates = |include_drained| {
                let domains = region.domains.iter();
                domains.map(move |domain| domain_rate(service, domain, include_drained))
            };
            let (full, degraded) = full_and_degraded(rates(false));
            let (_, degraded_including_drained) = full_and_degraded(rates(true));
            let capacity = Capacity {
                full,
                degraded,
                degraded_including_drained,
            };
            (name.clone(), capacity)
        })
        .collect()
}

/// Returns the capacity of `service` over all regions, without drained targets.
#[must_use]
pub fn total(view: &View, service: &Service) -> Rate {
    let micros = by_region(view, service)
        .values()
        .map(|capacity| capacity.full.as_micros())
        .sum();
    Rate::from_micros(micros)
}

/// Returns the sum of all client accounts' rates.
#[must_use]
pub fn total_account_rate(view: &View) -> Rate {
    let micros = view
        .accounts
        .values()
        .map(|account| account.rate.as_micros())
        .sum();
    Rate::from_micros(micros)
}

/// Returns the sum of the failure domains' rates, and that sum without the highest rate.
fn full_and_degraded(domains: impl Iterator<Item = Rate>) -> (Rate, Rate) {
    let (full, highest) = domains.fold((0, 0), |(sum, highest), rate| {
        (sum + rate.as_micros(), highest.max(rate.as_micros()))
    });
    (Rate::from_micros(full), Rate::from_micros(full - highest))
}

/// Returns the rate that the service's targets in `domain` can handle, optionally including drained
/// targets.
fn domain_rate(service: &Service, domain: &id::Domain, include_drained: bool) -> Rate {
    let slots: u64 = service
        .targets
        .values()
        .filter(|target| target.domain == *domain && (include_drained || !target.drain))
        .map(|target| u64::from(target.slots))
        .sum();
    // A service time of zero is allowed and must not divide by zero.
    let seconds = service.service_time.as_secs_f64().max(1e-6);
    Rate::from_micros((slots as f64 / seconds * rate::MICRO as f64) as u64)
}
