//! When failures at targets mean that the instance itself is cut off.

use sg_place::reach::Reach;
use sg_types::prelude::*;

use crate::at;

const TARGETS: usize = 12;
const DOMAINS: usize = 4;

fn names(number: usize) -> (id::Target, id::Domain) {
    let target = format!("t{number}").parse().expect("a name");
    let domain = format!("d{}", number % DOMAINS).parse().expect("a name");
    (target, domain)
}

/// Records failures of new connections to the targets `numbers`, one each 10 ms.
fn fail(reach: &mut Reach, numbers: impl IntoIterator<Item = usize>, from: u64) {
    for (number, millis) in numbers.into_iter().zip((from..).step_by(10)) {
        let (target, domain) = names(number);
        reach.record_unreached(&target, &domain, at(millis));
        reach.record_unanswered(&target, &domain, at(millis));
    }
}

fn needs_check(reach: &Reach, millis: u64) -> bool {
    reach.needs_check(TARGETS, DOMAINS, at(millis))
}

#[test]
fn failures_in_several_domains_raise_the_suspicion() {
    let mut reach = Reach::default();
    fail(&mut reach, [0, 1], 0);
    assert!(!needs_check(&reach, 100));
    fail(&mut reach, [2], 100);
    assert!(needs_check(&reach, 200));
    assert!(!reach.is_cut_off());
}

#[test]
fn loss_of_one_domain_raises_no_suspicion() {
    let mut reach = Reach::default();
    fail(&mut reach, (0..TARGETS).step_by(DOMAINS), 0);
    assert!(!needs_check(&reach, 200));
}

#[test]
fn failures_count_for_a_while_only() {
    let mut reach = Reach::default();
    fail(&mut reach, [0, 1], 0);
    fail(&mut reach, [2], 4_000);
    assert!(!needs_check(&reach, 4_100));
}

#[test]
fn open_connections_that_outlive_the_path_do_not_refute_the_suspicion() {
    let mut reach = Reach::default();
    fail(&mut reach, [0, 1, 2], 0);
    reach.record_response(false);
    assert!(needs_check(&reach, 100));
    reach.record_response(true);
    assert!(!needs_check(&reach, 100));
}

#[test]
fn silent_open_connections_raise_the_suspicion_unless_one_responds() {
    let mut reach = Reach::default();
    for number in 0..3 {
        let (target, domain) = names(number);
        reach.record_unanswered(&target, &domain, at(0));
    }
    assert!(needs_check(&reach, 100));
    reach.record_response(false);
    assert!(!needs_check(&reach, 100));
}

#[test]
fn fewer_targets_or_domains_than_usual_suffice_if_there_are_no_more() {
    let mut reach = Reach::default();
    fail(&mut reach, [0], 0);
    assert!(reach.needs_check(1, 1, at(10)));
    assert!(!reach.needs_check(2, 1, at(10)));
    assert!(!Reach::default().needs_check(0, 0, at(10)));
}

#[test]
fn failed_round_confirms_and_any_response_to_a_check_ends_the_cut() {
    let mut reach = Reach::default();
    assert!(reach.record_failed_round(at(500)));
    assert!(!reach.record_failed_round(at(1_000)));
    assert!(reach.is_cut_off() && needs_check(&reach, 60_000));
    assert_eq!(reach.record_reached(), Some(at(500)));
    assert_eq!(reach.record_reached(), None);
    assert!(!needs_check(&reach, 60_000));
}
