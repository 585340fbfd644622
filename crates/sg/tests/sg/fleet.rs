//! Shows what is printed of the fleet: status, explain, why, and where a change is in force.

use sg_forward::journal::{Attempt, Record};
use sg_report::{
    Counts,
    counts::Place,
    explain::{Evidence, Window},
};
use sg_types::prelude::*;

use crate::{
    admin::{split, status},
    world::World,
};

#[tokio::test]
async fn the_status_shows_the_fleet_at_a_glance() {
    let world = World::start(82).await;
    let admin = world.instance("e1").await;
    let mut state = status("e1", 1);
    state.splits.push(split("50%", 2));
    admin.answer("/status", &state);
    let _silent = world.instance("e2").await;
    let output = world.with_fleet("status").await.expect("a status");
    assert!(output.text.starts_with("1 of 2 serving; revision 1"));
    assert_eq!(output.json["summary"]["serving"], 1);
    assert_eq!(output.json["parts"][0]["in_flight"], 2);
    assert_eq!(output.json["missing"][0], "e2");
}

fn counts(a: u64, b: u64, ran: u64, refused: u64) -> Counts {
    let mut counts = Counts::default();
    for (region, requests) in [("a", a), ("b", b)] {
        let place = Place {
            service: id::Service::new("desk").expect("a name"),
            region: id::Region::new(region).expect("a name"),
        };
        counts.traffic.insert(place, requests);
    }
    let account = counts.accounts.entry("x".into()).or_default();
    account.ran = ran;
    account.refused.insert(Reason::ShiftCapped, refused);
    counts
}

#[tokio::test]
async fn a_revision_is_explained_for_the_board() {
    let world = World::start(83).await;
    let moved = crate::world::TREE
        .replace(
            "\"a\": { \"weight\": \"50%\" }",
            "\"a\": { \"weight\": \"40%\" }",
        )
        .replace(
            "\"b\": { \"weight\": \"50%\" }",
            "\"b\": { \"weight\": \"60%\" }",
        );
    let file = world.file("moved.json", &moved);
    let line = format!("tree apply {file} --note to-b");
    world.run(&line).await.expect("accepted");
    let admin = world.instance("e1").await;
    let mut state = status("e1", 2);
    state.splits.push(split("40%", 0));
    admin.answer("/status", &state);
    let window = |counts| Window {
        span: Span::from_secs(30),
        counts,
        others: 0,
    };
    let evidence = Evidence {
        instance: id::Instance::new("e1").expect("a name"),
        incarnation: Incarnation::new(1),
        age: Span::from_secs(30),
        before: Some(window(counts(50, 50, 100, 0))),
        after: window(counts(40, 60, 99, 1)),
    };
    admin.answer("/explain/2", &evidence);
    let report = world.with_fleet("explain 2 --report").await;
    let report = report.expect("a report");
    for part in [
        "# Revision 2",
        "~ /services/desk/split/a/weight: 50% -> 40%",
        "| desk | a | 50 / 40 | 50.00% | 40.00% | -10.00 points |",
        "desk: 10.00 percentage points",
        "| desk | a | 87.50% | 90.00% | 50.00% |",
        "| x | shift-capped | 0.00% | 1.00% |",
        "after: x (99.00% ran)",
        "Instances keep the counters",
    ] {
        assert!(report.text.contains(part), "{part}\n{}", report.text);
    }
    let table = world.with_fleet("explain 2").await.expect("a table");
    assert!(table.text.contains("percentage points"), "{}", table.text);
    assert_eq!(table.json["shifts"][0]["service"], "desk");
    let error = world.with_fleet("explain 9").await.expect_err("not kept");
    assert_eq!(error.code(), sg::REFUSED);
}

#[tokio::test]
async fn a_request_is_explained_from_what_instances_remember() {
    let world = World::start(84).await;
    let (knows, _other) = (world.instance("e1").await, world.instance("e2").await);
    let record = Record {
        request: id::Request::new("r-1").expect("a name"),
        revision: Revision::new(1),
        service: Some(id::Service::new("desk").expect("a name")),
        route: Some(id::Route::new("list").expect("a name")),
        account: Some(id::Account::new("x").expect("a name")),
        attempts: vec![Attempt {
            target: id::Target::new("ta1").expect("a name"),
            region: id::Region::new("a").expect("a name"),
            started: Span::from_millis(1),
            end: "answered".into(),
        }],
        waited: Span::from_millis(1),
        took: Span::from_millis(9),
        outcome: Outcome::Ran,
        reason: Reason::Answered,
    };
    knows.answer("/why/r-1", &record);
    let output = world.with_fleet("why r-1").await.expect("known");
    assert!(output.text.starts_with("e1: request r-1: ran"));
    assert!(output.text.contains("on target 'ta1' in region 'a'"));
    assert_eq!(output.json["others"][0], "e2");
    let error = world.with_fleet("why r-2").await.expect_err("not known");
    assert_eq!(error.code(), sg::REFUSED);
}

#[tokio::test]
async fn a_list_that_can_t_be_read_is_an_outage() {
    let world = World::start(85).await;
    world.list.control(sg_fake::list::Control {
        outage: Some(true),
        ..sg_fake::list::Control::default()
    });
    for line in ["status", "explain 1", "why r-1"] {
        let error = world.with_fleet(line).await.expect_err(line);
        assert_eq!(error.code(), sg::OUTAGE, "{line}: {error}");
        assert!(error.to_string().contains("--instances"), "{error}");
    }
}
