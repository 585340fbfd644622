//! Checks that keys never reach a target, identify their account, and stop working when withdrawn.

use sg_types::prelude::*;

use super::{
    CLOCK_ERROR, GRACE_PERIOD, Promise, RunsByCall, TargetRun, Violation, micros, runs_of,
};
use crate::history::{Call, Event, History};

pub(super) fn check(history: &History, runs: &RunsByCall<'_>) -> Vec<Violation> {
    let mut violations = key_leaks(history);
    for call in history.calls.iter().filter(|call| call.keyed) {
        let call_runs = runs_of(runs, call);
        violations.extend(
            call_runs
                .iter()
                .filter_map(|target_run| run_for_other_account(call, target_run)),
        );
        violations.extend(
            call_runs
                .iter()
                .filter_map(|target_run| run_after_withdrawal(history, call, target_run)),
        );
    }
    violations
}

fn key_leaks(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for target in &history.targets {
        for run in &target.records.runs {
            let leak = history.plan.accounts.iter().find(|caller| {
                let secret = caller.secret.as_ref();
                run.path.contains(secret) || run.headers.iter().any(|h| h.value.contains(secret))
            });
            violations.extend(leak.map(|caller| {
                let seen = format!("it received key '{}' of '{}'", caller.key, caller.account);
                Violation::new(Promise::KeyStaysHere, target.name.as_str(), seen)
            }));
        }
    }
    violations
}

fn run_for_other_account(call: &Call, target_run: &TargetRun<'_>) -> Option<Violation> {
    let account = target_run.run.account.as_deref();
    if account == Some(call.account.as_str()) {
        return None;
    }
    let seen = format!(
        "{} ran it for '{}'; its key is of '{}'",
        target_run.target.name,
        account.unwrap_or("nobody"),
        call.account
    );
    Some(Violation::new(Promise::OwnAccount, call.id.as_ref(), seen))
}

fn run_after_withdrawal(
    history: &History,
    call: &Call,
    target_run: &TargetRun<'_>,
) -> Option<Violation> {
    let withdrawn_at = history
        .events
        .iter()
        .find_map(|event| withdrawal(event, call))?;
    let last = micros(withdrawn_at + GRACE_PERIOD + CLOCK_ERROR);
    if target_run.run.start_us <= last {
        return None;
    }
    let late = (target_run.run.start_us - micros(withdrawn_at)) / 1_000;
    let seen = format!("it ran {late} ms after key '{}' was withdrawn", call.key);
    Some(Violation::new(
        Promise::KeyWithdrawal,
        call.id.as_ref(),
        seen,
    ))
}

/// Returns the time at which `event` withdraws the key of `call`, if it does.
fn withdrawal(event: &Event, call: &Call) -> Option<Instant> {
    let path = format!("/accounts/{}/keys/{}/withdrawn", call.account, call.key);
    let withdraws = event.fault.value_at(&path) == Some("yes");
    event.done.filter(|_| withdraws)
}
