//! Which tickets of this instance were used, for what, and how that ended. Time is an argument.

use std::collections::BTreeSet;

use bytes::Bytes as Content;
use http::{HeaderMap, StatusCode};
use sg_types::prelude::*;
use tokio::sync::watch;

use crate::ticket::{Sequence, Ticket};

/// How long after its expiry a used ticket is remembered, so that a late resend is answered with what
/// is known.
pub const GRACE: Span = Span::from_secs(60);

/// How the run of a ticket ended.
#[derive(Debug, Clone)]
pub struct Record {
    /// The outcome.
    pub outcome: Outcome,
    /// The reason.
    pub reason: Reason,
    /// The target's status.
    pub status: StatusCode,
    /// The target's headers.
    pub headers: HeaderMap,
    /// The target's content; `None` if it is not kept.
    pub body: Option<Content>,
}

/// The end of a run, once there is one.
pub type Ending = watch::Receiver<Option<Arc<Record>>>;

/// What [`Register::start`] found.
#[derive(Debug)]
pub enum Start {
    /// The ticket was not used. It is now; run the request.
    Go,
    /// The ticket was used for the same request.
    Join(Ending),
    /// The ticket was used for another request.
    Mismatch,
    /// There is no room to remember one more.
    Full,
}

/// The bounds of a [`Register`].
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Tickets that are remembered.
    pub tickets: usize,
    /// Bytes of answers that are kept.
    pub bytes: u64,
}

/// The tickets that were used.
#[derive(Debug)]
pub struct Register {
    entries: IndexMap<Sequence, Entry>,
    ends: BTreeSet<(Instant, Sequence)>,
    bytes: u64,
    bounds: Bounds,
}

#[derive(Debug)]
struct Entry {
    binding: Fingerprint,
    expires: Instant,
    ending: watch::Sender<Option<Arc<Record>>>,
    bytes: u64,
}

impl Register {
    /// An empty register.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            entries: IndexMap::new(),
            ends: BTreeSet::new(),
            bytes: 0,
            bounds,
        }
    }

    /// Marks the ticket as used for the request `binding`, unless it was used before.
    pub fn start(&mut self, ticket: &Ticket, binding: Fingerprint, now: Instant) -> Start {
        self.prune(now);
        if let Some(found) = self.find(ticket.sequence, binding) {
            return found;
        }
        if self.entries.len() >= self.bounds.tickets {
            return Start::Full;
        }
        self.ends.insert((ticket.expires, ticket.sequence));
        let entry = Entry {
            binding,
            expires: ticket.expires,
            ending: watch::Sender::new(None),
            bytes: 0,
        };
        self.entries.insert(ticket.sequence, entry);
        Start::Go
    }

    /// What is known of a ticket that was used; `None` if it was not.
    #[must_use]
    pub fn find(&self, sequence: Sequence, binding: Fingerprint) -> Option<Start> {
        let entry = self.entries.get(&sequence)?;
        if entry.binding != binding {
            return Some(Start::Mismatch);
        }
        Some(Start::Join(entry.ending.subscribe()))
    }

    /// Whether the ticket may have been used: it was, or nothing is remembered of it any more.
    #[must_use]
    pub fn may_have_started(&self, ticket: &Ticket, now: Instant) -> bool {
        ticket.expires + GRACE <= now || self.entries.contains_key(&ticket.sequence)
    }

    /// Whether there is no room for one more ticket.
    #[must_use]
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.prune(now);
        self.entries.len() >= self.bounds.tickets
    }

    /// Records how the run ended. A request that did not run frees its ticket.
    pub fn finish(&mut self, sequence: Sequence, mut record: Record) {
        let size = record.body.as_ref().map_or(0, |body| body.len() as u64);
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return;
        };
        if self.bytes + size > self.bounds.bytes {
            record.body = None;
        } else {
            self.bytes += size;
            entry.bytes = size;
        }
        let ran = record.outcome != Outcome::NotRun;
        entry.ending.send_replace(Some(Arc::new(record)));
        if !ran {
            self.remove(sequence);
        }
    }

    /// How many tickets are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The bytes of answers that are kept.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    fn prune(&mut self, now: Instant) {
        while let Some((expires, sequence)) = self.ends.first().copied() {
            if expires + GRACE > now {
                return;
            }
            self.remove(sequence);
        }
    }

    fn remove(&mut self, sequence: Sequence) {
        if let Some(entry) = self.entries.swap_remove(&sequence) {
            self.bytes -= entry.bytes;
            self.ends.remove(&(entry.expires, sequence));
        }
    }
}
