//! Time limit of a transfer whose size is not known beforehand.

use std::future::Future;

use sg_types::time::{Instant, Span};

use crate::{Elapsed, Timer};

/// How long a transfer may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// The longest time without any byte.
    pub stall: Span,
    /// The least average rate in bytes per second, not counted for the first [`stall`](Self::stall).
    pub min_rate: u64,
}

/// The progress of one transfer. The transfer may go on while bytes arrive, so that a link that is narrow or
/// shared is not taken for one that is cut.
#[derive(Debug)]
pub struct Progress {
    timer: Timer,
    limit: Limit,
    started_at: Instant,
    advanced_at: Instant,
    bytes: u64,
}

impl Progress {
    /// Starts a transfer now.
    #[must_use]
    pub fn start(timer: &Timer, limit: Limit) -> Self {
        let now = timer.now();
        Self {
            timer: timer.clone(),
            limit,
            started_at: now,
            advanced_at: now,
            bytes: 0,
        }
    }

    /// Returns the number of bytes so far.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Records that `bytes` have arrived, or were sent.
    pub fn record(&mut self, bytes: usize) {
        if bytes > 0 {
            self.advanced_at = self.timer.now();
            self.bytes += bytes as u64;
        }
    }

    /// Runs the next step of the transfer. The caller records the bytes.
    ///
    /// # Errors
    /// [`Elapsed`] if no byte came for too long, or if the transfer is too slow on average.
    pub async fn step<T>(&self, step: impl Future<Output = T>) -> Result<T, Elapsed> {
        self.timer.until(self.deadline(), step).await
    }

    fn deadline(&self) -> Instant {
        let Limit { stall, min_rate } = self.limit;
        let earned = Span::from_secs(1).mul_f64(self.bytes as f64 / min_rate.max(1) as f64);
        let slowest = self.started_at + stall + earned;
        slowest.min(self.advanced_at + stall)
    }
}
