//! Tests tickets and the register of used tickets, without sockets.

use bytes::Bytes as Content;
use http::{HeaderMap, StatusCode};
use quickcheck::quickcheck;
use sg_forward::{
    ticket::{Sequence, Ticket, TicketIssuer},
    ticket_register::{EXPIRY_GRACE, Limits, Record, Register, StartResult},
};
use sg_types::prelude::*;

use crate::{
    env::{Entry, KEY_A, TestEnv},
    wire::{bearer, exchange, request},
};

const TICKET_LIFETIME: Span = Span::from_secs(600);

fn issuer(incarnation: u64) -> TicketIssuer {
    TicketIssuer::new("e1".parse().expect("a name"), Incarnation::new(incarnation))
}

fn at(secs: u64) -> Instant {
    Instant::START + Span::from_secs(secs)
}

fn issue(number: u64) -> Ticket {
    issuer(1).issue(
        None,
        Sequence::new(number),
        Instant::START + TICKET_LIFETIME,
    )
}

fn register(max_tickets: usize, max_body_bytes: u64) -> Register {
    Register::new(Limits {
        max_tickets,
        max_body_bytes,
    })
}

fn record(outcome: Outcome, body: &'static str) -> Record {
    Record {
        outcome,
        reason: Reason::Answered,
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Some(Content::from_static(body.as_bytes())),
    }
}

const REQUEST: Fingerprint = Fingerprint::new(7);

/// Returns how often two sends of one ticket run, with one register for each send.
fn runs(registers: [&mut Register; 2]) -> usize {
    let ticket = issue(1);
    let starts = registers.map(|register| register.start(&ticket, REQUEST, at(1)));
    starts
        .iter()
        .filter(|start| matches!(start, StartResult::Started))
        .count()
}

#[test]
fn a_used_ticket_never_starts_again_and_a_lost_register_is_detected() {
    let mut kept = register(8, 1024);
    let ticket = issue(1);
    assert!(matches!(
        kept.start(&ticket, REQUEST, at(1)),
        StartResult::Started
    ));
    assert!(matches!(
        kept.start(&ticket, REQUEST, at(2)),
        StartResult::AlreadyStarted(_)
    ));
    kept.record_result(Sequence::new(1), record(Outcome::Ran, "booked"));
    assert!(matches!(
        kept.start(&ticket, REQUEST, at(3)),
        StartResult::AlreadyStarted(_)
    ));
    assert!(matches!(
        kept.start(&ticket, Fingerprint::new(8), at(3)),
        StartResult::RequestMismatch
    ));
    // Two registers run the ticket twice, as if the first register had been lost.
    assert_eq!(runs([&mut register(8, 1024), &mut register(8, 1024)]), 2);
}

#[test]
fn a_full_register_refuses_new_tickets_and_forgets_none() {
    let mut register = register(2, 1024);
    for number in 0..2 {
        assert!(matches!(
            register.start(&issue(number), REQUEST, at(1)),
            StartResult::Started
        ));
    }
    assert!(matches!(
        register.start(&issue(2), REQUEST, at(2)),
        StartResult::Full
    ));
    assert!(matches!(
        register.start(&issue(0), REQUEST, at(2)),
        StartResult::AlreadyStarted(_)
    ));
    // Space is freed only after the ticket and its grace period have expired, when no response about
    // the ticket is due any more.
    let end = Instant::START + TICKET_LIFETIME + EXPIRY_GRACE;
    assert!(register.may_have_started(&issue(0), end));
    let later = issuer(1).issue(None, Sequence::new(3), end + TICKET_LIFETIME);
    assert!(matches!(
        register.start(&later, REQUEST, end),
        StartResult::Started
    ));
    assert_eq!(register.len(), 1);
}

#[test]
fn stored_responses_are_bounded_in_bytes() {
    let mut register = register(8, 10);
    for number in 0..3 {
        assert!(matches!(
            register.start(&issue(number), REQUEST, at(1)),
            StartResult::Started
        ));
        register.record_result(Sequence::new(number), record(Outcome::Ran, "12345"));
    }
    assert_eq!(register.body_bytes(), 10);
    let Some(StartResult::AlreadyStarted(receiver)) = register.find(Sequence::new(2), REQUEST)
    else {
        panic!("the third ticket is registered");
    };
    let kept = receiver.borrow().clone().expect("ended");
    assert!(
        kept.body.is_none(),
        "the response is dropped, the outcome is kept"
    );
    assert_eq!(kept.outcome, Outcome::Ran);
}

#[test]
fn a_run_that_reached_no_target_frees_its_ticket() {
    let mut register = register(8, 1024);
    assert!(matches!(
        register.start(&issue(1), REQUEST, at(1)),
        StartResult::Started
    ));
    register.record_result(Sequence::new(1), record(Outcome::NotRun, ""));
    assert!(matches!(
        register.start(&issue(1), REQUEST, at(2)),
        StartResult::Started
    ));
}

#[tokio::test]
async fn a_batch_of_tickets_is_bounded() {
    let env = TestEnv::new(&[]);
    let entry = Entry::start("e1", 1, &env).await;
    let ask = |path: &str| request("POST", path, &[bearer(KEY_A)], "");
    let response = exchange(entry.address, ask("/.sg/ticket?count=3")).await;
    assert_eq!(response.body.matches("e1:1:").count(), 3, "{response:?}");
    let response = exchange(entry.address, ask("/.sg/ticket?count=65")).await;
    response.expect(Outcome::NotRun, Reason::Malformed);
}

quickcheck! {
    fn a_ticket_round_trips_and_is_accepted_only_by_its_issuer_for_its_account(number: u64, expires: u64) -> bool {
        let issuer = issuer(1);
        let a: id::Account = "a".parse().expect("a name");
        let ticket = issuer.issue(Some(&a), Sequence::new(number), Instant::from_nanos(expires));
        let copy: Ticket = ticket.to_string().parse().expect("reads back");
        let b: id::Account = "b".parse().expect("a name");
        copy == ticket
            && issuer.has_issued(&copy, Some(&a))
            && !issuer.has_issued(&copy, Some(&b))
            && !issuer.has_issued(&copy, None)
            && !self::issuer(1).has_issued(&copy, Some(&a))
    }
}
