//! Bounds the requests that a cold target receives from the whole fleet, without communication
//! between instances.
//!
//! The allowance of the fleet is divided evenly over the instances, and the remainder goes to the
//! instances that rendezvous hashing ranks highest for the target. If the fleet's allowance is
//! smaller than the number of instances, only the highest-ranked ones may use the target.

use std::hash::Hash;

use sg_types::prelude::*;

use crate::hash::Object;

/// Length of the sliding window over which requests are counted.
const WINDOW: Span = Span::from_secs(1);

/// Returns how many requests `own` may send to a cold target per second, so that the whole fleet
/// sends at most `rate`. `instances` are all instances that may send, including `own`; every
/// instance ranks them alike.
#[must_use]
pub fn allowance<'a, T: Hash + Ord + 'a>(
    rate: f64,
    target: &id::Target,
    own: &T,
    instances: impl IntoIterator<Item = &'a T>,
) -> u32 {
    let scope = Object::new("cold", target.as_str());
    let score = |instance: &T| (scope.score(instance), tie_break(instance));
    let own_score = score(own);
    let mut count = 0u32;
    let mut higher_ranked = 0u32;
    for instance in instances {
        count += 1;
        if score(instance) > own_score {
            higher_ranked += 1;
        }
    }
    let total = rate.max(0.0) as u32;
    let count = count.max(1);
    let extra = u32::from(higher_ranked < total % count);
    total / count + extra
}

/// Returns a second score that orders instances with equal scores.
fn tie_break<T: Hash>(instance: &T) -> u64 {
    Object::new("order", instance).score(0u8)
}

/// Sliding window of one second that counts sent requests.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sent: Vec<Instant>,
}

impl Window {
    /// Returns whether one more request may be sent under `allowance`.
    #[must_use]
    pub fn has_room(&self, allowance: u32, now: Instant) -> bool {
        let recent = self.sent.iter().filter(|at| now.since(**at) < WINDOW);
        (recent.count() as u32) < allowance
    }

    /// Records a request that is sent at `now`.
    pub fn record(&mut self, now: Instant) {
        self.sent.retain(|at| now.since(*at) < WINDOW);
        self.sent.push(now);
    }
}
