//! The sends of one admitted request.

use bytes::Bytes;
use http::{Response, request};
use sg_catalog::{Account, Catalog, Route};
use sg_place::{
    hash::Object,
    member::End,
    pool::{Ask, Choice, Refused},
    quarantine::Suspicion,
};
use sg_types::prelude::*;

use crate::{
    Body, Core, Dialect,
    core::Signal,
    dialect::Refusal,
    send::{self, Fate},
    trace::{Sent, Trace},
};

/// Connections that may fail to open before a request is given up. A failed one is no send.
const MOST_UNSENT: u32 = 4;
/// Seconds that the way back to the caller and the work here take.
const RETURN_TRIP: f64 = 0.02;
/// The part of a caller's time that is left after which a refused request comes back. Room comes with
/// time, but at a quarter those that come back outlast a crowd and shift its traffic to their region.
const COME_BACK: f64 = 0.12;
/// The part of its time that a request of each lower rank must have left over when its answer is expected.
/// Less urgent requests are refused first, while there is room for the others.
const RANK_MARGIN: f64 = 0.1;
/// Ranks beyond this are refused like it.
const MOST_RANK: u32 = 5;
/// An idempotent request leaves a target that takes so many times longer than the longest that is
/// expected of a sound one. Leaving sooner would throw work away that is nearly done.
const PATIENCE: f64 = 1.5;

/// One admitted request.
#[derive(Debug)]
pub struct Call<'a> {
    pub head: &'a request::Parts,
    pub id: Arc<str>,
    pub content: Bytes,
    pub object: Option<Object>,
    /// What the plan places it by.
    pub place: Object,
    pub fingerprint: Fingerprint,
    /// When the caller gives up.
    pub caller_deadline: Option<Instant>,
    /// When this instance has to answer.
    pub deadline: Instant,
    pub account: Option<Arc<Account>>,
    pub route: Arc<Route>,
    pub catalog: Arc<Catalog>,
}

impl Call<'_> {
    /// Its rank, 0 the most urgent; an account's rank goes before that of the route.
    fn rank(&self) -> u32 {
        let account = self.account.as_ref().and_then(|account| account.rank);
        account.unwrap_or(self.route.rank)
    }

    /// When a refused caller should come back. Room comes with time, and a caller comes back once: it is
    /// asked for as much of its time as leaves enough for the answer.
    fn come_back(&self, now: Instant) -> Span {
        let until = self.caller_deadline.unwrap_or(self.deadline);
        until.since(now).mul_f64(COME_BACK)
    }

    pub fn account(&self) -> Option<&id::Account> {
        self.account.as_ref().map(|account| &account.name)
    }
}

/// What became of the sends so far.
#[derive(Debug, Default)]
struct History {
    tried: Vec<id::Target>,
    sends: u32,
    unsent: u32,
    /// Whether a target may have run the request.
    doubt: bool,
    failure: Option<Response<Body>>,
}

/// Sends the request until an answer is good or nothing more may be tried.
pub async fn run<D: Dialect>(
    core: &Arc<Core<D>>,
    call: &Call<'_>,
    trace: &mut Trace,
) -> Result<Response<Body>, Refusal> {
    let service = service(core, call)?;
    check_quarantine(core, call)?;
    note_demand(core, call, &service);
    let mut history = History::default();
    loop {
        let choice = match choose(core, call, &service, &history) {
            Ok(choice) => choice,
            Err(refused) => return history.end(call, refused, core.timer.now()),
        };
        history.tried.push(choice.target.id.clone());
        let sent = trace.sent.len();
        trace.sent.push(Sent {
            target: choice.target.id.clone(),
            end: "open",
            after: core.timer.now().since(trace.arrived),
            warm: choice.warm,
            first: choice.first,
            expected: choice.expected,
        });
        let until = patience(core, call, &choice, &history);
        let leave = || may_leave(core, call, &service, &history.tried);
        let fate = send::send(core, call, &service, &choice, until, leave).await;
        trace.sent[sent].end = fate.as_str();
        core.metric.attempt(&service, fate.as_str());
        take_back(core, &choice, &fate);
        let after = fate.as_str();
        match fate {
            Fate::Answered(response) => return Ok(response),
            Fate::Failed(response) => {
                history.sends += 1;
                history.doubt = true;
                history.failure = Some(response);
            }
            Fate::Unsent => history.unsent += 1,
            Fate::Shed | Fate::Misdirected => history.sends += 1,
            Fate::Lost | Fate::Late | Fate::Left => {
                history.sends += 1;
                history.doubt = true;
            }
        }
        if matches!(after, "lost") {
            tell_suspect(core, call, &service, &choice);
        }
        if let Err(reason) = may_go_on(core, call, &service, &history, after) {
            return history.end(call, Refusal::not_run(reason), core.timer.now());
        }
    }
}

impl History {
    /// The final answer: what a target said, or else a refusal that is true.
    fn end(
        self,
        call: &Call<'_>,
        mut refused: Refusal,
        now: Instant,
    ) -> Result<Response<Body>, Refusal> {
        if let Some(failure) = self.failure {
            return Ok(failure);
        }
        if self.doubt {
            let reason = match refused.reason {
                Reason::Deadline => Reason::DeadlineRunning,
                _ => Reason::ConnectionLost,
            };
            return Err(Refusal::unknown(reason));
        }
        refused.retry_after = None;
        Err(refused.after(call.come_back(now)))
    }
}

/// The service that runs the request, by the weights of its route.
fn service<D: Dialect>(core: &Core<D>, call: &Call<'_>) -> Result<id::Service, Refusal> {
    let parts = &call.route.parts;
    if let [only] = parts.as_ref() {
        return Ok(only.service.clone());
    }
    let mut state = core.state.lock();
    let weights = parts.iter().map(|part| part.weight);
    let index = state.road(&call.route).spread.next(weights);
    let part = index.and_then(|index| parts.get(index));
    part.map(|part| part.service.clone())
        .ok_or(Refusal::not_run(Reason::NoRoute))
}

fn check_quarantine<D: Dialect>(core: &Core<D>, call: &Call<'_>) -> Result<(), Refusal> {
    let now = core.timer.now();
    let state = core.state.lock();
    let left = state
        .quarantine
        .check(call.account(), call.fingerprint, now);
    left.map_or(Ok(()), |left| {
        Err(Refusal::not_run(Reason::Quarantined).after(left))
    })
}

fn note_demand<D: Dialect>(core: &Core<D>, call: &Call<'_>, service: &id::Service) {
    let now = core.timer.now();
    let mut state = core.state.lock();
    let work = state.road(&call.route).work.typical();
    state
        .demand
        .entry(service.clone())
        .or_default()
        .add(work, now);
    let fleet = state.fleet;
    let bounds = core.options.retry;
    state.budget(service, &bounds, now).earn(&bounds, fleet);
}

/// Chooses a target and counts the request there.
fn choose<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    history: &History,
) -> Result<Choice, Refusal> {
    let choice = pick(core, call, service, &history.tried);
    let now = core.timer.now();
    let mut state = core.state.lock();
    if choice.as_ref().is_ok_and(|choice| choice.roams) {
        state.roam.spend();
    }
    let choice = choice.inspect_err(|refused| {
        if refused.reason == Reason::RegionFull {
            state.guard.refuse(now);
            let bound = call.account.iter().flat_map(|account| account.homes.iter());
            let homes = call.route.homes.iter().chain(bound);
            state.pool(service).note_scarce(homes, now);
        }
    })?;
    state.guard.note(&choice.target.region, choice.start(), now);
    state
        .pool(service)
        .begin(&choice.target.id, call.object, now);
    Ok(choice)
}

/// A request that its target did not run is not counted as run there.
fn take_back<D: Dialect>(core: &Core<D>, choice: &Choice, fate: &Fate) {
    if !matches!(fate, Fate::Shed | Fate::Unsent | Fate::Misdirected) {
        return;
    }
    let now = core.timer.now();
    let mut state = core.state.lock();
    state
        .guard
        .take_back(&choice.target.region, choice.start(), now);
    if matches!(fate, Fate::Shed) {
        state.guard.refuse(now);
    }
}

/// The target that a send would go to now.
fn pick<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    tried: &[id::Target],
) -> Result<Choice, Refusal> {
    let now = core.timer.now();
    if now >= call.deadline {
        return Err(Refusal::not_run(Reason::Deadline));
    }
    let left = call.deadline.since(now).as_secs_f64() - RETURN_TRIP;
    let rank = call.rank().min(MOST_RANK);
    let left = left * (1.0 - RANK_MARGIN * f64::from(rank));
    let services = &call.catalog.services;
    let cold_rate = services.get(service).map_or(0.0, |s| s.cold_rate);
    let homes = call.account.as_ref().map(|account| account.homes.clone());
    let mut state = core.state.lock();
    let work = state.road(&call.route).work;
    let may_roam = state.roam.earn();
    let ask = Ask {
        object: call.object,
        place: call.place,
        may_roam,
        warm: work.expect(true),
        cold: work.expect(call.object.is_none()),
        doubt: work.doubt(),
        typical: work.typical(),
        tried,
        homes: &call.route.homes,
        account_homes: homes.as_deref().unwrap_or(&[]),
        cold_rate: cold_rate * core.options.cold_factor + core.options.cold_slack,
        left,
        guard: &state.guard,
        now,
    };
    let Some(pool) = state.pools.get(service) else {
        return Err(Refusal::not_run(Reason::NoTarget));
    };
    let choice = pool.choose(&ask, &state.here, &state.closed);
    choice.map_err(|refused| match refused {
        Refused::NoTarget => Refusal::not_run(Reason::NoTarget),
        Refused::Full(over) => {
            Refusal::not_run(Reason::RegionFull).after(Span::from_secs(1).mul_f64(over))
        }
    })
}

/// Whether a request may leave the target that it is at: only if another one is sure to get it, and not
/// while the instance stops, when no work in hand is given up.
fn may_leave<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    tried: &[id::Target],
) -> bool {
    !core.is_leaving()
        && pick(core, call, service, tried).is_ok()
        && take_retry(core, service).is_ok()
}

fn take_retry<D: Dialect>(core: &Core<D>, service: &id::Service) -> Result<(), Reason> {
    let now = core.timer.now();
    let bounds = core.options.retry;
    let mut state = core.state.lock();
    let fleet = state.fleet;
    let budget = state.budget(service, &bounds, now);
    if budget.take(&bounds, fleet, now) {
        Ok(())
    } else {
        Err(Reason::RetryBudget)
    }
}

/// Until when this send may take. Only an idempotent request that may go elsewhere leaves early.
fn patience<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    choice: &Choice,
    history: &History,
) -> Instant {
    let now = core.timer.now();
    if !call.route.idempotent || history.sends + 1 >= call.route.attempts {
        return call.deadline;
    }
    let wait = choice.longest * PATIENCE;
    let left = call.deadline.since(now).as_secs_f64();
    if wait + choice.expected > left {
        return call.deadline;
    }
    now + Span::from_secs(1).mul_f64(wait)
}

fn may_go_on<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    history: &History,
    after: &'static str,
) -> Result<(), Reason> {
    let now = core.timer.now();
    if now >= call.deadline {
        return Err(Reason::Deadline);
    }
    if history.doubt && !call.route.idempotent {
        return Err(Reason::ConnectionLost);
    }
    if history.unsent > MOST_UNSENT {
        return Err(Reason::ConnectFailed);
    }
    if history.sends >= call.route.attempts {
        return Err(Reason::Shed);
    }
    check_quarantine(core, call).map_err(|refused| refused.reason)?;
    // A request that left a target paid for it then.
    if history.sends > 0 && after != Fate::LEFT {
        take_retry(core, service)?;
    }
    core.metric.retry(service, after);
    Ok(())
}

fn tell_suspect<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    choice: &Choice,
) {
    let in_flight = {
        let mut state = core.state.lock();
        let member = state.pool(service).member_mut(&choice.target.id);
        member.map_or(1, |member| member.in_flight + 1)
    };
    let suspicion = Suspicion {
        account: call.account().cloned(),
        fingerprint: call.fingerprint,
        target: choice.target.id.clone(),
        in_flight,
    };
    core.signal(Signal::Notice(Notice::Suspect {
        account: suspicion.account.clone(),
        service: service.clone(),
        fingerprint: suspicion.fingerprint,
        target: suspicion.target.clone(),
        in_flight,
    }));
    core.suspect(suspicion);
}

/// Whether the end of a send says that the target was lost.
#[must_use]
pub fn end_of(fate: &Fate) -> End {
    match fate {
        Fate::Answered(_) => End::Answered,
        Fate::Failed(_) => End::Failed,
        Fate::Shed => End::Shed,
        Fate::Unsent | Fate::Misdirected | Fate::Lost => End::Lost,
        Fate::Late | Fate::Left => End::Late,
    }
}
