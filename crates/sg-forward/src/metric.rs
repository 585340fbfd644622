//! The counters of the request path.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use sg_types::prelude::*;

/// The label of accounts that the tree does not know, and of open routes.
const OTHER: &str = "other";

/// The counters.
#[derive(Debug)]
pub struct Metric {
    answers: IntCounterVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    /// Large answers that broke after their head was passed on.
    pub broken_streams: IntCounter,
    /// Streams that ended because their key was withdrawn or this instance lost touch.
    pub ended_streams: IntCounter,
    /// Exchanges that ended because their caller had gone.
    pub callers_gone: IntCounter,
    /// Requests that waited for a permit or for share.
    pub queued: IntCounter,
    /// Waits for share of a region's capacity.
    pub capacity_waits: IntCounter,
    /// Bytes of bodies that are held now.
    pub held_bytes: IntGauge,
    /// Requests in hand now.
    pub in_hand: IntGauge,
    /// Tickets that are remembered now.
    pub tickets: IntGauge,
    /// Requests that were passed to the instance that issued their ticket.
    pub relays: IntCounter,
    /// Suspects that this instance told the others.
    pub suspects: IntCounter,
    /// Notices that were not told because many were told lately.
    pub notices_withheld: IntCounter,
    /// Quarantines that began here.
    pub quarantines: IntCounter,
    /// Broken invariants. Anything but zero is a fault of the program.
    pub broken_invariants: IntCounter,
}

impl Metric {
    /// Makes and registers the counters.
    ///
    /// # Errors
    /// If a counter of the same name is registered already.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let metric = Self::make()?;
        registry.register(Box::new(metric.answers.clone()))?;
        registry.register(Box::new(metric.attempts.clone()))?;
        registry.register(Box::new(metric.retries.clone()))?;
        for counter in metric.counters() {
            registry.register(Box::new(counter.clone()))?;
        }
        for gauge in [&metric.held_bytes, &metric.in_hand, &metric.tickets] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(metric)
    }

    fn make() -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| IntCounter::new(format!("sg_forward_{name}"), help);
        let gauge = |name: &str, help: &str| IntGauge::new(format!("sg_forward_{name}"), help);
        Ok(Self {
            answers: IntCounterVec::new(
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
            in_hand: gauge("in_hand", "Requests in hand.")?,
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

    /// Counts an answer. `account` must be one that the tree knows.
    pub fn answer(&self, outcome: Outcome, reason: Reason, account: Option<&id::Account>) {
        let account = account.map_or(OTHER, id::Account::as_str);
        let labels = [outcome.as_str(), reason.as_str(), account];
        self.answers.with_label_values(&labels).inc();
    }

    /// Counts an attempt.
    pub fn attempt(&self, service: &id::Service, end: &str) {
        let labels = [service.as_str(), end];
        self.attempts.with_label_values(&labels).inc();
    }

    /// Counts a retry.
    pub fn retry(&self, service: &id::Service, after: &str) {
        let labels = [service.as_str(), after];
        self.retries.with_label_values(&labels).inc();
    }

    /// How many answers had `outcome` and `reason`, for `account`.
    #[must_use]
    pub fn answers(&self, outcome: Outcome, reason: Reason, account: Option<&id::Account>) -> u64 {
        let account = account.map_or(OTHER, id::Account::as_str);
        let labels = [outcome.as_str(), reason.as_str(), account];
        self.answers.with_label_values(&labels).get()
    }
}
