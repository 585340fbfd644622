//! Runs the attempts of one admitted request.

use std::net::SocketAddr;

use http::{HeaderMap, StatusCode, header};
use sg_steer::{Attempt, Completion, Query, Selector};
use sg_types::prelude::*;

use crate::{
    call::Call,
    dependencies::DependencySet,
    headers,
    history::{Failure, History},
    journal,
    limit::Permit,
    quarantine::Suspicion,
    reply::{Payload, Reply},
    response::{self, Limits, TargetResponse},
    shared::Shared,
    stream::ResponseStream,
    upstream::Connection,
};

/// The total time a request waits for its region's capacity share to be replenished.
const MAX_CAPACITY_WAIT: Span = Span::from_millis(300);
/// The interval between attempts to take from a region's capacity share.
const CAPACITY_POLL_INTERVAL: Span = Span::from_millis(20);

/// The result of running a request.
#[derive(Debug)]
pub struct RunResult {
    /// The reply to the caller.
    pub reply: Reply,
    /// The attempts, in order.
    pub attempts: Vec<journal::Attempt>,
    /// The start of the run, before any wait for regional capacity.
    pub run_started: Instant,
}

/// A response that passed all checks, and the time from sending the request to the response head.
struct AcceptedResponse {
    response: TargetResponse,
    latency: Span,
}

/// Sends the request to targets until one gives a usable response or no further attempt is allowed.
pub async fn run<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    call: Box<Call>,
    permit: Permit,
) -> RunResult {
    let run_started = shared.timer.now();
    let mut execution = Execution {
        shared,
        call,
        permit: Some(permit),
        history: History::default(),
        tried: Vec::new(),
        attempts: Vec::new(),
    };
    let reply = execution.run().await;
    RunResult {
        reply,
        attempts: execution.attempts,
        run_started,
    }
}

struct Execution<'a, P: DependencySet> {
    shared: &'a Arc<Shared<P>>,
    call: Box<Call>,
    permit: Option<Permit>,
    history: History,
    tried: Vec<id::Target>,
    attempts: Vec<journal::Attempt>,
}

type TargetAttempt<P> = <<P as DependencySet>::Selector as Selector>::Attempt;

impl<P: DependencySet> Execution<'_, P> {
    async fn run(&mut self) -> Reply {
        loop {
            let attempt = match self.start_or_wait_for_capacity().await {
                Ok(attempt) => attempt,
                Err(reason) => {
                    self.history.record_refusal(reason);
                    break;
                }
            };
            match self.send(attempt.address()).await {
                Ok(response) => return self.accept_response(attempt, response),
                Err(failure) => self.record_failure(attempt, failure),
            }
            if let Err(reason) = self.begin_retry() {
                self.history.record_refusal(reason);
                break;
            }
        }
        let (outcome, reason) = self.history.outcome();
        Reply::refusal(outcome, reason)
    }

    /// Starts an attempt. If the region's capacity share is used up, waits up to
    /// [`MAX_CAPACITY_WAIT`] for peers to lend some.
    async fn start_or_wait_for_capacity(&mut self) -> Result<TargetAttempt<P>, Reason> {
        let timer = self.shared.timer.clone();
        let wait_end = self.call.deadline.min(timer.now() + MAX_CAPACITY_WAIT);
        let mut refused_before = false;
        loop {
            match self.start_attempt(refused_before) {
                Err(Reason::RegionFull) if timer.now() + CAPACITY_POLL_INTERVAL < wait_end => {
                    self.shared.metrics.capacity_waits.inc();
                    timer.sleep(CAPACITY_POLL_INTERVAL).await;
                    refused_before = true;
                }
                started => return started,
            }
        }
    }

    /// Starts an attempt after the final checks before any byte is sent.
    ///
    /// `refused_before` is true if the target selection refused the same attempt a moment ago.
    fn start_attempt(&mut self, refused_before: bool) -> Result<TargetAttempt<P>, Reason> {
        let call = &self.call;
        self.shared
            .check_allowed(&call.settings, call.holder.as_ref(), call.deadline)?;
        let now = self.shared.timer.now();
        let query = Query {
            service: &call.settings.service,
            tried: &self.tried,
            now,
            fingerprint: call.fingerprint,
        };
        let selector = self.shared.dependencies.selector();
        let attempt = if refused_before {
            selector.start_queued(query)?
        } else {
            selector.start_attempt(query)?
        };
        self.check_invariants(attempt.target())?;
        self.tried.push(attempt.target().clone());
        self.attempts.push(journal::Attempt {
            target: attempt.target().clone(),
            region: attempt.region().clone(),
            started: now.since(call.arrived),
            end: Arc::default(),
        });
        self.call.set_target_headers(now);
        Ok(attempt)
    }

    /// Checks the invariants that must hold before any byte is sent: the target was not tried
    /// before, the request may be sent again, and the outgoing headers carry no key.
    fn check_invariants(&self, target: &id::Target) -> Result<(), Reason> {
        let already_tried = self.tried.contains(target);
        let is_forbidden_resend = !self.history.may_send_again(self.call.settings.repeatable);
        let has_key = self
            .call
            .outgoing
            .headers
            .contains_key(header::AUTHORIZATION);
        if already_tried || is_forbidden_resend || has_key {
            self.shared.metrics.broken_invariants.inc();
            debug_assert!(
                !already_tried,
                "a request must not be sent to the same target twice"
            );
            debug_assert!(
                !is_forbidden_resend,
                "a non-repeatable request must not be sent again"
            );
            debug_assert!(!has_key, "the headers for a target must not contain a key");
            return Err(Reason::NoTarget);
        }
        Ok(())
    }

    async fn send(&self, address: SocketAddr) -> Result<AcceptedResponse, Failure> {
        let call = &self.call;
        let timer = &self.shared.timer;
        let sent = timer.now();
        let response = self
            .shared
            .clients
            .send(
                timer,
                self.connection_kind(),
                call.settings.connect_timeout,
                address,
                &call.outgoing,
                self.head_deadline(sent),
            )
            .await?;
        let latency = timer.now().since(sent);
        let method = &call.outgoing.method;
        let reservation = &mut self.shared.memory.reserve();
        let response = response::receive(
            timer,
            response,
            method,
            &call.id,
            self.limits(),
            reservation,
        )
        .await?;
        if let TargetResponse::Complete {
            status, headers, ..
        } = &response
            && let Some(failure) = not_run_failure(*status, headers)
        {
            return Err(failure);
        }
        Ok(AcceptedResponse { response, latency })
    }

    /// Returns the kind of connection to use. Non-repeatable requests and second attempts use a new
    /// connection.
    fn connection_kind(&self) -> Connection {
        if self.call.settings.repeatable && self.tried.len() == 1 {
            Connection::Pooled
        } else {
            Connection::Fresh
        }
    }

    /// Returns the deadline for the response head. A non-repeatable request can't be retried after
    /// a timeout, so it waits until its own deadline.
    fn head_deadline(&self, now: Instant) -> Instant {
        if self.call.settings.repeatable {
            self.call
                .deadline
                .min(now + self.call.settings.progress_timeout)
        } else {
            self.call.deadline
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            max_size: self.call.settings.response_limit,
            progress_timeout: self.call.settings.progress_timeout,
            deadline: self.call.deadline,
            may_stream: self.call.may_stream(),
        }
    }

    fn accept_response(&mut self, attempt: TargetAttempt<P>, accepted: AcceptedResponse) -> Reply {
        let now = self.shared.timer.now();
        self.shared
            .metrics
            .record_attempt(&self.call.settings.service, "answered");
        self.record_attempt_end("answered");
        let latency = accepted.latency;
        match accepted.response {
            TargetResponse::Complete {
                status,
                mut headers,
                body,
            } => {
                self.announce_if_leaving(&attempt, &headers);
                self.clear_suspicion(status, now);
                let failed = status.is_server_error();
                attempt.finish(Completion::Responded { latency, failed }, now);
                headers::strip_response(&mut headers);
                target_reply(status, headers, Payload::Complete(body))
            }
            TargetResponse::Partial { first, rest } => {
                self.stream_reply(attempt, latency, first, rest)
            }
        }
    }

    fn stream_reply(
        &mut self,
        attempt: TargetAttempt<P>,
        latency: Span,
        first: bytes::Bytes,
        mut rest: reqwest::Response,
    ) -> Reply {
        let status = rest.status();
        let mut headers = std::mem::take(rest.headers_mut());
        self.announce_if_leaving(&attempt, &headers);
        headers::strip_response(&mut headers);
        let stream = ResponseStream {
            shared: self.shared.clone(),
            settings: self.call.settings.clone(),
            holder: self.call.holder.clone(),
            limits: self.limits(),
            first,
            rest,
            attempt: Some(attempt),
            completion: Completion::Responded {
                latency,
                failed: status.is_server_error(),
            },
            caller: self.call.caller.clone(),
            permit: self.permit.take(),
            in_flight_guard: self.shared.shutdown.begin_request(),
        };
        target_reply(status, headers, Payload::Stream(stream.into_body()))
    }

    fn record_failure(&mut self, attempt: TargetAttempt<P>, failure: Failure) {
        let now = self.shared.timer.now();
        self.shared
            .metrics
            .record_attempt(&self.call.settings.service, failure.as_str());
        self.record_attempt_end(failure.as_str());
        self.history.record_failure(failure);
        if failure == Failure::NoProgress {
            let clients = &self.shared.clients;
            clients.discard_pool(attempt.address(), self.call.settings.connect_timeout);
        }
        if failure == Failure::Leaving {
            self.announce_leaving(attempt.target());
        }
        if failure.is_target_lost() {
            self.announce_suspect(&attempt);
        }
        attempt.finish(failure.completion(Span::ZERO), now);
    }

    /// Takes a retry from the service's retry budget and counts the retry.
    ///
    /// # Errors
    /// The reason why no further attempt may be made.
    fn begin_retry(&self) -> Result<(), Reason> {
        let settings = &self.call.settings;
        let attempts_made = self.attempts.len();
        let now = self.shared.timer.now();
        if !self.history.may_send_again(settings.repeatable)
            || attempts_made >= settings.max_attempts as usize
        {
            return Err(Reason::NoTarget);
        }
        if now >= self.call.deadline {
            return Err(Reason::Deadline);
        }
        let account = self.call.account();
        let table = self.shared.quarantine.lock();
        if table.check(account, self.call.fingerprint, now).is_some() {
            return Err(Reason::Quarantined);
        }
        drop(table);
        if !self
            .shared
            .dependencies
            .selector()
            .take_retry(&settings.service, now)
        {
            return Err(Reason::RetryBudget);
        }
        let previous_end = self
            .attempts
            .last()
            .map_or("", |attempt| attempt.end.as_ref());
        self.shared
            .metrics
            .record_retry(&settings.service, previous_end);
        Ok(())
    }

    fn record_attempt_end(&mut self, end: &'static str) {
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.end = end.into();
        }
    }

    fn clear_suspicion(&self, status: StatusCode, now: Instant) {
        if status.is_server_error() {
            return;
        }
        let account = self.call.account();
        let mut table = self.shared.quarantine.lock();
        table.clear(account, self.call.fingerprint, now);
    }

    fn announce_if_leaving(&self, attempt: &TargetAttempt<P>, headers: &HeaderMap) {
        if headers::has_value(headers, &headers::LEAVING, "yes") {
            self.announce_leaving(attempt.target());
        }
    }

    fn announce_leaving(&self, target: &id::Target) {
        self.shared.send_notice(Notice::Leaving {
            service: self.call.settings.service.clone(),
            target: target.clone(),
        });
    }

    fn announce_suspect(&self, attempt: &TargetAttempt<P>) {
        let in_flight = attempt.in_flight();
        let suspicion = Suspicion {
            account: self.call.account().cloned(),
            fingerprint: self.call.fingerprint,
            target: attempt.target().clone(),
            in_flight,
        };
        self.shared.metrics.suspects.inc();
        self.shared.send_notice(Notice::Suspect {
            account: suspicion.account.clone(),
            service: self.call.settings.service.clone(),
            fingerprint: suspicion.fingerprint,
            target: suspicion.target.clone(),
            in_flight,
        });
        self.shared
            .record_suspicion(suspicion, self.call.settings.quarantine_duration);
    }
}

/// Returns the failure for a response that states that the request did not run.
fn not_run_failure(status: StatusCode, headers: &HeaderMap) -> Option<Failure> {
    let not_run = status == StatusCode::SERVICE_UNAVAILABLE
        && headers::has_value(headers, &headers::OUTCOME, Outcome::NotRun.as_str());
    let leaving = headers::has_value(headers, &headers::LEAVING, "yes");
    match (not_run, leaving) {
        (true, true) => Some(Failure::Leaving),
        (true, false) => Some(Failure::Shed),
        (false, _) => None,
    }
}

/// Builds the reply for a target's response.
fn target_reply(status: StatusCode, headers: HeaderMap, payload: Payload) -> Reply {
    Reply {
        outcome: Outcome::Ran,
        reason: Reason::Answered,
        status,
        headers,
        payload,
        retry_after: None,
        ticket: None,
        from_issuer: false,
    }
}
