//! Handle to the timer service.

use std::{future::Future, sync::Arc};

use sg_types::time::{Instant, Span};
use tokio::time;

use crate::{
    Subscription,
    suspension::{self, Suspension},
};

/// The interval at which a long wait checks whether the machine was suspended.
const SUSPENSION_CHECK_INTERVAL: Span = Span::from_millis(200);

/// The timer service of one process. All clones share the same start of the clock.
#[derive(Debug, Clone)]
pub struct Timer {
    start: Arc<time::Instant>,
    suspension: Arc<Suspension>,
}

/// The error for an operation that did not finish before its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

impl Timer {
    /// Starts the clock. Requires a tokio runtime with time enabled.
    #[must_use]
    pub fn new() -> Self {
        Self::with_boot_time(suspension::boot_time)
    }

    /// Starts the clock like [`new`](Self::new). `boot_time` returns the time of a clock that goes on while
    /// the machine is suspended, or `None` if there is none.
    #[must_use]
    pub fn with_boot_time(boot_time: fn() -> Option<Span>) -> Self {
        Self {
            start: Arc::new(time::Instant::now()),
            suspension: Arc::new(Suspension::new(boot_time)),
        }
    }

    /// Returns the time since the start of the clock, with the time for which the machine was suspended.
    #[must_use]
    pub fn now(&self) -> Instant {
        let elapsed = time::Instant::now().saturating_duration_since(*self.start);
        Instant::START + Span::from(elapsed) + self.suspension.total()
    }

    /// Waits for `span`.
    pub async fn sleep(&self, span: Span) {
        time::sleep(span.into()).await;
    }

    /// Waits until `deadline`. Returns at once if the deadline has passed.
    pub async fn sleep_until(&self, deadline: Instant) {
        time::sleep_until(self.to_tokio(deadline)).await;
    }

    /// Waits until `deadline` like [`sleep_until`](Self::sleep_until), and returns soon after the machine goes
    /// on if the deadline passed while it was suspended.
    pub async fn sleep_through(&self, deadline: Instant) {
        let mut now = self.now();
        while now < deadline {
            self.sleep_until(deadline.min(now + SUSPENSION_CHECK_INTERVAL))
                .await;
            now = self.now();
        }
    }

    /// Runs `work` until it finishes. Drops `work` if `deadline` passes first.
    ///
    /// # Errors
    /// [`Elapsed`] if the deadline passes first.
    pub async fn until<T>(
        &self,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        time::timeout_at(self.to_tokio(deadline), work)
            .await
            .map_err(|_| Elapsed)
    }

    /// Subscribes to a tick every `period`. The first tick comes one period from now. After a late
    /// tick, the next one comes one period later, and missed ticks are skipped. Dropping the
    /// subscription ends it.
    #[must_use]
    pub fn every(&self, period: Span) -> Subscription {
        Subscription::new(self.clone(), period)
    }

    fn to_tokio(&self, instant: Instant) -> time::Instant {
        let suspended = self.suspension.total();
        let steady = instant.since(Instant::START).saturating_sub(suspended);
        *self.start + steady.into()
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}
