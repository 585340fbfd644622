//! Tests of the protocol core alone: malformed and late frames, replaced incarnations, contacts,
//! notices, and the instance list.

use std::net::SocketAddr;

use quickcheck::quickcheck;
use sg_peer::{
    Frame, Headroom, config,
    contact::{self, Candidate},
    core::{Core, Identity},
    frame::{Hint, Place, Rejection},
    list,
    notice::{Id, Item, Reception, Tracker},
};
use sg_store::{Head, change, head::Date};
use sg_types::prelude::*;

fn name(index: usize) -> id::Instance {
    id::Instance::new(format!("i{index}")).expect("valid name")
}

fn place() -> Place {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Place {
        domain: id::Domain::new("d").expect("valid name"),
        region: id::Region::new("r").expect("valid name"),
        peer: address,
        entry: address,
        admin: None,
    }
}

fn core(index: usize, run: u64) -> Core {
    Core::new(Identity {
        instance: name(index),
        incarnation: Incarnation::new(run),
        place: place(),
    })
}

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

/// Returns a first frame from instance `index`.
fn frame(index: usize, run: u64) -> Frame {
    core(index, run).build_request(&name(0), at(1_000))
}

/// Guards against a frame of an earlier incarnation that arrives after the first frame of its
/// successor and replaces the successor's state.
#[test]
fn late_frames_of_a_replaced_incarnation_are_refused() {
    let mut core = core(0, 1);
    core.handle_request(frame(1, 10), at(1_000))
        .expect("frame accepted");
    core.handle_request(frame(1, 11), at(2_000))
        .expect("frame accepted");
    let late = core.handle_request(frame(1, 10), at(3_000));
    assert_eq!(late.err(), Some(Rejection::Replaced));
    assert_eq!(core.member_snapshot(at(3_000)).len(), 1);
}

/// Two instances with the same name, or a proxy that mixes up responses, would otherwise corrupt
/// the membership.
#[test]
fn frames_from_self_and_crossed_responses_are_refused() {
    let mut core = core(0, 1);
    assert_eq!(
        core.handle_request(frame(0, 9), at(1)).err(),
        Some(Rejection::FromSelf)
    );
    core.handle_request(frame(1, 10), at(1_000))
        .expect("frame accepted");
    let request = core.build_request(&name(1), at(2_000));
    let mut response = frame(1, 10);
    response.nonce = request.nonce.wrapping_add(1);
    let crossed = core.handle_response(&name(1), &request, response, at(2_000), at(2_010));
    assert_eq!(crossed.err(), Some(Rejection::Crossed));
}

/// Returns the headroom that a core records for an instance, `millis` after a frame reported
/// `text`.
fn recorded_headroom(text: &str, millis: u64) -> Percent {
    let mut value = serde_json::to_value(frame(1, 10)).expect("valid frame");
    value["g"] = serde_json::from_str(text).expect("valid JSON");
    let frame = serde_json::from_value(value).expect("valid frame");
    let mut core = core(0, 1);
    core.handle_request(frame, at(1_000))
        .expect("frame accepted");
    core.member_snapshot(at(1_000 + millis))[0].headroom
}

/// Guards against old reports and out-of-range values of another instance.
#[test]
fn headroom_expires_and_never_exceeds_the_maximum() {
    let part = Percent::from_ppm(70_000);
    assert_eq!(recorded_headroom("7", 0), part);
    assert_eq!(recorded_headroom("7", 39_000), part);
    assert_eq!(recorded_headroom("7", 40_000), Percent::FULL);
    assert_eq!(recorded_headroom("null", 0), Percent::FULL);
    assert_eq!(recorded_headroom("18446744073709551615", 0), Percent::FULL);
    let mut sender = core(1, 10);
    sender.set_headroom(Headroom::from(part));
    let frame = sender.build_request(&name(0), at(1_000));
    assert_eq!(frame.headroom, Some(Headroom::from(part)));
}

/// Guards against unbounded memory when a faulty peer sends hints about ever new instances.
#[test]
fn number_of_members_from_hints_is_bounded() {
    let mut core = core(0, 1);
    for round in 0..1_000 {
        let mut frame = frame(1, 10);
        frame.hints = (0..4)
            .map(|index| Hint {
                instance: name(10 + round * 4 + index),
                incarnation: Incarnation::new(1),
                place: place(),
                age_millis: 0,
                headroom: None,
            })
            .collect();
        core.handle_request(frame, at(1_000))
            .expect("frame accepted");
    }
    assert!(core.member_snapshot(at(1_000)).len() <= 256);
}

/// Guards against repeated delivery, unbounded memory and notices that are passed on forever.
#[test]
fn notice_tracker_records_each_notice_once_and_is_bounded() {
    let mut tracker = Tracker::default();
    let item = |sequence| Item {
        id: Id {
            origin: name(1),
            incarnation: Incarnation::new(1),
            sequence,
        },
        notice: Notice::Leaving {
            service: id::Service::new("s").expect("valid name"),
            target: id::Target::new("t").expect("valid name"),
        },
    };
    assert_eq!(tracker.record(item(0), None, at(0)), Reception::New);
    assert_eq!(tracker.record(item(0), None, at(1)), Reception::Known);
    for sequence in 1..2_000 {
        tracker.record(item(sequence), None, at(2));
    }
    assert!(tracker.dropped() > 0, "the oldest notices are dropped");
    tracker.expire(at(11_000));
    assert!(
        !tracker.has_pending(&name(2)),
        "no notice is passed on forever"
    );
    assert_eq!(
        tracker.record(item(1_999), None, at(11_000)),
        Reception::Known
    );
}

/// Installs revision 2 and then revision 1. Returns the revision in force after that.
fn install_in_descending_order(config: &config::Handle) -> Revision {
    for revision in [2, 1] {
        let tree = super::fleet::tree(u32::try_from(revision).expect("number fits"), None);
        let head = Head {
            revision: Revision::new(revision),
            digest: tree.digest(),
            change: change::Id::new(0),
            author: "ann".into(),
            time: Date::default(),
            note: "test".into(),
            chunks: 1,
        };
        config.install(&head, &tree, at(revision));
    }
    config.in_force()
}

/// Guards against an older tree that replaces a newer one because it arrives later.
#[test]
fn revision_only_goes_forward() {
    let config = config::Handle::default();
    assert_eq!(install_in_descending_order(&config), Revision::new(2));
    assert_eq!(config.regressions(), 0);
}

/// Shows that the invariant check works, with the rule disabled on purpose.
#[test]
#[should_panic(expected = "revision-goes-forward")]
fn invariant_check_catches_a_revision_that_goes_back() {
    let config = config::Handle::default();
    config.accept_older();
    install_in_descending_order(&config);
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|index| Candidate {
            instance: name(index),
            domain: id::Domain::new(format!("d{}", index % 77)).expect("valid name"),
        })
        .collect()
}

/// Guards against traffic that grows with the fleet, and against instances that no chain of
/// contacts reaches.
#[test]
fn contacts_are_bounded_and_reach_every_instance() {
    for count in [7, 100, 1_000] {
        let all = candidates(count);
        let contacts: Vec<_> = all
            .iter()
            .map(|me| contact::choose(me, &all, 2).peers)
            .collect();
        assert!(contacts.iter().all(|peers| peers.len() <= 10));
        let mut reached = IndexSet::from([name(0)]);
        let mut next = 0;
        while let Some(instance) = reached.get_index(next).cloned() {
            let index = all.iter().position(|c| c.instance == instance);
            reached.extend(contacts[index.expect("known")].iter().cloned());
            next += 1;
        }
        assert_eq!(reached.len(), count, "reached through chains of contacts");
    }
}

/// Guards against a choice of relays in which one departure changes the others.
#[test]
fn departure_of_a_relay_promotes_the_next_one() {
    let all = candidates(770);
    let domain = &all[0].domain;
    let before = contact::relays(&all, domain, 2);
    let remaining: Vec<_> = all
        .iter()
        .filter(|c| c.instance != before[0])
        .cloned()
        .collect();
    let after = contact::relays(&remaining, domain, 2);
    assert_eq!(after[0], before[1]);
}

/// Guards against one bad entry that makes the entire list unusable.
#[test]
fn unusable_list_entries_are_left_out() {
    let text = r#"[
        {"Service":{"ID":"a","Address":"127.0.0.1","Port":7,"Meta":
            {"domain":"d","region":"r","peer":"127.0.0.1:8","admin":"","leaving":"true"}}},
        {"Service":{"ID":"b","Address":"127.0.0.1","Port":7}}, {"Other":1}]"#;
    let outcome = list::parse(text.as_bytes()).expect("valid list");
    assert_eq!((outcome.entries.len(), outcome.malformed), (1, 2));
    assert!(outcome.entries[0].leaving);
}

quickcheck! {
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        let _ = list::parse(&bytes);
        serde_json::from_slice::<Frame>(&bytes).is_err()
    }

    fn arbitrary_numbers_in_a_frame_do_not_panic(numbers: (u64, u64, u32, u64, u32), now: u64) -> bool {
        let (run, revision, slot, age, nonce) = numbers;
        let text = format!(
            r#"{{"f":"i1","i":{run},"n":{nonce},"r":{revision},"d":"00","s":[{slot}],
                "c":{age},"w":{{"d":"d","r":"r","p":"127.0.0.1:1","e":"127.0.0.1:2"}},
                "h":[{{"n":"i2","i":{run},"d":"d","r":"r","p":"127.0.0.1:1","e":"127.0.0.1:2","t":{age}}}],
                "o":[{{"o":"i1","i":{run},"q":{age},"b":{{"kind":"stopping","instance":"i1",
                    "incarnation":{run},"within":"18446744073709551615s"}}}}]}}"#
        );
        let frame: Frame = serde_json::from_str(&text).expect("valid frame");
        let mut core = core(0, 1);
        let now = Instant::from_nanos(now);
        let response = core.handle_request(frame.clone(), now).expect("frame accepted").0;
        let request = core.build_request(&name(1), now);
        let echo = Frame { nonce: request.nonce, ..frame };
        core.handle_response(&name(1), &request, echo, now, now).expect("frame accepted");
        core.refresh(now);
        let _ = (core.take_due(now), core.is_fresh(now), core.member_snapshot(now));
        response.nonce == nonce
    }
}
