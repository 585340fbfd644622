//! Measures the demand for a budget at this instance.

use sg_types::prelude::*;

/// The maximum time for which a budget counts as active after the last request.
const ACTIVE: Span = Span::from_secs(3);
/// The minimum time for which a budget counts as active. It applies under heavy use, where missing
/// requests are noticed at once.
const LEAST_ACTIVE: Span = Span::from_millis(500);
/// A budget counts as active for the time in which this many units would have been requested.
const MISSED: f64 = 10.0;
/// The time for which a refused caller counts as waiting.
const URGENT: Span = Span::from_millis(150);
/// The weight of the newest sample when demand grows.
const RISE: f64 = 0.1;
/// The weight of the newest sample when demand falls.
const FALL: f64 = 0.08;

/// The demand for one budget at one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    /// Units admitted since the last update.
    admitted: u64,
    /// Units refused since the last update. Retries are counted again.
    denied: u64,
    since: Instant,
    /// Smoothed demand, in units per second.
    rate: f64,
    last: Option<Instant>,
    refused: Option<Instant>,
    /// Time of the newest refusal since a request was last admitted.
    waits: Option<Instant>,
    largest: u32,
}

impl Demand {
    /// Records a request. The units count as admitted until [`Self::record_refusal`] is called.
    pub(crate) fn ask(&mut self, units: u32, now: Instant) {
        self.admitted += u64::from(units);
        self.largest = self.largest.max(units);
        self.last = Some(now);
    }

    /// Records that the newest request was refused.
    pub(crate) fn refuse(&mut self, units: u32, now: Instant) {
        self.admitted -= u64::from(units);
        self.denied += u64::from(units);
        self.refused = Some(now);
        self.waits = Some(now);
    }

    /// Records that the newest request was admitted.
    pub(crate) fn admit(&mut self) {
        self.waits = None;
    }

    /// Updates the smoothed rate with the requests since the last update.
    pub(crate) fn tick(&mut self, now: Instant) {
        let span = now.since(self.since).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        // Refused callers retry, so refusals count for at most half of the admitted units plus one
        // largest take. Demand that is met step by step is still measured in full.
        let most = self.admitted / 2 + u64::from(self.largest);
        let fresh = (self.admitted + self.denied.min(most)) as f64 / span;
        let weight = if fresh > self.rate { RISE } else { FALL };
        self.rate += weight * (fresh - self.rate);
        self.admitted = 0;
        self.denied = 0;
        self.since = now;
        if !self.is_active(now) {
            self.rate = 0.0;
            self.largest = 0;
        }
    }

    /// Returns the rate that covers the demand multiplied by `headroom`, in millionths of a unit
    /// per second.
    pub(crate) fn rate_micros(&self, room: f64) -> u64 {
        (self.rate * room * rate::MICRO as f64) as u64
    }

    /// Returns the most units requested at once, in millionths.
    pub(crate) fn largest_micros(&self) -> u64 {
        u64::from(self.largest) * rate::MICRO
    }

    /// Whether callers requested units recently.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        let missed = Span::from_secs(1).mul_f64(MISSED / self.rate.max(f64::EPSILON));
        let span = missed.clamp(LEAST_ACTIVE, ACTIVE);
        self.last.is_some_and(|last| now.since(last) < span)
    }

    /// Whether callers were refused recently.
    pub(crate) fn is_pressed(&self, now: Instant) -> bool {
        self.refused.is_some_and(|last| now.since(last) < ACTIVE)
    }

    /// Whether a caller was refused within the last moments.
    pub(crate) fn is_urgent(&self, now: Instant) -> bool {
        self.waits.is_some_and(|last| now.since(last) < URGENT)
    }
}
