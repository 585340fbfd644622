//! How much callers ask of a budget here.

use sg_types::prelude::*;

/// How long a budget counts as active after the last take, at most.
const ACTIVE: Span = Span::from_secs(3);
/// The same for a budget in heavy use, where callers that stay away show at once.
const LEAST_ACTIVE: Span = Span::from_millis(500);
/// A budget counts as active for the time in which this many units would have been asked for.
const MISSED: f64 = 10.0;
/// How long a refusal counts as a caller that waits.
const URGENT: Span = Span::from_millis(150);
/// The weight of the newest tick when demand grows.
const RISE: f64 = 0.1;
/// The weight of the newest tick when demand falls.
const FALL: f64 = 0.08;

/// The demand for one budget at one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    /// Units admitted since the last tick.
    admitted: u64,
    /// Units refused since the last tick, some of them several times.
    denied: u64,
    since: Instant,
    /// Units a second, smoothed.
    rate: f64,
    last: Option<Instant>,
    refused: Option<Instant>,
    /// When a caller was refused after whom none was admitted.
    waits: Option<Instant>,
    largest: u32,
}

impl Demand {
    /// Counts a take that was asked for.
    pub(crate) fn ask(&mut self, units: u32, now: Instant) {
        self.admitted += u64::from(units);
        self.largest = self.largest.max(units);
        self.last = Some(now);
    }

    /// Counts a take that was asked for as refused.
    pub(crate) fn refuse(&mut self, units: u32, now: Instant) {
        self.admitted -= u64::from(units);
        self.denied += u64::from(units);
        self.refused = Some(now);
        self.waits = Some(now);
    }

    /// Counts a take that was asked for as admitted.
    pub(crate) fn admit(&mut self) {
        self.waits = None;
    }

    /// Smooths what was asked for since the last call.
    pub(crate) fn tick(&mut self, now: Instant) {
        let span = now.since(self.since).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        // Callers that were refused come again, so refusals count for half of what was admitted
        // at most; demand that is met step by step is found all the same.
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

    /// The rate that covers the demand with some room, in millionths of a unit a second.
    pub(crate) fn rate_micros(&self, room: f64) -> u64 {
        (self.rate * room * rate::MICRO as f64) as u64
    }

    /// The most units asked for at once, in millionths.
    pub(crate) fn largest_micros(&self) -> u64 {
        u64::from(self.largest) * rate::MICRO
    }

    /// Whether callers came lately.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        let missed = Span::from_secs(1).mul_f64(MISSED / self.rate.max(f64::EPSILON));
        let span = missed.clamp(LEAST_ACTIVE, ACTIVE);
        self.last.is_some_and(|last| now.since(last) < span)
    }

    /// Whether callers were refused lately.
    pub(crate) fn is_pressed(&self, now: Instant) -> bool {
        self.refused.is_some_and(|last| now.since(last) < ACTIVE)
    }

    /// Whether a caller was refused moments ago.
    pub(crate) fn is_urgent(&self, now: Instant) -> bool {
        self.waits.is_some_and(|last| now.since(last) < URGENT)
    }
}
