//! Tests that the outcome is a pure function of the attempts.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sg_forward::history::{Failure, History};
use sg_types::prelude::*;

const FAILURES: &[Failure] = &[
    Failure::ConnectFailed,
    Failure::Shed,
    Failure::Leaving,
    Failure::ConnectionLost,
    Failure::NoProgress,
    Failure::DeadlinePassed,
    Failure::Truncated,
    Failure::Invalid,
];

#[derive(Debug, Clone)]
struct Failures(Vec<Failure>);

impl Arbitrary for Failures {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 4;
        Self(
            (0..count)
                .filter_map(|_| g.choose(FAILURES).copied())
                .collect(),
        )
    }
}

/// Returns whether a target may have run the request: bytes reached the target, and the target did
/// not report the request as not run.
fn may_have_run(failures: &[Failure]) -> bool {
    let safe = [Failure::ConnectFailed, Failure::Shed, Failure::Leaving];
    failures.iter().any(|failure| !safe.contains(failure))
}

/// Returns whether an outcome is correct for the failures.
fn is_correct(failures: &[Failure], outcome: (Outcome, Reason)) -> bool {
    match outcome.0 {
        Outcome::NotRun => !may_have_run(failures),
        Outcome::Unknown => may_have_run(failures),
        Outcome::Ran => false,
    }
}

quickcheck! {
    fn not_run_is_reported_only_if_no_attempt_may_have_run(failures: Failures) -> bool {
        let mut history = History::default();
        failures.0.iter().for_each(|failure| history.record_failure(*failure));
        history.record_refusal(Reason::NoTarget);
        is_correct(&failures.0, history.outcome())
    }

    fn a_non_repeatable_request_is_retried_only_after_failed_connects(failures: Failures) -> bool {
        let mut history = History::default();
        failures.0.iter().for_each(|failure| history.record_failure(*failure));
        !history.may_send_again(false) || failures.0.iter().all(|failure| *failure == Failure::ConnectFailed)
    }
}

#[test]
fn the_callers_page_lists_every_reason_with_its_status() {
    let page = include_str!("../../../../docs/CALLERS.md");
    for reason in Reason::ALL {
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| `{reason}` |")));
        let row = row.unwrap_or_else(|| panic!("{reason} is missing"));
        let has_target_status = matches!(reason, Reason::Answered | Reason::Replayed);
        let status = format!("| {} |", reason.status());
        assert!(has_target_status || row.contains(&status), "{row}");
    }
}

#[test]
fn the_check_detects_an_outcome_from_the_last_attempt_alone() {
    let failures = [Failure::ConnectionLost, Failure::ConnectFailed];
    let mut last_only = History::default();
    last_only.record_failure(failures[1]);
    assert!(!is_correct(&failures, last_only.outcome()));
    let mut history = History::default();
    failures
        .iter()
        .for_each(|failure| history.record_failure(*failure));
    assert!(is_correct(&failures, history.outcome()));
}
