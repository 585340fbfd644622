//! Tests of the state of the fleet and of the progress of a drain.

use sg_report::{
    drain::{self, Scope},
    status::{Action, Fleet, HeldTarget, Instance, Split, State},
};
use sg_types::prelude::*;

fn instance(name: &str, revision: u64, state: State, in_force: u32) -> Instance {
    Instance {
        instance: id::Instance::new(name).expect("valid name"),
        incarnation: Incarnation::new(1),
        region: id::Region::new("north").expect("valid name"),
        domain: id::Domain::new("n1").expect("valid name"),
        uptime: Span::from_secs(60),
        state,
        revision: Revision::new(revision),
        digest: sg_tree::Digest::default(),
        in_force: Span::from_secs(9),
        fault: None,
        slot: Some(Slot::new(1)),
        confirmed: state == State::Serving,
        in_hand: 3,
        alive: 1,
        splits: vec![Split {
            service: id::Service::new("desk").expect("valid name"),
            region: id::Region::new("north").expect("valid name"),
            wanted: Percent::ZERO,
            in_force: Percent::from_ppm(in_force * 10_000),
            headroom: Some(0.25),
            in_flight: 2,
        }],
        held: Vec::new(),
        acts: vec![Action {
            what: "holds back".into(),
            about: "desk/t1".into(),
            why: "drain".into(),
        }],
    }
}

fn held(in_flight: u32) -> HeldTarget {
    HeldTarget {
        service: id::Service::new("desk").expect("valid name"),
        target: id::Target::new("t1").expect("valid name"),
        why: "drain".into(),
        in_flight,
    }
}

fn fleet() -> Fleet {
    Fleet {
        instances: vec![
            instance("e1", 8, State::Serving, 0),
            instance("e2", 7, State::Fenced, 20),
        ],
        missing: vec![id::Instance::new("e3").expect("valid name")],
    }
}

#[test]
fn summary_counts_instances_and_names_fenced_ones() {
    let text = fleet().to_string();
    let summary = text.lines().next().expect("a line");
    assert_eq!(
        summary,
        "1 of 3 serving; revisions 7 to 8; 2 slots held, 1 confirmed; 6 requests in hand; fenced: e2"
    );
    assert!(
        text.contains("holds back:\n  desk/t1: drain (all)"),
        "{text}"
    );
    assert!(text.contains("e3 does not answer"), "{text}");
    assert!(text.contains("0% to 20%"), "{text}");
}

fn target_progress(fleet: &Fleet) -> drain::Progress {
    let target = (held(0).service, held(0).target);
    let scope = Scope::Targets([target].into_iter().collect());
    drain::progress(fleet, &scope, Revision::new(8))
}

#[test]
fn target_drain_is_done_when_all_instances_report_no_requests() {
    let mut fleet = fleet();
    fleet.instances[0].held.push(held(2));
    let progress = target_progress(&fleet);
    assert_eq!((progress.in_flight, progress.done), (2, false));
    assert_eq!(progress.behind.len(), 1, "e2 has an earlier revision");
    assert_eq!(progress.silent.len(), 1);
    // The drain is in force on e2, though by an earlier revision.
    fleet.instances[1].held.push(held(0));
    assert_eq!(target_progress(&fleet).behind.len(), 0);
    fleet.instances[0].held[0].in_flight = 0;
    assert!(!target_progress(&fleet).done, "e3 did not respond");
    fleet.missing.clear();
    assert!(target_progress(&fleet).done);
}

#[test]
fn instance_drain_is_done_without_requests_in_flight() {
    let mut fleet = fleet();
    let scope = Scope::Instance(id::Instance::new("e1").expect("valid name"));
    let progress = drain::progress(&fleet, &scope, Revision::new(8));
    assert_eq!((progress.in_flight, progress.done), (3, false));
    fleet.instances[0].in_hand = 0;
    fleet.instances[1].revision = Revision::new(8);
    assert!(drain::progress(&fleet, &scope, Revision::new(8)).done);
}
