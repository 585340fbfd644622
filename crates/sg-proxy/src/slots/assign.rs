//! Assigns a target to the first send of a request through the dispatcher.

use sg_dispatch::{Ask, Bid, Ticket};
use sg_place::{grant::Unusable, pool::Choice};
use sg_types::prelude::*;

use super::{Answer, Slot};
use crate::{
    Core, Dialect,
    attempt::{self, Call},
    dialect::Refusal,
    query,
};

/// Maximum number of targets that an ask excludes, so that an ask stays small.
const MAX_EXCLUDED: usize = 4;
/// Maximum number of dispatchers that are asked for one request, if another instance takes over meanwhile.
const MAX_ASKS: u32 = 2;

/// A target that a dispatcher has granted.
#[derive(Debug)]
pub(crate) struct Granted {
    pub choice: Choice,
    pub slot: Slot,
}

/// Asks the dispatcher of `service` for a slot, and records the send to the granted target. Returns `None` if
/// this instance has to decide alone, or refuse the request because it stops too soon.
///
/// # Errors
/// Returns a refusal if the dispatcher rejects the request or no slot is free in time.
pub(crate) async fn acquire<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    arrived: Instant,
) -> Result<Option<Granted>, Refusal> {
    let granted = assign(core, call, service, arrived).await;
    let granted =
        granted.inspect_err(|refusal| attempt::record_refusal(core, call, service, refusal))?;
    let Some(Granted { choice, slot }) = granted else {
        return Ok(None);
    };
    let Ok(choice) = attempt::check_stop(core, call, choice) else {
        return Ok(None);
    };
    // The request may have been quarantined while it waited.
    attempt::check_quarantine(core, call)?;
    core.state.lock().off_plan.record_request();
    attempt::record_send(core, call, service, &choice, false);
    Ok(Some(Granted { choice, slot }))
}

/// Asks the dispatcher of `service` for a slot that this instance may use.
async fn assign<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    arrived: Instant,
) -> Result<Option<Granted>, Refusal> {
    // A large response keeps its slot during the transfer, of which neither estimates nor reports tell.
    let is_on = call.catalog.has_large_responses()
        && !call.route.large_responses
        && !core.is_draining()
        && !core.is_cut_off();
    let Some(mut ask) = is_on
        .then(|| prepare(core, call, service, arrived))
        .flatten()
    else {
        return Ok(None);
    };
    // A request that gets no slot in time for its work is refused: in the same state, a send without a slot would
    // only take the time of other requests.
    let limit = call.deadline - query::RESPONSE_OVERHEAD - ask.warm_work;
    let metrics = &core.slots.metrics;
    let mut reason = "moved";
    for _ in 0..MAX_ASKS {
        let now = core.timer.now();
        ask.bid.deadline_left = call.deadline.since(now);
        ask.bid.objective_left = (arrived + call.route.latency_objective).since(now);
        let open = match core.slots.open(service, ask.clone(), now) {
            Ok(open) => open,
            Err(why) => {
                reason = why;
                break;
            }
        };
        match open.wait(&core.timer, limit).await {
            Answer::Granted {
                target,
                is_warm,
                slot,
            } => {
                if let Ok(choice) = check_grant(core, call, service, &target, is_warm) {
                    metrics.record_ask("granted");
                    return Ok(Some(Granted { choice, slot }));
                }
                // Why this instance may not use the target says nothing of it to others, so that the ask is
                // withdrawn.
                drop(slot);
                reason = "unusable";
            }
            Answer::Moved => continue,
            answer => reason = without_slot(core, call, &answer)?,
        }
        break;
    }
    metrics.record_ask("fallback");
    metrics.record_fallback(reason);
    Ok(None)
}

/// Returns why this instance decides alone after an answer without a slot.
///
/// # Errors
/// Returns a refusal if the dispatcher rejects the request or no slot is free in time.
fn without_slot<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    answer: &Answer,
) -> Result<&'static str, Refusal> {
    let metrics = &core.slots.metrics;
    match answer {
        // No target of the region may run the request.
        Answer::Rejected(Span::ZERO) => Ok("no-target"),
        Answer::Rejected(retry_after) => {
            metrics.record_ask("rejected");
            // The dispatcher spreads the retry times of those that it rejects.
            Err(Refusal {
                retry_after: Some(*retry_after),
                ..Refusal::not_run(Reason::RegionFull)
            })
        }
        Answer::Expired => {
            metrics.record_ask("expired");
            let refusal = Refusal::not_run(Reason::RegionFull);
            Err(refusal.with_retry_after(call.retry_after(core.timer.now())))
        }
        Answer::Draining => Ok("draining"),
        Answer::Silent | Answer::Moved | Answer::Granted { .. } => Ok("silent"),
    }
}

/// Returns the ask for the request, or `None` if the plan does not keep the request in the own region.
fn prepare<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    arrived: Instant,
) -> Option<Ask> {
    let now = core.timer.now();
    let asked = query::with(
        core,
        call,
        service,
        &[],
        now,
        |pool, query, location, closed| {
            if !pool.keeps_in_region(query, location) {
                return None;
            }
            let excluded = pool.unusable_here(query, location, closed);
            let excluded = excluded.take(MAX_EXCLUDED).cloned().collect();
            let warm = query.warm_work_seconds;
            let typical = warm + query.saved_by_warmth_seconds() * query.cold_fraction;
            Some((excluded, warm, query.cold_work_seconds, typical))
        },
    );
    let (excluded, warm, cold, typical) = asked??;
    let span = |seconds| Span::from_secs(1).mul_f64(seconds);
    Some(Ask {
        ticket: Ticket {
            sender: Incarnation::default(),
            number: 0,
        },
        object: call.object,
        bid: Bid {
            priority: call.priority(),
            objective_left: (arrived + call.route.latency_objective).since(now),
            deadline_left: call.deadline.since(now),
            work: span(typical),
            waited: Span::ZERO,
            account: call.account().cloned(),
            route: call.route.name.clone(),
        },
        warm_work: span(warm),
        cold_work: span(cold),
        excluded,
    })
}

/// Returns the granted target if this instance may send the request there now.
fn check_grant<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    target: &id::Target,
    is_warm: bool,
) -> Result<Choice, Unusable> {
    let now = core.timer.now();
    if now >= call.deadline {
        return Err(Unusable::Allowance);
    }
    let choice = query::with(
        core,
        call,
        service,
        &[],
        now,
        |pool, query, location, closed| {
            pool.choose_granted(target, is_warm, query, location, closed)
        },
    );
    choice.unwrap_or(Err(Unusable::Target))
}
