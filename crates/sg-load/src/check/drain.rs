//! Checks that draining and leaving targets get no new work.

use sg_types::prelude::*;

use super::{CLOCK_ERROR, GRACE_PERIOD, Promise, Violation, micros};
use crate::history::{Event, History, Observation};

pub(super) fn check(history: &History) -> Vec<Violation> {
    let targets = history.targets.iter();
    targets
        .filter_map(|observation| {
            late_offers(observation).or_else(|| late_runs(history, observation))
        })
        .collect()
}

/// Returns a violation if requests were offered to a target more than the grace period after it
/// announced that it leaves.
fn late_offers(observation: &Observation) -> Option<Violation> {
    let leaving = observation.records.leaving_us?;
    let last = leaving + span_us(GRACE_PERIOD + CLOCK_ERROR);
    let late = observation
        .records
        .leaving_offers_us
        .iter()
        .filter(|at| **at > last);
    violation(
        observation,
        late.count(),
        "offered after it announced that it leaves",
    )
}

/// Returns a violation if requests began on a target more than the grace period after the tree
/// drained it.
fn late_runs(history: &History, observation: &Observation) -> Option<Violation> {
    let drained_at = drain_event(history, observation)?.done?;
    let last = micros(drained_at + GRACE_PERIOD + CLOCK_ERROR);
    let late = observation
        .records
        .runs
        .iter()
        .filter(|run| run.start_us > last);
    violation(observation, late.count(), "run after the tree drained it")
}

fn violation(observation: &Observation, count: usize, what: &str) -> Option<Violation> {
    let text = format!("{count} requests were {what}");
    (count > 0).then(|| Violation::new(Promise::LeavingTarget, observation.name.as_str(), text))
}

/// Returns the tree change that drains the target, if the target is drained at the end of the run.
pub(crate) fn drain_event<'a>(
    history: &'a History,
    observation: &Observation,
) -> Option<&'a Event> {
    let service = history.view.services.get(&observation.service)?;
    let target = service.targets.get(&observation.name)?;
    let paths = [
        format!(
            "/services/{}/targets/{}/drain",
            observation.service, observation.name
        ),
        format!("/regions/{}/domains/{}/drain", target.region, target.domain),
        format!("/regions/{}/drain", target.region),
    ];
    let drain_setting = |event: &Event| {
        let mut values = paths.iter().map(|path| event.fault.value_at(path));
        values.find_map(|value| value.map(|value| value == "yes"))
    };
    let mut events = history.events.iter().rev();
    let last = events.find_map(|event| drain_setting(event).map(|drains| (event, drains)));
    last.and_then(|(event, drains)| drains.then_some(event))
}

fn span_us(span: Span) -> u64 {
    span.as_nanos() / 1_000
}
