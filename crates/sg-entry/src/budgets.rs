//! The budgets of a view: client accounts, what regions carry, and links between regions.

use sg_peer::node::account_budgets;
use sg_share::{Budget, budget};
use sg_tree::{View, capacity, view::Service};
use sg_types::prelude::*;

/// Bits in a byte.
const BITS: u64 = 8;

/// Every budget of `view`.
#[must_use]
pub fn of(view: &View) -> IndexMap<budget::Id, Budget> {
    let mut budgets = account_budgets(view);
    for service in view.services.values() {
        budgets.extend(regions(view, service));
        budgets.extend(links(view, service));
    }
    budgets
}

/// What each region's targets carry, with a burst of a second's worth. How many requests run at once
/// is bounded by the slots of each target, not here.
fn regions(view: &View, service: &Service) -> Vec<(budget::Id, Budget)> {
    capacity::of_service(view, service)
        .into_iter()
        .filter(|(_, capacity)| capacity.full > Rate::ZERO)
        .map(|(region, capacity)| {
            let budget = Budget {
                rate: capacity.full,
                burst: second(capacity.full),
            };
            (budget::Id::Capacity(service.name.clone(), region), budget)
        })
        .collect()
}

/// The units of one second, at least one.
fn second(rate: Rate) -> u32 {
    let units = rate.as_micros() / rate::MICRO;
    u32::try_from(units).unwrap_or(u32::MAX).max(1)
}

/// The answers a second that each direction of a link carries, in equal parts for each service.
fn links(view: &View, service: &Service) -> Vec<(budget::Id, Budget)> {
    let services = view.services.len().max(1) as u64;
    let bits = service.answer_size.get().max(1) * BITS;
    let mut budgets = Vec::new();
    for link in &view.links {
        let micros = u128::from(link.bandwidth.as_bits()) * u128::from(rate::MICRO);
        let micros = micros / u128::from(bits * services);
        let rate = Rate::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        let burst = second(rate);
        for (from, to) in [(&link.a, &link.b), (&link.b, &link.a)] {
            let id = budget::Id::Link(service.name.clone(), from.clone(), to.clone());
            budgets.push((id, Budget { rate, burst }));
        }
    }
    budgets
}
