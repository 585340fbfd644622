//! The outcome as a pure function of the attempts.

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

/// What a target that keeps count knows: whether bytes reached it that it did not disown.
fn reached(steps: &[Step]) -> bool {
    let safe = [Step::ConnectFailed, Step::Shed, Step::Leaving];
    steps.iter().any(|step| !safe.contains(step))
}

/// Whether a verdict is true of the steps.
fn is_true(steps: &[Step], verdict: (Outcome, Reason)) -> bool {
    match verdict.0 {
        Outcome::NotRun => !reached(steps),
        Outcome::Unknown => reached(steps),
        Outcome::Ran => false,
    }
}

quickcheck! {
    fn not_run_is_said_only_if_no_attempt_may_have_run(steps: Steps) -> bool {
        let mut history = History::default();
        steps.0.iter().for_each(|step| history.push(*step));
        history.refuse(Reason::NoTarget);
        is_true(&steps.0, history.verdict())
    }

    fn a_request_that_may_not_be_repeated_moves_on_only_untouched(steps: Steps) -> bool {
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
        let own = matches!(reason, Reason::Answered | Reason::Replayed);
        let status = format!("| {} |", reason.status());
        assert!(own || row.contains(&status), "{row}");
    }
}

#[test]
fn a_verdict_by_the_last_attempt_alone_would_be_caught() {
    let steps = [Step::Lost, Step::ConnectFailed];
    let mut careless = History::default();
    careless.push(steps[1]);
    assert!(!is_true(&steps, careless.verdict()));
    let mut history = History::default();
    steps.iter().for_each(|step| history.push(*step));
    assert!(is_true(&steps, history.verdict()));
}
