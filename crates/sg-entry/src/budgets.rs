//! Budgets of a view: client accounts, capacities of regions, and links between regions.

use sg_peer::node::account_budgets;
use sg_share::{Budget, budget};
use sg_tree::{View, capacity, view::Service};
use sg_types::prelude::*;

const BITS_PER_BYTE: u64 = 8;

/// Returns all budgets of `view`.
#[must_use]
pub fn from_view(view: &View) -> IndexMap<budget::Id, Budget> {
    let mut budgets = account_budgets(view);
    for service in view.services.values() {
        budgets.extend(region_budgets(view, service));
        budgets.extend(link_budgets(view, service));
    }
    budgets
}

/// Returns the capacity budgets of a service, one per region, with a burst of one second at the
/// full rate. The slots of each target limit the number of concurrent requests, not these budgets.
fn region_budgets(view: &View, service: &Service) -> Vec<(budget::Id, Budget)> {
    capacity::by_region(view, service)
        .into_iter()
        .filter(|(_, capacity)| capacity.full > Rate::ZERO)
        .map(|(region, capacity)| {
            let budget = Budget {
                rate: capacity.full,
                burst: units_per_second(capacity.full),
            };
            (budget::Id::Capacity(service.name.clone(), region), budget)
        })
        .collect()
}

/// Returns the number of units that `rate` yields in one second, at least 1.
fn units_per_second(rate: Rate) -> u32 {
    let units = rate.as_micros() / rate::MICRO;
    u32::try_from(units).unwrap_or(u32::MAX).max(1)
}

/// Returns the link budgets of a service in responses per second, one per direction. The bandwidth
/// of a link is divided equally among the services.
fn link_budgets(view: &View, service: &Service) -> Vec<(budget::Id, Budget)> {
    let services = view.services.len().max(1) as u64;
    let bits_per_response = service.answer_size.get().max(1) * BITS_PER_BYTE;
    let mut budgets = Vec::new();
    for link in &view.links {
        let micros = u128::from(link.bandwidth.as_bits()) * u128::from(rate::MICRO);
        let micros = micros / u128::from(bits_per_response * services);
        let rate = Rate::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        let burst = units_per_second(rate);
        for (from, to) in [(&link.a, &link.b), (&link.b, &link.a)] {
            let id = budget::Id::Link(service.name.clone(), from.clone(), to.clone());
            budgets.push((id, Budget { rate, burst }));
        }
    }
    budgets
}
