//! Admission: the client account's budget and the instance's limit of concurrent work.

use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    call::Call,
    fair::Place,
    gate::{Admission, Parts, Refusal},
    key::Holder,
    limit::Permit,
    reply::Refused,
    shared::Shared,
};

/// The total time a request waits for budget.
const MOST_WAIT: Span = Span::from_secs(1);
/// The interval between attempts to take from the budget.
const STEP: Span = Span::from_millis(20);
/// The `Retry-After` when a queue is full.
const QUEUE_RETRY: Span = Span::from_secs(1);
/// The weight and the queue limit of open routes.
const OPEN_WEIGHT: u32 = 1;
const OPEN_QUEUE: u32 = 64;

/// Refuses a request that is over its account's rate before its body is read.
///
/// # Errors
/// The rejection.
pub fn peek<P: Parts>(shared: &Shared<P>, holder: Option<&Holder>) -> Result<(), Refused> {
    let Some(holder) = holder else {
        return Ok(());
    };
    let now = shared.timer.now();
    match shared.gates.admission().peek(&holder.account, now) {
        Err(refusal) if !refusal.may_wait => Err(over_rate(refusal)),
        _ => Ok(()),
    }
}

/// Waits for a permit, then takes the request from its account's budget. Nothing waits between
/// taking from the budget and the first attempt.
///
/// # Errors
/// The rejection; the request has not run.
pub async fn admit<P: Parts>(
    shared: &Shared<P>,
    view: &View,
    call: &Call,
) -> Result<Permit, Refused> {
    let give_up = call.deadline.min(shared.timer.now() + MOST_WAIT);
    let place = place(view, call);
    let mut waiter = None;
    loop {
        let class = call.account().cloned();
        let entered = shared.limit.enter(class, place).await;
        let permit = entered.map_err(|reason| Refused::not_run(reason).after(QUEUE_RETRY))?;
        let allowed = shared.allows(&call.terms, call.holder.as_ref(), call.deadline);
        allowed.map_err(Refused::not_run)?;
        let Err(refusal) = take(shared, call) else {
            return Ok(permit);
        };
        drop(permit);
        let now = shared.timer.now();
        if !refusal.may_wait || now + STEP >= give_up {
            return Err(over_rate(refusal));
        }
        if waiter.is_none() {
            waiter = call
                .account()
                .and_then(|account| shared.waiting.begin(account, place.limit));
            shared.metric.queued.inc();
        }
        if waiter.is_none() {
            return Err(Refused::not_run(Reason::QueueFull).after(refusal.retry_after));
        }
        shared.timer.sleep(refusal.retry_after.min(STEP)).await;
    }
}

fn take<P: Parts>(shared: &Shared<P>, call: &Call) -> Result<(), Refusal> {
    match call.account() {
        Some(account) => shared.gates.admission().admit(account, shared.timer.now()),
        None => Ok(()),
    }
}

fn place(view: &View, call: &Call) -> Place {
    let account = call
        .account()
        .and_then(|account| view.accounts.get(account));
    Place {
        weight: account.map_or(OPEN_WEIGHT, |account| account.priority),
        limit: account.map_or(OPEN_QUEUE, |account| account.queue_limit),
        deadline: call.deadline,
    }
}

fn over_rate(refusal: Refusal) -> Refused {
    Refused::not_run(Reason::OverRate).after(refusal.retry_after)
}
