//! Decides when a request that may be repeated gives up on a target that is slow to respond.
//!
//! The load: a few targets are several times slower than the others, and a request sent to one of them
//! misses its deadline there. But a second send starts anew, most likely at a target where its object is
//! cold. Given up too early, or with too little time left for a cold run, the request loses what the first
//! target had nearly done and misses its deadline all the same.

use crate::pool::Choice;

/// Time after which a request gives up on a target, as a multiple of the longest duration expected of a
/// healthy one. A smaller factor would discard work that is nearly done.
const SLOW_TARGET_FACTOR: f64 = 1.5;

/// Returns after how many seconds a request that was assigned to `choice` gives up on that target, if it has
/// `remaining_seconds` for its response; `None` if a second send could not respond in time any more.
#[must_use]
pub fn patience_seconds(choice: &Choice, remaining_seconds: f64) -> Option<f64> {
    let patience = choice.expected_if_cold_seconds * SLOW_TARGET_FACTOR;
    let second_send = choice.expected_if_cold_seconds - choice.queue_wait_seconds;
    (patience + second_send <= remaining_seconds).then_some(patience)
}
