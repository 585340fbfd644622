//! Computes the goodput of client accounts against the calls that are due, and counts wrongful refusals.

use sg_tree::view::Account;
use sg_types::prelude::*;

use crate::{
    history::{AttemptResult, Call, History},
    report::{AccountGoodput, WrongfulRefusals},
};

/// Returns the goodput of the client account with the lowest ratio of goodput to due calls.
pub(super) fn worst_account(history: &History) -> Option<AccountGoodput> {
    let goodputs = history.view.accounts.iter();
    let goodputs = goodputs.filter_map(|(name, account)| goodput_of(history, name, account));
    goodputs.min_by(|a, b| a.share.total_cmp(&b.share))
}

fn goodput_of(history: &History, name: &id::Account, account: &Account) -> Option<AccountGoodput> {
    let calls: Vec<_> = history
        .calls
        .iter()
        .filter(|call| call.account == *name && is_eligible(history, call))
        .collect();
    if calls.is_empty() {
        return None;
    }
    let seconds = history.plan.duration.as_secs_f64().max(f64::EPSILON);
    let allowed = account.rate.as_f64() * seconds + f64::from(account.burst);
    let due = (calls.len() as f64).min(allowed);
    let good = calls.iter().filter(|call| call.is_success()).count() as f64;
    Some(AccountGoodput {
        account: name.clone(),
        goodput: good / seconds,
        due: due / seconds,
        share: (good / due).min(1.0),
    })
}

/// Counts refusals of calls inside the rate and burst of their account. For an account that exceeds
/// its rate only the number of refused calls matters, not which calls are refused.
pub(super) fn wrongful_refusals(history: &History) -> WrongfulRefusals {
    let mut due_total = 0;
    let mut count = 0;
    for (name, account) in &history.view.accounts {
        let due = within_rate(history, name, account).len() as u64;
        let own = history.calls.iter().filter(|call| call.account == *name);
        let served = own.filter(|call| is_eligible(history, call) && !is_refused(call));
        due_total += due;
        count += due.saturating_sub(served.count() as u64);
    }
    let share = match due_total {
        0 => 0.0,
        due_total => count as f64 / due_total as f64,
    };
    WrongfulRefusals { count, share }
}

/// Returns the calls of an account that a token bucket of its rate and burst admits.
fn within_rate<'a>(history: &'a History, name: &id::Account, account: &Account) -> Vec<&'a Call> {
    let burst = f64::from(account.burst);
    let mut tokens = burst;
    let mut last = history.start;
    let mut within = Vec::new();
    for call in history.calls.iter().filter(|call| call.account == *name) {
        let gained = account.rate.as_f64() * call.intended.since(last).as_secs_f64();
        tokens = (tokens + gained).min(burst);
        last = call.intended;
        if tokens >= 1.0 {
            tokens -= 1.0;
            if is_eligible(history, call) {
                within.push(call);
            }
        }
    }
    within
}

/// Returns whether the call failed and certainly did not run. A call whose outcome is unknown is not
/// refused.
fn is_refused(call: &Call) -> bool {
    !call.is_success()
        && call
            .last_result()
            .is_some_and(AttemptResult::is_certainly_not_run)
}

/// Returns whether a refusal of the call would be wrongful: the call crashes no target and its key is
/// valid.
fn is_eligible(history: &History, call: &Call) -> bool {
    let path = format!("/accounts/{}/keys/{}/withdrawn", call.account, call.key);
    let withdrawn = history
        .events
        .iter()
        .any(|event| event.fault.value_at(&path) == Some("yes") && call.done >= event.requested);
    let has_withdrawn_key = withdrawn && call.keyed;
    !call.poison && !has_withdrawn_key
}
