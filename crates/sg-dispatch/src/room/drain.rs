//! Rate at which slots take waiting requests.

use sg_types::prelude::*;

/// Weight of the number of slots against the observed rate, as a fraction of the time that is observed.
const PRIOR_FRACTION: f64 = 0.1;

/// Rate at which slots take waiting requests, in seconds of work per second.
#[derive(Debug, Clone)]
pub(super) struct Drain {
    horizon: Span,
    slots: f64,
    /// Work taken while requests waited, of which older parts have decayed.
    taken_seconds: f64,
    /// Time during which requests waited, of which older parts have decayed.
    busy_seconds: f64,
    advanced_at: Instant,
}

impl Drain {
    /// Creates the rate of a room without slots; `horizon` is the time over which the rate is observed.
    pub(super) fn new(horizon: Span, now: Instant) -> Self {
        Self {
            horizon,
            slots: 1.0,
            taken_seconds: 0.0,
            busy_seconds: 0.0,
            advanced_at: now,
        }
    }

    /// Sets the number of slots. The observed rate changes in proportion.
    pub(super) fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots.max(1));
        self.taken_seconds *= slots / self.slots;
        self.slots = slots;
    }

    /// Adds the time up to `now`, during which requests waited if `is_busy`.
    pub(super) fn advance(&mut self, now: Instant, is_busy: bool) {
        let elapsed = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        if is_busy {
            let decay = (-elapsed / self.horizon.as_secs_f64()).exp();
            self.taken_seconds *= decay;
            self.busy_seconds = self.busy_seconds * decay + elapsed;
        }
    }

    /// Adds a request that was taken.
    pub(super) fn record_taken(&mut self, work: Span) {
        self.taken_seconds += work.as_secs_f64();
    }

    /// Returns the time in which the slots take requests of this `work`.
    pub(super) fn time_for(&self, work: Span) -> Span {
        let prior_seconds = self.horizon.as_secs_f64() * PRIOR_FRACTION;
        let rate =
            (self.taken_seconds + self.slots * prior_seconds) / (self.busy_seconds + prior_seconds);
        work.mul_f64(1.0 / rate)
    }
}
