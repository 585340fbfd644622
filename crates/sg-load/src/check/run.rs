//! Checks that requests ran as reported to their callers.

use sg_types::prelude::*;

use super::{Promise, RunsByCall, TargetRun, Violation, runs_of};
use crate::history::{AttemptResult, Call, History};

pub(super) fn check(history: &History, runs: &RunsByCall<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    // Calls that crash targets share one path, so their runs can't be assigned to calls.
    for call in history.calls.iter().filter(|call| !call.poison) {
        let call_runs = runs_of(runs, call);
        violations.extend(false_not_run(call, call_runs));
        violations.extend(repeated_run(call, call_runs));
        violations.extend(missing_run(call, call_runs));
    }
    violations
}

/// Returns a violation if a call ran although no attempt could have run by what its caller observed:
/// each was not sent or was reported as not run.
fn false_not_run(call: &Call, call_runs: &[TargetRun<'_>]) -> Option<Violation> {
    let is_known_not_run = !call.attempts.is_empty()
        && call
            .attempts
            .iter()
            .all(|a| a.result.is_certainly_not_run());
    let first = call_runs.first().filter(|_| is_known_not_run)?;
    let reason = call.last_result().and_then(AttemptResult::reason);
    let seen = format!(
        "{} ran it; its caller was told 'not-run' for '{}'",
        first.target.name,
        reason.map_or("no reason", Reason::as_str)
    );
    Some(Violation::new(
        Promise::NotRunIsTrue,
        call.id.as_ref(),
        seen,
    ))
}

/// Returns a violation if a call that may not be repeated ran more than once.
fn repeated_run(call: &Call, call_runs: &[TargetRun<'_>]) -> Option<Violation> {
    if call.repeatable || call_runs.len() < 2 {
        return None;
    }
    let targets: Vec<_> = call_runs
        .iter()
        .map(|target_run| target_run.target.name.as_str())
        .collect();
    let seen = format!(
        "it ran {} times, on {}",
        call_runs.len(),
        targets.join(", ")
    );
    Some(Violation::new(
        Promise::RunsAtMostOnce,
        call.id.as_ref(),
        seen,
    ))
}

/// Returns a violation if a caller got a response although no target ran the call.
fn missing_run(call: &Call, call_runs: &[TargetRun<'_>]) -> Option<Violation> {
    let has_response = call
        .attempts
        .iter()
        .any(|attempt| attempt.result.is_success());
    if !has_response || !call_runs.is_empty() {
        return None;
    }
    let seen = "its caller got a response, but no target ran it";
    Some(Violation::new(Promise::RanIsTrue, call.id.as_ref(), seen))
}
