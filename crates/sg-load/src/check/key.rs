//! Checks that keys never reach a target, identify their account, and stop working when withdrawn.

use sg_types::prelude::*;

use super::{
    CLOCK_ERROR, GRACE_PERIOD, Promise, RunsByCall, TargetRun, Violation, micros, runs_of,
};
use crate::history::{Call, Event, History};

pub(super) fn check(history: &History, runs: &RunsByCall<'_>) -> Vec<Violation> {
    let mut violations = key_leaks(history);
    for call in history.calls.iter().filter(|call| call.keyed) {
        let ran = runs_of(runs, call);
        violations.extend(
            ran.iter()
                .filter_map(|ran| run_for_other_account(call, ran)),
        );
        violations.extend(
            ran.iter()
                .filter_map(|ran| run_after_withdrawal(history, call, ran)),
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

fn run_for_other_account(call: &Call, ran: &TargetRun<'_>) -> Option<Violation> {
    let account = ran.run.account.as_deref();
    if account == Some(call.account.as_str()) {
        return None;
    }
    let seen = format!(
        "{} ran it for '{}'; its key is of '{}'",
        ran.target.name,
        account.unwrap_or("nobody"),
        call.account
    );
    Some(Violation::new(Promise::OwnAccount, call.id.as_ref(), seen))
}

fn run_after_withdrawal(history: &History, call: &Call, ran: &TargetRun<'_>) -> Option<Violation> {
    let done = history
        .events
        .iter()
        .find_map(|event| withdrawal(event, call))?;
    let last = micros(done + GRACE_PERIOD + CLOCK_ERROR);
    if ran.run.start_us <= last {
        return None;
    }
    let late = (ran.run.start_us - micros(done)) / 1_000;
    let seen = format!("it ran {late} ms after key '{}' was withdrawn", call.key);
    Some(Violation::new(
        Promise::KeyWithdrawal,
        call.id.as_ref(),
        seen,
    ))
}

/// Returns when the key of `call` was withdrawn, if `event` withdraws that key.
fn withdrawal(event: &Event, call: &Call) -> Option<Instant> {
    let path = format!("/accounts/{}/keys/{}/withdrawn", call.account, call.key);
    let withdraws = event.fault.value_at(&path) == Some("yes");
    event.done.filter(|_| withdraws)
}
