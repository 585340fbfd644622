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
fn two_instances_of_a_domain_follow_the_store() {
    assert_eq!(followers(1, |_| true), [0]);
    assert_eq!(followers(2, |_| true), [0, 1]);
    assert_eq!(followers(13, |_| true), [0, 1]);
    assert_eq!(followers(120, |_| true), [0, 1]);
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
    assert_eq!(at_once, [0, 1]);
    let at_once = followers_after(Span::ZERO, 13, |index| index == 0);
    assert_eq!(at_once, [0, 1]);
    let later = followers_after(Span::from_millis(600), 13, |_| false);
    assert_eq!(later, [0, 1, 2, 3]);
}

#[test]
fn instances_that_the_store_turns_away_are_replaced() {
    assert_eq!(followers(13, |index| index > 1), [0, 1, 2, 3]);
}

#[test]
fn silent_and_leaving_followers_are_replaced_before_they_count_as_gone() {
    let silent = known_by(9, 13, |_| true);
    assert_eq!(delay(&silent, 9, 2_300), None);
    assert_eq!(delay(&silent, 9, 2_301), Some(Span::ZERO));
    assert!(Span::from_millis(1_301) < SILENCE_TIMEOUT);
    let mut leaving = known_by(9, 13, |_| true);
    for index in 0..8 {
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
    assert!(duty::must_exchange(
        &members,
        &name(9),
        &domain(),
        at(1_100)
    ));
    let domain = "b".parse().expect("a name");
    let receivers = duty::receivers(&members, &domain, at(1_100), |count| count - 1);
    let receivers = receivers.iter().map(|member| &member.beacon.instance);
    let receivers: Vec<_> = receivers.collect();
    assert_eq!(receivers, [&name(0), &name(1), &name(3)]);
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
    /// Whatever each instance has heard, one that vouches for another one has heard of two followers; so
    /// nobody rests on instances that rest themselves, and each domain has a follower.
    fn every_domain_has_a_follower(size: usize, vouching: Vec<bool>) -> bool {
        let size = size % 40 + 1;
        let follows = |index: usize| vouching.get(index).copied().unwrap_or(true);
        !followers(size, follows).is_empty()
    }
}
