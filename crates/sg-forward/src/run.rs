//! Runs the attempts of one admitted request.

use std::net::SocketAddr;

use http::{HeaderMap, StatusCode, header};
use sg_steer::{Ask, Attempt, End, Steer};
use sg_types::prelude::*;

use crate::{
    answer::{self, Answer, Bounds},
    call::Call,
    gate::Parts,
    headers,
    history::{History, Step},
    journal,
    limit::Permit,
    quarantine::Suspicion,
    reply::{Payload, Reply},
    shared::Shared,
    stream::Flow,
    upstream::Connection,
};

/// The total time a request waits for its region's capacity share to be replenished.
const CAPACITY_WAIT: Span = Span::from_millis(300);
/// The interval between checks for a region's capacity share.
const CAPACITY_STEP: Span = Span::from_millis(20);

/// The result of running a request.
#[derive(Debug)]
pub struct Ran {
    /// The reply to the caller.
    pub reply: Reply,
    /// The attempts, in order.
    pub attempts: Vec<journal::Attempt>,
    /// The start of the first attempt.
    pub started: Instant,
}

/// A response that passed all checks, with its latency.
struct Good {
    answer: Answer,
    latency: Span,
}

/// Sends the request to targets until one gives a usable response or no further attempt is allowed.
pub async fn run<P: Parts>(shared: &Arc<Shared<P>>, call: Box<Call>, permit: Permit) -> Ran {
    let started = shared.timer.now();
    let mut work = Work {
        shared,
        call,
        permit: Some(permit),
        history: History::default(),
        tried: Vec::new(),
        attempts: Vec::new(),
    };
    let reply = work.run().await;
    Ran {
        reply,
        attempts: work.attempts,
        started,
    }
}

struct Work<'a, P: Parts> {
    shared: &'a Arc<Shared<P>>,
    call: Box<Call>,
    permit: Option<Permit>,
    history: History,
    tried: Vec<id::Target>,
    attempts: Vec<journal::Attempt>,
}

type AttemptOf<P> = <<P as Parts>::Steer as Steer>::Attempt;

impl<P: Parts> Work<'_, P> {
    async fn run(&mut self) -> Reply {
        loop {
            let attempt = match self.start_or_wait().await {
                Ok(attempt) => attempt,
                Err(reason) => {
                    self.history.refuse(reason);
                    break;
                }
            };
            match self.send(attempt.address()).await {
                Ok(good) => return self.accept(attempt, good),
                Err(step) => self.fail(attempt, step),
            }
            if let Err(reason) = self.may_retry() {
                self.history.refuse(reason);
                break;
            }
        }
        let (outcome, reason) = self.history.verdict();
        Reply::refusal(outcome, reason)
    }

    /// Starts an attempt; if the region's capacity share is used up, waits up to [`CAPACITY_WAIT`]
    /// for peers to lend some.
    async fn start_or_wait(&mut self) -> Result<AttemptOf<P>, Reason> {
        let timer = self.shared.timer.clone();
        let give_up = self.call.deadline.min(timer.now() + CAPACITY_WAIT);
        let mut asked = false;
        loop {
            match self.start(asked) {
                Err(Reason::RegionFull) if timer.now() + CAPACITY_STEP < give_up => {
                    self.shared.metric.capacity_waits.inc();
                    timer.sleep(CAPACITY_STEP).await;
                    asked = true;
                }
                started => return started,
            }
        }
    }

    /// Starts an attempt after the final checks before any byte is sent. `asked` is true if
    /// steering refused the same attempt a moment ago.
    fn start(&mut self, asked: bool) -> Result<AttemptOf<P>, Reason> {
        let call = &self.call;
        self.shared
            .allows(&call.terms, call.holder.as_ref(), call.deadline)?;
        let now = self.shared.timer.now();
        let ask = Ask {
            service: &call.terms.service,
            tried: &self.tried,
            now,
            fingerprint: call.fingerprint,
        };
        let steer = self.shared.gates.steer();
        let attempt = if asked {
            steer.start_again(ask)?
        } else {
            steer.start(ask)?
        };
        self.check_invariants(attempt.target())?;
        self.tried.push(attempt.target().clone());
        self.attempts.push(journal::Attempt {
            target: attempt.target().clone(),
            region: attempt.region().clone(),
            started: now.since(call.arrived),
            end: Arc::default(),
        });
        self.call.address(now);
        Ok(attempt)
    }

    /// Checks the invariants that must hold before any byte is sent: the target was not tried
    /// before, the request may be sent again, and the outgoing headers carry no key.
    fn check_invariants(&self, target: &id::Target) -> Result<(), Reason> {
        let again = self.tried.contains(target);
        let repeated = !self.history.may_go_on(self.call.terms.repeatable);
        let key = self
            .call
            .outgoing
            .headers
            .contains_key(header::AUTHORIZATION);
        if again || repeated || key {
            self.shared.metric.broken_invariants.inc();
            debug_assert!(!again, "a request goes to one target twice");
            debug_assert!(!repeated, "a request that may not be repeated is");
            debug_assert!(!key, "a target would see a key");
            return Err(Reason::NoTarget);
        }
        Ok(())
    }

    async fn send(&self, address: SocketAddr) -> Result<Good, Step> {
        let call = &self.call;
        let timer = &self.shared.timer;
        let sent = timer.now();
        let response = self
            .shared
            .clients
            .send(
                timer,
                self.connection(),
                call.terms.connect_timeout,
                address,
                &call.outgoing,
                self.head_deadline(sent),
            )
            .await?;
        let latency = timer.now().since(sent);
        let method = &call.outgoing.method;
        let held = &mut self.shared.memory.hold();
        let answer = answer::take(timer, response, method, &call.id, self.bounds(), held).await?;
        if let Answer::Whole {
            status, headers, ..
        } = &answer
            && let Some(step) = refusal(*status, headers)
        {
            return Err(step);
        }
        Ok(Good { answer, latency })
    }

    /// Returns the kind of connection to use. Non-repeatable requests and second attempts use a new
    /// connection.
    fn connection(&self) -> Connection {
        if self.call.terms.repeatable && self.tried.len() == 1 {
            Connection::Pooled
        } else {
            Connection::Fresh
        }
    }

    /// Returns the deadline for the response head. A non-repeatable request can't be retried after
    /// a timeout, so it waits until its own deadline.
    fn head_deadline(&self, now: Instant) -> Instant {
        if self.call.terms.repeatable {
            self.call
                .deadline
                .min(now + self.call.terms.progress_timeout)
        } else {
            self.call.deadline
        }
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            limit: self.call.terms.answer_limit,
            progress: self.call.terms.progress_timeout,
            deadline: self.call.deadline,
            may_stream: self.call.link.is_some(),
        }
    }

    fn accept(&mut self, attempt: AttemptOf<P>, good: Good) -> Reply {
        let now = self.shared.timer.now();
        self.shared
            .metric
            .attempt(&self.call.terms.service, "answered");
        self.note_end("answered");
        let latency = good.latency;
        match good.answer {
            Answer::Whole {
                status,
                mut headers,
                body,
            } => {
                self.note_leaving(&attempt, &headers);
                self.note_innocence(status, now);
                let failed = status.is_server_error();
                attempt.end(End::Answered { latency, failed }, now);
                headers::strip_answer(&mut headers);
                answered(status, headers, Payload::Whole(body))
            }
            Answer::Part { first, rest } => self.pass_on(attempt, latency, first, rest),
        }
    }

    fn pass_on(
        &mut self,
        attempt: AttemptOf<P>,
        latency: Span,
        first: bytes::Bytes,
        mut rest: reqwest::Response,
    ) -> Reply {
        let status = rest.status();
        let mut headers = std::mem::take(rest.headers_mut());
        self.note_leaving(&attempt, &headers);
        headers::strip_answer(&mut headers);
        let flow = Flow {
            shared: self.shared.clone(),
            terms: self.call.terms.clone(),
            holder: self.call.holder.clone(),
            bounds: self.bounds(),
            first,
            rest,
            attempt: Some(attempt),
            end: End::Answered {
                latency,
                failed: status.is_server_error(),
            },
            link: self.call.link.clone(),
            permit: self.permit.take(),
            work: self.shared.stop.begin(),
        };
        answered(status, headers, Payload::Stream(flow.into_body()))
    }

    fn fail(&mut self, attempt: AttemptOf<P>, step: Step) {
        let now = self.shared.timer.now();
        self.shared
            .metric
            .attempt(&self.call.terms.service, step.as_str());
        self.note_end(step.as_str());
        self.history.push(step);
        if step == Step::Silent {
            let clients = &self.shared.clients;
            clients.forget(attempt.address(), self.call.terms.connect_timeout);
        }
        if step == Step::Leaving {
            self.announce_leaving(attempt.target());
        }
        if step.lost_target() {
            self.announce_suspect(&attempt);
        }
        attempt.end(step.end(Span::ZERO), now);
    }

    /// Returns an error with the reason if no further attempt may be made.
    fn may_retry(&self) -> Result<(), Reason> {
        let terms = &self.call.terms;
        let steps = self.attempts.len();
        let now = self.shared.timer.now();
        if !self.history.may_go_on(terms.repeatable) || steps >= terms.attempts as usize {
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
        if !self.shared.gates.steer().may_retry(&terms.service, now) {
            return Err(Reason::RetryBudget);
        }
        let after = self
            .attempts
            .last()
            .map_or("", |attempt| attempt.end.as_ref());
        self.shared.metric.retry(&terms.service, after);
        Ok(())
    }

    fn note_end(&mut self, end: &'static str) {
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.end = end.into();
        }
    }

    fn note_innocence(&self, status: StatusCode, now: Instant) {
        if status.is_server_error() {
            return;
        }
        let account = self.call.account();
        let mut table = self.shared.quarantine.lock();
        table.clear(account, self.call.fingerprint, now);
    }

    fn note_leaving(&self, attempt: &AttemptOf<P>, headers: &HeaderMap) {
        if headers::says(headers, &headers::LEAVING, "yes") {
            self.announce_leaving(attempt.target());
        }
    }

    fn announce_leaving(&self, target: &id::Target) {
        self.shared.announce(Notice::Leaving {
            service: self.call.terms.service.clone(),
            target: target.clone(),
        });
    }

    fn announce_suspect(&self, attempt: &AttemptOf<P>) {
        let in_flight = attempt.in_flight();
        let suspicion = Suspicion {
            account: self.call.account().cloned(),
            fingerprint: self.call.fingerprint,
            target: attempt.target().clone(),
            in_flight,
        };
        self.shared.metric.suspects.inc();
        self.shared.announce(Notice::Suspect {
            account: suspicion.account.clone(),
            service: self.call.terms.service.clone(),
            fingerprint: suspicion.fingerprint,
            target: suspicion.target.clone(),
            in_flight,
        });
        self.shared.suspect(suspicion, self.call.terms.quarantine);
    }
}

/// Returns the failure for a response that states that the request did not run.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Step> {
    let not_run = status == StatusCode::SERVICE_UNAVAILABLE
        && headers::says(headers, &headers::OUTCOME, Outcome::NotRun.as_str());
    let leaving = headers::says(headers, &headers::LEAVING, "yes");
    match (not_run, leaving) {
        (true, true) => Some(Step::Leaving),
        (true, false) => Some(Step::Shed),
        (false, _) => None,
    }
}

/// Builds the reply for a target's response.
fn answered(status: StatusCode, headers: HeaderMap, payload: Payload) -> Reply {
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
