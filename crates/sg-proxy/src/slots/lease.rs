//! Slots in use by requests of this instance.

use sg_dispatch::{
    exchange::{Message, ServiceKey},
    message::{End, Outcome},
};
use sg_place::{hash::Object, pool::Choice};
use sg_types::prelude::*;

use super::{Link, Post, Requester};
use crate::{
    Core,
    attempt::Call,
    send::{self, SendOutcome},
};

/// Maximum age of a report that goes to the dispatcher. The dispatcher compares a report with the leases that it
/// knows now, so that an older one, which came at the start of a long transfer, would count leases that ended
/// since as requests from elsewhere.
const MAX_REPORT_AGE: Span = Span::from_millis(25);

/// A slot that a dispatcher granted.
#[derive(Debug)]
pub(super) struct Held {
    pub service: ServiceKey,
    /// Dispatcher that granted the slot.
    pub from: Link,
    pub target: id::Target,
    pub object: Option<Object>,
    pub work: Span,
    pub since: Instant,
    /// When the response is due.
    pub until: Instant,
}

/// Guard of a granted slot. When dropped, which also happens if the caller disconnects, the guard tells the
/// dispatcher how the use of the slot ended. Without a known end it withdraws the ask.
#[derive(Debug)]
pub(crate) struct Slot {
    requester: Arc<Requester>,
    number: u64,
    end: Option<End>,
}

impl Slot {
    pub(super) fn new(requester: Arc<Requester>, number: u64) -> Self {
        Self {
            requester,
            number,
            end: None,
        }
    }

    /// Ends the use of the slot after a send, with what the target said of its load in its response.
    pub fn finish<D>(
        mut self,
        core: &Core<D>,
        call: &Call<'_>,
        service: &id::Service,
        choice: &Choice,
        outcome: &SendOutcome,
    ) {
        let now = core.timer.now();
        let work = matches!(outcome, SendOutcome::Answered(_))
            .then(|| measured_work(choice, now))
            .flatten();
        let mut state = core.state.lock();
        let member = state.pool(service).member_mut(&choice.target.id);
        let oldest = choice.chosen_at.max(now - MAX_REPORT_AGE);
        let report = member.and_then(|member| member.report_since(oldest));
        // Requests without a wait are recorded after each send. In an overload there are none.
        if let Some(work) = work.filter(|_| choice.queue_wait_seconds > 0.0) {
            let seconds = work.as_secs_f64();
            send::record_work(&mut state, call, service, choice, seconds, now);
        }
        drop(state);
        self.end = Some(match outcome {
            SendOutcome::Answered(_) => End {
                outcome: Outcome::Answered,
                report,
                work,
            },
            SendOutcome::Failed(_) => End {
                outcome: Outcome::Answered,
                report,
                work: None,
            },
            outcome if outcome.is_not_run() => End {
                outcome: Outcome::NotRun,
                report,
                work: None,
            },
            SendOutcome::TimedOut | SendOutcome::Abandoned => End {
                outcome: Outcome::Late,
                report: None,
                work: None,
            },
            _ => End {
                outcome: Outcome::Lost,
                report: None,
                work: None,
            },
        });
    }
}

/// Returns how long the target worked on a request whose response is complete now. The expected wait at the target
/// is not counted. It is short and well known, because the dispatcher grants at most one request beyond the slots.
fn measured_work(choice: &Choice, now: Instant) -> Option<Span> {
    let elapsed = now.since(choice.chosen_at).as_secs_f64();
    let seconds = elapsed - choice.round_trip_seconds - choice.queue_wait_seconds;
    (seconds > 0.0).then(|| Span::from_secs(1).mul_f64(seconds))
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.requester.inner.lock();
        let Some(held) = inner.held.swap_remove(&self.number) else {
            return;
        };
        let ticket = inner.ticket(self.number);
        // A dispatcher that took over has adopted the slot.
        let (service, from) = (held.service, held.from);
        let to = inner.dispatcher_of(service).unwrap_or(from);
        let ran = [Outcome::Answered, Outcome::Late];
        let has_run = self.end.is_some_and(|end| ran.contains(&end.outcome));
        if has_run && held.object.is_some() {
            inner.remember(self.number, held);
        }
        drop(inner);
        let message = match self.end {
            Some(end) => Message::End { ticket, end },
            None => Message::Cancel { ticket },
        };
        // The instance may have asked another dispatcher only because this one answered late.
        let former = (from != to).then_some(from);
        for to in former.into_iter().chain([to]) {
            let message = message.clone();
            self.requester.post(Post {
                to,
                service,
                message,
            });
        }
    }
}
