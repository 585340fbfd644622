//! Sends a request to one target.

use http::{HeaderMap, HeaderValue, Request, Response, Uri, Version, header, request};
use hyper::body::Incoming;
use sg_place::{Target, member::TargetOutcome, pool::Choice};
use sg_types::prelude::*;

use crate::{
    Body, Core, Dialect,
    attempt::{self, Call},
    body::Cut,
    connections::{Connection, ReusePolicy, SendError, Timeouts, failure::Failure},
    content::Outgoing,
    dialect::{ForwardInfo, Verdict},
    open_sends::Abandonment,
    receive::{self, ReceivedFrom},
    state::State,
};

/// Timeout for opening a connection, several times the longest latency between regions.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);
/// Maximum idle time of a connection that is reused for a request that must not be repeated. The
/// target can't have closed the connection for idleness after so short a time.
const NON_IDEMPOTENT_MAX_IDLE: Span = Span::from_millis(1_500);

/// Outcome of a send to one target.
#[derive(Debug)]
pub enum SendOutcome {
    /// The target responded completely.
    Answered(Response<Body>),
    /// The target responded completely, with a failure.
    Failed(Response<Body>),
    /// No byte of the request was sent.
    Unsent,
    /// No byte of the request was sent, because a new connection is late; the target responds on others.
    ConnectLate,
    /// The target takes no more requests since it was chosen, or this instance stops too soon by now; no byte of
    /// the request was sent.
    Withdrawn,
    /// The target refused the request for lack of capacity; the request did not run.
    Shed,
    /// Another target has the address; the request did not run.
    Misdirected,
    /// The connection or the response broke off; the request may have run.
    Lost,
    /// A response arrived that is not known to be the request's; the request may have run.
    Foreign,
    /// The caller did not send the rest of a body that was being sent; the request may have run.
    BodyBroken,
    /// No response arrived in time; the request may have run.
    TimedOut,
    /// The request abandoned the target, and another one responded first; the request may have run.
    Abandoned,
}

impl SendOutcome {
    /// Label of [`SendOutcome::Abandoned`].
    pub const ABANDONED: &'static str = "left";

    /// Returns whether the outcome proves that the target did not run the request.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Unsent | Self::ConnectLate | Self::Withdrawn | Self::Shed | Self::Misdirected
        )
    }

    /// Returns the label in metrics and log lines.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::Unsent | Self::ConnectLate => "unsent",
            Self::Withdrawn => "withdrawn",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::Foreign => "foreign",
            Self::BodyBroken => "body-broken",
            Self::TimedOut => "late",
            Self::Abandoned => Self::ABANDONED,
        }
    }
}

/// Guard for a request in flight. When dropped, which also happens if the caller disconnects, the
/// guard records the end of the request at its target.
struct InFlight<'a, D> {
    core: &'a Core<D>,
    service: &'a id::Service,
    target: &'a id::Target,
    outcome: TargetOutcome,
}

impl<D> Drop for InFlight<'_, D> {
    fn drop(&mut self) {
        let now = self.core.timer.now();
        let mut state = self.core.state.lock();
        let senders = state.location.instances.len();
        let pool = state.pool(self.service);
        pool.record_end(self.target, self.outcome, senders, now);
    }
}

/// Sends the request to the chosen target and waits for the complete response until the request's deadline.
/// `may_send` is asked again once a new connection is open.
pub async fn send<D: Dialect>(
    core: &Arc<Core<D>>,
    call: &Call<'_>,
    service: &id::Service,
    choice: &Choice,
    abandonment: &Abandonment,
    may_send: impl Fn() -> bool,
) -> SendOutcome {
    let mut in_flight = InFlight {
        core,
        service,
        target: &choice.target.id,
        outcome: TargetOutcome::Unknown,
    };
    let started = core.timer.now();
    let exchange = exchange(core, call, choice, started, may_send);
    let outcome = core.timer.until(call.deadline, exchange).await;
    let outcome = outcome.unwrap_or(SendOutcome::TimedOut);
    let outcome = match outcome {
        // The target is not responsible for what the caller did not send.
        SendOutcome::Lost | SendOutcome::Foreign if call.content.is_broken() => {
            SendOutcome::BodyBroken
        }
        SendOutcome::TimedOut if call.content.is_incomplete() => SendOutcome::BodyBroken,
        outcome => outcome,
    };
    in_flight.outcome = match outcome {
        // The target counts as late since it was abandoned.
        SendOutcome::TimedOut if abandonment.is_set() => TargetOutcome::Unknown,
        _ => attempt::target_outcome(&outcome),
    };
    drop(in_flight);
    if !matches!(outcome, SendOutcome::TimedOut) {
        record_outcome(core, call, service, choice, &outcome, started);
    } else if !abandonment.is_set() {
        core.record_unanswered(&choice.target, None);
    }
    outcome
}

/// Records that a target did not respond in the time in which another one would have.
pub(crate) fn record_abandoned<D>(core: &Core<D>, target: &Target) {
    let now = core.timer.now();
    let mut state = core.state.lock();
    let senders = state.location.instances.len();
    if let Some(member) = state.member_mut(&target.id) {
        member.record_outcome(TargetOutcome::Late, senders, now);
    }
    drop(state);
    core.record_unanswered(target, None);
}

/// Updates the state with the outcome of a send.
fn record_outcome<D: Dialect>(
    core: &Core<D>,
    call: &Call<'_>,
    service: &id::Service,
    choice: &Choice,
    outcome: &SendOutcome,
    started: Instant,
) {
    let now = core.timer.now();
    let seconds = now.since(started).as_secs_f64();
    let mut state = core.state.lock();
    match outcome {
        SendOutcome::Answered(_) => {
            state
                .quarantine
                .clear(call.account(), call.fingerprint, now);
            record_remote_bound_work(
                &mut state,
                call,
                choice,
                seconds - choice.round_trip_seconds,
            );
            // The measured time includes the wait at the target, which is known only as an
            // estimate. The processing time is therefore taken from requests without a wait.
            if choice.queue_wait_seconds <= 0.0 {
                record_work(
                    &mut state,
                    call,
                    service,
                    choice,
                    seconds - choice.round_trip_seconds,
                    now,
                );
            }
        }
        SendOutcome::Misdirected => {
            let pool = state.pool(service);
            if let Some(member) = pool.member_mut(&choice.target.id) {
                member.ban(now);
            }
            drop(state);
            core.connections.close_idle(choice.target.address);
        }
        _ => {}
    }
}

/// Records the processing time of a request that has to run in another region. The measured time may
/// include a wait, so that it counts as at most the work of a cold request.
fn record_remote_bound_work(state: &mut State, call: &Call<'_>, choice: &Choice, seconds: f64) {
    let own = state.location.region.clone();
    let bound_to = call.only_home_region(&own);
    if bound_to.is_none_or(|region| *region == own) || choice.target.region == own {
        return;
    }
    let stats = state.route_stats(&call.route);
    let cold = stats.work.expected_work_seconds(false);
    let warm = stats.work.expected_work_seconds(true).min(cold);
    stats
        .remote_bound_work
        .record_sample(seconds.clamp(warm, cold));
}

/// Records the processing time of a request, without the time that it waited at the target.
pub(crate) fn record_work(
    state: &mut State,
    call: &Call<'_>,
    service: &id::Service,
    choice: &Choice,
    work_seconds: f64,
    now: Instant,
) {
    let work = &mut state.route_stats(&call.route).work;
    let expected_seconds = work.expected_work_seconds(choice.warm);
    if !choice.warm && choice.is_highest_ranked {
        work.record_highest_ranked(work_seconds);
    }
    work.record(work_seconds, choice.warm || call.object.is_none());
    let pool = state.pool(service);
    pool.record_work(work_seconds);
    if let Some(member) = pool.member_mut(&choice.target.id) {
        member.record_speed(work_seconds, expected_seconds, now);
    }
}

async fn exchange<D: Dialect>(
    core: &Arc<Core<D>>,
    call: &Call<'_>,
    choice: &Choice,
    now: Instant,
    may_send: impl Fn() -> bool,
) -> SendOutcome {
    let deadline = call
        .caller_deadline
        .map_or(call.deadline, |d| d.min(call.deadline));
    let forward_info = ForwardInfo {
        target: &choice.target.id,
        account: call.account(),
        remaining: deadline.since(now),
    };
    let headers = core
        .dialect
        .forwarded_headers(&call.head.headers, &forward_info);
    let request = build_request(call.head, call.content.outgoing(), headers);
    // A body that is sent while it is read can't be sent again if the target has just closed the connection.
    let is_repeatable = call.route.idempotent && !call.content.is_streamed();
    let reuse = reuse_policy(is_repeatable);
    let timeouts = timeouts(core, is_repeatable, call.deadline.since(now));
    let address = choice.target.address;
    let sent = core
        .connections
        .send(address, request, reuse, timeouts, may_send);
    let sent = tokio::select! {
        sent = sent => sent,
        () = call.content.stalled(call.catalog.limits.head_timeout) => {
            return SendOutcome::BodyBroken;
        }
    };
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(error) => return record_send_error(core, call, choice, error),
    };
    record_contact(core, choice, &connection, now);
    let count = connection.passed_over();
    if count > 0 && core.log_limiter.admit(core.timer.now()) {
        log::info!(request = call.id.as_ref(), target_id:% = choice.target.id, count; "foreign answers passed over");
    }
    receive(core, call, choice, now, response, connection).await
}

/// Records that a send received no response, and returns its outcome.
fn record_send_error<D: Dialect>(
    core: &Arc<Core<D>>,
    call: &Call<'_>,
    choice: &Choice,
    error: SendError,
) -> SendOutcome {
    if let Some(failure) = Failure::of_send(&error) {
        core.record_connection_failure(call, choice, failure);
    }
    let now = core.timer.now();
    let outcome = match error {
        SendError::NotSent(_) | SendError::Late { .. } => record_unsent(core, choice, &error, now),
        SendError::Withdrawn => SendOutcome::Withdrawn,
        SendError::Lost { .. } if call.content.is_broken() => return SendOutcome::Lost,
        SendError::Lost { .. } => SendOutcome::Lost,
    };
    core.record_send_failure(&choice.target, error, now);
    outcome
}

/// Bans a target that nothing could be sent to, unless it responded while a connection was late.
fn record_unsent<D>(
    core: &Core<D>,
    choice: &Choice,
    error: &SendError,
    now: Instant,
) -> SendOutcome {
    let connect_started = match error {
        SendError::Late { started, .. } => *started,
        _ => now,
    };
    let mut state = core.state.lock();
    let Some(member) = state.member_mut(&choice.target.id) else {
        return SendOutcome::Unsent;
    };
    if member.has_responded_since(connect_started) {
        return SendOutcome::ConnectLate;
    }
    member.ban(now);
    SendOutcome::Unsent
}

impl<D> Core<D> {
    /// Counts a failed connection to a target, and logs its error.
    fn record_connection_failure(&self, call: &Call<'_>, choice: &Choice, failure: Failure) {
        self.metrics.record_connection_failure(failure);
        if self.log_limiter.admit(self.timer.now()) {
            log::info!(
                request = call.id.as_ref(), target_id:% = choice.target.id,
                stage = failure.stage.as_str(), error = failure.error;
                "connection to a target failed"
            );
        }
    }
}

/// Records that the target responded to a request of the time `sent_at`.
fn record_contact<D>(core: &Core<D>, choice: &Choice, connection: &Connection, sent_at: Instant) {
    let connect_time = connection.connect_time();
    let now = core.timer.now();
    let mut state = core.state.lock();
    state
        .reach
        .record_response(connect_time.is_some(), sent_at, now);
    if let Some(connect_time) = connect_time {
        state.reach.record_connect(connect_time, now);
        let round_trips = &mut state.location.round_trips;
        round_trips.record(&choice.target.domain, connect_time.as_secs_f64());
    }
}

/// Returns the time limits of a send that has `remaining` time. A silent connection is given up early only if the
/// request can be sent again: otherwise its target may be at work, and the link may only be slow.
pub(crate) fn timeouts<D>(core: &Core<D>, is_repeatable: bool, remaining: Span) -> Timeouts {
    let usual = Timeouts::with_connect(CONNECT_TIMEOUT);
    let silence = match is_repeatable && !core.is_draining() {
        true => core.stretch(usual.silence),
        false => usual.silence.max(remaining),
    };
    Timeouts { silence, ..usual }
}

/// Returns the limit on idle connections for a request.
pub(crate) const fn reuse_policy(is_idempotent: bool) -> ReusePolicy {
    if is_idempotent {
        return ReusePolicy::ANY;
    }
    ReusePolicy {
        max_idle: NON_IDEMPOTENT_MAX_IDLE,
    }
}

/// Returns a copy of the caller's request with other headers.
pub(crate) fn build_request(
    head: &request::Parts,
    content: Outgoing,
    headers: HeaderMap,
) -> Request<Outgoing> {
    let path = head.uri.path_and_query().cloned();
    let uri = path.map_or_else(Uri::default, Uri::from);
    let mut request = Request::new(content);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    // The HTTP library takes a request such as GET for one without a body unless a field announces the body.
    if http_body::Body::size_hint(request.body()).exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        request
            .headers_mut()
            .insert(header::TRANSFER_ENCODING, chunked);
    }
    request
}

/// Records that a response of `target` was cut off. Only a target that sent too much, or too late, is held
/// responsible.
fn record_cut<D>(core: &Core<D>, target: &Target, cut: Cut) {
    let now = core.timer.now();
    core.metrics.record_cut_response(cut.as_str());
    if core.log_limiter.admit(now) {
        log::info!(target_id:% = target.id, cause = cut.as_str(); "response cut off");
    }
    if cut == Cut::SlowCaller {
        return;
    }
    let mut state = core.state.lock();
    let senders = state.location.instances.len();
    if let Some(member) = state.member_mut(&target.id) {
        member.record_outcome(TargetOutcome::Lost, senders, now);
    }
}

/// Receives the response: completely, or, if the response is larger than [`MAX_BUFFERED_BYTES`], up
/// to that size and as a stream from there on. `sent_at` is when the request was sent.
async fn receive<D: Dialect>(
    core: &Arc<Core<D>>,
    call: &Call<'_>,
    choice: &Choice,
    sent_at: Instant,
    response: Response<Incoming>,
    connection: Connection,
) -> SendOutcome {
    let (mut head, body) = response.into_parts();
    let response_info = core.dialect.parse_response(&head, &call.id);
    // A late copy of the response to an earlier request may arrive on a connection that is in use again.
    let is_doubtful = connection.connect_time().is_none() && !response_info.names_request;
    let verdict = match response_info.verdict {
        _ if is_doubtful => Verdict::Mismatched("a response that names no request"),
        verdict => verdict,
    };
    let self_report = response_info.self_report;
    if !is_doubtful {
        core.record_self_report(&choice.target, &self_report);
    }
    if let Verdict::Mismatched(what) = verdict {
        core.metrics.record_foreign_response(what);
        log::info!(request = call.id.as_ref(), target_id:% = choice.target.id, what; "foreign answer");
        return SendOutcome::Foreign;
    }
    // A target that fails, or has no capacity, may respond before it adds its usual headers.
    let states_rate = match verdict {
        Verdict::Response { failed: false } => true,
        Verdict::Response { failed: true } | Verdict::Shed => self_report.rate_limit.is_some(),
        Verdict::Misdirected | Verdict::Mismatched(_) => false,
    };
    if states_rate {
        core.record_rate_limit(&choice.target.id, self_report.rate_limit, sent_at);
    }
    let received = match receive::receive_body(core, call.head, body).await {
        Ok(received) => received,
        Err(error) => {
            core.record_connection_failure(call, choice, Failure::of_body(&error));
            return SendOutcome::Lost;
        }
    };
    core.dialect.strip_hop_by_hop_headers(&mut head.headers);
    let from = ReceivedFrom {
        connection,
        closes: response_info.closes_connection || call.content.is_incomplete(),
        keep_alive_timeout: response_info.keep_alive_timeout,
    };
    let (cutting, target) = (core.clone(), choice.target.clone());
    let on_cut = move |cut| record_cut(&cutting, &target, cut);
    let body = receive::finish_body(core, received, from, call.deadline, on_cut);
    match verdict {
        Verdict::Response { failed: false } => {
            SendOutcome::Answered(Response::from_parts(head, body))
        }
        Verdict::Response { failed: true } => SendOutcome::Failed(Response::from_parts(head, body)),
        Verdict::Shed => SendOutcome::Shed,
        Verdict::Misdirected => SendOutcome::Misdirected,
        Verdict::Mismatched(_) => SendOutcome::Foreign,
    }
}
