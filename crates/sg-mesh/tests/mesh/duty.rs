//! Which instances of a failure domain do the work for the others.

use quickcheck::quickcheck;
use sg_mesh::{Members, duty, members::SILENCE_TIMEOUT};
use sg_types::prelude::*;

use crate::members::{at, beacon};

fn domain() -> id::Domain {
    "a".parse().expect("a name")
}

fn name(index: usize) -> id::Instance {
    format!("front-{index:03}").parse().expect("a name")
}

/// Returns what instance `own` of a domain of `size` instances knows of the others.
fn known_by(own: usize, size: usize, follows: impl Fn(usize) -> bool) -> Members {
    let mut members = Members::default();
    for index in (0..size).filter(|index| *index != own) {
        let mut beacon = beacon(name(index).as_ref(), 1);
        beacon.follows = follows(index);
        members.record_beacon(beacon, at(1_000));
    }
    members
}

fn delay(members: &Members, own: usize, now: u64) -> Option<Span> {
    duty::delay_to_follow(members, &name(own), &domain(), at(now))
}

/// Returns the instances of a domain that follow the store after `wait`.
fn followers_after(wait: Span, size: usize, follows: impl Fn(usize) -> bool) -> Vec<usize> {
    let must_follow = |own: &usize| {
        let members = known_by(*own, size, &follows);
        delay(&members, *own, 1_500).is_some_and(|delay| delay <= wait)
    };
    (0..size).filter(must_follow).collect()
}

fn followers(size: usize, follows: impl Fn(usize) -> bool) -> Vec<usize> {
    followers_after(Span::from_secs(60), size, follows)
}

#[test]
fn one_instance_of_a_domain_follows_the_store() {
    for size in [1, 2, 13, 120] {
        assert_eq!(followers(size, |_| true), [0], "{size} instances");
    }
}

/// At a start, and while the store is away, nobody can vouch for anybody.
#[test]
fn all_follow_while_nobody_reaches_the_store() {
    assert_eq!(followers(13, |_| false).len(), 13);
}

/// The first ones that take over say so before the others would.
#[test]
fn few_instances_take_over_at_once() {
    let at_once = followers_after(Span::ZERO, 13, |_| false);
    assert_eq!(at_once, [0]);
    let at_once = followers_after(Span::ZERO, 13, |index| index == 1);
    assert_eq!(at_once, [0]);
    let later = followers_after(Span::from_millis(600), 13, |_| false);
    assert_eq!(later, [0, 1, 2]);
}

#[test]
fn instances_that_the_store_turns_away_are_replaced() {
    assert_eq!(followers(13, |index| index > 1), [0, 1, 2]);
    assert_eq!(followers(13, |index| index > 0), [0, 1]);
}

#[test]
fn silent_and_leaving_followers_are_replaced_before_they_count_as_gone() {
    let silent = known_by(9, 13, |_| true);
    assert_eq!(delay(&silent, 9, 2_300), None);
    assert_eq!(delay(&silent, 9, 2_301), Some(Span::ZERO));
    assert!(Span::from_millis(1_301) < SILENCE_TIMEOUT);
    let mut leaving = known_by(9, 13, |_| true);
    for index in 0..9 {
        let mut beacon = beacon(name(index).as_ref(), 1);
        beacon.leaving = true;
        leaving.record_beacon(beacon, at(1_100));
    }
    assert_eq!(delay(&leaving, 9, 1_500), Some(Span::ZERO));
}

#[test]
fn instances_of_other_domains_do_no_duty_here() {
    let mut members = Members::default();
    for index in 0..4 {
        let mut beacon = beacon(name(index).as_ref(), 1);
        beacon.location.domain = "b".parse().expect("a name");
        members.record_beacon(beacon, at(1_000));
    }
    assert_eq!(delay(&members, 9, 1_100), Some(Span::ZERO));
    let place = duty::exchange_place(&members, &name(9), &domain(), at(1_100));
    assert_eq!(place, Some(0));
}

#[test]
fn two_instances_exchange_the_beacons_of_a_domain() {
    let place = |own: usize, now: u64| {
        let members = known_by(own, 13, |_| false);
        duty::exchange_place(&members, &name(own), &domain(), at(now))
    };
    let places: Vec<Option<usize>> = (0..4).map(|own| place(own, 1_500)).collect();
    assert_eq!(places, [Some(0), Some(1), None, None]);
    assert_eq!(place(9, 2_301), Some(0), "nobody was heard lately");
}

/// Guards against a failure domain that hears of another one on one way only, and against copies of digests
/// that grow with the number of those who exchange them.
#[test]
fn digests_take_two_ways_that_share_no_instance() {
    let members = known_by(99, 13, |_| true);
    let receiver = |place: usize, drawn: usize, now: u64| {
        let found = duty::receiver(&members, &domain(), place, at(now), |count| drawn % count);
        found.map(|member| member.beacon.instance.clone())
    };
    for drawn in 0..40 {
        assert_eq!(receiver(0, drawn, 1_100), Some(name(0)));
        assert_eq!(receiver(1, drawn, 1_100), Some(name(1 + drawn % 12)));
    }
    assert_eq!(receiver(0, 0, 2_301), None, "nobody was heard lately");
    let single = known_by(99, 1, |_| true);
    for place in 0..2 {
        let found = duty::receiver(&single, &domain(), place, at(1_100), |count| count - 1);
        assert_eq!(found.map(|member| &member.beacon.instance), Some(&name(0)));
    }
}

#[test]
fn instances_of_earlier_builds_are_counted_while_they_live() {
    let mut members = known_by(0, 5, |_| true);
    let mut earlier = beacon(name(9).as_ref(), 1);
    earlier.takes_digests = false;
    members.record_beacon(earlier, at(1_000));
    assert_eq!(duty::earlier_builds(&members, at(1_500)), 1);
    assert_eq!(duty::earlier_builds(&members, at(9_000)), 0);
}

quickcheck! {
    /// Whatever each instance has heard, one that rests has heard of a follower; so
    /// nobody rests on instances that rest themselves, and each domain has a follower.
    fn every_domain_has_a_follower(size: usize, vouching: Vec<bool>) -> bool {
        let size = size % 40 + 1;
        let follows = |index: usize| vouching.get(index).copied().unwrap_or(true);
        !followers(size, follows).is_empty()
    }
}
