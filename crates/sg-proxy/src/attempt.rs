//! Sends one admitted request to targets, with retries.

mod sends;

use std::sync::atomic::AtomicBool;

use http::{Response, request};
use sg_catalog::{Account, Catalog, Route};
use sg_place::{abandon, hash::Object, member::TargetOutcome, pool::Choice, stop};
use sg_types::prelude::*;

use crate::{
    Body, Core, Dialect,
    content::Content,
    dialect::Refusal,
    history::History,
    open_sends::OpenSends,
    price, query,
    send::{self, SendOutcome},
    trace::Trace,
};
use sends::{Assignment, Attempt, Next};

/// Maximum number of failed connection attempts after which a request is still retried. A failed
/// attempt does not count as a send.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Time that a refused caller is asked to wait before it retries, as a fraction of its remaining
/// time. Capacity frees up over time, but with a fraction of a quarter the retries outlast a burst
/// of requests and shift the burst's traffic to the region of the retries.
const RETRY_AFTER_FRACTION: f64 = 0.12;

/// One admitted request.
#[derive(Debug)]
pub struct Call<'a> {
    pub head: &'a request::Parts,
    pub id: Arc<str>,
    /// Body of the request.
    pub content: Content,
    pub object: Option<Object>,
    /// Key by which the placement plan assigns a region to the request.
    pub placement_key: Object,
    pub fingerprint: Fingerprint,
    /// Time at which the caller stops waiting.
    pub caller_deadline: Option<Instant>,
    /// Time by which this instance has to respond.
    pub deadline: Instant,
    pub account: Option<Arc<Account>>,
    /// Whether a target may have run the request, as far as the sends so far show.
    pub may_have_run: Arc<AtomicBool>,
    pub route: Arc<Route>,
    pub catalog: Arc<Catalog>,
}

impl Call<'_> {
    /// Returns the priority of the request, 0 being the most urgent. The priority of the account
    /// takes precedence over that of the route.
    pub fn priority(&self) -> u32 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Returns how long a refused caller should wait before its only retry: a fraction of its
    /// remaining time, because capacity frees up over time and the retry needs time for a response.
    pub fn retry_after(&self, now: Instant) -> Span {
        let until = self.caller_deadline.unwrap_or(self.deadline);
        let fraction = RETRY_AFTER_FRACTION * price::retry_spread(self, now);
        until.since(now).mul_f64(fraction)
    }

    /// Returns the region where the request has to run, or the most likely one of several: `own` if it
    /// may run here.
    pub fn only_home_region<'a>(&'a self, own: &'a id::Region) -> Option<&'a id::Region> {
        let by_account = self
            .account
            .as_ref()
            .map_or(&[][..], |a| a.home_regions.as_ref());
        let by_route = self.route.home_regions.as_ref();
        let (first, second) = match (by_account, by_route) {
            ([], regions) | (regions, []) => (regions, &[][..]),
            both => both,
        };
        let mut allowed = first
            .iter()
            .filter(|region| second.is_empty() || second.contains(region));
        if allowed.clone().any(|region| region == own) {
            return Some(own);
        }
        allowed.next()
    }

    pub fn account(&self) -> Option<&id::Account> {
        self.account.as_ref().map(|account| &account.name)
    }
}

/// Sends the request to one target after another until one responds without a failure or no further
/// send is allowed.
pub async fn run<D: Dialect>(
    core: &Arc<Core<D>>,
    call: &Call<'_>,
    trace: &mut Trace,
) -> Result<Response<Body>, Refusal> {
    let service = choose_service(core, call)?;
    check_quarantine(core, call)?;
    record_demand(core, call, &service);
    let service = &service;
    let exchange = |assigned: Assignment| async move {
        let Assignment {
            index,
            choice,
            abandonment,
            may_have_run,
        } = assigned;
        let may_send = || {
            core.may_send(&choice.target) && (may_have_run || ends_before_stop(core, call, &choice))
        };
        let outcome = send::send(core, call, service, &choice, &abandonment, may_send).await;
        (index, outcome)
    };
    let mut attempt = Attempt {
        core,
        call,
        service,
        history: History::default(),
        open: OpenSends::new(),
        exchange,
    };
    loop {
        match attempt.reserve(trace.arrived).await? {
            Ok((choice, slot)) => attempt.start(choice, slot, trace),
            Err(_) if attempt.waits_for_abandoned() => {}
            Err(refusal) => {
                attempt.end_open();
                return attempt.result(refusal);
            }
        }
        if let Next::Finish(result) = attempt.wait(trace).await {
            return result;
        }
    }
}

/// Chooses the service that runs the request, by the weights of the route's services.
fn choose_service<D: Dialect>(core: &Core<D>, call: &Call<'_>) -> Result<id::Service, Refusal> {
    let services = &call.route.services;
    if let [only] = services.as_ref() {
        return Ok(only.service.clone());
    }
    let mut state = core.state.lock();
    let weights = services.iter().map(|weighted| weighted.weight);
    let index = state.route_stats(&call.route).round_robin.next(weights);
    let weighted = index.and_then(|index| services.get(index));
    weighted
        .map(|weighted| weighted.service.clone())
        .ok_or(Refusal::not_run(Reason::NoRoute))
}

pub(crate) fn check_quarantine<D: Dialect>(core: &Core<D>, call: &Call<'_>) -> Result<(), Refusal> {
    let now = core.timer.now();
    let state = core.state.lock();
    let remaining = state
        .quarantine
        .check(call.account(), call.fingerprint, now);
    remaining.map_or(Ok(()), |remaining| {
        Err(Refusal::not_run(Reason::Quarantined).with_retry_after(remaining))
    })
}

fn record_demand<D: Dialect>(core: &Core<D>, call: &Call<'_>, service: &id::Service) {
    let now = core.timer.now();
    let mut state = core.state.lock();
    let bound_to = call.only_home_region(&state.location.region).cloned();
    let is_remote = bound_to
        .as_ref()
        .is_some_and(|r| *r != state.location.region);
    let stats = state.route_stats(&call.route);
    let work_seconds = match stats.remote_bound_work.value() {
        Some(work_seconds) if is_remote => work_seconds,
        _ => stats.work.typical_work_seconds(),
    };
    state.record_demand(service, bound_to.as_ref(), work_seconds, now);
    let fleet_size = state.fleet_size;
    let bounds = core.options.retry;
    state
        .retry_budget(service, &bounds, now)
        .record_request(&bounds, fleet_size);
}

/// Chooses a target and records the send.
fn reserve_target<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    history: &History,
    arrived: Instant,
) -> Result<Choice, Refusal> {
    let choice = choose_target(core, call, service, &history.tried).and_then(|choice| {
        match history.may_have_run {
            // The caller of a refused request could not tell whether it ran either.
            true => Ok(choice),
            false => check_stop(core, call, choice),
        }
    });
    let choice = match history.tried.is_empty() {
        true => price::check(core, call, service, arrived, choice),
        false => choice,
    };
    let choice = choice.inspect_err(|refusal| record_refusal(core, call, service, refusal))?;
    record_send(core, call, service, &choice, !history.tried.is_empty());
    Ok(choice)
}

/// Records that a request was refused because its region has no room.
pub(crate) fn record_refusal<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    refusal: &Refusal,
) {
    if refusal.reason != Reason::RegionFull {
        return;
    }
    let now = core.timer.now();
    let mut state = core.state.lock();
    state.shift_limiter.record_refusal(now);
    let account_home_regions = call
        .account
        .iter()
        .flat_map(|account| account.home_regions.iter());
    let home_regions = call.route.home_regions.iter().chain(account_home_regions);
    state
        .pool(service)
        .record_restricted_refusal(home_regions, now);
}

/// Records that a request is sent to the chosen target.
pub(crate) fn record_send<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    choice: &Choice,
    is_retry: bool,
) {
    let now = core.timer.now();
    let mut state = core.state.lock();
    if choice.leaves_region {
        state.off_plan.record_departure();
    }
    state
        .shift_limiter
        .record(&choice.target.region, choice.expected_start(), now);
    let pool = state.pool(service);
    pool.record_send(&choice.target.id, call.object, now);
    let member = pool.member_mut(&choice.target.id);
    if member.is_some_and(|member| member.rate_limit.rate().is_some()) {
        core.metrics.record_limited_send(service, is_retry);
    }
}

/// Retracts a request that its target did not run from the shift limiter.
fn retract_unrun<D: Dialect>(core: &Core<D>, choice: &Choice, outcome: &SendOutcome) {
    if !outcome.is_not_run() {
        return;
    }
    let now = core.timer.now();
    let mut state = core.state.lock();
    state
        .shift_limiter
        .retract(&choice.target.region, choice.expected_start(), now);
    if matches!(outcome, SendOutcome::Shed) {
        state.shift_limiter.record_refusal(now);
    }
}

/// Chooses the target that a send would go to now, without recording a send.
fn choose_target<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    tried: &[id::Target],
) -> Result<Choice, Refusal> {
    let now = core.timer.now();
    if now >= call.deadline {
        return Err(Refusal::not_run(Reason::Deadline));
    }
    let mut state = core.state.lock();
    let may_leave_region = state.off_plan.record_request();
    let query = query::build(core, call, service, &state, may_leave_region, tried, now);
    let Some(pool) = state.pools.get(service) else {
        return Err(Refusal::not_run(Reason::NoTarget));
    };
    let choice = pool.choose(&query, &state.location, &state.closed_domains);
    choice.map_err(query::refusal)
}

/// Refuses a request that the chosen target may not finish before this instance stops. Another instance
/// can still serve the request.
pub(crate) fn check_stop<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    choice: Choice,
) -> Result<Choice, Refusal> {
    match ends_before_stop(core, call, &choice) {
        true => Ok(choice),
        false => Err(Refusal::not_run(Reason::Leaving)),
    }
}

/// Returns whether this instance does not stop, or a request that is sent now to the chosen target is expected to
/// end before.
fn ends_before_stop<D: Dialect>(core: &Core<D>, call: &Call<'_>, choice: &Choice) -> bool {
    let Some(stop_at) = core.stop_at() else {
        return true;
    };
    // How long the caller of a streamed body takes to send the rest is not known.
    if call.content.is_streamed() {
        return call.deadline <= stop_at;
    }
    let now = core.timer.now();
    let left = stop::Left {
        to_deadline: call.deadline.since(now).as_secs_f64(),
        to_stop: stop_at.since(now).as_secs_f64(),
    };
    let work = core.state.lock().work(&call.route);
    // All requests without an object count as warm.
    let longest_ratio = work.longest_ratio(call.object.is_none());
    stop::may_take(choice, longest_ratio, left)
}

/// Returns whether a request may abandon its current target. Another target must have room for the
/// request and the retry budget must allow the retry, whose token is taken. While the instance stops, the
/// request waits.
fn may_abandon<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    history: &History,
) -> bool {
    !core.is_draining()
        && check_retry(core, call, history).is_ok()
        && choose_target(core, call, service, &history.tried).is_ok()
        && take_retry_token(core, service).is_ok()
}

fn take_retry_token<D: Dialect>(core: &Core<D>, service: &id::Service) -> Result<(), Reason> {
    let now = core.timer.now();
    let bounds = core.options.retry;
    let mut state = core.state.lock();
    let fleet_size = state.fleet_size;
    let budget = state.retry_budget(service, &bounds, now);
    if budget.take_retry(&bounds, fleet_size, now) {
        Ok(())
    } else {
        Err(Reason::RetryBudget)
    }
}

/// Returns the time at which this send may be abandoned, if the request is idempotent and may be sent again with
/// enough time remaining.
fn send_deadline<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    choice: &Choice,
    history: &History,
) -> Option<Instant> {
    let now = core.timer.now();
    if !call.route.idempotent
        || call.content.is_streamed()
        || history.sends + 1 >= call.route.max_targets
    {
        return None;
    }
    let remaining_seconds = call.deadline.since(now).as_secs_f64();
    let patience = abandon::patience_seconds(choice, remaining_seconds);
    patience.map(|seconds| now + Span::from_secs(1).mul_f64(seconds))
}

/// Returns why the request may not be sent once more, whatever the retry budget allows.
fn check_retry<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    history: &History,
) -> Result<(), Reason> {
    let now = core.timer.now();
    if now >= call.deadline {
        return Err(Reason::Deadline);
    }
    if history.may_have_run && !call.route.idempotent {
        return Err(Reason::ConnectionLost);
    }
    if history.connect_failures > MAX_CONNECT_FAILURES || core.is_cut_off() {
        return Err(Reason::ConnectFailed);
    }
    if history.sends >= call.route.max_targets || call.content.is_spent() {
        return Err(Reason::Shed);
    }
    check_quarantine(core, call).map_err(|refusal| refusal.reason)
}

/// Returns what the outcome of a send says about its target.
#[must_use]
pub fn target_outcome(outcome: &SendOutcome) -> TargetOutcome {
    match outcome {
        SendOutcome::Answered(_) => TargetOutcome::Answered,
        SendOutcome::Failed(_) => TargetOutcome::Failed,
        SendOutcome::Shed => TargetOutcome::Shed,
        SendOutcome::Unsent
        | SendOutcome::Misdirected
        | SendOutcome::Lost
        | SendOutcome::Foreign => TargetOutcome::Lost,
        SendOutcome::TimedOut => TargetOutcome::Late,
        SendOutcome::ConnectLate
        | SendOutcome::Withdrawn
        | SendOutcome::BodyBroken
        | SendOutcome::Abandoned => TargetOutcome::Unknown,
    }
}
