//! Checks the promises by comparing the records of targets with what callers observed.

mod answer;
mod drain;
mod key;
mod rate;
mod run;
mod stop;

pub(crate) use drain::drain_event;
use serde::{Deserialize, Serialize};
use sg_fake::target::Run;
use sg_types::prelude::*;

use crate::history::{Call, History, Observation};

/// A promise whose violation the checks can detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    RunsAtMostOnce,
    /// A response that is reported as a target's comes from a target.
    RanIsTrue,
    /// No target receives the key of a caller.
    KeyStaysHere,
    /// A request runs only for the account of the key that it carries.
    OwnAccount,
    /// A caller gets the response to its own request.
    OwnAnswer,
    /// A caller gets the complete response.
    WholeAnswer,
    /// A withdrawn key stops working within seconds.
    KeyWithdrawal,
    /// No account gets more than its rate and burst.
    RateAndBurst,
    /// A leaving target gets no new work after a few seconds.
    LeavingTarget,
    /// Every planned stop is graceful.
    GracefulStop,
    /// Every target returned complete records, which the other checks need.
    Evidence,
}

/// Time for which a withdrawn key or a leaving target may still be used.
pub const GRACE_PERIOD: Span = Span::from_secs(5);

/// The largest remaining difference between the clocks of a target and of this program after
/// alignment.
pub const CLOCK_ERROR: Span = Span::from_millis(10);

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The affected call, target or account.
    pub subject: String,
    /// A description of the violation.
    pub seen: String,
}

impl Violation {
    fn new(promise: Promise, subject: impl Into<String>, seen: impl Into<String>) -> Self {
        Self {
            promise,
            subject: subject.into(),
            seen: seen.into(),
        }
    }
}

/// A run and its target.
#[derive(Debug, Clone, Copy)]
struct TargetRun<'a> {
    target: &'a Observation,
    run: &'a Run,
}

/// All runs by the call ID in their path.
type RunsByCall<'a> = IndexMap<&'a str, Vec<TargetRun<'a>>>;

/// Returns the call ID in a path.
fn call_of(path: &str) -> &str {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default()
}

fn runs_by_call(history: &History) -> RunsByCall<'_> {
    let mut runs = RunsByCall::new();
    for target in &history.targets {
        for run in &target.records.runs {
            let call_runs: &mut Vec<_> = runs.entry(call_of(&run.path)).or_default();
            call_runs.push(TargetRun { target, run });
        }
    }
    runs
}

fn runs_of<'a>(runs: &'a RunsByCall<'a>, call: &Call) -> &'a [TargetRun<'a>] {
    runs.get(call.id.as_ref()).map_or(&[], Vec::as_slice)
}

fn micros(instant: Instant) -> u64 {
    instant.as_nanos() / 1_000
}

/// Returns every violation of a promise in the history.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let runs = runs_by_call(history);
    let mut violations = evidence(history);
    violations.extend(run::check(history, &runs));
    violations.extend(answer::check(history));
    violations.extend(key::check(history, &runs));
    violations.extend(rate::check(history, &runs));
    violations.extend(drain::check(history));
    violations.extend(stop::check(history, &runs));
    violations
}

fn evidence(history: &History) -> Vec<Violation> {
    let unreachable = history.missing.iter().map(|name| {
        Violation::new(
            Promise::Evidence,
            name.as_str(),
            "its records could not be fetched",
        )
    });
    let incomplete = history.targets.iter().filter(|t| t.records.forgotten > 0);
    let incomplete = incomplete.map(|target| {
        let seen = format!(
            "{} runs are missing from its records",
            target.records.forgotten
        );
        Violation::new(Promise::Evidence, target.name.as_str(), seen)
    });
    unreachable.chain(incomplete).collect()
}
