//! The properties of a request by which a target is chosen.

use sg_place::{
    Pool,
    location::Location,
    pool::{Query, Rejection},
};
use sg_types::prelude::*;

use crate::{Core, Dialect, attempt::Call, dialect::Refusal, price, state::State};

/// Time that the response needs to reach the caller, including the processing by this instance.
pub const RESPONSE_OVERHEAD: Span = Span::from_millis(20);

/// Returns the properties of the request by which a target is chosen.
pub fn build<'a, D: Dialect>(
    core: &Core<D>,
    call: &'a Call<'_>,
    service: &id::Service,
    state: &'a State,
    may_leave_region: bool,
    tried: &'a [id::Target],
    now: Instant,
) -> Query<'a> {
    let remaining_seconds =
        call.deadline.since(now).as_secs_f64() - RESPONSE_OVERHEAD.as_secs_f64();
    let services = &call.catalog.services;
    let cold_rate = services.get(service).map_or(0.0, |s| s.cold_rate);
    let account = call.account.as_ref();
    let work = state.work(&call.route);
    Query {
        object: call.object,
        placement_key: call.placement_key,
        may_leave_region,
        warm_work_seconds: work.expected_work_seconds(true),
        cold_work_seconds: work.expected_work_seconds(call.object.is_none()),
        cold_fraction: work.cold_fraction(),
        typical_work_seconds: work.typical_work_seconds(),
        tried,
        home_regions: &call.route.home_regions,
        account_home_regions: account.map_or(&[], |account| account.home_regions.as_ref()),
        cold_rate: cold_rate * core.options.cold_factor + core.options.cold_slack,
        remaining_seconds: remaining_seconds * price::usable_fraction(call),
        shift_limiter: &state.shift_limiter,
        now,
    }
}

/// Calls `decide` with the targets of `service`, what the request needs in its planned region, the location of this
/// instance and the closed domains. Returns `None` if the service has no targets.
pub fn with<D: Dialect, T>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    tried: &[id::Target],
    now: Instant,
    decide: impl FnOnce(&Pool, &Query<'_>, &Location, &IndexSet<id::Domain>) -> T,
) -> Option<T> {
    let state = core.state.lock();
    let query = build(core, call, service, &state, false, tried, now);
    let pool = state.pools.get(service)?;
    Some(decide(pool, &query, &state.location, &state.closed_domains))
}

/// Returns the refusal of a request for which no target was chosen.
pub fn refusal(rejection: Rejection) -> Refusal {
    match rejection {
        Rejection::NoTarget => Refusal::not_run(Reason::NoTarget),
        Rejection::NoRoom(excess_seconds) => Refusal::not_run(Reason::RegionFull)
            .with_retry_after(Span::from_secs(1).mul_f64(excess_seconds)),
        Rejection::Paused(seconds) => Refusal::not_run(Reason::TargetsPaused)
            .with_retry_from(Span::from_secs(1).mul_f64(seconds)),
    }
}
