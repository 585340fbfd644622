//! Asks the dispatcher of a service for a slot before a request is sent.
//!
//! The load: each instance sees a small part of a target's requests, so that instances which decide alone send
//! to targets that are full while others are idle. The dispatcher knows all requests of its region. An instance
//! that gets no answer in time decides alone.

mod ask;
mod assign;
mod contact;
mod lease;
mod metrics;
mod targets;

use std::{collections::VecDeque, net::SocketAddr};

use parking_lot::Mutex;
use sg_dispatch::{Decision, Ticket, exchange::Message, exchange::ServiceKey, message::Lease};
use sg_types::prelude::*;
use tokio::sync::Notify;

use ask::{Answer, Pending};
pub(crate) use assign::acquire;
use contact::Contact;
use lease::Held;
pub(crate) use lease::Slot;
pub use metrics::Metrics;

/// How messages reach another party.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Link {
    /// The party is this instance.
    Local,
    /// The party is the instance with this mesh address.
    Remote(SocketAddr),
}

/// A message that is to be delivered.
#[derive(Debug, Clone, PartialEq)]
pub struct Post {
    /// The receiver.
    pub to: Link,
    /// The service that the message is about.
    pub service: ServiceKey,
    /// The message.
    pub message: Message,
}

/// Asks of this instance that are open, and the slots that it uses.
#[derive(Debug)]
pub struct Requester {
    inner: Mutex<Inner>,
    posts: Mutex<Vec<Post>>,
    posted: Notify,
    metrics: Metrics,
}

#[derive(Debug, Default)]
struct Inner {
    run: Incarnation,
    last_number: u64,
    dispatchers: IndexMap<id::Service, Link>,
    contacts: IndexMap<Link, Contact>,
    pending: IndexMap<u64, Pending>,
    held: IndexMap<u64, Held>,
    /// The last slots whose requests ran, by service, the oldest first. They tell a new dispatcher which objects are
    /// warm.
    recent: IndexMap<ServiceKey, VecDeque<(u64, Held)>>,
}

/// Maximum number of slots of a service that are remembered after their end. All instances of a region together
/// remember more than the objects that targets keep warm.
const MAX_RECENT: usize = 32;

impl Requester {
    /// Creates a requester that knows no dispatchers.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            inner: Mutex::default(),
            posts: Mutex::default(),
            posted: Notify::new(),
            metrics,
        }
    }

    /// Sets the run of this instance, which its tickets carry.
    pub fn set_run(&self, run: Incarnation) {
        self.inner.lock().run = run;
    }

    /// Adds a message to those that are to be delivered. Messages that are added before the task of the receiver
    /// of [`wait_for_posts`](Self::wait_for_posts) runs share a datagram.
    pub fn post(&self, post: Post) {
        let mut posts = self.posts.lock();
        let is_first = posts.is_empty();
        posts.push(post);
        drop(posts);
        if is_first {
            self.posted.notify_one();
        }
    }

    /// Waits until there are messages to deliver.
    pub async fn wait_for_posts(&self) {
        self.posted.notified().await;
    }

    /// Moves the messages that are to be delivered to `taken`, which is empty.
    pub fn take_posts(&self, taken: &mut Vec<Post>) {
        std::mem::swap(&mut *self.posts.lock(), taken);
    }

    /// Replaces the dispatchers. A new dispatcher of a service learns of the slots that this instance uses, and
    /// open asks at the former one are given up.
    pub fn set_dispatchers(&self, dispatchers: IndexMap<id::Service, Link>, now: Instant) {
        let mut inner = self.inner.lock();
        if inner.dispatchers == dispatchers {
            return;
        }
        let former = std::mem::replace(&mut inner.dispatchers, dispatchers);
        let links: IndexSet<Link> = inner.dispatchers.values().copied().collect();
        inner
            .contacts
            .retain(|link, contact| links.contains(link) || contact.silent_at().is_some());
        let mut posts = Vec::new();
        for (service, link) in &inner.dispatchers {
            if former.get(service) != Some(link) {
                let key = ServiceKey::of(service);
                let leases = inner.leases(key, now).into_iter();
                posts.extend(leases.map(|lease| Post {
                    to: *link,
                    service: key,
                    message: Message::Adopt(lease),
                }));
            }
        }
        let current: IndexMap<ServiceKey, Link> = inner
            .dispatchers
            .iter()
            .map(|(service, link)| (ServiceKey::of(service), *link))
            .collect();
        let is_moved = |pending: &Pending| current.get(&pending.service) != Some(&pending.to);
        let moved = inner.take_pending(is_moved);
        drop(inner);
        posts.into_iter().for_each(|post| self.post(post));
        self.give_up(moved, || Answer::Moved);
    }

    /// Withdraws asks that have been taken from the open ones.
    fn give_up(&self, asks: Vec<(Ticket, Pending)>, answer: impl Fn() -> Answer) {
        for (ticket, pending) in asks {
            self.cancel(pending.service, ticket, pending.to);
            pending.resolve(answer());
        }
    }

    /// Returns when the instance at `link` was last found silent, if it still counts as silent.
    #[must_use]
    pub fn silent_at(&self, link: Link) -> Option<Instant> {
        self.inner.lock().contacts.get(&link)?.silent_at()
    }

    /// Gives up all open asks, because this instance drains.
    pub(crate) fn give_up_all(&self) {
        let given_up = self.inner.lock().take_pending(|_| true);
        self.give_up(given_up, || Answer::Draining);
    }

    /// Handles a decision about an ask of this instance, which came by `from`.
    pub fn handle(
        self: &Arc<Self>,
        service: ServiceKey,
        decision: Decision,
        from: Link,
        now: Instant,
    ) {
        let ticket = decision.ticket();
        let mut inner = self.inner.lock();
        if ticket.sender != inner.run {
            return;
        }
        if let Some(contact) = inner.contacts.get_mut(&from) {
            contact.record_answer(ticket.number, now, &self.metrics);
        }
        let is_granted = matches!(decision, Decision::Grant { .. });
        if let Decision::Wait { .. } = decision {
            if let Some(pending) = inner.pending.get_mut(&ticket.number) {
                pending.is_heard = true;
            }
            return;
        }
        let pending = inner
            .pending
            .get(&ticket.number)
            .is_some_and(|pending| pending.to == from);
        let pending = pending
            .then(|| inner.pending.swap_remove(&ticket.number))
            .flatten();
        let Some(pending) = pending else {
            let is_held = inner.held.contains_key(&ticket.number);
            drop(inner);
            if is_granted && !is_held {
                self.metrics.late_grants.inc();
                self.cancel(service, ticket, from);
            }
            return;
        };
        let answer = match decision {
            Decision::Reject { retry_after, .. } => Answer::Rejected(retry_after),
            Decision::Grant {
                target, is_warm, ..
            } => {
                let held = pending.hold(target.clone(), is_warm, now);
                inner.held.insert(ticket.number, held);
                Answer::Granted {
                    target,
                    is_warm,
                    slot: Slot::new(self.clone(), ticket.number),
                }
            }
            Decision::Wait { .. } => return,
        };
        drop(inner);
        // If the caller has left, the slot goes with the answer, which cancels the ask.
        pending.resolve(answer);
    }

    fn cancel(&self, service: ServiceKey, ticket: Ticket, to: Link) {
        self.post(Post {
            to,
            service,
            message: Message::Cancel { ticket },
        });
    }
}

impl Inner {
    fn ticket(&self, number: u64) -> Ticket {
        Ticket {
            sender: self.run,
            number,
        }
    }

    /// Returns the slots of a service that were in use lately, the oldest first, and those in use.
    fn leases(&self, service: ServiceKey, now: Instant) -> Vec<Lease> {
        let recent = self.recent.get(&service).into_iter().flatten();
        let recent = recent.map(|(number, held)| (number, held));
        let held = self.held.iter().filter(|(_, held)| held.service == service);
        let all = recent.chain(held);
        all.map(|(number, held)| held.lease(self.ticket(*number), now))
            .collect()
    }

    /// Remembers a slot whose request ran about an object.
    fn remember(&mut self, number: u64, held: Held) {
        let recent = self.recent.entry(held.service).or_default();
        if recent.len() >= MAX_RECENT {
            recent.pop_front();
        }
        // No time is left of a lease that has ended.
        let until = Instant::START;
        recent.push_back((number, Held { until, ..held }));
    }

    /// Returns the dispatcher of the service with the key `service`.
    fn dispatcher_of(&self, service: ServiceKey) -> Option<Link> {
        let mut dispatchers = self.dispatchers.iter();
        let found = dispatchers.find(|(name, _)| ServiceKey::of(name) == service);
        found.map(|(_, link)| *link)
    }

    fn take_pending(&mut self, is_taken: impl Fn(&Pending) -> bool) -> Vec<(Ticket, Pending)> {
        let run = self.run;
        let taken = self.pending.extract_if(.., |_, pending| is_taken(pending));
        let taken = taken.map(|(number, pending)| {
            (
                Ticket {
                    sender: run,
                    number,
                },
                pending,
            )
        });
        taken.collect()
    }
}

impl Held {
    fn lease(&self, ticket: Ticket, now: Instant) -> Lease {
        Lease {
            ticket,
            target: self.target.clone(),
            object: self.object,
            work: self.work,
            age: now.since(self.since),
            deadline_left: self.until.since(now),
        }
    }
}
