//! What is believed of a target's load from other instances.

use sg_types::prelude::*;

use crate::observation;

/// Answers at the usual speed from a target that calls itself full, after which the report is
/// taken for wrong.
const ANSWERS_WHILE_FULL: u32 = 8;

/// A load report that was kept.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: Instant,
    in_flight: u32,
    own: u32,
}

/// Weighs a target's load reports against what this instance sees itself.
///
/// Reports are late and may be wrong. They fade with age, and one that contradicts this instance's
/// own requests is left out together with those that follow it for a while.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Meter {
    report: Option<Report>,
    slots: Option<u32>,
    least_own: [u32; 2],
    least_since: Instant,
    distrusted_until: Instant,
    answers_while_full: u32,
}

impl Meter {
    /// Takes in a report while `own` requests of this instance are in flight.
    pub(crate) fn observe(
        &mut self,
        seen: &observation::Target,
        slots: u32,
        own: u32,
        stale: Span,
        now: Instant,
    ) {
        self.slots = seen.slots.filter(|slots| *slots > 0);
        let from_share = |share: f64| (share.clamp(0.0, 1.0) * f64::from(slots)).round() as u32;
        let Some(in_flight) = seen.in_flight.or(seen.utilization.map(from_share)) else {
            return;
        };
        self.age_least(own, stale, now);
        let least_own = self.least_own[0].min(self.least_own[1]);
        if in_flight < least_own {
            self.distrust(stale, now);
        }
        self.answers_while_full = 0;
        self.report = Some(Report {
            at: now,
            in_flight,
            own,
        });
    }

    /// Takes note that this instance now has `own` requests in flight.
    pub(crate) fn on_change(&mut self, own: u32) {
        self.least_own[1] = self.least_own[1].min(own);
    }

    /// Takes note that the target answered a request well.
    pub(crate) fn on_answer(&mut self, slots: u32, stale: Span, now: Instant) {
        if self.report.is_some_and(|report| report.in_flight >= slots) {
            self.answers_while_full += 1;
            if self.answers_while_full >= ANSWERS_WHILE_FULL {
                self.distrust(stale, now);
            }
        }
    }

    /// Takes note that the target refused a request for load.
    pub(crate) fn on_shed(&mut self, slots: u32, stale: Span, now: Instant) {
        if self.report.is_some_and(|report| report.in_flight < slots) {
            self.distrust(stale, now);
        }
    }

    /// The requests that the target had in work from all instances, if that is known and believed.
    pub(crate) fn total(&self, stale: Span, now: Instant) -> Option<u32> {
        self.trusted(stale, now).map(|report| report.in_flight)
    }

    /// The requests of this instance when the believed report was made.
    pub(crate) fn own(&self, stale: Span, now: Instant) -> u32 {
        self.trusted(stale, now).map_or(0, |report| report.own)
    }

    /// The requests of other instances, fading with the report's age.
    pub(crate) fn others(&self, stale: Span, now: Instant) -> f64 {
        let Some(report) = self.trusted(stale, now) else {
            return 0.0;
        };
        let age = now.since(report.at).as_secs_f64() / stale.as_secs_f64();
        f64::from(report.in_flight.saturating_sub(report.own)) * (1.0 - age)
    }

    /// The slots that the target says it has, if fewer than the tree says.
    pub(crate) fn slots(&self, tree: u32) -> u32 {
        self.slots.map_or(tree, |slots| slots.min(tree))
    }

    fn trusted(&self, stale: Span, now: Instant) -> Option<&Report> {
        let report = self.report.as_ref()?;
        let believed = now >= self.distrusted_until && now.since(report.at) < stale;
        believed.then_some(report)
    }

    fn distrust(&mut self, stale: Span, now: Instant) {
        self.distrusted_until = now + stale;
    }

    /// Moves the window over which the fewest own requests in flight are kept.
    fn age_least(&mut self, own: u32, stale: Span, now: Instant) {
        if now.since(self.least_since) >= stale {
            self.least_own = [self.least_own[1].min(own), own];
            self.least_since = now;
        }
    }
}
