//! The sends of one request, side by side.

use std::sync::atomic::Ordering;

use http::Response;
use sg_place::pool::Choice;
use sg_types::prelude::*;

use super::{
    Call, check_retry, may_abandon, reserve_target, retract_unrun, send_deadline, take_retry_token,
};
use crate::{
    Body, Core, Dialect,
    dialect::Refusal,
    history::{self, History},
    open_sends::{Abandonment, Impatient, OpenSend, OpenSends},
    send::{self, SendOutcome},
    slots,
    trace::{SendRecord, Trace},
};

/// What follows a send.
pub(super) enum Next {
    /// The request is sent once more.
    SendAgain,
    Finish(Result<Response<Body>, Refusal>),
}

/// One send, as its task sees it.
pub(super) struct Assignment {
    pub index: usize,
    pub choice: Arc<Choice>,
    pub abandonment: Abandonment,
    /// Whether the request may have run at another target.
    pub may_have_run: bool,
}

/// The sends of one request.
pub(super) struct Attempt<'a, D, E, F> {
    pub core: &'a Arc<Core<D>>,
    pub call: &'a Call<'a>,
    pub service: &'a id::Service,
    pub history: History,
    pub open: OpenSends<F>,
    /// Sends the request to a target.
    pub exchange: E,
}

impl<D, E, F> Attempt<'_, D, E, F>
where
    D: Dialect,
    E: Fn(Assignment) -> F,
    F: Future<Output = (usize, SendOutcome)>,
{
    /// Chooses the target of the next send and records the send. The inner error says why there is none; the
    /// outer one is a refusal of the dispatcher.
    pub async fn reserve(
        &self,
        arrived: Instant,
    ) -> Result<Result<(Choice, Option<slots::Slot>), Refusal>, Refusal> {
        let Self {
            core,
            call,
            service,
            history,
            ..
        } = self;
        if history.tried.is_empty()
            && let Some(granted) = slots::acquire(core, call, service, arrived).await?
        {
            return Ok(Ok((granted.choice, Some(granted.slot))));
        }
        let choice = reserve_target(core, call, service, history, arrived);
        Ok(choice.map(|choice| (choice, None)))
    }

    /// Starts a send to the chosen target.
    pub fn start(&mut self, choice: Choice, slot: Option<slots::Slot>, trace: &mut Trace) {
        let (core, call) = (self.core, self.call);
        let index = trace.sends.len();
        trace.sends.push(SendRecord {
            target: choice.target.id.clone(),
            outcome: SendRecord::OPEN,
            sent_after: core.timer.now().since(trace.arrived),
            warm: choice.warm,
            is_highest_ranked: choice.is_highest_ranked,
            expected_seconds: choice.expected_seconds,
        });
        self.history.tried.push(choice.target.id.clone());
        let patient_until = send_deadline(core, call, &choice, &self.history);
        call.may_have_run.store(true, Ordering::Relaxed);
        let (choice, abandonment) = (Arc::new(choice), Abandonment::default());
        let exchange = (self.exchange)(Assignment {
            index,
            choice: choice.clone(),
            abandonment: abandonment.clone(),
            may_have_run: self.history.may_have_run,
        });
        let sent = OpenSend {
            index,
            choice,
            abandonment,
            slot,
            patient_until,
        };
        self.open.push(sent, exchange);
    }

    /// Waits until the request has its result or is to be sent once more.
    pub async fn wait(&mut self, trace: &mut Trace) -> Next {
        loop {
            match self.open.next(&self.core.timer).await {
                Some(Ok((sent, outcome))) => {
                    if let Some(next) = self.record_end(sent, outcome, trace) {
                        return next;
                    }
                }
                Some(Err(Impatient(index))) => {
                    if self.abandon(index, trace) {
                        return Next::SendAgain;
                    }
                }
                None => {
                    let refusal = Refusal::not_run(Reason::ConnectionLost);
                    return Next::Finish(self.result(refusal));
                }
            }
        }
    }

    /// Records the outcome of a send. Returns `None` if other sends are still open.
    fn record_end(
        &mut self,
        mut sent: OpenSend,
        outcome: SendOutcome,
        trace: &mut Trace,
    ) -> Option<Next> {
        let (core, call, service) = (self.core, self.call, self.service);
        if let Some(slot) = sent.slot.take() {
            slot.finish(core, call, service, &sent.choice, &outcome);
        }
        let label = outcome.as_str();
        trace.sends[sent.index].outcome = label;
        let is_abandoned = sent.abandonment.is_set();
        core.metrics.record_send_end(service, label, is_abandoned);
        retract_unrun(core, &sent.choice, &outcome);
        if let Some(response) = self.history.record(outcome, is_abandoned) {
            self.end_open();
            return Some(Next::Finish(Ok(response)));
        }
        let may_have_run = self.history.may_have_run || !self.open.is_empty();
        call.may_have_run.store(may_have_run, Ordering::Relaxed);
        // A target that sends the response to another request was not crashed by this one.
        if label == SendOutcome::Lost.as_str() && !core.is_cut_off() {
            history::report_suspect(core, call, service, &sent.choice);
        }
        if self.open.has_latest() {
            return None;
        }
        let retry = check_retry(core, call, &self.history);
        let retry = retry.and_then(|()| match self.history.sends {
            0 => Ok(()),
            _ => take_retry_token(core, service),
        });
        match retry {
            Ok(()) => {
                core.metrics.record_retry(service, label);
                Some(Next::SendAgain)
            }
            Err(_) if self.waits_for_abandoned() => None,
            Err(reason) => {
                self.end_open();
                Some(Next::Finish(self.result(Refusal::not_run(reason))))
            }
        }
    }

    /// Returns whether the request waits for the targets that were abandoned, which are still at work. The failure
    /// of another target is passed on at once if this instance stops before the deadline.
    pub fn waits_for_abandoned(&self) -> bool {
        let may_wait =
            self.history.failure.is_none() || !self.core.stops_before(self.call.deadline);
        may_wait && !self.open.is_empty()
    }

    /// Sends the request to another target as well, if one has room, because the target of a send is slow.
    /// The first target stays at work: a target that was chosen may turn out to be unreachable or full.
    fn abandon(&mut self, index: usize, trace: &mut Trace) -> bool {
        let (core, call, service) = (self.core, self.call, self.service);
        if !may_abandon(core, call, service, &self.history) {
            return false;
        }
        let Some(choice) = self.open.abandon(index) else {
            return false;
        };
        trace.sends[index].outcome = SendOutcome::ABANDONED;
        self.history.sends += 1;
        send::record_abandoned(core, &choice.target);
        let label = SendOutcome::ABANDONED;
        core.metrics.record_attempt(service, label);
        core.metrics.record_retry(service, label);
        true
    }

    /// Ends the open sends, with the use of the slots of the targets that were abandoned.
    pub fn end_open(&mut self) {
        let outcome = SendOutcome::Abandoned;
        for mut sent in self.open.clear() {
            self.core.metrics.record_abandoned(outcome.as_str());
            if let Some(slot) = sent.slot.take() {
                slot.finish(self.core, self.call, self.service, &sent.choice, &outcome);
            }
        }
    }

    pub fn result(&mut self, refusal: Refusal) -> Result<Response<Body>, Refusal> {
        let history = std::mem::take(&mut self.history);
        history.into_result(self.call, refusal, self.core.timer.now())
    }
}
