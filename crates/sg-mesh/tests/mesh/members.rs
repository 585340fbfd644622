//! Tracking of the other instances, and the encoding of frames.

use sg_mesh::{
    Members,
    frame::{Beacon, Frame, Location},
    members::SILENCE_TIMEOUT,
};
use sg_types::prelude::*;

pub fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

pub fn beacon(name: &str, run: u64) -> Beacon {
    Beacon {
        instance: name.parse().expect("a name"),
        incarnation: Incarnation::new(run),
        location: Location {
            domain: "a".parse().expect("a name"),
            region: "r".parse().expect("a name"),
            caller_address: "127.0.0.1:1".parse().expect("an address"),
            mesh_address: "127.0.0.1:2".parse().expect("an address"),
        },
        ready: true,
        leaving: false,
        positions: vec![7],
        eras: vec![2],
        demand: vec![("portal".parse().expect("a name"), 1.5)],
        bound: Vec::new(),
        wanted_tokens: Vec::new(),
        cut_off: false,
        changed: vec![5],
        retained: Vec::new(),
        follows: true,
        takes_digests: true,
        takes_slots: false,
        memory_mb: 0,
        rate_statements: Vec::new(),
        other_addresses: Vec::new(),
    }
}

fn own() -> id::Instance {
    "own".parse().expect("a name")
}

#[test]
fn a_silent_instance_is_not_alive_until_its_next_beacon() {
    let mut members = Members::default();
    assert!(members.record_beacon(beacon("one", 1), at(0)));
    assert!(!members.record_beacon(beacon("one", 1), at(400)));
    let later = at(400) + SILENCE_TIMEOUT + Span::from_millis(1);
    assert_eq!(members.alive(later).count(), 0);
    assert!(members.record_beacon(beacon("one", 1), later));
    assert_eq!(members.alive(later).count(), 1);
}

#[test]
fn the_fleet_size_shrinks_late_and_grows_at_once() {
    let mut members = Members::default();
    for name in ["one", "two", "three"] {
        members.record_beacon(beacon(name, 1), at(0));
    }
    assert_eq!(members.fleet_size(&own(), at(0)), 4);
    // All other instances are silent, but their shares of the budgets may still be in use.
    assert_eq!(members.fleet_size(&own(), at(9_000)), 4);
    assert_eq!(members.fleet_size(&own(), at(10_500)), 1);
    members.record_beacon(beacon("one", 1), at(10_600));
    assert_eq!(members.fleet_size(&own(), at(10_600)), 2);
}

#[test]
fn a_registered_instance_counts_toward_the_fleet_while_silent() {
    let mut members = Members::default();
    members.set_registered(["one".parse().expect("a name")].into());
    assert_eq!(members.fleet_size(&own(), at(0)), 2);
    assert_eq!(members.instance_names(&own(), at(0)).len(), 2);
    assert_eq!(members.alive(at(0)).count(), 0);
}

/// Instances that know different regions of the same instance divide rates differently.
#[test]
fn region_of_a_registered_instance_is_known_while_it_is_silent() {
    let mut members = Members::default();
    members.record_beacon(beacon("one", 1), at(0));
    members.record_beacon(beacon("two", 1), at(0));
    members.set_registered(["one".parse().expect("a name")].into());
    for later in [1_000, 5_000, 120_000] {
        members.remove_silent(Span::from_secs(60), at(later));
        let names = members.instance_names(&own(), at(later));
        let regions = members.instance_regions(at(later));
        let unknown = names.iter().filter(|name| !regions.contains_key(*name));
        assert_eq!(unknown.cloned().collect::<Vec<_>>(), [own()], "{later}");
    }
}

#[test]
fn a_duplicated_loan_is_credited_once() {
    let mut members = Members::default();
    let one: id::Instance = "one".parse().expect("a name");
    members.record_beacon(beacon("one", 1), at(0));
    let run = Incarnation::new(1);
    assert!(members.record_loan(&one, run, 3));
    assert!(!members.record_loan(&one, run, 3));
    assert!(!members.record_loan(&one, run, 2));
    assert!(!members.record_loan(&one, Incarnation::new(2), 9));
    assert!(members.record_loan(&one, run, 4));
}

#[test]
fn frames_decode_to_what_was_encoded_and_other_bytes_are_rejected() {
    let frame = Frame::Beacon(Box::new(beacon("one", 1)));
    let bytes = frame.encode().expect("a short frame");
    assert_eq!(Frame::decode(&bytes).expect("a frame"), frame);
    assert!(Frame::decode(b"GET / HTTP/1.1\r\n").is_err());
    assert!(Frame::decode(&bytes[..bytes.len() / 2]).is_err());
}
