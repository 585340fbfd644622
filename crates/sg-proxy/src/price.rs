//! Order of refusal of an instance that decides alone.

use sg_dispatch::{
    order::Bid,
    price::{Change, Price},
};
use sg_place::{hash::Object, pool::Choice};
use sg_types::prelude::*;

use crate::{Core, Dialect, attempt::Call, dialect::Refusal};

/// Fraction of a request's remaining time that must be unused when its response is expected, per
/// priority level. Less urgent requests are thus refused first, while there is still room for the
/// others.
const PRIORITY_MARGIN_FRACTION: f64 = 0.1;
/// Greatest priority level. Requests with a greater priority number are treated like this level.
const MAX_PRIORITY: u32 = 5;
/// Time over which the demand of routes and accounts is observed: about the longest time that callers wait.
const HORIZON: Span = Span::from_secs(10);
/// Part by which the times of refused callers differ at most, where requests are refused by price. Callers
/// that are refused together then don't retry together.
const RETRY_SPREAD: f64 = 1.0 / 3.0;
/// Label of refusals by price.
pub const PRICE: &str = "price";

/// Returns whether requests like this one are refused by price. Large responses are not: their time at a target
/// is that of a transfer, of which the expected work tells little.
fn is_on(call: &Call<'_>) -> bool {
    call.catalog.has_large_responses() && !call.route.large_responses
}

/// Returns the part of its remaining time that a request may use. Where requests are refused by price,
/// that is all.
pub fn usable_fraction(call: &Call<'_>) -> f64 {
    if is_on(call) {
        return 1.0;
    }
    1.0 - PRIORITY_MARGIN_FRACTION * f64::from(call.priority().min(MAX_PRIORITY))
}

/// Returns the factor by which a refused caller waits longer than the least time.
pub fn retry_spread(call: &Call<'_>, now: Instant) -> f64 {
    if !call.catalog.has_large_responses() {
        return 1.0;
    }
    1.0 + RETRY_SPREAD * Object::new("retry", call.id.as_ref()).fraction(now.as_nanos())
}

/// Refuses a request whose bid is below the price of a slot of `service`, if the catalog has a route with
/// large responses. `arrived` is when the request arrived.
pub fn check<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    arrived: Instant,
    choice: Result<Choice, Refusal>,
) -> Result<Choice, Refusal> {
    if !is_on(call) {
        return choice;
    }
    let now = core.timer.now();
    let mut state = core.state.lock();
    let typical_seconds = state.route_stats(&call.route).work.typical_work_seconds();
    let prices = &mut state.prices;
    let price = prices
        .entry(service.clone())
        .or_insert_with(|| Price::new(HORIZON));
    let result = match choice {
        Ok(choice) => {
            let bid = bid(call, arrived, seconds(choice.work_seconds), now);
            match price.admits(&bid, seconds(choice.queue_wait_seconds), now) {
                true => Ok(choice),
                false => Err((Refusal::not_run(Reason::RegionFull), PRICE)),
            }
        }
        Err(refusal) => {
            if refusal.reason == Reason::RegionFull {
                price.record_late(&bid(call, arrived, seconds(typical_seconds), now), now);
            }
            let label = refusal.reason.as_str();
            Err((refusal, label))
        }
    };
    let (change, refused_fraction) = (price.take_change(), price.refused_fraction());
    drop(state);
    if let Some(change) = change {
        log_change(service, change, refused_fraction);
    }
    result.map_err(|(refusal, label)| {
        let priority = call.priority().min(MAX_PRIORITY);
        core.metrics.record_refusal(label, priority);
        refusal
    })
}

/// Returns whether a request that arrives now would be admitted at the present price.
pub fn allows(price: &Price, call: &Call<'_>, choice: &Choice, now: Instant) -> bool {
    let bid = bid(call, now, seconds(choice.work_seconds), now);
    price.would_admit(&bid, seconds(choice.queue_wait_seconds), now)
}

fn seconds(seconds: f64) -> Span {
    Span::from_secs(1).mul_f64(seconds)
}

fn bid(call: &Call<'_>, arrived: Instant, work: Span, now: Instant) -> Bid {
    let age = now.since(arrived);
    Bid {
        priority: call.priority(),
        objective_left: call.route.latency_objective.saturating_sub(age),
        deadline_left: call.deadline.since(now),
        work,
        waited: Span::ZERO,
        account: call.account().cloned(),
        route: call.route.name.clone(),
    }
}

fn log_change(service: &id::Service, change: Change, refused_fraction: f64) {
    match change {
        Change::Started => log::warn!(
            service:% = service, percent = (refused_fraction * 100.0) as u32;
            "requests are refused by price"
        ),
        Change::Stopped => log::info!(service:% = service; "no request is refused by price"),
    }
}
