//! The parts of the grace period of a stop.
//!
//! The platform counts the period from when it sends the signal. A process that was suspended or busy handles the
//! signal late, and nothing tells when it was sent. Counted from when it is handled, the last parts of the period
//! come after the platform has ended the process.

use sg_types::prelude::*;

/// The fraction of the grace period during which connections of callers are accepted. Callers use a
/// cached lookup response for some time after new responses no longer name this instance.
const ACCEPT_FRACTION: f64 = 0.75;
/// The fraction of the grace period during which new requests are admitted. A request that is admitted
/// later might not finish in time.
const ADMIT_FRACTION: f64 = 0.5;
/// The fraction of the grace period after which the instance itself answers the requests in flight.
const ANSWER_FRACTION: f64 = 0.92;
/// The fraction of the grace period for which targets may be at work on them.
const WORK_FRACTION: f64 = 5.0 / 6.0;
/// The fraction of the grace period after which the instance answers them at the latest.
const LATEST_ANSWER_FRACTION: f64 = 0.95;
/// The fraction of the grace period between these answers and the close of the remaining connections of callers.
const WRITE_FRACTION: f64 = 0.03;

/// The last two times of a step that the event loop repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Step {
    earlier: Instant,
    last: Instant,
}

impl Step {
    fn record(&mut self, now: Instant) {
        self.earlier = self.last;
        self.last = now;
    }
}

/// When the event loop last began to wait for events, and ran the periodic updates.
///
/// The event loop looks for signals at the end of each wait. A signal that comes during a wait only ends it, and is
/// found by the next one. A loop that is never idle doesn't wait, but looks for signals between two updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EventLoop {
    waits: Step,
    updates: Step,
}

impl EventLoop {
    /// Records that a wait for events begins now.
    pub fn record_wait(&mut self, now: Instant) {
        self.waits.record(now);
    }

    /// Records that the updates run now.
    pub fn record_updates(&mut self, now: Instant) {
        self.updates.record(now);
    }

    /// Returns the earliest time at which a signal that is handled now can have been sent, the start of the clock
    /// or later.
    #[must_use]
    pub fn earliest_signal(&self) -> Instant {
        self.waits.earlier.max(self.updates.earlier)
    }
}

/// The grace period of a stop, which began between `earliest` and `handled`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grace {
    earliest: Instant,
    handled: Instant,
    period: Span,
}

impl Grace {
    /// Creates a period that lasts for `period`. The signal was handled at `handled`, and sent at `earliest` or later.
    #[must_use]
    pub const fn new(earliest: Instant, handled: Instant, period: Span) -> Self {
        Self {
            earliest,
            handled,
            period,
        }
    }

    /// Returns until when new requests are admitted.
    #[must_use]
    pub fn admit_until(&self) -> Instant {
        self.after(ADMIT_FRACTION)
    }

    /// Returns until when connections are accepted.
    #[must_use]
    pub fn accept_until(&self) -> Instant {
        self.after(ACCEPT_FRACTION)
    }

    /// Returns when the instance answers the requests in flight. If the time in doubt is short, this is in the last
    /// part of the period whenever the period began.
    #[must_use]
    pub fn answer_at(&self) -> Instant {
        let work_until = self.handled + self.period.mul_f64(WORK_FRACTION);
        let latest = self.after(LATEST_ANSWER_FRACTION);
        self.after(ANSWER_FRACTION).max(work_until.min(latest))
    }

    /// Returns when the connections of callers are closed.
    #[must_use]
    pub fn close_at(&self) -> Instant {
        self.answer_at() + self.period.mul_f64(WRITE_FRACTION)
    }

    fn after(&self, fraction: f64) -> Instant {
        self.earliest + self.period.mul_f64(fraction)
    }
}
