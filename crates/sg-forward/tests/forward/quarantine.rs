//! Tests the quarantine of requests during which targets are lost.

use quickcheck::quickcheck;
use sg_forward::quarantine::{Suspicion, Table};
use sg_types::prelude::*;

use crate::{
    env::{Entry, KEY_A, KEY_B, TestEnv},
    wire::{Behavior, Target, bearer, exchange, ok, request},
};

const QUARANTINE_TIME: Span = Span::from_secs(60);
const POISON: Fingerprint = Fingerprint::new(13);

fn at(secs: u64) -> Instant {
    Instant::START + Span::from_secs(secs)
}

fn account(name: &str) -> id::Account {
    name.parse().expect("a name")
}

fn lost(target: u32, in_flight: u32) -> Suspicion {
    Suspicion {
        account: Some(account("a")),
        fingerprint: POISON,
        target: format!("t{target}").parse().expect("a name"),
        in_flight,
    }
}

fn is_quarantined(table: &Table, now: Instant) -> bool {
    table.check(Some(&account("a")), POISON, now).is_some()
}

#[test]
fn a_request_lost_with_two_targets_is_quarantined_until_expiry() {
    let mut table = Table::default();
    assert!(!table.note(lost(1, 1), QUARANTINE_TIME, at(100)));
    assert!(
        !table.note(lost(1, 1), QUARANTINE_TIME, at(101)),
        "the same target again"
    );
    assert!(!is_quarantined(&table, at(101)));
    assert!(table.note(lost(2, 1), QUARANTINE_TIME, at(102)));
    assert!(is_quarantined(&table, at(161)));
    assert!(!is_quarantined(&table, at(162)), "the quarantine expires");
    assert!(table.check(Some(&account("b")), POISON, at(110)).is_none());
    assert!(table.check(None, POISON, at(110)).is_none());
}

#[test]
fn distant_or_cleared_losses_do_not_quarantine() {
    let mut table = Table::default();
    table.note(lost(1, 1), QUARANTINE_TIME, at(100));
    assert!(
        !table.note(lost(2, 1), QUARANTINE_TIME, at(161)),
        "the first loss has expired"
    );
    table.clear(Some(&account("a")), POISON, at(162));
    assert!(!table.note(lost(3, 1), QUARANTINE_TIME, at(163)));
    assert!(
        table.note(lost(4, 1), QUARANTINE_TIME, at(164)),
        "losses without a response in between cause a quarantine"
    );
}

#[test]
fn weak_evidence_shortens_the_quarantine_until_it_repeats() {
    let mut table = Table::default();
    table.note(lost(1, 50), QUARANTINE_TIME, at(100));
    assert!(table.note(lost(2, 50), QUARANTINE_TIME, at(100)));
    assert!(is_quarantined(&table, at(114)));
    assert!(
        !is_quarantined(&table, at(115)),
        "a quarter of the full length"
    );
    assert!(
        table.note(lost(3, 50), QUARANTINE_TIME, at(116)),
        "one more loss suffices for the full length"
    );
    assert!(is_quarantined(&table, at(175)));
}

quickcheck! {
    fn the_table_is_bounded_and_accounts_do_not_affect_each_other(losses: Vec<(u8, u16, u8)>) -> bool {
        let mut table = Table::default();
        for (n, (target, print, in_flight)) in losses.iter().enumerate() {
            let mut suspicion = lost(u32::from(*target), u32::from(*in_flight));
            suspicion.fingerprint = Fingerprint::new(u128::from(*print));
            table.note(suspicion, QUARANTINE_TIME, at(n as u64));
        }
        let free = losses.iter().all(|(_, print, _)| {
            table.check(Some(&account("b")), Fingerprint::new(u128::from(*print)), at(0)).is_none()
        });
        free && table.len() <= 256
    }
}

#[test]
fn a_flood_of_suspicions_stays_within_the_bound() {
    let mut table = Table::default();
    for print in 0..1_000 {
        let mut suspicion = lost(1, 1);
        suspicion.fingerprint = Fingerprint::new(print);
        table.note(suspicion, QUARANTINE_TIME, at(1));
    }
    assert_eq!(table.len(), 256);
}

#[tokio::test]
async fn a_crashing_request_is_refused_by_every_entry_and_others_are_not() {
    let crash = |text: &str, _: usize| match text.ends_with("poison") {
        true => Behavior::Reset,
        false => ok("hello"),
    };
    let mut targets = Vec::new();
    for _ in 0..4 {
        targets.push(Target::start(crash).await);
    }
    let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
    let env = TestEnv::new(&addresses);
    let first = Entry::start("e1", 1, &env).await;
    let second = Entry::start("e2", 2, &env).await;
    let send = |key: &str, name: &str, body: &str| {
        request(
            "POST",
            "/read",
            &[bearer(key), format!("x-name: {name}")],
            body,
        )
    };
    let response = exchange(first.address, send(KEY_A, "one", "poison")).await;
    response.expect(Outcome::Unknown, Reason::ConnectionLost);
    let notices: Vec<Notice> = env.0.notices.lock().drain(..).collect();
    assert_eq!(notices.len(), 2, "{notices:?}");
    notices
        .into_iter()
        .for_each(|notice| second.forward.handle_notice(notice));
    for entry in [&first, &second] {
        let again = exchange(entry.address, send(KEY_A, "another", "poison")).await;
        again.expect(Outcome::NotRun, Reason::Quarantined);
        let fine = exchange(entry.address, send(KEY_A, "one", "harmless")).await;
        fine.expect(Outcome::Ran, Reason::Answered);
    }
    let seen: usize = targets
        .iter()
        .map(|target| {
            target
                .requests()
                .iter()
                .filter(|text| text.ends_with("poison"))
                .count()
        })
        .sum();
    assert_eq!(seen, 2, "exactly two targets were lost");
    let other = exchange(second.address, send(KEY_B, "one", "poison")).await;
    other.expect(Outcome::Unknown, Reason::ConnectionLost);
}
