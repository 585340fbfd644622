//! The register of used tickets of this instance, with the request and the result of each. The
//! current time is an argument.

use std::collections::BTreeSet;

use bytes::Bytes as Content;
use http::{HeaderMap, StatusCode};
use sg_types::prelude::*;
use tokio::sync::watch;

use crate::ticket::{Sequence, Ticket};

/// How long a used ticket is remembered after its expiry, so that a late resend is answered from
/// the record.
pub const EXPIRY_GRACE: Span = Span::from_secs(60);

/// The recorded result of a ticket's run.
#[derive(Debug, Clone)]
pub struct Record {
    /// The outcome.
    pub outcome: Outcome,
    /// The reason for the outcome.
    pub reason: Reason,
    /// The target's status.
    pub status: StatusCode,
    /// The target's headers.
    pub headers: HeaderMap,
    /// The target's response body; `None` if the body is not kept.
    pub body: Option<Content>,
}

/// Receives the record of a run when the run ends.
pub type RecordReceiver = watch::Receiver<Option<Arc<Record>>>;

/// The result of [`Register::start`] and of [`Register::find`].
#[derive(Debug)]
pub enum StartResult {
    /// The ticket was unused and is now marked as used; the request must be run.
    Started,
    /// The ticket was used for the same request.
    AlreadyStarted(RecordReceiver),
    /// The ticket was used for another request.
    RequestMismatch,
    /// The register has no room for another ticket.
    Full,
}

/// The limits of a [`Register`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest number of tickets.
    pub max_tickets: usize,
    /// The largest total size of kept response bodies, in bytes.
    pub max_body_bytes: u64,
}

/// The register of used tickets.
#[derive(Debug)]
pub struct Register {
    entries: IndexMap<Sequence, Entry>,
    expirations: BTreeSet<(Instant, Sequence)>,
    bytes: u64,
    limits: Limits,
}

#[derive(Debug)]
struct Entry {
    request: Fingerprint,
    expires: Instant,
    record_sender: watch::Sender<Option<Arc<Record>>>,
    bytes: u64,
}

impl Register {
    /// Creates an empty register.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            entries: IndexMap::new(),
            expirations: BTreeSet::new(),
            bytes: 0,
            limits,
        }
    }

    /// Marks the ticket as used for the request with the fingerprint `request`, unless the ticket
    /// was used before.
    pub fn start(&mut self, ticket: &Ticket, request: Fingerprint, now: Instant) -> StartResult {
        self.prune(now);
        if let Some(found) = self.find(ticket.sequence, request) {
            return found;
        }
        if self.entries.len() >= self.limits.max_tickets {
            return StartResult::Full;
        }
        self.expirations.insert((ticket.expires, ticket.sequence));
        let entry = Entry {
            request,
            expires: ticket.expires,
            record_sender: watch::Sender::new(None),
            bytes: 0,
        };
        self.entries.insert(ticket.sequence, entry);
        StartResult::Started
    }

    /// Returns the state of a used ticket; `None` if the ticket is not in the register.
    #[must_use]
    pub fn find(&self, sequence: Sequence, request: Fingerprint) -> Option<StartResult> {
        let entry = self.entries.get(&sequence)?;
        if entry.request != request {
            return Some(StartResult::RequestMismatch);
        }
        Some(StartResult::AlreadyStarted(entry.record_sender.subscribe()))
    }

    /// Returns whether the ticket may have been used: the ticket is in the register, or expired so
    /// long ago that its entry has been removed.
    #[must_use]
    pub fn may_have_started(&self, ticket: &Ticket, now: Instant) -> bool {
        ticket.expires + EXPIRY_GRACE <= now || self.entries.contains_key(&ticket.sequence)
    }

    /// Returns whether the register has no room for another ticket.
    #[must_use]
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.prune(now);
        self.entries.len() >= self.limits.max_tickets
    }

    /// Records the result of the run. A request that did not run frees its ticket.
    pub fn record_result(&mut self, sequence: Sequence, mut record: Record) {
        let size = record.body.as_ref().map_or(0, |body| body.len() as u64);
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return;
        };
        if self.bytes + size > self.limits.max_body_bytes {
            record.body = None;
        } else {
            self.bytes += size;
            entry.bytes = size;
        }
        let ran = record.outcome != Outcome::NotRun;
        entry.record_sender.send_replace(Some(Arc::new(record)));
        if !ran {
            self.remove(sequence);
        }
    }

    /// Returns the number of tickets in the register.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the register is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of kept response bodies, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.bytes
    }

    fn prune(&mut self, now: Instant) {
        while let Some((expires, sequence)) = self.expirations.first().copied() {
            if expires + EXPIRY_GRACE > now {
                return;
            }
            self.remove(sequence);
        }
    }

    fn remove(&mut self, sequence: Sequence) {
        if let Some(entry) = self.entries.swap_remove(&sequence) {
            self.bytes -= entry.bytes;
            self.expirations.remove(&(entry.expires, sequence));
        }
    }
}
