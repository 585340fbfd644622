//! Decides whether an instance that stops takes another request.
//!
//! The load: other instances serve a request that is refused unrun, but one that is broken off at the stop may have
//! run. The work of requests varies by several times its average, and a target may have a queue.

use crate::pool::Choice;

/// Time that a request may be under way and wait at its target, as a multiple of the expected time.
const WAIT_FACTOR: f64 = 1.5;

/// The time that is left for a request, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Left {
    /// Until the request ends by its own deadline.
    pub to_deadline: f64,
    /// Until the instance answers the requests in flight.
    pub to_stop: f64,
}

/// Returns whether the stop is not expected to break off a request that was assigned to `choice`.
/// `longest_ratio` is the ratio of the longest work to the expected work.
#[must_use]
pub fn may_take(choice: &Choice, longest_ratio: f64, left: Left) -> bool {
    if left.to_deadline <= left.to_stop {
        return true;
    }
    let wait_seconds = choice.expected_seconds - choice.work_seconds;
    let work_seconds = choice.expected_if_cold_seconds - wait_seconds;
    wait_seconds * WAIT_FACTOR + work_seconds * longest_ratio <= left.to_stop
}
