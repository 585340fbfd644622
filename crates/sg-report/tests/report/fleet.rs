//! Shows the fleet at a glance, and how far a drain is.

use sg_report::{
    drain::{self, Scope},
    status::{Act, Fleet, Held, Instance, Split, State},
};
use sg_types::prelude::*;

fn instance(name: &str, revision: u64, state: State, in_force: u32) -> Instance {
    Instance {
        instance: id::Instance::new(name).expect("a name"),
        incarnation: Incarnation::new(1),
        region: id::Region::new("north").expect("a name"),
        domain: id::Domain::new("n1").expect("a name"),
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
            service: id::Service::new("desk").expect("a name"),
            region: id::Region::new("north").expect("a name"),
            wanted: Percent::ZERO,
            in_force: Percent::from_ppm(in_force * 10_000),
            headroom: Some(0.25),
            in_flight: 2,
        }],
        held: Vec::new(),
        acts: vec![Act {
            what: "holds back".into(),
            about: "desk/t1".into(),
            why: "drain".into(),
        }],
    }
}

fn held(in_flight: u32) -> Held {
    Held {
        service: id::Service::new("desk").expect("a name"),
        target: id::Target::new("t1").expect("a name"),
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
        missing: vec![id::Instance::new("e3").expect("a name")],
    }
}

#[test]
fn the_summary_counts_and_names() {
    let text = fleet().to_string();
    let first = text.lines().next().expect("a line");
    assert_eq!(
        first,
        "1 of 3 serving; revisions 7 to 8; 2 slots held, 1 confirmed; 6 requests in hand; fenced: e2"
    );
    assert!(
        text.contains("holds back:\n  desk/t1: drain (all)"),
        "{text}"
    );
    assert!(text.contains("e3 does not answer"), "{text}");
    assert!(text.contains("0% to 20%"), "{text}");
}

fn progress(fleet: &Fleet) -> drain::Progress {
    let target = (held(0).service, held(0).target);
    let scope = Scope::Targets([target].into_iter().collect());
    drain::progress(fleet, &scope, Revision::new(8))
}

#[test]
fn a_drain_is_done_when_every_instance_says_so() {
    let mut fleet = fleet();
    fleet.instances[0].held.push(held(2));
    let far = progress(&fleet);
    assert_eq!((far.in_flight, far.done), (2, false));
    assert_eq!(far.behind.len(), 1, "e2 has an earlier revision");
    assert_eq!(far.silent.len(), 1);
    // It has the drain in force, though by an earlier revision.
    fleet.instances[1].held.push(held(0));
    assert_eq!(progress(&fleet).behind.len(), 0);
    fleet.instances[0].held[0].in_flight = 0;
    assert!(!progress(&fleet).done, "e3 is not known of");
    fleet.missing.clear();
    assert!(progress(&fleet).done);
}

#[test]
fn an_entry_is_drained_when_it_has_nothing_in_hand() {
    let mut fleet = fleet();
    let scope = Scope::Entry(id::Instance::new("e1").expect("a name"));
    let far = drain::progress(&fleet, &scope, Revision::new(8));
    assert_eq!((far.in_flight, far.done), (3, false));
    fleet.instances[0].in_hand = 0;
    fleet.instances[1].revision = Revision::new(8);
    assert!(drain::progress(&fleet, &scope, Revision::new(8)).done);
}
