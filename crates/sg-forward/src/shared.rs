//! The state that the modules of the request path share.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    counts::Tally,
    forward::Options,
    gate::{Announce, Freshness, Parts, Tree},
    journal::Journal,
    key::Holder,
    limit::Limit,
    link::Links,
    memory::Budget,
    metric::Metric,
    pace::Pace,
    pending::Pending,
    quarantine::{Suspicion, Table},
    register::{self, Register},
    stop::Stop,
    terms::Terms,
    ticket::{Mint, Sequence, Ticket},
    upstream::Clients,
    wait::Waiting,
};

/// The largest number of bytes of request bodies and buffered responses that an instance holds at
/// once.
const BODY_MEMORY: u64 = 64 * 1024 * 1024;
/// The number of requests whose decisions are kept.
const JOURNAL_RECORDS: usize = 4_096;
/// The bounds on the register of used tickets.
const TICKET_BOUNDS: register::Bounds = register::Bounds {
    tickets: 131_072,
    bytes: 64 * 1024 * 1024,
};

/// The state of one [`crate::Forward`].
#[derive(Debug)]
pub struct Shared<P> {
    pub gates: P,
    pub timer: Timer,
    pub options: Options,
    pub clients: Clients,
    pub limit: Limit,
    pub links: Links,
    pub waiting: Waiting,
    pub memory: Budget,
    pub metric: Metric,
    pub journal: Journal,
    pub tally: Tally,
    pub stop: Stop,
    pub mint: Mint,
    pub tickets: Mutex<Register>,
    pub quarantine: Mutex<Table>,
    pub pending: Pending,
    pace: Mutex<Pace>,
    requests: AtomicU64,
    sequences: AtomicU64,
    unnamed: id::Request,
}

impl<P: Parts> Shared<P> {
    pub fn new(
        options: Options,
        gates: P,
        timer: Timer,
        metric: Metric,
        unnamed: id::Request,
    ) -> Self {
        Self {
            unnamed,
            gates,
            clients: Clients::default(),
            limit: Limit::new(timer.clone()),
            links: Links::default(),
            waiting: Waiting::default(),
            memory: Budget::new(BODY_MEMORY),
            metric,
            journal: Journal::new(JOURNAL_RECORDS),
            tally: Tally::default(),
            stop: Stop::default(),
            mint: Mint::new(options.instance.clone(), options.incarnation),
            tickets: Mutex::new(Register::new(TICKET_BOUNDS)),
            quarantine: Mutex::default(),
            pending: Pending::default(),
            pace: Mutex::default(),
            requests: AtomicU64::new(0),
            sequences: AtomicU64::new(0),
            timer,
            options,
        }
    }

    /// Returns a new request id.
    pub fn request_id(&self) -> id::Request {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let text = format!("{:016x}-{number:x}", self.options.incarnation.get());
        id::Request::new(&text).unwrap_or_else(|_| self.unnamed.clone())
    }

    /// Returns a new ticket sequence number.
    pub fn sequence(&self) -> Sequence {
        Sequence::new(self.sequences.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns whether this instance takes no new work.
    pub fn is_leaving(&self, view: &View) -> bool {
        let entry = view.entries.get(&self.options.instance);
        self.stop.is_leaving() || entry.is_some_and(|entry| entry.drain)
    }

    /// Checks whether a request may still be sent: its key is valid, a withdrawal of the key would
    /// have reached this instance, and its deadline has not passed. Called immediately before a
    /// target is contacted.
    ///
    /// # Errors
    /// The reason why the request may not be sent.
    pub fn allows(
        &self,
        terms: &Terms,
        holder: Option<&Holder>,
        deadline: Instant,
    ) -> Result<(), Reason> {
        let now = self.timer.now();
        if now >= deadline {
            return Err(Reason::Deadline);
        }
        let Some(holder) = holder.filter(|_| terms.keyed) else {
            return Ok(());
        };
        if !self.gates.freshness().is_fresh(now) {
            return Err(Reason::Stale);
        }
        let view = self.gates.tree().view().ok_or(Reason::NoTree)?;
        if holder.works_in(&view) {
            Ok(())
        } else {
            Err(Reason::KeyRefused)
        }
    }

    /// Returns whether an earlier send of a request with this ticket may have run.
    pub fn in_doubt(&self, ticket: &Ticket) -> bool {
        let now = self.timer.now();
        !self.mint.is_named_by(ticket) || self.tickets.lock().may_have_started(ticket, now)
    }

    /// Records that a target was lost while it worked on a request.
    pub fn suspect(&self, suspicion: Suspicion, length: Span) {
        let now = self.timer.now();
        let began = self.quarantine.lock().note(suspicion, length, now);
        if began {
            self.metric.quarantines.inc();
        }
    }

    /// Sends `notice` to the other instances, unless the rate limit for notices is exceeded.
    pub fn announce(&self, notice: Notice) {
        let now = self.timer.now();
        let mut pace = self.pace.lock();
        let may_tell = match &notice {
            Notice::Suspect { .. } => pace.may_tell_suspect(now),
            Notice::Leaving { service, target } => pace.may_tell_leaving(service, target, now),
            Notice::Stopping { .. } => true,
        };
        drop(pace);
        if may_tell {
            self.gates.announce().announce(notice);
        } else {
            self.metric.notices_withheld.inc();
        }
    }
}
