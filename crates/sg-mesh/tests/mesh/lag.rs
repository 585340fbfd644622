//! When an instance that knows less of the store than another one asks that one.

use sg_mesh::{
    follower::StoreContact,
    lag::{self, Lag},
};
use sg_types::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

/// Returns how an instance stands that follows a store which responded at 1 s.
fn follower() -> Lag {
    Lag {
        is_initialized: true,
        is_following: true,
        contact: StoreContact {
            last_success: Some(at(1_000)),
            ..StoreContact::default()
        },
        silence_timeout: Span::from_secs(3),
        behind: Span::ZERO,
        lacking: Span::ZERO,
    }
}

/// Guards against a start of all instances at once in which the first one that is ready is asked for the
/// whole store by all others, which are reading the store themselves.
#[test]
fn starting_instance_lists_the_store_before_it_asks_others() {
    for is_following in [true, false] {
        let mut lag = Lag {
            is_initialized: false,
            is_following,
            contact: StoreContact::default(),
            ..follower()
        };
        lag.behind = Span::from_millis(250);
        assert!(!lag.must_fetch(at(400)), "following: {is_following}");
        lag.behind = Span::from_millis(350);
        assert!(lag.must_fetch(at(500)), "following: {is_following}");
    }
}

#[test]
fn instance_whose_calls_fail_asks_at_once() {
    let mut lag = follower();
    lag.contact.failing_since = Some(at(1_100));
    assert!(lag.must_fetch(at(1_100)));
    lag.is_initialized = false;
    assert!(lag.must_fetch(at(1_100)));
}

#[test]
fn instance_that_does_not_follow_asks_at_once() {
    let mut lag = follower();
    lag.is_following = false;
    assert!(lag.must_fetch(at(1_100)));
}

#[test]
fn follower_waits_for_the_store_unless_the_store_is_silent() {
    let mut lag = follower();
    lag.behind = Span::from_secs(2);
    assert!(!lag.must_fetch(at(3_900)));
    assert!(lag.must_fetch(at(4_100)));
    lag.behind = Span::from_millis(900);
    assert!(!lag.must_fetch(at(4_100)));
}

/// Guards against a follower that waits for a narrow link to the store while others know a change already.
#[test]
fn follower_asks_others_for_a_change_that_the_store_is_slow_to_tell() {
    let mut lag = follower();
    lag.lacking = Span::from_millis(450);
    assert!(!lag.must_fetch(at(1_500)));
    lag.lacking = Span::from_millis(550);
    assert!(lag.must_fetch(at(1_600)));
}

/// Guards against all instances of a fleet that ask the first one that knows a configuration.
#[test]
fn the_own_failure_domain_has_a_head_start() {
    let left = |millis| lag::head_start_left(Span::from_millis(millis));
    assert_eq!(left(0), Some(Span::from_millis(300)));
    assert_eq!(left(200), Some(Span::from_millis(100)));
    assert_eq!(left(300), None);
}

/// Guards against heartbeats of all targets that cross regions again and again, because some other domain is
/// always ahead by a few.
#[test]
fn other_domains_are_asked_only_after_a_standstill() {
    assert!(!lag::may_ask_other_domains(Span::from_millis(900)));
    assert!(lag::may_ask_other_domains(Span::from_millis(1_000)));
}
