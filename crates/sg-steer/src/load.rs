//! Load of a target, estimated from its reports.

use sg_types::prelude::*;

use crate::observation;

/// Number of successful responses after which a report without free slots is considered wrong.
const MAX_RESPONSES_WHILE_FULL: u32 = 8;

/// Last load report of a target.
#[derive(Debug, Clone, Copy)]
struct Report {
    received_at: Instant,
    in_flight: u32,
    own_in_flight: u32,
}

/// Checks the load reports of a target against this instance's own requests.
///
/// Reports are late and may be wrong. Their weight decreases with age. A report that contradicts
/// this instance's own requests is ignored, as are the reports that follow it within the stale
/// time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Estimate {
    report: Option<Report>,
    reported_slots: Option<u32>,
    /// Minimum of own requests in flight over the previous and the current window.
    min_own_in_flight: [u32; 2],
    window_start: Instant,
    distrusted_until: Instant,
    responses_while_full: u32,
}

impl Estimate {
    /// Records a report while `own_in_flight` requests of this instance are in flight.
    pub(crate) fn record_report(
        &mut self,
        observed: &observation::Observation,
        slots: u32,
        own_in_flight: u32,
        stale_after: Span,
        now: Instant,
    ) {
        self.reported_slots = observed.slots.filter(|slots| *slots > 0);
        let from_utilization =
            |utilization: f64| (utilization.clamp(0.0, 1.0) * f64::from(slots)).round() as u32;
        let Some(in_flight) = observed
            .in_flight
            .or(observed.utilization.map(from_utilization))
        else {
            return;
        };
        self.advance_window(own_in_flight, stale_after, now);
        let min_own_in_flight = self.min_own_in_flight[0].min(self.min_own_in_flight[1]);
        if in_flight < min_own_in_flight {
            self.distrust(stale_after, now);
        }
        self.responses_while_full = 0;
        self.report = Some(Report {
            received_at: now,
            in_flight,
            own_in_flight,
        });
    }

    /// Records that this instance now has `own_in_flight` requests in flight.
    pub(crate) fn record_in_flight(&mut self, own_in_flight: u32) {
        self.min_own_in_flight[1] = self.min_own_in_flight[1].min(own_in_flight);
    }

    /// Records that the target responded to a request successfully.
    pub(crate) fn record_success(&mut self, slots: u32, stale_after: Span, now: Instant) {
        if self.report.is_some_and(|report| report.in_flight >= slots) {
            self.responses_while_full += 1;
            if self.responses_while_full >= MAX_RESPONSES_WHILE_FULL {
                self.distrust(stale_after, now);
            }
        }
    }

    /// Records that the target refused a request for load.
    pub(crate) fn record_shed(&mut self, slots: u32, stale_after: Span, now: Instant) {
        if self.report.is_some_and(|report| report.in_flight < slots) {
            self.distrust(stale_after, now);
        }
    }

    /// Returns the number of requests in flight on the target from all instances, if a trusted
    /// report is available.
    pub(crate) fn total_in_flight(&self, stale_after: Span, now: Instant) -> Option<u32> {
        self.trusted_report(stale_after, now)
            .map(|report| report.in_flight)
    }

    /// Returns the number of requests that this instance had in flight at the time of the trusted
    /// report, or 0 if no report is trusted.
    pub(crate) fn own_in_flight(&self, stale_after: Span, now: Instant) -> u32 {
        self.trusted_report(stale_after, now)
            .map_or(0, |report| report.own_in_flight)
    }

    /// Returns the estimated number of requests that other instances have in flight on the target.
    /// The estimate decreases with the age of the report.
    pub(crate) fn others_in_flight(&self, stale_after: Span, now: Instant) -> f64 {
        let Some(report) = self.trusted_report(stale_after, now) else {
            return 0.0;
        };
        let relative_age = now.since(report.received_at).as_secs_f64() / stale_after.as_secs_f64();
        f64::from(report.in_flight.saturating_sub(report.own_in_flight)) * (1.0 - relative_age)
    }

    /// Returns the reported number of slots of the target, limited to `configured`, the number in
    /// the tree.
    pub(crate) fn effective_slots(&self, configured: u32) -> u32 {
        self.reported_slots
            .map_or(configured, |slots| slots.min(configured))
    }

    fn trusted_report(&self, stale_after: Span, now: Instant) -> Option<&Report> {
        let report = self.report.as_ref()?;
        let is_trusted =
            now >= self.distrusted_until && now.since(report.received_at) < stale_after;
        is_trusted.then_some(report)
    }

    fn distrust(&mut self, stale_after: Span, now: Instant) {
        self.distrusted_until = now + stale_after;
    }

    /// Advances the window over which the minimum of own requests in flight is kept.
    fn advance_window(&mut self, own_in_flight: u32, stale_after: Span, now: Instant) {
        if now.since(self.window_start) >= stale_after {
            self.min_own_in_flight = [self.min_own_in_flight[1].min(own_in_flight), own_in_flight];
            self.window_start = now;
        }
    }
}
