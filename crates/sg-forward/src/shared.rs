//! The state that the modules of the request path share.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    budget_wait::BudgetWaiters,
    caller_connection::CallerConnections,
    counters::Counters,
    dependencies::{DependencySet, Freshness, NoticeSender, TreeProvider},
    forward::Identity,
    journal::Journal,
    key::Holder,
    limit::ConcurrencyLimit,
    memory::MemoryBudget,
    metrics::Metrics,
    notice_limiter::NoticeLimiter,
    pending::PendingSends,
    quarantine::{Suspicion, Table},
    settings::RouteSettings,
    shutdown::Shutdown,
    ticket::{Sequence, Ticket, TicketIssuer},
    ticket_register::{self, Register},
    upstream::Clients,
};

/// The largest number of bytes of request bodies and buffered responses that an instance holds at
/// once.
const BODY_MEMORY_BYTES: u64 = 64 * 1024 * 1024;
/// The number of requests whose decisions are kept in the journal.
const JOURNAL_RECORDS: usize = 4_096;
/// The limits on the register of used tickets.
const REGISTER_LIMITS: ticket_register::Limits = ticket_register::Limits {
    max_tickets: 131_072,
    max_body_bytes: 64 * 1024 * 1024,
};

/// The state of one [`crate::Forward`].
#[derive(Debug)]
pub struct Shared<P> {
    pub dependencies: P,
    pub timer: Timer,
    pub identity: Identity,
    pub clients: Clients,
    pub concurrency: ConcurrencyLimit,
    pub callers: CallerConnections,
    pub budget_waiters: BudgetWaiters,
    pub memory: MemoryBudget,
    pub metrics: Metrics,
    pub journal: Journal,
    pub counters: Counters,
    pub shutdown: Shutdown,
    pub ticket_issuer: TicketIssuer,
    pub tickets: Mutex<Register>,
    pub quarantine: Mutex<Table>,
    pub pending_sends: PendingSends,
    notice_limiter: Mutex<NoticeLimiter>,
    request_count: AtomicU64,
    ticket_count: AtomicU64,
    fallback_request_id: id::Request,
}

impl<P: DependencySet> Shared<P> {
    pub fn new(
        identity: Identity,
        dependencies: P,
        timer: Timer,
        metrics: Metrics,
        fallback_request_id: id::Request,
    ) -> Self {
        Self {
            fallback_request_id,
            dependencies,
            clients: Clients::default(),
            concurrency: ConcurrencyLimit::new(timer.clone()),
            callers: CallerConnections::default(),
            budget_waiters: BudgetWaiters::default(),
            memory: MemoryBudget::new(BODY_MEMORY_BYTES),
            metrics,
            journal: Journal::new(JOURNAL_RECORDS),
            counters: Counters::default(),
            shutdown: Shutdown::default(),
            ticket_issuer: TicketIssuer::new(identity.instance.clone(), identity.incarnation),
            tickets: Mutex::new(Register::new(REGISTER_LIMITS)),
            quarantine: Mutex::default(),
            pending_sends: PendingSends::default(),
            notice_limiter: Mutex::default(),
            request_count: AtomicU64::new(0),
            ticket_count: AtomicU64::new(0),
            timer,
            identity,
        }
    }

    /// Returns a new request id.
    pub fn next_request_id(&self) -> id::Request {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        let text = format!("{:016x}-{number:x}", self.identity.incarnation.get());
        id::Request::new(&text).unwrap_or_else(|_| self.fallback_request_id.clone())
    }

    /// Returns a new ticket sequence number.
    pub fn next_sequence(&self) -> Sequence {
        Sequence::new(self.ticket_count.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns whether this instance takes no new work.
    pub fn is_leaving(&self, view: &View) -> bool {
        let entry = view.entries.get(&self.identity.instance);
        self.shutdown.is_leaving() || entry.is_some_and(|entry| entry.drain)
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
        if !self.dependencies.freshness().is_fresh(now) {
            return Err(Reason::Stale);
        }
        let view = self.dependencies.tree().view().ok_or(Reason::NoTree)?;
        if holder.is_valid_in(&view) {
            Ok(())
        } else {
            Err(Reason::KeyRefused)
        }
    }

    /// Returns whether an earlier send of a request with this ticket may have run.
    pub fn may_have_run(&self, ticket: &Ticket) -> bool {
        let now = self.timer.now();
        !self.ticket_issuer.names_this_incarnation(ticket)
            || self.tickets.lock().may_have_started(ticket, now)
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
    pub fn send_notice(&self, notice: Notice) {
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
            self.dependencies.notice_sender().send_notice(notice);
        } else {
            self.metrics.notices_withheld.inc();
        }
    }
}
