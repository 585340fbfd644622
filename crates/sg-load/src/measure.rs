//! Computes the report from the history of a run.

mod capacity;
mod goodput;

use hdrhistogram::Histogram;
use sg_types::prelude::*;

use crate::{
    check,
    history::{AttemptResult, Call, History},
    report::{Latencies, Latency, Outcomes, Report, RouteOutcomes},
};

/// The highest recorded latency, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Why a run can't be measured.
#[derive(Debug, thiserror::Error)]
#[error("the histogram can't be made: {0}; this is a fault of the program, please report it")]
pub struct Error(#[from] hdrhistogram::CreationError);

/// Computes the report of `history`.
///
/// # Errors
/// [`Error`] if the histograms can't be made.
pub fn measure(history: &History) -> Result<Report, Error> {
    Ok(Report {
        seed: history.plan.seed,
        calls: history.calls.len() as u64,
        latency_ms: latencies(history)?,
        headroom: capacity::headroom(history),
        drain_ms: capacity::drain_ms(history),
        worst_account: goodput::worst_account(history),
        wrongful_refusals: goodput::wrongful_refusals(history),
        refusals: failed_attempts(history),
        outcomes: outcomes(history),
        routes: routes(history),
        target_sheds: target_sheds(history),
        target_crashes: history.targets.iter().map(|t| t.records.crashes).sum(),
        failed_faults: failed_faults(history),
        violations: check::check(history),
    })
}

fn latencies(history: &History) -> Result<Latencies, Error> {
    let mut latencies = Latencies {
        all: latency(&history.calls, |_| true)?,
        ..Latencies::default()
    };
    for account in history.view.accounts.keys() {
        let latency = latency(&history.calls, |call| call.account == *account)?;
        latencies.accounts.insert(account.clone(), latency);
    }
    Ok(latencies)
}

fn latency(calls: &[Call], wanted: impl Fn(&Call) -> bool) -> Result<Latency, Error> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?;
    for call in calls
        .iter()
        .filter(|call| call.is_success() && wanted(call))
    {
        histogram.saturating_record(call.latency().as_nanos() / 1_000);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
    Ok(Latency {
        count: histogram.len(),
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
    })
}

fn failed_attempts(history: &History) -> IndexMap<Arc<str>, u64> {
    let mut refusals: IndexMap<Arc<str>, u64> = IndexMap::new();
    let attempts = history.calls.iter().flat_map(|call| &call.attempts);
    for attempt in attempts.filter(|attempt| !attempt.result.is_success()) {
        *refusals
            .entry(reason_label(&attempt.result).into())
            .or_default() += 1;
    }
    refusals.sort_keys();
    refusals
}

/// Returns the label of a failed attempt in the report: the reported reason or the kind of failure.
fn reason_label(result: &AttemptResult) -> &'static str {
    match result {
        AttemptResult::NotSent => "no-connection",
        AttemptResult::Lost => "no-answer",
        AttemptResult::Response { reason, .. } => reason.map_or("no-reason", Reason::as_str),
    }
}

fn failed_faults(history: &History) -> Vec<String> {
    let failed = history.events.iter().filter(|event| event.done.is_none());
    failed.map(|event| format!("{:?}", event.fault)).collect()
}

fn target_sheds(history: &History) -> u64 {
    let targets = history.targets.iter();
    targets
        .filter_map(|target| target.records.refused.get("shed"))
        .sum()
}

fn routes(history: &History) -> IndexMap<id::Route, RouteOutcomes> {
    let mut routes: IndexMap<id::Route, RouteOutcomes> = IndexMap::new();
    for call in &history.calls {
        let route = routes.entry(call.route.clone()).or_default();
        route.calls += 1;
        match call.last_result() {
            Some(result) if result.is_success() => route.good += 1,
            result => {
                let reason = result.map_or("no-entry", reason_label);
                *route.refusals.entry(reason.into()).or_default() += 1;
            }
        }
    }
    routes
}

fn outcomes(history: &History) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for call in &history.calls {
        outcomes.good += u64::from(call.is_success());
        let counter = match call.last_result().and_then(AttemptResult::outcome) {
            Some(Outcome::Ran) => &mut outcomes.ran,
            Some(Outcome::NotRun) => &mut outcomes.not_run,
            Some(Outcome::Unknown) => &mut outcomes.unknown,
            None => &mut outcomes.silent,
        };
        *counter += 1;
    }
    outcomes
}
