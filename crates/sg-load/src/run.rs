//! Runs a plan from the first call to the report.

use std::sync::Arc;

use reqwest::Client;
use sg_clock::Timer;
use sg_types::prelude::*;
use tokio::task::JoinSet;

use crate::{
    caller::Callers,
    collect,
    fault::{self, Commands, Driver},
    history::{Call, Event, History},
    lookup, measure,
    plan::{self, Plan},
    report::Report,
    schedule::{PlannedCall, schedule},
};

/// Time from the start of the run to the first scheduled call.
const LEAD_TIME: Span = Span::from_millis(200);

/// Interval between progress reports.
const PROGRESS_INTERVAL: Span = Span::from_secs(2);

/// Why a run failed before its report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The plan can't be used.
    #[error(transparent)]
    Plan(#[from] plan::Error),
    /// The faults can't be carried out.
    #[error(transparent)]
    Fault(#[from] fault::Error),
    /// The run can't be measured.
    #[error(transparent)]
    Measure(#[from] measure::Error),
    /// Some entries don't answer lookups.
    #[error("these entries answer no look-ups: {0:?}; see their logs, or name others in the plan")]
    NotReady(Vec<id::Instance>),
    /// The HTTP client can't be built.
    #[error("the HTTP client can't be built: {0}; check the source addresses of the plan")]
    Client(#[from] reqwest::Error),
}

/// Interval between readiness checks of the entries.
const READY_INTERVAL: Span = Span::from_millis(100);

/// Delay between readiness of all entries and the first call.
const SETTLE_TIME: Span = Span::from_secs(2);

/// Waits for at most `timeout` until every entry of the plan answers lookups.
///
/// # Errors
/// [`Error::NotReady`] with the entries that don't.
pub async fn wait_until_ready(plan: &Plan, timeout: Span) -> Result<(), Error> {
    let timer = Timer::new();
    let view = plan.view()?;
    let client = Client::builder().no_proxy().build()?;
    let Some(service) = view.services.keys().next() else {
        return Ok(());
    };
    let deadline = timer.now() + timeout;
    loop {
        let unready = lookup::unready(&client, &plan.entries, service).await;
        if unready.is_empty() {
            break;
        }
        if timer.now() > deadline {
            return Err(Error::NotReady(unready));
        }
        timer.sleep(READY_INTERVAL).await;
    }
    timer.sleep(SETTLE_TIME).await;
    Ok(())
}

/// Receives the progress of a run.
pub trait Progress {
    /// Reports that `made` of `all` calls were made.
    fn calls_made(&mut self, made: usize, all: usize);
}

/// Carries out `plan` and reports.
///
/// # Errors
/// [`Error`] if the run could not be carried out. A broken promise is part of the report, not an
/// error.
pub async fn run(
    plan: Plan,
    commands: Option<Commands>,
    progress: &mut impl Progress,
) -> Result<Report, Error> {
    let history = record(plan, commands, progress).await?;
    Ok(measure::measure(&history)?)
}

/// Carries out `plan` and returns its history.
///
/// # Errors
/// [`Error`] if the run could not be carried out.
pub async fn record(
    plan: Plan,
    commands: Option<Commands>,
    progress: &mut impl Progress,
) -> Result<History, Error> {
    let timer = Timer::new();
    let view = plan.view()?;
    // Fakes that go silent ignore their open connections, so each fault needs a new connection.
    let client = Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .build()?;
    let driver = Driver::new(
        timer.clone(),
        client.clone(),
        &plan,
        plan.read_tree()?,
        &view,
        commands,
    )?;
    let callers = Arc::new(Callers::new(timer.clone(), plan.clone(), view.clone())?);
    let start = timer.now() + LEAD_TIME;
    let faults = tokio::spawn(run_faults(timer.clone(), driver, plan.clone(), start));
    let calls = make_calls(&timer, &callers, &plan, start, progress).await;
    let events = match faults.await {
        Ok(events) => events?,
        Err(_) => Vec::new(),
    };
    let collected = collect::collect(&timer, &client, &view).await;
    Ok(History {
        plan,
        view,
        calls,
        events,
        targets: collected.observations,
        missing: collected.missing,
        start,
    })
}

async fn run_faults(
    timer: Timer,
    driver: Driver,
    plan: Plan,
    start: Instant,
) -> Result<Vec<Event>, fault::Error> {
    let mut timed: Vec<_> = plan.faults.iter().enumerate().collect();
    timed.sort_by_key(|(_, timed)| timed.at);
    let mut events = Vec::new();
    for (number, timed) in timed {
        timer.sleep_until(start + timed.at).await;
        events.push(driver.carry_out(number, &timed.fault).await?);
    }
    Ok(events)
}

/// Makes every call at its scheduled time, whether or not earlier calls are complete.
async fn make_calls(
    timer: &Timer,
    callers: &Arc<Callers>,
    plan: &Plan,
    start: Instant,
    progress: &mut impl Progress,
) -> Vec<Call> {
    let planned_calls = schedule(plan);
    let all = planned_calls.len();
    let mut tasks = JoinSet::new();
    let mut last_report = start;
    for (number, planned) in planned_calls.into_iter().enumerate() {
        timer.sleep_until(start + planned.at).await;
        if timer.now().since(last_report) > PROGRESS_INTERVAL {
            last_report = timer.now();
            progress.calls_made(number, all);
        }
        tasks.spawn(make_call(
            callers.clone(),
            plan.seed,
            number,
            planned,
            start,
        ));
    }
    let mut calls: Vec<_> = tasks.join_all().await.into_iter().flatten().collect();
    calls.sort_by_key(|call: &Call| call.intended);
    calls
}

async fn make_call(
    callers: Arc<Callers>,
    seed: u64,
    number: usize,
    planned: PlannedCall,
    start: Instant,
) -> Option<Call> {
    let id: Arc<str> = format!("{seed}-{number}").into();
    callers.call(id, &planned, start + planned.at).await
}
