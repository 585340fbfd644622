//! Time for which the machine was suspended.
//!
//! The steady clock stands still while a machine is suspended, but permissions that others gave run out.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

use nix::time::{ClockId, clock_gettime};
use sg_types::time::Span;

/// Difference between two clocks below which the machine was not suspended.
const MIN_SUSPENSION: Span = Span::from_millis(50);

/// Returns the time since the machine's start, with the time for which it was suspended. `None` if the
/// system does not tell; suspensions are not noticed then.
pub(crate) fn boot_time() -> Option<Span> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Span::from(std::time::Duration::from(time)))
}

/// Compares a clock that goes on while the machine is suspended with the steady clock.
#[derive(Debug)]
pub(crate) struct Suspension {
    boot_time: fn() -> Option<Span>,
    boot_start: Option<Span>,
    steady_start: Instant,
    /// The time for which the machine was suspended so far, in nanoseconds.
    known: AtomicU64,
}

impl Suspension {
    pub fn new(boot_time: fn() -> Option<Span>) -> Self {
        let steady_start = Instant::now();
        Self {
            boot_start: boot_time(),
            boot_time,
            steady_start,
            known: AtomicU64::new(0),
        }
    }

    /// Returns the time for which the machine was suspended since the start. The result never decreases.
    pub fn total(&self) -> Span {
        let known = self.known.load(Ordering::Relaxed);
        let Some(boot_elapsed) = self.boot_elapsed() else {
            return Span::from_nanos(known);
        };
        // Read last, so that a pause between the two readings does not count as a suspension.
        let steady_elapsed = Span::from(self.steady_start.elapsed());
        let total = boot_elapsed.saturating_sub(steady_elapsed).as_nanos();
        if total < known + MIN_SUSPENSION.as_nanos() {
            return Span::from_nanos(known);
        }
        Span::from_nanos(self.known.fetch_max(total, Ordering::Relaxed).max(total))
    }

    fn boot_elapsed(&self) -> Option<Span> {
        Some((self.boot_time)()?.saturating_sub(self.boot_start?))
    }
}
