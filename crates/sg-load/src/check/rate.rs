//! Checks that no account got more than its rate and burst over any window.
//!
//! A request was admitted after its caller first sent it and before it began to run. A window that
//! contains both ends of more requests than rate and burst allow is a certain violation, whatever
//! happened in between.

use sg_tree::view::Account;
use sg_types::prelude::*;

use super::{CLOCK_ERROR, Promise, RunsByCall, Violation, micros, runs_of};
use crate::{
    history::{Call, History},
    plan::Fault,
};

/// The earliest and latest possible admission time of a request.
#[derive(Debug, Clone, Copy)]
struct AdmissionWindow {
    after_us: u64,
    before_us: u64,
}

/// The window with the most requests above the allowed number.
#[derive(Debug, Clone, Copy)]
struct Excess {
    requests: usize,
    allowed: f64,
    span_us: u64,
}

pub(super) fn check(history: &History, runs: &RunsByCall<'_>) -> Vec<Violation> {
    let accounts = history.view.accounts.iter();
    let steady = accounts.filter(|(name, _)| !limits_change(history, name));
    steady
        .filter_map(|(name, account)| account_violation(history, runs, name, account))
        .collect()
}

/// Returns whether the run changes the rate or burst of the account.
fn limits_change(history: &History, name: &id::Account) -> bool {
    let paths = [
        format!("/accounts/{name}/rate"),
        format!("/accounts/{name}/burst"),
    ];
    let changes_limits = |fault: &Fault| paths.iter().any(|path| fault.value_at(path).is_some());
    history
        .events
        .iter()
        .any(|event| changes_limits(&event.fault))
}

fn account_violation(
    history: &History,
    runs: &RunsByCall<'_>,
    name: &id::Account,
    account: &Account,
) -> Option<Violation> {
    let calls = history.calls.iter();
    let own = calls.filter(|call| call.keyed && !call.poison && call.account == *name);
    let admitted: Vec<_> = own
        .filter_map(|call| admission_window(call, runs))
        .collect();
    let worst = worst_excess(admitted, account)?;
    let seen = format!(
        "{} requests within {} ms; {:.1} are allowed",
        worst.requests,
        worst.span_us / 1_000,
        worst.allowed
    );
    Some(Violation::new(Promise::RateAndBurst, name.as_str(), seen))
}

fn admission_window(call: &Call, runs: &RunsByCall<'_>) -> Option<AdmissionWindow> {
    let call_runs = runs_of(runs, call);
    let before_us = call_runs
        .iter()
        .map(|target_run| target_run.run.start_us)
        .min()?;
    let after_us = micros(call.attempts.first()?.began).min(before_us);
    Some(AdmissionWindow {
        after_us,
        before_us,
    })
}

fn worst_excess(mut admitted: Vec<AdmissionWindow>, account: &Account) -> Option<Excess> {
    admitted.sort_by_key(|one| one.before_us);
    let rate = account.rate.as_f64();
    let mut worst: Option<Excess> = None;
    for first in &admitted {
        let mut requests = 0;
        for one in admitted.iter().filter(|one| one.after_us >= first.after_us) {
            requests += 1;
            let span_us = one.before_us.saturating_sub(first.after_us);
            let span = Span::from_micros(span_us) + CLOCK_ERROR;
            let allowed = f64::from(account.burst) + rate * span.as_secs_f64();
            let excess = requests as f64 - allowed;
            let most = worst.map_or(0.0, |worst| worst.requests as f64 - worst.allowed);
            if excess > most {
                worst = Some(Excess {
                    requests,
                    allowed,
                    span_us,
                });
            }
        }
    }
    worst
}
