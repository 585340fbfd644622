//! The state that the modules of the request path share.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    counts::Counters,
    forward::Options,
    gate::{Announce, Freshness, Parts, Tree},
    journal::Journal,
    key::Holder,
    limit::ConcurrencyLimit,
    link::CallerConnections,
    memory::MemoryBudget,
    metric::Metrics,
    pace::NoticeLimiter,
    pending::PendingSends,
    quarantine::{Suspicion, Table},
    register::{self, Register},
    stop::Shutdown,
    terms::RouteSettings,
    ticket::{Mint, Sequence, Ticket},
    upstream::Clients,
    wait::BudgetWaiters,
};

/// The largest number of bytes of request bodies and buffered responses that an instance holds at
/// once.
const BODY_MEMORY_BYTES: u64 = 64 * 1024 * 1024;
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
    pub limit: ConcurrencyLimit,
    pub callers: CallerConnections,
    pub waiting: BudgetWaiters,
    pub memory: MemoryBudget,
    pub metrics: Metrics,
    pub journal: Journal,
    pub counters: Counters,
    pub stop: Shutdown,
    pub mint: Mint,
    pub tickets: Mutex<Register>,
    pub quarantine: Mutex<Table>,
    pub pending: PendingSends,
    notice_limiter: Mutex<NoticeLimiter>,
    requests: AtomicU64,
    sequences: AtomicU64,
    fallback_request_id: id::Request,
}

impl<P: Parts> Shared<P> {
    pub fn new(
        options: Options,
        gates: P,
        timer: Timer,
        metrics: Metrics,
        fallback_request_id: id::Request,
    ) -> Self {
        Self {
            fallback_request_id,
            gates,
            clients: Clients::default(),
            limit: ConcurrencyLimit::new(timer.clone()),
            callers: CallerConnections::default(),
            waiting: BudgetWaiters::default(),
            memory: MemoryBudget::new(BODY_MEMORY_BYTES),
            metrics,
            journal: Journal::new(JOURNAL_RECORDS),
            counters: Counters::default(),
            stop: Shutdown::default(),
            mint: Mint::new(options.instance.clone(), options.incarnation),
            tickets: Mutex::new(Register::new(TICKET_BOUNDS)),
            quarantine: Mutex::default(),
            pending: PendingSends::default(),
            notice_limiter: Mutex::default(),
            requests: AtomicU64::new(0),
            sequences: AtomicU64::new(0),
            timer,
            options,
        }
    }

    /// Returns a new request id.
    pub fn next_request_id(&self) -> id::Request {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let text = format!("{:016x}-{number:x}", self.options.incarnation.get());
        id::Request::new(&text).unwrap_or_else(|_| self.fallback_request_id.clone())
    }

    /// Returns a new ticket sequence number.
    pub fn next_sequence(&self) -> Sequence {
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
    pub fn check_allowed(
        &self,
        settings: &RouteSettings,
        holder: Option<&Holder>,
        deadline: Instant,
    ) -> Result<(), Reason> {
        let now = self.timer.now();
        if now >= deadline {
            return Err(Reason::Deadline);
        }
        let Some(holder) = holder.filter(|_| settings.requires_key) else {
            return Ok(());
        };
        if !self.gates.freshness().is_fresh(now) {
            return Err(Reason::Stale);
        }
        let view = self.gates.tree().view().ok_or(Reason::NoTree)?;
        if holder.is_valid_in(&view) {
            Ok(())
        } else {
            Err(Reason::KeyRefused)
        }
    }

    /// Returns whether an earlier send of a request with this ticket may have run.
    pub fn may_have_run(&self, ticket: &Ticket) -> bool {
        let now = self.timer.now();
        !self.mint.is_named_by(ticket) || self.tickets.lock().may_have_started(ticket, now)
    }

    /// Records that a target was lost while it worked on a request.
    pub fn record_suspicion(&self, suspicion: Suspicion, duration: Span) {
        let now = self.timer.now();
        let started = self.quarantine.lock().note(suspicion, duration, now);
        if started {
            self.metrics.quarantines.inc();
        }
    }

    /// Sends `notice` to the other instances, unless the rate limit for notices is exceeded.
    pub fn announce(&self, notice: Notice) {
        let now = self.timer.now();
        let mut notice_limiter = self.notice_limiter.lock();
        let may_send = match &notice {
            Notice::Suspect { .. } => notice_limiter.may_send_suspect(now),
            Notice::Leaving { service, target } => {
                notice_limiter.may_send_leaving(service, target, now)
            }
            Notice::Stopping { .. } => true,
        };
        drop(notice_limiter);
        if may_send {
            self.gates.announce().announce(notice);
        } else {
            self.metrics.notices_withheld.inc();
        }
    }
}
