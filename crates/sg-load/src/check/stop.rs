//! Checks that planned stops of entries are graceful.

use sg_types::prelude::*;

use super::{Promise, RunsByCall, Violation, runs_of};
use crate::{
    history::{Attempt, AttemptResult, Call, Event, History},
    plan::{Action, Fault},
};

pub(super) fn check(history: &History, runs: &RunsByCall<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in &history.events {
        let Some(instance) = stopped_entry(event) else {
            continue;
        };
        if event.done.is_none() {
            let seen = "the process did not end by itself with exit code 0";
            violations.push(Violation::new(
                Promise::GracefulStop,
                instance.as_str(),
                seen,
            ));
        }
        let calls = history.calls.iter().filter(|call| !call.poison);
        let lost_calls = calls.filter(|call| is_lost(call, instance, event, runs));
        violations.extend(lost_calls.map(|call| {
            let seen = format!("the call ran, and {instance} lost its response in a planned stop");
            Violation::new(Promise::GracefulStop, call.id.as_ref(), seen)
        }));
    }
    violations
}

/// Returns the entry that the event requests to stop.
fn stopped_entry(event: &Event) -> Option<&id::Instance> {
    match &event.fault {
        Fault::Entry { instance, action } if *action == Action::Stop => Some(instance),
        _ => None,
    }
}

/// Returns whether the call ran through the entry and its response was lost while the entry stopped.
fn is_lost(call: &Call, instance: &id::Instance, event: &Event, runs: &RunsByCall<'_>) -> bool {
    let stop_end = event.done.unwrap_or(event.requested);
    let overlaps_stop = |attempt: &&Attempt| {
        attempt.entry == *instance && attempt.ended >= event.requested && attempt.began <= stop_end
    };
    let mut attempts = call.attempts.iter().filter(overlaps_stop);
    let ran_during = |attempt: &Attempt| {
        let within = |start: u64| {
            start >= super::micros(attempt.began) && start <= super::micros(attempt.ended)
        };
        runs_of(runs, call)
            .iter()
            .any(|target_run| within(target_run.run.start_us))
    };
    attempts.any(|attempt| attempt.result == AttemptResult::Lost && ran_during(attempt))
}
