//! Tests that the outcome is a pure function of the attempts.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sg_forward::history::{History, Step};
use sg_types::prelude::*;

const STEPS: &[Step] = &[
    Step::ConnectFailed,
    Step::Shed,
    Step::Leaving,
    Step::Lost,
    Step::Silent,
    Step::Late,
    Step::Cut,
    Step::Wrong,
];

#[derive(Debug, Clone)]
struct Steps(Vec<Step>);

impl Arbitrary for Steps {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 4;
        Self(
            (0..count)
                .filter_map(|_| g.choose(STEPS).copied())
                .collect(),
        )
    }
}

/// Returns whether a target may have run the request: bytes reached the target, and the target did
/// not report the request as not run.
fn may_have_run(steps: &[Step]) -> bool {
    let safe = [Step::ConnectFailed, Step::Shed, Step::Leaving];
    steps.iter().any(|step| !safe.contains(step))
}

/// Returns whether a verdict is correct for the steps.
fn is_correct(steps: &[Step], verdict: (Outcome, Reason)) -> bool {
    match verdict.0 {
        Outcome::NotRun => !may_have_run(steps),
        Outcome::Unknown => may_have_run(steps),
        Outcome::Ran => false,
    }
}

quickcheck! {
    fn not_run_is_reported_only_if_no_attempt_may_have_run(steps: Steps) -> bool {
        let mut history = History::default();
        steps.0.iter().for_each(|step| history.push(*step));
        history.refuse(Reason::NoTarget);
        is_correct(&steps.0, history.verdict())
    }

    fn a_non_repeatable_request_is_retried_only_after_failed_connects(steps: Steps) -> bool {
        let mut history = History::default();
        steps.0.iter().for_each(|step| history.push(*step));
        !history.may_go_on(false) || steps.0.iter().all(|step| *step == Step::ConnectFailed)
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
fn the_check_detects_a_verdict_from_the_last_attempt_alone() {
    let steps = [Step::Lost, Step::ConnectFailed];
    let mut last_only = History::default();
    last_only.push(steps[1]);
    assert!(!is_correct(&steps, last_only.verdict()));
    let mut history = History::default();
    steps.iter().for_each(|step| history.push(*step));
    assert!(is_correct(&steps, history.verdict()));
}
