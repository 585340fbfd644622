//! Results of the sends of one request.

use http::Response;
use sg_place::{pool::Choice, quarantine::Suspicion};
use sg_types::prelude::*;

use crate::{
    Body, Core, Dialect, attempt::Call, core::Signal, dialect::Refusal, send::SendOutcome,
};

/// Results of the sends so far.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub tried: Vec<id::Target>,
    pub sends: u32,
    pub connect_failures: u32,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    pub failure: Option<Response<Body>>,
}

impl History {
    /// Records the outcome of a send, which counts as a send already if its target was abandoned. Returns the
    /// response of a target that did not fail.
    pub fn record(&mut self, outcome: SendOutcome, was_abandoned: bool) -> Option<Response<Body>> {
        let count = u32::from(!was_abandoned);
        match outcome {
            SendOutcome::Answered(response) => return Some(response),
            SendOutcome::Failed(response) => {
                self.sends += count;
                self.may_have_run = true;
                self.failure = Some(response);
            }
            SendOutcome::Unsent | SendOutcome::ConnectLate | SendOutcome::Withdrawn => {
                self.connect_failures += 1;
            }
            SendOutcome::Shed | SendOutcome::Misdirected => self.sends += count,
            SendOutcome::Lost
            | SendOutcome::Foreign
            | SendOutcome::BodyBroken
            | SendOutcome::TimedOut
            | SendOutcome::Abandoned => {
                self.sends += count;
                self.may_have_run = true;
            }
        }
        None
    }

    /// Returns the final result: the failure response of a target if there is one, else a refusal
    /// that says whether the request may have run.
    pub fn into_result(
        self,
        call: &Call<'_>,
        mut refusal: Refusal,
        now: Instant,
    ) -> Result<Response<Body>, Refusal> {
        if let Some(failure) = self.failure {
            return Ok(failure);
        }
        if self.may_have_run {
            let reason = match refusal.reason {
                Reason::Deadline => Reason::DeadlineRunning,
                _ => Reason::ConnectionLost,
            };
            return Err(Refusal::may_have_run(reason));
        }
        // The caller was told when the first target is back.
        if refusal.reason == Reason::TargetsPaused {
            return Err(refusal);
        }
        refusal.retry_after = None;
        let wait = match refusal.reason {
            // Other instances can serve the request at once.
            Reason::Leaving => Span::ZERO,
            _ => call.retry_after(now),
        };
        Err(refusal.with_retry_after(wait))
    }
}

/// Tells all instances of a target that was lost with a request, in case that the request is the cause.
pub(crate) fn report_suspect<D: Dialect>(
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
    core.send_signal(Signal::Notice(Notice::Suspect {
        account: suspicion.account.clone(),
        service: service.clone(),
        fingerprint: suspicion.fingerprint,
        target: suspicion.target.clone(),
        in_flight,
    }));
    core.record_suspicion(suspicion);
}
