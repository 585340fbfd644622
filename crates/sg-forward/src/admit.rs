//! Admission: the client account's budget and the instance's limit of concurrent work.

use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    call::Call,
    dependencies::{Admission, BudgetRefusal, DependencySet},
    fair_queue::QueueParams,
    key::Holder,
    limit::Permit,
    reply::Refusal,
    shared::Shared,
};

/// The total time a request waits for budget.
const MAX_BUDGET_WAIT: Span = Span::from_secs(1);
/// The interval between attempts to take from the budget.
const BUDGET_POLL_INTERVAL: Span = Span::from_millis(20);
/// The `Retry-After` when a queue is full.
const QUEUE_RETRY: Span = Span::from_secs(1);
/// The weight of open routes in the fair queue.
const OPEN_ROUTES_WEIGHT: u32 = 1;
/// The largest number of waiting requests for open routes.
const OPEN_ROUTES_QUEUE_LIMIT: u32 = 64;

/// Refuses a request that is over its account's rate before its body is read.
///
/// # Errors
/// The refusal.
pub fn check_rate<P: DependencySet>(
    shared: &Shared<P>,
    holder: Option<&Holder>,
) -> Result<(), Refusal> {
    let Some(holder) = holder else {
        return Ok(());
    };
    let now = shared.timer.now();
    match shared.dependencies.admission().check(&holder.account, now) {
        Err(exhausted) if !exhausted.may_wait => Err(over_rate(exhausted)),
        _ => Ok(()),
    }
}

/// Waits for a permit, then takes the request from its account's budget. Nothing waits between
/// taking from the budget and the first attempt.
///
/// # Errors
/// The refusal; the request has not run.
pub async fn admit<P: DependencySet>(
    shared: &Shared<P>,
    view: &View,
    call: &Call,
) -> Result<Permit, Refusal> {
    let wait_end = call.deadline.min(shared.timer.now() + MAX_BUDGET_WAIT);
    let params = queue_params(view, call);
    let mut waiter = None;
    loop {
        let class = call.account().cloned();
        let acquired = shared.concurrency.acquire(class, params).await;
        let permit =
            acquired.map_err(|reason| Refusal::not_run(reason).with_retry_after(QUEUE_RETRY))?;
        let allowed = shared.check_allowed(&call.settings, call.holder.as_ref(), call.deadline);
        allowed.map_err(Refusal::not_run)?;
        let Err(exhausted) = take_from_budget(shared, call) else {
            return Ok(permit);
        };
        drop(permit);
        let now = shared.timer.now();
        if !exhausted.may_wait || now + BUDGET_POLL_INTERVAL >= wait_end {
            return Err(over_rate(exhausted));
        }
        if waiter.is_none() {
            waiter = call
                .account()
                .and_then(|account| shared.budget_waiters.begin(account, params.limit));
            shared.metrics.queued.inc();
        }
        if waiter.is_none() {
            return Err(Refusal::not_run(Reason::QueueFull).with_retry_after(exhausted.retry_after));
        }
        shared
            .timer
            .sleep(exhausted.retry_after.min(BUDGET_POLL_INTERVAL))
            .await;
    }
}

fn take_from_budget<P: DependencySet>(
    shared: &Shared<P>,
    call: &Call,
) -> Result<(), BudgetRefusal> {
    match call.account() {
        Some(account) => shared
            .dependencies
            .admission()
            .admit(account, shared.timer.now()),
        None => Ok(()),
    }
}

fn queue_params(view: &View, call: &Call) -> QueueParams {
    let account = call
        .account()
        .and_then(|account| view.accounts.get(account));
    QueueParams {
        weight: account.map_or(OPEN_ROUTES_WEIGHT, |account| account.priority),
        limit: account.map_or(OPEN_ROUTES_QUEUE_LIMIT, |account| account.queue_limit),
        deadline: call.deadline,
    }
}

fn over_rate(exhausted: BudgetRefusal) -> Refusal {
    Refusal::not_run(Reason::OverRate).with_retry_after(exhausted.retry_after)
}
