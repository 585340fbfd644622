//! A simulated service, its targets, and what its callers get.

use std::collections::VecDeque;

/// How long a machine stays slow, the mean time between, and the factor.
pub const SLOW_MICROS: u64 = 600_000;
pub const SLOW_EVERY_MICROS: f64 = 6e6;
pub const SLOW_FACTOR: f64 = 3.0;
/// Fraction of the work that a request about a warm object needs.
pub const WARM_FRACTION: f64 = 0.3;
/// A tail request takes this many times the work.
pub const TAIL_FACTOR: f64 = 7.0;
/// Requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub per_second: f64,
    pub cold_seconds: f64,
    pub objective_seconds: f64,
    pub deadline_seconds: f64,
    pub priority: u32,
    /// Fraction of requests that need far more work.
    pub tail: f64,
}

/// A service in one region.
#[derive(Debug, Clone)]
pub struct Service {
    pub instances: usize,
    pub targets: usize,
    pub slots: usize,
    pub kinds: Vec<Kind>,
}

/// Who decides, and on what knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Each instance, from its own responses.
    Alone { uses_pace: bool },
    /// Each instance, with the loads of all targets in beacons.
    Beacons,
    /// Each instance, for the targets that it ranks highest for only.
    Senders { per_target: usize },
    /// The dispatcher.
    Dispatcher,
}

/// What the callers of a kind got.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub sent: u32,
    pub within_objective: u32,
    pub served: u32,
}

impl Counts {
    pub fn share(&self) -> f64 {
        f64::from(self.within_objective) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Default)]
pub struct Totals {
    /// Counts by kind, of requests that arrived in the first 8 s and later.
    pub start: Vec<Counts>,
    pub later: Vec<Counts>,
    pub cold_runs: u32,
    pub runs: u32,
    pub refused_by_targets: u32,
    /// Time that requests took at the busiest target over the mean.
    pub busiest: f64,
    /// Part of its slots that the requests used at the busiest target.
    pub busiest_utilization: f64,
    /// Time that the decisions of the dispatcher took.
    pub decision_micros: f64,
    /// Messages between instances and the dispatcher.
    pub messages: u32,
}

/// A simulated target.
#[derive(Default)]
pub struct Server {
    pub running: usize,
    pub waiting: VecDeque<usize>,
    pub capacity: usize,
    pub warm: Vec<u64>,
    /// Starts of the times in which the machine is slow.
    pub slow: Vec<u64>,
    /// Time that the requests took together.
    pub busy_micros: u64,
}

impl Server {
    pub fn is_slow(&self, at: u64) -> bool {
        self.slow_end(at).is_some()
    }

    fn slow_end(&self, at: u64) -> Option<u64> {
        let index = self.slow.partition_point(|from| *from <= at);
        let from = self.slow.get(index.checked_sub(1)?)?;
        (from + SLOW_MICROS > at).then_some(from + SLOW_MICROS)
    }

    /// Returns when work that begins at `at` ends.
    pub fn end_of(&self, at: u64, seconds: f64) -> u64 {
        let (mut now, mut left) = (at, seconds * 1e6);
        loop {
            let slow_end = self.slow_end(now);
            let index = self.slow.partition_point(|from| *from <= now);
            let next_slow = self.slow.get(index).copied().unwrap_or(u64::MAX);
            let until = slow_end.map_or(next_slow, |end| end.min(next_slow));
            let factor = if slow_end.is_some() { SLOW_FACTOR } else { 1.0 };
            let possible = (until - now) as f64 / factor;
            if possible >= left {
                return now + (left * factor) as u64;
            }
            left -= possible;
            now = until;
        }
    }
}
