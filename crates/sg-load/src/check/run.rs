//! Checks that requests ran as reported to their callers.

use sg_types::prelude::*;

use super::{Promise, RunsByCall, TargetRun, Violation, runs_of};
use crate::history::{Call, End, History};

pub(super) fn check(history: &History, runs: &RunsByCall<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    // Calls that crash targets share one path, so their runs can't be assigned to calls.
    for call in history.calls.iter().filter(|call| !call.poison) {
        let ran = runs_of(runs, call);
        violations.extend(not_run_but_ran(call, ran));
        violations.extend(ran_twice(call, ran));
        violations.extend(ran_nowhere(call, ran));
    }
    violations
}

fn not_run_but_ran(call: &Call, ran: &[TargetRun<'_>]) -> Option<Violation> {
    let told_not_run =
        !call.attempts.is_empty() && call.attempts.iter().all(|a| a.end.is_certainly_not_run());
    let first = ran.first().filter(|_| told_not_run)?;
    let reason = call.end().and_then(End::reason);
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

fn ran_twice(call: &Call, ran: &[TargetRun<'_>]) -> Option<Violation> {
    if call.repeatable || ran.len() < 2 {
        return None;
    }
    let targets: Vec<_> = ran.iter().map(|ran| ran.target.name.as_str()).collect();
    let seen = format!("it ran {} times, on {}", ran.len(), targets.join(", "));
    Some(Violation::new(
        Promise::RunsAtMostOnce,
        call.id.as_ref(),
        seen,
    ))
}

fn ran_nowhere(call: &Call, ran: &[TargetRun<'_>]) -> Option<Violation> {
    let got_response = call.attempts.iter().any(|attempt| attempt.end.is_success());
    if !got_response || !ran.is_empty() {
        return None;
    }
    let seen = "its caller got a response, but no target ran it";
    Some(Violation::new(Promise::RanIsTrue, call.id.as_ref(), seen))
}
