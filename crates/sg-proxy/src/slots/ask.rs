//! One open ask for a slot.

use sg_clock::Timer;
use sg_dispatch::{
    Ask,
    exchange::{Message, ServiceKey},
};
use sg_place::hash::Object;
use sg_types::prelude::*;
use tokio::sync::oneshot;

use super::{Held, Inner, Link, Post, Requester, Slot};

/// Interval at which the ask of a waiting request is repeated, to find out whether the dispatcher is still
/// there. A dispatcher that stops says so; one that is killed or cut off does not.
const REPEAT_INTERVAL: Span = Span::from_secs(1);

/// How an ask ended.
#[derive(Debug)]
pub(super) enum Answer {
    Granted {
        target: id::Target,
        is_warm: bool,
        slot: Slot,
    },
    Rejected(Span),
    /// Another instance dispatches the service now.
    Moved,
    /// The dispatcher counts as silent.
    Silent,
    /// The request waited as long as it could.
    Expired,
    /// This instance drains.
    Draining,
}

/// An ask without a final answer.
#[derive(Debug)]
pub(super) struct Pending {
    pub service: ServiceKey,
    /// The dispatcher that was asked.
    pub to: Link,
    /// Whether the dispatcher has said since the last ask that the request waits.
    pub is_heard: bool,
    object: Option<Object>,
    warm_work: Span,
    cold_work: Span,
    until: Instant,
    answer: oneshot::Sender<Answer>,
}

impl Pending {
    pub fn resolve(self, answer: Answer) {
        // The request that waits for the answer may have ended.
        let _ = self.answer.send(answer);
    }

    pub fn hold(&self, target: id::Target, is_warm: bool, now: Instant) -> Held {
        Held {
            service: self.service,
            from: self.to,
            target,
            object: self.object,
            work: if is_warm {
                self.warm_work
            } else {
                self.cold_work
            },
            since: now,
            until: self.until,
        }
    }
}

/// Guard of an open ask. When dropped before an answer, the guard withdraws the ask.
pub(super) struct Open<'a> {
    requester: &'a Requester,
    service: ServiceKey,
    to: Link,
    ask: Ask,
    asked_at: Instant,
    answer: oneshot::Receiver<Answer>,
    /// Time to the objective and to the deadline at the first ask.
    objective: Span,
    deadline: Span,
    /// When the first answer to the last ask is due, or its repetition while the request waits.
    due: Instant,
    /// Whether the dispatcher has answered the last ask.
    is_waiting: bool,
    /// Whether the dispatcher has let the request wait at all.
    has_waited: bool,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let number = self.ask.ticket.number;
        let pending = self.requester.inner.lock().pending.swap_remove(&number);
        if pending.is_some() {
            self.requester
                .cancel(self.service, self.ask.ticket, self.to);
        }
    }
}

impl Requester {
    /// Asks the dispatcher of `service` for a slot. The number of the ticket is set here.
    ///
    /// # Errors
    /// Returns the reason why the dispatcher can't be asked.
    pub(super) fn open(
        &self,
        service: &id::Service,
        mut ask: Ask,
        now: Instant,
    ) -> Result<Open<'_>, &'static str> {
        let (sender, answer) = oneshot::channel();
        let mut inner = self.inner.lock();
        let to = *inner.dispatchers.get(service).ok_or("no-dispatcher")?;
        let contact = inner.contacts.entry(to).or_default();
        if !contact.may_ask(now) {
            return Err("backing-off");
        }
        inner.last_number += 1;
        ask.ticket = inner.ticket(inner.last_number);
        let service = ServiceKey::of(service);
        let pending = Pending {
            service,
            to,
            is_heard: false,
            object: ask.object,
            warm_work: ask.warm_work,
            cold_work: ask.cold_work,
            until: now + ask.bid.deadline_left,
            answer: sender,
        };
        inner.pending.insert(ask.ticket.number, pending);
        let due = inner.record_ask(to, ask.ticket.number, now);
        drop(inner);
        let open = Open {
            requester: self,
            service,
            to,
            objective: ask.bid.objective_left,
            deadline: ask.bid.deadline_left,
            ask,
            asked_at: now,
            answer,
            due,
            is_waiting: false,
            has_waited: false,
        };
        open.post();
        Ok(open)
    }
}

impl Inner {
    fn record_ask(&mut self, to: Link, number: u64, now: Instant) -> Instant {
        let contact = self.contacts.entry(to).or_default();
        contact.record_ask(number, now)
    }
}

impl Open<'_> {
    fn post(&self) {
        self.requester.post(Post {
            to: self.to,
            service: self.service,
            message: Message::Ask(self.ask.clone()),
        });
    }

    /// Waits for the slot, at most until `limit`.
    pub async fn wait(mut self, timer: &Timer, limit: Instant) -> Answer {
        loop {
            let wake = self.due.min(limit);
            if let Ok(answer) = timer.until(wake, &mut self.answer).await {
                if self.has_waited {
                    let waited = timer.now().since(self.asked_at);
                    self.requester.metrics.wait.observe(waited.as_secs_f64());
                }
                return answer.unwrap_or(Answer::Moved);
            }
            let now = timer.now();
            if let Some(answer) = self.continue_waiting(limit, now) {
                return answer;
            }
        }
    }

    /// Decides what to do when no final answer has come in time: a waiting request goes on to wait, and its ask is
    /// repeated now and then. Returns the answer if the ask is given up.
    fn continue_waiting(&mut self, limit: Instant, now: Instant) -> Option<Answer> {
        let number = self.ask.ticket.number;
        let mut inner = self.requester.inner.lock();
        // Without an entry, the answer is in the channel.
        let pending = inner.pending.get_mut(&number)?;
        let is_heard = std::mem::take(&mut pending.is_heard);
        let is_due = now >= self.due;
        if now >= limit && (is_heard || self.is_waiting || !is_due) {
            let has_answered = is_heard || self.has_waited;
            return Some(if has_answered {
                Answer::Expired
            } else {
                Answer::Silent
            });
        }
        if is_heard && !self.is_waiting {
            self.is_waiting = true;
            self.has_waited = true;
            self.due = now + REPEAT_INTERVAL;
            return None;
        }
        if self.is_waiting {
            self.is_waiting = false;
            self.due = inner.record_ask(self.to, number, now);
            drop(inner);
            let waited = now.since(self.asked_at);
            let bid = &mut self.ask.bid;
            bid.objective_left = self.objective.saturating_sub(waited);
            bid.deadline_left = self.deadline.saturating_sub(waited);
            bid.waited = waited;
            self.post();
            return None;
        }
        let contact = inner.contacts.get_mut(&self.to)?;
        let silent = match contact.record_silence(now) {
            true => inner.take_pending(|pending| pending.to == self.to),
            false => Vec::new(),
        };
        drop(inner);
        for (_, pending) in silent {
            pending.resolve(Answer::Silent);
        }
        Some(Answer::Silent)
    }
}
