//! When failures at targets mean that the instance itself is cut off.

use sg_place::{
    member::Member,
    quarantine::{Suspicion, Table},
    reach::{Cause, Evidence, Reach},
    relay::{self, Peer},
};
use sg_types::prelude::*;

use crate::{at, location, target};

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
        reach.record_unreached(&target, &domain, Cause::ConnectFailed, at(millis));
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

/// Guards against a line that says "cut off" and does not tell late connects from refused ones.
#[test]
fn evidence_tells_late_connects_from_refused_ones() {
    let mut reach = Reach::default();
    reach.record_response(false, at(0), at(100));
    let causes = [
        Cause::ConnectTimedOut,
        Cause::ConnectTimedOut,
        Cause::ConnectFailed,
        Cause::NoResponse,
    ];
    for (number, cause) in causes.into_iter().enumerate() {
        let (target, domain) = names(number);
        reach.record_unreached(&target, &domain, cause, at(200));
        reach.record_unanswered(&target, &domain, at(200));
    }
    let (on_open_connection, domain) = names(4);
    reach.record_unanswered(&on_open_connection, &domain, at(200));
    let expected = Evidence {
        connects_timed_out: 2,
        connects_failed: 1,
        unanswered: 2,
        response_age: Some(Span::from_millis(200)),
    };
    assert_eq!(reach.evidence(at(300)), expected);
}

/// Guards against a full link that is taken for a cut, and against a cut that open connections hide for long.
#[test]
fn late_connects_confirm_no_cut_while_what_is_sent_is_answered() {
    use Cause::{ConnectFailed, ConnectTimedOut, NoResponse};
    for (cause, answered_sent_at, round_at, is_cut_off) in [
        (ConnectTimedOut, Some(1_100), 3_900, false),
        (ConnectTimedOut, Some(1_100), 4_000, true),
        (ConnectTimedOut, Some(900), 1_500, true),
        (ConnectTimedOut, None, 1_500, true),
        (ConnectFailed, Some(1_100), 1_500, true),
        (NoResponse, Some(1_100), 1_500, true),
    ] {
        let mut reach = Reach::default();
        for millis in (1_000..round_at).step_by(500) {
            for number in 0..3 {
                let (target, domain) = names(number);
                reach.record_unreached(&target, &domain, cause, at(millis));
            }
        }
        if let Some(sent_at) = answered_sent_at {
            reach.record_response(false, at(sent_at), at(1_400));
        }
        let name = format!("{cause:?}, {answered_sent_at:?}, {round_at}");
        assert!(needs_check(&reach, round_at), "{name}");
        let since = reach.record_failed_round(at(round_at));
        assert_eq!(since.is_some(), is_cut_off, "{name}");
    }
}

/// Guards against checks that are too short for a slow link, and against long ones on a usual link.
#[test]
fn health_checks_take_as_long_as_recent_connects_ask_for() {
    let usual = Span::from_millis(800);
    for (connects, asked_at, expected) in [
        (&[][..], 0, 800),
        (&[(70, 0)], 100, 800),
        (&[(500, 0), (10, 50)], 100, 2_000),
        (&[(500, 0)], 3_000, 800),
        (&[(1_400, 0)], 100, 3_000),
    ] {
        let mut reach = Reach::default();
        for (millis, observed_at) in connects {
            reach.record_connect(Span::from_millis(*millis), at(*observed_at));
        }
        let timeout = reach.stretch(usual, at(asked_at));
        assert_eq!(timeout, Span::from_millis(expected), "{connects:?}");
    }
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
    reach.record_response(false, at(0), at(0));
    assert!(needs_check(&reach, 100));
    reach.record_response(true, at(0), at(0));
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
    reach.record_response(false, at(0), at(0));
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
    reach.record_neighbor_cut(at(400));
    assert_eq!(reach.record_failed_round(at(500)), Some(at(500)));
    assert_eq!(reach.record_failed_round(at(1_000)), None);
    assert!(reach.is_cut_off() && needs_check(&reach, 60_000));
    assert_eq!(reach.record_reached(at(0)), Some(at(500)));
    assert_eq!(reach.record_reached(at(0)), None);
    assert!(!needs_check(&reach, 60_000));
}

#[test]
fn cut_counts_from_its_first_failure() {
    let mut reach = Reach::default();
    fail(&mut reach, [0, 1, 2], 200);
    assert_eq!(reach.record_failed_round(at(1_000)), Some(at(200)));
    assert_eq!(reach.record_reached(at(0)), Some(at(200)));
}

#[test]
fn targets_are_used_at_once_after_a_cut_unless_they_failed_before() {
    let mut members: Vec<Member> = (0..3)
        .map(|number| Member::new(target(&format!("t{number}"), "west", 4), at(0)))
        .collect();
    members[0].ban(at(500));
    members[1].ban(at(5_200));
    members[2].ban(at(5_200));
    // The domain of this target was closed and opened again during the cut.
    members[2].require_check();
    for member in &mut members {
        member.forget_failures(at(5_000), at(9_000));
    }
    let needs_check: Vec<bool> = members.iter().map(Member::needs_check).collect();
    assert_eq!(needs_check, [true, false, true]);
    assert!(!members[1].is_banned(at(9_000)));
}

fn peer(name: &str, region: &str, domain: &str) -> Peer {
    Peer {
        instance: name.parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        region: region.parse().expect("a name"),
        address: "127.0.0.1:80".parse().expect("an address"),
    }
}

/// Returns the names of the peers that an instance in `west` may pass a request to.
fn candidates(homes: &[&str], account_homes: &[&str], tried: &[&str]) -> Vec<String> {
    let regions = |names: &[&str]| -> Vec<id::Region> {
        let names = names.iter();
        names.map(|name| name.parse().expect("a name")).collect()
    };
    let tried = tried.iter().map(|name| name.parse().expect("a name"));
    let tried: Vec<id::Instance> = tried.collect();
    let query = relay::Query {
        home_regions: &regions(homes),
        account_home_regions: &regions(account_homes),
        tried: &tried,
    };
    let peers = [
        peer("a1", "west", "west-a"),
        peer("w1", "west", "west-b"),
        peer("w2", "west", "west-c"),
        peer("e1", "east", "east-a"),
        peer("n1", "north", "north-a"),
    ];
    let found = relay::candidates(&peers, &location("west"), &query);
    let names = found.iter();
    names.map(|peer| peer.instance.to_string()).collect()
}

#[test]
fn requests_are_passed_on_within_the_region_and_never_outside_their_homes() {
    assert_eq!(candidates(&[], &[], &[]), ["w1", "w2"]);
    assert_eq!(candidates(&[], &[], &["w1"]), ["w2"]);
    assert_eq!(candidates(&[], &[], &["a1", "w1", "w2"]), ["e1", "n1"]);
    assert_eq!(candidates(&["east"], &[], &[]), ["e1"]);
    assert_eq!(
        candidates(&["east", "west"], &["north", "east"], &[]),
        ["e1"]
    );
    assert!(candidates(&["east"], &["north"], &[]).is_empty());
}

#[test]
fn instances_of_the_same_failure_domain_are_asked_after_the_others_of_the_region() {
    assert_eq!(candidates(&[], &[], &["w1"]), ["w2"]);
    assert_eq!(candidates(&[], &[], &["w1", "w2"]), ["a1"]);
}

#[test]
fn only_rejections_by_an_older_configuration_are_outdated() {
    let ours = Revision::new(7);
    assert!(relay::is_outdated(Some(Revision::new(6)), ours));
    assert!(!relay::is_outdated(Some(ours), ours));
    assert!(!relay::is_outdated(Some(Revision::new(8)), ours));
    assert!(!relay::is_outdated(None, ours));
}

#[test]
fn instance_checks_its_paths_once_when_another_one_of_its_domain_is_cut_off() {
    let mut reach = Reach::default();
    reach.record_neighbor_cut(at(1_000));
    assert!(needs_check(&reach, 1_000));
    assert!(!reach.is_cut_off());
    reach.record_response(false, at(0), at(0));
    assert!(needs_check(&reach, 1_500));
    assert_eq!(reach.record_reached(at(0)), None);
    assert!(!needs_check(&reach, 1_500));
    reach.record_neighbor_cut(at(2_000));
    assert_eq!(reach.record_failed_round(at(2_500)), Some(at(2_500)));
    assert!(reach.is_cut_off());
    assert!(needs_check(&reach, 9_000));
}

/// Guards against a round of checks at busy targets that cuts off one instance after the other.
#[test]
fn response_on_a_new_connection_refutes_a_round_that_is_under_way() {
    let mut reach = Reach::default();
    reach.record_neighbor_cut(at(1_000));
    assert!(needs_check(&reach, 1_000));
    reach.record_response(true, at(0), at(0));
    assert!(!needs_check(&reach, 1_800));
    assert_eq!(reach.record_failed_round(at(1_800)), None);
    assert!(!reach.is_cut_off());
}

/// Guards against losses that stay on record because a target failed twice before the cut was noticed.
#[test]
fn cut_begins_with_the_first_failure_of_targets_that_fail_again() {
    let mut reach = Reach::default();
    fail(&mut reach, [0, 1], 1_000);
    fail(&mut reach, [1, 0, 2], 1_400);
    assert!(needs_check(&reach, 1_500));
    assert_eq!(reach.record_failed_round(at(1_800)), Some(at(1_000)));
    assert_eq!(reach.record_reached(at(0)), Some(at(1_000)));
}

/// Guards against a cut that nobody notices because all requests are quarantined before enough targets have
/// failed.
#[test]
fn quarantine_on_losses_of_this_instance_raises_the_suspicion() {
    let mut reach = Reach::default();
    fail(&mut reach, [0], 1_000);
    assert!(!needs_check(&reach, 1_050));
    reach.record_quarantine(at(1_050));
    assert!(needs_check(&reach, 1_100));
    let (target, _) = names(0);
    assert!(reach.has_failed(&target, at(1_100)));
    let mut answered = reach.clone();
    answered.record_response(false, at(0), at(0));
    assert!(!needs_check(&answered, 1_100));
    assert!(!needs_check(&reach, 4_100));
    assert!(!reach.has_failed(&target, at(4_100)));
    assert_eq!(reach.record_failed_round(at(1_200)), Some(at(1_000)));
}

#[test]
fn quarantine_rests_on_own_losses_until_these_are_forgotten() {
    let mut table = Table::after(2);
    let fingerprint = Fingerprint::new(7);
    let length = Span::from_secs(60);
    let other: id::Instance = "front-2".parse().expect("a name");
    let is_own = |table: &Table| table.rests_on_own_losses(None, fingerprint, at(1_300));
    table.note(suspicion(0), length, at(1_000));
    assert!(!is_own(&table), "one loss is no quarantine");
    assert!(table.note_reported(suspicion(1), other.clone(), length, at(1_100)));
    assert!(is_own(&table));
    table.note_reported(suspicion(2), other, length, at(1_200));
    assert!(!is_own(&table), "only losses of the other are left");
    table.note(suspicion(3), length, at(1_250));
    assert!(is_own(&table));
    table.forget_losses(None, at(1_000));
    assert!(!is_own(&table));
}

fn suspicion(target: usize) -> Suspicion {
    Suspicion {
        account: None,
        fingerprint: Fingerprint::new(7),
        target: names(target).0,
        in_flight: 1,
    }
}

#[test]
fn losses_that_instances_cut_off_told_of_quarantine_nothing() {
    let mut table = Table::after(3);
    let fingerprint = Fingerprint::new(7);
    let length = Span::from_secs(60);
    let cut_off: id::Instance = "front-1".parse().expect("a name");
    let other: id::Instance = "front-2".parse().expect("a name");
    table.note_reported(suspicion(0), cut_off.clone(), length, at(1_000));
    table.note_reported(suspicion(1), cut_off.clone(), length, at(1_100));
    assert!(table.note_reported(suspicion(2), other, length, at(1_200)));
    assert!(table.check(None, fingerprint, at(1_300)).is_some());
    table.forget_losses(Some(&cut_off), at(1_050));
    assert_eq!(table.check(None, fingerprint, at(1_300)), None);
    // The losses before the cut and those of others still count.
    assert!(table.note(suspicion(4), length, at(1_400)));
    table.forget_losses(None, at(1_000));
    assert_eq!(table.check(None, fingerprint, at(1_500)), None);
}
