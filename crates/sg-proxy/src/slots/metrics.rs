//! Metrics of asks for slots.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

/// Upper bounds of the buckets of round trips in a region, in seconds.
const ROUND_TRIP_BUCKETS_SECONDS: [f64; 9] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2];
/// Upper bounds of the buckets of waits, in seconds.
const WAIT_BUCKETS_SECONDS: [f64; 8] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Metrics of asks for slots.
#[derive(Debug, Clone)]
pub struct Metrics {
    asks: IntCounterVec,
    fallbacks: IntCounterVec,
    /// Grants that came after this instance had decided alone.
    pub(super) late_grants: IntCounter,
    /// Time until the first answer of a dispatcher.
    pub(super) round_trip: Histogram,
    /// Time of asks whose requests waited at the dispatcher.
    pub(super) wait: Histogram,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// Returns [`prometheus::Error`] if `registry` already has metrics of the same names.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))
        };
        let metrics = Self {
            asks: counters(
                "sg_slot_asks_total",
                "Requests for which a dispatcher was asked for a slot.",
                "result",
            )?,
            fallbacks: counters(
                "sg_slot_fallbacks_total",
                "Requests that this instance assigned alone instead.",
                "reason",
            )?,
            late_grants: IntCounter::new(
                "sg_slot_late_grants_total",
                "Grants that came too late and were returned.",
            )?,
            round_trip: histogram(
                "sg_slot_round_trip_seconds",
                "Time to the first answer of a dispatcher.",
                &ROUND_TRIP_BUCKETS_SECONDS,
            )?,
            wait: histogram(
                "sg_slot_wait_seconds",
                "Time that requests waited for a slot, if they waited longer than for the first answer.",
                &WAIT_BUCKETS_SECONDS,
            )?,
        };
        registry.register(Box::new(metrics.asks.clone()))?;
        registry.register(Box::new(metrics.fallbacks.clone()))?;
        registry.register(Box::new(metrics.late_grants.clone()))?;
        registry.register(Box::new(metrics.round_trip.clone()))?;
        registry.register(Box::new(metrics.wait.clone()))?;
        Ok(metrics)
    }

    /// Records the result of an ask: `granted`, `rejected`, `expired` or `fallback`.
    pub(super) fn record_ask(&self, result: &str) {
        self.asks.with_label_values(&[result]).inc();
    }

    /// Records that this instance decides alone; `reason` says why.
    pub(super) fn record_fallback(&self, reason: &str) {
        self.fallbacks.with_label_values(&[reason]).inc();
    }

    /// Returns the number of asks so far with this result.
    #[must_use]
    pub fn asks(&self, result: &str) -> u64 {
        self.asks.with_label_values(&[result]).get()
    }

    /// Returns the number of fallbacks so far for this reason.
    #[must_use]
    pub fn fallbacks(&self, reason: &str) -> u64 {
        self.fallbacks.with_label_values(&[reason]).get()
    }
}
