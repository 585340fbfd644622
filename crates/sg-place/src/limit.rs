//! Limits how many requests one instance keeps in flight at one target.
//!
//! A target reports its load with its responses, so an instance that seldom sends to the target
//! learns of the load too late. Many such instances overload a target together, and most of the
//! requests there then end after their callers have left. Each instance decreases its limit when
//! the target refuses a request or does not respond in time, and increases the limit with responses
//! in time. The limits of all instances thus converge on what the target can run.

use sg_types::prelude::*;

/// Factor applied to the limit when the target is overloaded.
const DECREASE_FACTOR: f64 = 0.5;
/// Increase of the limit after as many responses in time as the limit allows in flight. With a
/// decrease by half, the targets in the tests' simulated overload are used best between 0.2 and
/// 0.5.
const INCREASE: f64 = 0.3;
/// Minimum time between two decreases. Results of requests that were sent before a decrease say
/// nothing about the new limit.
const DECREASE_INTERVAL: Span = Span::from_millis(200);
/// Part of the limit that must be in use for a response to increase the limit.
const MIN_UTILIZATION: f64 = 0.7;
/// Time without a decrease after which the limit no longer applies, because the overload is over.
const LIFETIME: Span = Span::from_secs(6);

/// A limit on requests in flight that applies only during an overload.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    /// The limit and the time of its last decrease.
    active: Option<(f64, Instant)>,
}

impl Limit {
    /// Returns whether one more request may be sent while `in_flight` are in flight.
    #[must_use]
    pub fn has_room(&self, in_flight: u32, now: Instant) -> bool {
        self.current(now)
            .is_none_or(|current| f64::from(in_flight) < current)
    }

    /// Returns the limit in force, if there is one.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<f64> {
        let (current, at) = self.active?;
        (now.since(at) < LIFETIME).then_some(current)
    }

    /// Decreases the limit, but not below `floor`, after the target was overloaded while it had
    /// `in_flight` requests from this instance.
    pub fn decrease(&mut self, in_flight: u32, floor: f64, now: Instant) {
        let previous = self.current(now);
        if let (Some(_), Some((_, at))) = (previous, self.active)
            && now.since(at) < DECREASE_INTERVAL
        {
            return;
        }
        let used = f64::from(in_flight.max(1));
        let current = previous.map_or(used, |current| current.min(used)) * DECREASE_FACTOR;
        self.active = Some((current.max(floor), now));
    }

    /// Increases the limit after the target responded in time while it had `in_flight` requests
    /// from this instance. `queue_empty` says that no requests wait at the target.
    pub fn increase(&mut self, in_flight: u32, queue_empty: bool, now: Instant) {
        if let (Some(current), Some((limit, _))) = (self.current(now), &mut self.active)
            && f64::from(in_flight) >= current * MIN_UTILIZATION
        {
            *limit += if queue_empty { 1.0 } else { INCREASE / current };
        }
    }
}
