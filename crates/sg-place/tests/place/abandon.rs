//! What callers get if requests give up on slow targets, by how much time the route leaves.

use sg_place::{abandon::patience_seconds, pool::Choice};

use crate::{at, target};

const WARM_SECONDS: f64 = 0.8;
const COLD_SECONDS: f64 = 2.7;

fn choice(is_warm: bool) -> Choice {
    let work_seconds = if is_warm { WARM_SECONDS } else { COLD_SECONDS };
    Choice {
        target: target("t0", "west", 9),
        warm: is_warm,
        expected_seconds: work_seconds,
        expected_if_cold_seconds: COLD_SECONDS,
        round_trip_seconds: 0.0,
        queue_wait_seconds: 0.0,
        work_seconds,
        is_highest_ranked: true,
        leaves_region: false,
        chosen_at: at(0),
    }
}

/// Returns how long the caller waits for the response of a first target that takes `seconds`, if a second
/// one is healthy and cold.
fn response_seconds(choice: &Choice, seconds: f64, remaining_seconds: f64) -> f64 {
    match patience_seconds(choice, remaining_seconds) {
        Some(patience) if patience < seconds => patience + COLD_SECONDS,
        _ => seconds,
    }
}

#[test]
fn request_that_gives_up_responds_in_time() {
    for remaining_seconds in [1.0, 3.0, 6.0, 6.8, 12.0] {
        for is_warm in [true, false] {
            let choice = choice(is_warm);
            if patience_seconds(&choice, remaining_seconds).is_some() {
                let response = response_seconds(&choice, f64::MAX, remaining_seconds);
                assert!(response <= remaining_seconds, "{remaining_seconds}");
            }
        }
    }
}

/// An object that was taken for warm may have been evicted. The target is not slow then.
#[test]
fn healthy_target_where_the_object_turns_out_cold_is_not_given_up() {
    for remaining_seconds in [3.0, 12.0] {
        let response = response_seconds(&choice(true), COLD_SECONDS, remaining_seconds);
        assert!((response - COLD_SECONDS).abs() < 1e-9);
    }
}

#[test]
fn slow_target_is_given_up_while_there_is_time_for_a_cold_run() {
    let slow = COLD_SECONDS * 5.0;
    assert!(response_seconds(&choice(true), slow, 12.0) < 12.0);
    assert_eq!(patience_seconds(&choice(true), 3.0), None);
}

/// All times multiplied by the same factor give the same decision.
#[test]
fn decision_has_no_time_of_its_own() {
    for factor in [0.01, 0.1, 10.0] {
        let mut scaled = choice(true);
        scaled.expected_if_cold_seconds *= factor;
        for remaining_seconds in [3.0, 6.7, 6.8, 12.0] {
            let patience = patience_seconds(&choice(true), remaining_seconds);
            let scaled = patience_seconds(&scaled, remaining_seconds * factor);
            assert_eq!(patience.is_some(), scaled.is_some());
        }
    }
}
