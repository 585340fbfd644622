//! Subscription to periodic ticks.

use sg_types::time::{Instant, Span};

use crate::Timer;

/// One tick of a [`Subscription`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// The actual time of the tick.
    pub now: Instant,
    /// The delay between the planned and the actual time of the tick. A delay much longer than the
    /// period means that the process was paused.
    pub late: Span,
}

/// A subscription to periodic ticks. Dropping the subscription ends it.
#[derive(Debug)]
pub struct Subscription {
    timer: Timer,
    period: Span,
    next: Instant,
}

impl Subscription {
    pub(crate) fn new(timer: Timer, period: Span) -> Self {
        let next = timer.now() + period;
        Self {
            timer,
            period,
            next,
        }
    }

    /// Waits for the next tick.
    pub async fn tick(&mut self) -> Tick {
        self.timer.sleep_until(self.next).await;
        let now = self.timer.now();
        let late = now.since(self.next);
        self.next = now + self.period;
        Tick { now, late }
    }
}
