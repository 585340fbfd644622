//! Checks against hand-made histories: one that keeps all promises, and for each promise one that
//! violates it.

use serde_json::json;
use sg_fake::target::{self, Header, Records, Run};
use sg_load::{
    check::{self, Promise},
    history::{Attempt, AttemptResult, Body, Call, Event, History, Observation},
    measure,
    plan::{Action, Fault, Plan},
};
use sg_tree::{Node, compile};
use sg_types::prelude::*;

const TREE: &str = r#"{
  "regions": { "north": { "domains": { "n1": {} } } },
  "services": { "desk": {
    "routes": { "list": { "path": "/list", "method": "GET", "repeatable": "yes" },
                "book": { "path": "/book", "method": "POST" } },
    "targets": { "slots": 3,
                 "t1": { "address": "127.0.0.1:9", "domain": "n1" },
                 "t2": { "address": "127.0.0.1:10", "domain": "n1" } } } },
  "accounts": { "a": { "rate": "10/s", "burst": 2, "keys": {} }, "b": {} }
}"#;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

/// Returns a history without calls, with two targets that have no records.
fn empty_history() -> History {
    let plan: Plan = serde_json::from_value(json!({
        "seed": 1, "duration": "20s", "tree": "", "store": "127.0.0.1:1", "list": "127.0.0.1:2",
        "entries": [], "mix": [],
        "accounts": [{ "account": "a", "key": "k", "secret": "s3cret", "rate": "5/s" }]
    }))
    .expect("a plan");
    let tree = Node::from_json(TREE).expect("a tree");
    let view = compile::compile(&tree, Revision::new(1))
        .expect("compiles")
        .view;
    let target = |name| Observation {
        name: id(name),
        service: id("desk"),
        records: Records::default(),
    };
    History {
        plan,
        view,
        calls: Vec::new(),
        events: Vec::new(),
        targets: vec![target("t1"), target("t2")],
        missing: Vec::new(),
        start: at(0),
    }
}

fn answered(body: Body) -> AttemptResult {
    AttemptResult::Response {
        status: 200,
        outcome: Some(Outcome::Ran),
        reason: Some(Reason::Answered),
        body,
    }
}

fn not_run(reason: Reason) -> AttemptResult {
    AttemptResult::Response {
        status: reason.status(),
        outcome: Some(Outcome::NotRun),
        reason: Some(reason),
        body: Body::Refusal,
    }
}

fn push_call(history: &mut History, name: &str, route: &str, millis: u64, result: AttemptResult) {
    history.calls.push(Call {
        id: name.into(),
        account: id("a"),
        key: id("k"),
        route: id(route),
        path: format!("/{route}/{name}").into(),
        keyed: true,
        repeatable: route == "list",
        poison: false,
        intended: at(millis),
        done: at(millis + 20),
        attempts: vec![Attempt {
            entry: id("entry-1"),
            began: at(millis),
            ended: at(millis + 20),
            result,
        }],
    });
}

fn push_run(history: &mut History, target: usize, name: &str, route: &str, millis: u64) {
    history.targets[target].records.runs.push(Run {
        request: name.to_owned(),
        ticket: None,
        account: Some("a".to_owned()),
        method: "GET".to_owned(),
        path: format!("/{route}/{name}?size=0"),
        headers: Vec::new(),
        start_us: millis * 1_000,
        end_us: (millis + 10) * 1_000,
        end: target::End::Answered,
    });
}

fn valid_history() -> History {
    let mut history = empty_history();
    push_call(&mut history, "1-1", "list", 100, answered(Body::Complete));
    push_run(&mut history, 0, "1-1", "list", 105);
    push_call(&mut history, "1-2", "book", 400, answered(Body::Complete));
    push_run(&mut history, 1, "1-2", "book", 405);
    push_call(&mut history, "1-3", "book", 900, not_run(Reason::NoTarget));
    history
}

fn broken_promises(history: &History) -> Vec<Promise> {
    let mut broken: Vec<_> = check::check(history)
        .into_iter()
        .map(|v| v.promise)
        .collect();
    broken.dedup();
    broken
}

#[test]
fn history_without_violations_passes() {
    assert_eq!(broken_promises(&valid_history()), []);
}

#[test]
fn refused_request_that_ran_is_reported() {
    let mut history = valid_history();
    push_run(&mut history, 0, "1-3", "book", 905);
    assert_eq!(broken_promises(&history), [Promise::NotRunIsTrue]);
}

#[test]
fn second_run_is_reported_unless_the_route_is_repeatable() {
    let mut history = valid_history();
    push_run(&mut history, 0, "1-1", "list", 110);
    assert_eq!(broken_promises(&history), []);
    push_run(&mut history, 0, "1-2", "book", 410);
    assert_eq!(broken_promises(&history), [Promise::RunsAtMostOnce]);
}

#[test]
fn response_without_a_run_is_reported() {
    let mut history = valid_history();
    history.targets[0].records.runs.clear();
    assert_eq!(broken_promises(&history), [Promise::RanIsTrue]);
}

#[test]
fn key_that_reaches_a_target_is_reported() {
    for header in ["authorization", "x-forwarded-anything"] {
        let mut history = valid_history();
        history.targets[0].records.runs[0].headers.push(Header {
            name: header.to_owned(),
            value: "Bearer s3cret".to_owned(),
        });
        assert_eq!(broken_promises(&history), [Promise::KeyStaysHere]);
    }
    let mut history = valid_history();
    history.targets[0].records.runs[0].path += "&key=s3cret";
    assert_eq!(broken_promises(&history), [Promise::KeyStaysHere]);
}

#[test]
fn run_for_another_or_no_account_is_reported() {
    for account in [Some("b".to_owned()), None] {
        let mut history = valid_history();
        history.targets[0].records.runs[0].account = account;
        assert_eq!(broken_promises(&history), [Promise::OwnAccount]);
    }
}

#[test]
fn response_to_another_request_or_incomplete_response_is_reported() {
    for (body, promise) in [
        (Body::OtherRequest, Promise::OwnAnswer),
        (Body::Incomplete, Promise::WholeAnswer),
    ] {
        let mut history = valid_history();
        history.calls[0].attempts[0].result = answered(body);
        assert_eq!(broken_promises(&history), [promise]);
    }
}

fn tree_event(path: &str, millis: u64) -> Event {
    Event {
        requested: at(millis),
        done: Some(at(millis)),
        fault: Fault::Tree {
            set: [(id(path), "yes".into())].into(),
        },
    }
}

#[test]
fn use_of_a_withdrawn_key_after_the_grace_period_is_reported() {
    for (millis, expected) in [(4_900, vec![]), (5_200, vec![Promise::KeyWithdrawal])] {
        let mut history = valid_history();
        history
            .events
            .push(tree_event("/accounts/a/keys/k/withdrawn", 1_000));
        push_call(
            &mut history,
            "1-9",
            "list",
            1_000 + millis,
            answered(Body::Complete),
        );
        push_run(&mut history, 0, "1-9", "list", 1_000 + millis);
        assert_eq!(broken_promises(&history), expected);
    }
}

#[test]
fn account_over_rate_and_burst_is_reported() {
    // The account pays for a burst of two and ten calls a second, so a steady ten a second is allowed.
    for (gap, expected) in [(100, vec![]), (70, vec![Promise::RateAndBurst])] {
        let mut history = empty_history();
        for n in 0..12 {
            let millis = 1_000 + n * gap;
            let name = format!("1-{n}");
            push_call(
                &mut history,
                &name,
                "list",
                millis,
                answered(Body::Complete),
            );
            push_run(&mut history, n as usize % 2, &name, "list", millis + 1);
        }
        assert_eq!(broken_promises(&history), expected, "every {gap} ms");
    }
}

#[test]
fn requests_delayed_in_an_entry_are_no_rate_violation() {
    let mut history = empty_history();
    for n in 0..6 {
        let name = format!("1-{n}");
        push_call(
            &mut history,
            &name,
            "list",
            1_000 + n * 100,
            answered(Body::Complete),
        );
        push_run(&mut history, 0, &name, "list", 1_600);
    }
    assert_eq!(broken_promises(&history), []);
}

#[test]
fn work_for_a_leaving_target_after_the_grace_period_is_reported() {
    for (millis, expected) in [(6_000, vec![]), (6_100, vec![Promise::LeavingTarget])] {
        let mut history = valid_history();
        let records = &mut history.targets[0].records;
        records.leaving_us = Some(1_000_000);
        records.leaving_offers_us.push(millis * 1_000);
        assert_eq!(broken_promises(&history), expected);
    }
    let mut history = valid_history();
    history
        .events
        .push(tree_event("/services/desk/targets/t1/drain", 1_000));
    push_call(&mut history, "1-9", "list", 6_500, answered(Body::Complete));
    push_run(&mut history, 0, "1-9", "list", 6_500);
    assert_eq!(broken_promises(&history), [Promise::LeavingTarget]);
}

fn stop_event(done: Option<Instant>) -> Event {
    Event {
        requested: at(380),
        done,
        fault: Fault::Entry {
            instance: id("entry-1"),
            action: Action::Stop,
        },
    }
}

#[test]
fn stop_that_is_not_graceful_is_reported() {
    let mut history = valid_history();
    history.events.push(stop_event(Some(at(800))));
    assert_eq!(broken_promises(&history), []);
    // The response to the second call is lost while its entry stops.
    history.calls[1].attempts[0].result = AttemptResult::Lost;
    assert_eq!(broken_promises(&history), [Promise::GracefulStop]);
    // A call that did not run has no response to lose.
    history.targets[1].records.runs.clear();
    assert_eq!(broken_promises(&history), []);

    let mut history = valid_history();
    history.events.push(stop_event(None));
    assert_eq!(broken_promises(&history), [Promise::GracefulStop]);
}

#[test]
fn missing_records_are_reported() {
    let mut history = valid_history();
    history.missing.push(id("t2"));
    assert_eq!(broken_promises(&history), [Promise::Evidence]);
    let mut history = valid_history();
    history.targets[0].records.forgotten = 1;
    assert_eq!(broken_promises(&history), [Promise::Evidence]);
}

#[test]
fn report_matches_the_history() {
    let mut history = valid_history();
    history.targets[0].records.runs[0].end_us = 1_605_000;
    let report = measure::measure(&history).expect("measures");
    assert_eq!(report.calls, 3);
    assert_eq!(report.outcomes.good, 2);
    assert_eq!(report.refusals["no-target"], 1);
    // The list call and both book calls are inside rate and burst; one was refused.
    assert_eq!(report.wrongful_refusals.count, 1);
    assert!((report.wrongful_refusals.share - 1.0 / 3.0).abs() < 1e-9);
    // 895 ms and 10 ms of six slots were in use in the first second.
    assert!((report.headroom - (1.0 - 0.905 / 6.0)).abs() < 1e-9);
    let worst = report.worst_account.expect("an account called");
    assert!((worst.share - 2.0 / 3.0).abs() < 1e-9);
    assert_eq!(report.latency_ms.all.p50.round(), 20.0);
}

#[test]
fn refusals_of_an_account_over_its_rate_count_only_below_its_due_calls() {
    // Forty calls in a second; with a burst of two and ten a second, eleven are due by then.
    for (served, missing) in [(11, 0), (8, 3)] {
        let mut history = empty_history();
        for n in 0..40 {
            // The last calls are served, although the first ones are inside the rate.
            let result = match n >= 40 - served {
                true => answered(Body::Complete),
                false => not_run(Reason::OverRate),
            };
            push_call(
                &mut history,
                &format!("1-{n}"),
                "list",
                1_000 + n * 25,
                result,
            );
        }
        let report = measure::measure(&history).expect("measures");
        assert_eq!(report.wrongful_refusals.count, missing);
    }
}
