//! Measures the demand for a budget at this instance.

use sg_types::prelude::*;

/// The maximum time for which a budget counts as active after the last request.
const MAX_ACTIVE_TIME: Span = Span::from_secs(3);
/// The minimum time for which a budget counts as active after the last request. The minimum applies
/// to a high rate, at which the end of the requests is noticed at once.
const MIN_ACTIVE_TIME: Span = Span::from_millis(500);
/// A budget counts as active for the time in which this many units would have been requested at the
/// measured rate.
const MISSED_UNITS: f64 = 10.0;
/// The time for which a refused caller counts as waiting.
const URGENT_TIME: Span = Span::from_millis(150);
/// The weight of the newest sample when demand grows.
const RISE_WEIGHT: f64 = 0.1;
/// The weight of the newest sample when demand falls.
const FALL_WEIGHT: f64 = 0.08;

/// The demand for one budget at one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    /// Units admitted since the last update.
    admitted: u64,
    /// Units refused since the last update. Retries are counted again.
    refused: u64,
    updated_at: Instant,
    /// Smoothed demand, in units per second.
    rate: f64,
    last_request: Option<Instant>,
    last_refusal: Option<Instant>,
    /// Time of the newest refusal since a request was last admitted.
    unresolved_refusal: Option<Instant>,
    /// Largest number of units requested at once.
    largest: u32,
}

impl Demand {
    /// Records a request. The units count as admitted until [`Self::record_refusal`] is called.
    pub(crate) fn record_request(&mut self, units: u32, now: Instant) {
        self.admitted += u64::from(units);
        self.largest = self.largest.max(units);
        self.last_request = Some(now);
    }

    /// Records that the newest request was refused.
    pub(crate) fn record_refusal(&mut self, units: u32, now: Instant) {
        self.admitted -= u64::from(units);
        self.refused += u64::from(units);
        self.last_refusal = Some(now);
        self.unresolved_refusal = Some(now);
    }

    /// Records that the newest request was admitted.
    pub(crate) fn record_admission(&mut self) {
        self.unresolved_refusal = None;
    }

    /// Updates the smoothed rate with the requests since the last update.
    pub(crate) fn update(&mut self, now: Instant) {
        let span = now.since(self.updated_at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        // Refused callers retry, so refused units count for at most half of the admitted units plus
        // one largest take. As loans admit more units, the demand is still measured in full after
        // some updates.
        let max_refused = self.admitted / 2 + u64::from(self.largest);
        let sample = (self.admitted + self.refused.min(max_refused)) as f64 / span;
        let weight = if sample > self.rate {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.rate += weight * (sample - self.rate);
        self.admitted = 0;
        self.refused = 0;
        self.updated_at = now;
        if !self.is_active(now) {
            self.rate = 0.0;
            self.largest = 0;
        }
    }

    /// Returns the smoothed demand multiplied by `headroom`, in millionths of a unit per second.
    pub(crate) fn rate_micros(&self, headroom: f64) -> u64 {
        (self.rate * headroom * rate::MICRO as f64) as u64
    }

    /// Returns the largest number of units requested at once, in millionths.
    pub(crate) fn largest_micros(&self) -> u64 {
        u64::from(self.largest) * rate::MICRO
    }

    /// Whether callers requested units recently.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        let idle_limit = Span::from_secs(1).mul_f64(MISSED_UNITS / self.rate.max(f64::EPSILON));
        let span = idle_limit.clamp(MIN_ACTIVE_TIME, MAX_ACTIVE_TIME);
        self.last_request.is_some_and(|last| now.since(last) < span)
    }

    /// Whether callers were refused recently.
    pub(crate) fn was_refused_recently(&self, now: Instant) -> bool {
        self.last_refusal
            .is_some_and(|last| now.since(last) < MAX_ACTIVE_TIME)
    }

    /// Whether a refused caller still counts as waiting.
    pub(crate) fn is_urgent(&self, now: Instant) -> bool {
        self.unresolved_refusal
            .is_some_and(|last| now.since(last) < URGENT_TIME)
    }
}
