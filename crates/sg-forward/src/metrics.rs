//! The metrics of the request path.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use sg_types::prelude::*;

/// The account label of open routes and of accounts that the tree does not have.
const OTHER_ACCOUNTS: &str = "other";

/// The metrics of the request path.
#[derive(Debug)]
pub struct Metrics {
    replies: IntCounterVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    /// Large responses that broke after their head was passed on.
    pub broken_streams: IntCounter,
    /// Streams ended because their key was withdrawn, this instance could no longer confirm the
    /// key, or their deadline passed while the caller read too slowly.
    pub ended_streams: IntCounter,
    /// Exchanges that ended because their caller disconnected.
    pub callers_gone: IntCounter,
    /// Requests that waited for budget.
    pub queued: IntCounter,
    /// Waits for a region's capacity share.
    pub capacity_waits: IntCounter,
    /// Bytes of bodies held in memory.
    pub held_bytes: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Tickets in the register.
    pub tickets: IntGauge,
    /// Requests relayed to the instance that issued their ticket.
    pub relays: IntCounter,
    /// Requests that this instance suspects because their target was lost.
    pub suspects: IntCounter,
    /// Notices not sent because of the rate limit.
    pub notices_withheld: IntCounter,
    /// Quarantines started on this instance.
    pub quarantines: IntCounter,
    /// Violated invariants. Any value other than zero is a bug.
    pub broken_invariants: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Returns an error if a metric of the same name is already registered.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self::unregistered()?;
        registry.register(Box::new(metrics.replies.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        for counter in metrics.counters() {
            registry.register(Box::new(counter.clone()))?;
        }
        for gauge in [&metrics.held_bytes, &metrics.in_flight, &metrics.tickets] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(metrics)
    }

    fn unregistered() -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| IntCounter::new(format!("sg_forward_{name}"), help);
        let gauge = |name: &str, help: &str| IntGauge::new(format!("sg_forward_{name}"), help);
        Ok(Self {
            replies: IntCounterVec::new(
                Opts::new("sg_forward_answers_total", "Answers by outcome and reason."),
                &["outcome", "reason", "account"],
            )?,
            attempts: IntCounterVec::new(
                Opts::new("sg_forward_attempts_total", "Attempts by how they ended."),
                &["service", "end"],
            )?,
            retries: IntCounterVec::new(
                Opts::new("sg_forward_retries_total", "Retries by what they followed."),
                &["service", "after"],
            )?,
            broken_streams: counter("broken_streams_total", "Large answers that broke.")?,
            ended_streams: counter("ended_streams_total", "Streams ended for their key.")?,
            callers_gone: counter("callers_gone_total", "Callers that left.")?,
            queued: counter("queued_total", "Requests that waited.")?,
            capacity_waits: counter("capacity_waits_total", "Waits for a region's capacity.")?,
            held_bytes: gauge("held_bytes", "Bytes of bodies held.")?,
            in_flight: gauge("in_hand", "Requests in hand.")?,
            tickets: gauge("tickets", "Tickets remembered.")?,
            relays: counter("relays_total", "Requests passed to their ticket's issuer.")?,
            suspects: counter("suspects_total", "Suspects told to the other instances.")?,
            notices_withheld: counter("notices_withheld_total", "Notices not told.")?,
            quarantines: counter("quarantines_total", "Quarantines begun.")?,
            broken_invariants: counter("broken_invariants_total", "Faults of the program.")?,
        })
    }

    fn counters(&self) -> [&IntCounter; 10] {
        [
            &self.broken_streams,
            &self.ended_streams,
            &self.callers_gone,
            &self.queued,
            &self.capacity_waits,
            &self.relays,
            &self.suspects,
            &self.notices_withheld,
            &self.quarantines,
            &self.broken_invariants,
        ]
    }

    /// Counts a reply. `account` must be in the tree.
    pub fn record_reply(&self, outcome: Outcome, reason: Reason, account: Option<&id::Account>) {
        let account = account.map_or(OTHER_ACCOUNTS, id::Account::as_str);
        let labels = [outcome.as_str(), reason.as_str(), account];
        self.replies.with_label_values(&labels).inc();
    }

    /// Counts an attempt.
    pub fn record_attempt(&self, service: &id::Service, end: &str) {
        let labels = [service.as_str(), end];
        self.attempts.with_label_values(&labels).inc();
    }

    /// Counts a retry.
    pub fn record_retry(&self, service: &id::Service, after: &str) {
        let labels = [service.as_str(), after];
        self.retries.with_label_values(&labels).inc();
    }

    /// Returns how many replies for `account` had `outcome` and `reason`.
    #[must_use]
    pub fn reply_count(
        &self,
        outcome: Outcome,
        reason: Reason,
        account: Option<&id::Account>,
    ) -> u64 {
        let account = account.map_or(OTHER_ACCOUNTS, id::Account::as_str);
        let labels = [outcome.as_str(), reason.as_str(), account];
        self.replies.with_label_values(&labels).get()
    }
}
