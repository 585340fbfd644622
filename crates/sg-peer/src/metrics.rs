//! Metrics of this crate.

use prometheus::{
    IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, core::Collector,
};

/// Counters and gauges. All clones share the same values.
#[derive(Debug, Clone)]
pub struct Metrics {
    pub(crate) frames: IntCounterVec,
    pub(crate) bytes: IntCounterVec,
    pub(crate) refused: IntCounterVec,
    pub(crate) failed: IntCounterVec,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) store_failures: IntCounterVec,
    pub(crate) list_reads: IntCounterVec,
    pub(crate) installed: IntCounterVec,
    pub(crate) rejected: IntCounterVec,
    pub(crate) revision: IntGaugeVec,
    pub(crate) members: IntGaugeVec,
    pub(crate) events: IntCounterVec,
    pub(crate) fresh: IntGauge,
    pub(crate) relay: IntGauge,
    pub(crate) stale_spells: IntCounter,
    pub(crate) pauses: IntCounter,
    pub(crate) violations: IntCounterVec,
}

impl Metrics {
    /// Creates metrics without registering them.
    ///
    /// # Errors
    /// An error of the metrics library if a name is malformed.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let gauges =
            |name: &str, help: &str, label: &str| IntGaugeVec::new(Opts::new(name, help), &[label]);
        Ok(Self {
            frames: counters("sg_peer_frames_total", "Frames between instances", "way")?,
            bytes: counters("sg_peer_frame_bytes_total", "Bytes of frames", "way")?,
            refused: counters("sg_peer_refused_total", "Frames not taken", "reason")?,
            failed: counters("sg_peer_failed_total", "Exchanges that failed", "reason")?,
            store_calls: counters("sg_store_calls_total", "Calls to the store", "call")?,
            store_failures: counters("sg_store_failures_total", "Failed store calls", "reason")?,
            list_reads: counters(
                "sg_list_reads_total",
                "Reads of the instance list",
                "result",
            )?,
            installed: counters(
                "sg_config_installed_total",
                "Revisions put in force",
                "origin",
            )?,
            rejected: counters(
                "sg_config_rejected_total",
                "Trees not put in force",
                "reason",
            )?,
            revision: gauges("sg_config_revision", "Revisions known here", "state")?,
            members: gauges("sg_members", "Other instances", "status")?,
            events: counters("sg_peer_events_total", "Notices and conflicts", "event")?,
            fresh: IntGauge::new("sg_fresh", "1 if keyed routes may be served")?,
            relay: IntGauge::new("sg_relay", "1 if this instance watches the store")?,
            stale_spells: IntCounter::new("sg_stale_spells_total", "Times freshness ended")?,
            pauses: IntCounter::new("sg_pauses_total", "Pauses of the process that were noticed")?,
            violations: counters("sg_peer_violations_total", "Broken invariants", "invariant")?,
        })
    }

    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// An error of the metrics library if a name is already registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self::new()?;
        let counters = [
            &metrics.frames,
            &metrics.bytes,
            &metrics.refused,
            &metrics.failed,
            &metrics.store_calls,
            &metrics.store_failures,
            &metrics.list_reads,
            &metrics.installed,
            &metrics.rejected,
            &metrics.events,
            &metrics.violations,
        ];
        for counter in counters {
            register_collector(registry, counter)?;
        }
        register_collector(registry, &metrics.revision)?;
        register_collector(registry, &metrics.members)?;
        register_collector(registry, &metrics.fresh)?;
        register_collector(registry, &metrics.relay)?;
        register_collector(registry, &metrics.stale_spells)?;
        register_collector(registry, &metrics.pauses)?;
        Ok(metrics)
    }

    /// Counts a frame and its bytes.
    pub(crate) fn record_frame(&self, direction: &str, bytes: usize) {
        self.frames.with_label_values(&[direction]).inc();
        self.bytes
            .with_label_values(&[direction])
            .inc_by(bytes as u64);
    }

    /// Counts a refused frame.
    pub(crate) fn record_refused(&self, reason: &str) {
        self.refused.with_label_values(&[reason]).inc();
    }
}

fn register_collector<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: &C,
) -> Result<(), prometheus::Error> {
    registry.register(Box::new(collector.clone()))
}
