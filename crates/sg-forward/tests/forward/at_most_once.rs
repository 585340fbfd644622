//! Tests that non-repeatable requests run at most once, whatever targets, callers and entries do.

use std::time::Duration;

use sg_types::prelude::*;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    env::{Entry, KEY_A, KEY_B, TestEnv, view},
    wire::{Behavior, Response, Target, bearer, exchange, ok, read_all, request, ticket_header},
};

pub async fn ticket(entry: &Entry, key: &str) -> String {
    let response = exchange(entry.address, request("POST", "/book", &[bearer(key)], "x")).await;
    response.expect(Outcome::NotRun, Reason::TicketMissing);
    response.header("sg-ticket").expect("a fresh ticket")
}

fn book(ticket: &str, body: &str) -> String {
    request(
        "POST",
        "/book",
        &[bearer(KEY_A), ticket_header(ticket)],
        body,
    )
}

async fn send(entry: &Entry, ticket: &str, body: &str) -> Response {
    exchange(entry.address, book(ticket, body)).await
}

async fn set_up(
    behave: impl Fn(&str, usize) -> Behavior + Send + Sync + 'static,
) -> (Target, TestEnv, Entry) {
    let target = Target::start(behave).await;
    let spare = Target::start(|_, _| ok("a second target ran it")).await;
    let env = TestEnv::new(&[target.address, spare.address]);
    let entry = Entry::start("e1", 1, &env).await;
    (target, env, entry)
}

#[tokio::test]
async fn a_broken_exchange_is_unknown_and_never_sent_again() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
    let slow_response = Behavior::RespondAfter(
        Duration::from_secs(3),
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi".into(),
    );
    let cases = [
        (Behavior::Close, Reason::ConnectionLost),
        (Behavior::Reset, Reason::ConnectionLost),
        (Behavior::RespondAndClose(half.into()), Reason::AnswerBroken),
        (slow_response, Reason::DeadlineRunning),
    ];
    for (behavior, reason) in cases {
        let (target, env, entry) = set_up(move |_, _| behavior.clone()).await;
        if reason == Reason::DeadlineRunning {
            env.set_view(view(2, &[("/services/desk/routes/book/deadline", "1s")]));
        }
        let ticket = ticket(&entry, KEY_A).await;
        send(&entry, &ticket, "donkey 7")
            .await
            .expect(Outcome::Unknown, reason);
        let again = send(&entry, &ticket, "donkey 7").await;
        again.expect(Outcome::Unknown, Reason::EarlierUnknown);
        assert_eq!(target.requests().len(), 1);
        target.ran_at_most_once().expect("at most once");
        assert_eq!(env.0.starts.lock().len(), 1, "one attempt");
    }
}

#[tokio::test]
async fn a_non_repeatable_request_gets_a_new_connection() {
    let (target, env, entry) = set_up(|text, _| match text.starts_with("GET") {
        true => ok("read"),
        false => Behavior::Close,
    })
    .await;
    let read = request("GET", "/read", &[bearer(KEY_A)], "");
    exchange(entry.address, &read)
        .await
        .expect(Outcome::Ran, Reason::Answered);
    exchange(entry.address, &read)
        .await
        .expect(Outcome::Ran, Reason::Answered);
    assert_eq!(target.connections(), 1, "reads share a connection");
    let ticket = ticket(&entry, KEY_A).await;
    let response = send(&entry, &ticket, "donkey 7").await;
    response.expect(Outcome::Unknown, Reason::ConnectionLost);
    assert_eq!(
        target.connections(),
        2,
        "the booking has its own connection"
    );
    assert_eq!(target.requests().len(), 3);
    assert_eq!(env.0.starts.lock().len(), 3);
}

#[tokio::test]
async fn the_check_detects_a_client_that_resends() {
    let target = Target::start(|_, _| Behavior::Close).await;
    for _ in 0..2 {
        exchange(target.address, request("POST", "/book", &[], "donkey 7")).await;
    }
    assert_eq!(target.ran_at_most_once(), Err(2));
}

#[tokio::test]
async fn a_resend_gets_the_response_of_the_first_send() {
    let (target, _env, entry) = set_up(|_, _| ok("booked")).await;
    let ticket = ticket(&entry, KEY_A).await;
    let first = send(&entry, &ticket, "donkey 7").await;
    first.expect(Outcome::Ran, Reason::Answered);
    let again = send(&entry, &ticket, "donkey 7").await;
    again.expect(Outcome::Ran, Reason::Replayed);
    assert_eq!(again.body, first.body);
    target.ran_at_most_once().expect("at most once");
}

#[tokio::test]
async fn a_large_response_is_not_stored_but_its_outcome_is() {
    let large = "x".repeat(400 * 1024);
    let (target, _env, entry) = set_up(move |_, _| ok(&large)).await;
    let ticket = ticket(&entry, KEY_A).await;
    let first = send(&entry, &ticket, "donkey 7").await;
    first.expect(Outcome::Ran, Reason::Answered);
    assert!(first.is_complete());
    let again = send(&entry, &ticket, "donkey 7").await;
    again.expect(Outcome::Ran, Reason::AnswerGone);
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn concurrent_sends_share_one_run() {
    let slow = Behavior::RespondAfter(
        Duration::from_millis(100),
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked".into(),
    );
    let (target, _env, entry) = set_up(move |_, _| slow.clone()).await;
    let ticket = ticket(&entry, KEY_A).await;
    let sends = (0..8).map(|_| send(&entry, &ticket, "donkey 7"));
    for response in futures_util::future::join_all(sends).await {
        assert_eq!(response.outcome_and_reason().0, "ran");
        assert_eq!(response.body, "booked");
    }
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn sends_queued_together_share_one_run() {
    let (target, env, entry) = set_up(|text, _| match text.starts_with("GET") {
        true => Behavior::Stall,
        false => ok("booked"),
    })
    .await;
    let limits = [
        ("/fleet/concurrency", "1"),
        ("/services/desk/attempts", "1"),
    ];
    env.set_view(view(2, &limits));
    let ticket = ticket(&entry, KEY_A).await;
    let read = request("GET", "/read", &[bearer(KEY_A)], "");
    let held = tokio::spawn(exchange(entry.address, read));
    while target.requests().is_empty() {
        tokio::task::yield_now().await;
    }
    let sends = (0..4).map(|_| send(&entry, &ticket, "donkey 7"));
    for response in futures_util::future::join_all(sends).await {
        assert_eq!(response.outcome_and_reason().0, "ran");
        assert_eq!(response.body, "booked");
    }
    held.await.expect("ends");
    assert_eq!(target.requests().len(), 2, "one read and one booking");
}

#[tokio::test]
async fn a_disconnected_caller_gets_the_response_on_resend() {
    let slow = Behavior::RespondAfter(
        Duration::from_millis(100),
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nbooked".into(),
    );
    let (target, _env, entry) = set_up(move |_, _| slow.clone()).await;
    let ticket = ticket(&entry, KEY_A).await;
    let abandoned = send(&entry, &ticket, "donkey 7");
    let timed_out = tokio::time::timeout(Duration::from_millis(50), abandoned).await;
    assert!(
        timed_out.is_err(),
        "the caller disconnects before the response"
    );
    let response = send(&entry, &ticket, "donkey 7").await;
    assert_eq!(response.outcome_and_reason().0, "ran");
    assert_eq!(response.body, "booked");
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn a_ticket_is_valid_for_one_account_and_one_request() {
    let (target, _env, entry) = set_up(|_, _| ok("booked")).await;
    let ticket = ticket(&entry, KEY_A).await;
    let other = request(
        "POST",
        "/book",
        &[bearer(KEY_B), ticket_header(&ticket)],
        "donkey 7",
    );
    exchange(entry.address, other)
        .await
        .expect(Outcome::NotRun, Reason::TicketMismatch);
    let forged = format!("{}0", &ticket[..ticket.len() - 1]);
    let forged = if forged == ticket {
        format!("{}1", &ticket[..ticket.len() - 1])
    } else {
        forged
    };
    send(&entry, &forged, "donkey 7")
        .await
        .expect(Outcome::NotRun, Reason::TicketMismatch);
    send(&entry, "nonsense", "donkey 7")
        .await
        .expect(Outcome::NotRun, Reason::TicketMismatch);
    send(&entry, &ticket, "donkey 7")
        .await
        .expect(Outcome::Ran, Reason::Answered);
    let changed = send(&entry, &ticket, "donkey 8").await;
    changed.expect(Outcome::Unknown, Reason::TicketMismatch);
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn a_refused_resend_is_never_reported_as_not_run() {
    let (target, env, entry) = set_up(|_, _| ok("booked")).await;
    let ticket = ticket(&entry, KEY_A).await;
    send(&entry, &ticket, "donkey 7")
        .await
        .expect(Outcome::Ran, Reason::Answered);
    env.0.stale.store(true, std::sync::atomic::Ordering::SeqCst);
    send(&entry, &ticket, "donkey 7")
        .await
        .expect(Outcome::Unknown, Reason::Stale);
    env.0
        .stale
        .store(false, std::sync::atomic::Ordering::SeqCst);
    env.set_view(view(2, &[("/accounts/a/keys/k1/withdrawn", "yes")]));
    send(&entry, &ticket, "donkey 7")
        .await
        .expect(Outcome::Unknown, Reason::KeyRefused);
    env.set_view(view(3, &[]));
    // A request with an unused ticket is refused as not run.
    let fresh = self::ticket(&entry, KEY_A).await;
    env.set_refusal(Span::from_secs(1), false);
    send(&entry, &fresh, "donkey 9")
        .await
        .expect(Outcome::NotRun, Reason::OverRate);
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn a_refusal_is_unknown_while_another_send_of_its_ticket_is_pending() {
    let (target, env, entry) = set_up(|_, _| ok("booked")).await;
    let ticket = ticket(&entry, KEY_A).await;
    let text = book(&ticket, "donkey 7");
    let (first, rest) = text.split_at(text.len() - 3);
    let mut waiting = TcpStream::connect(entry.address).await.expect("connects");
    waiting.write_all(first.as_bytes()).await.expect("writes");
    while entry.forward.in_flight() == 0 {
        tokio::task::yield_now().await;
    }
    env.set_refusal(Span::from_secs(1), false);
    send(&entry, &ticket, "donkey 7")
        .await
        .expect(Outcome::Unknown, Reason::OverRate);
    *env.0.refusal.lock() = None;
    waiting.write_all(rest.as_bytes()).await.expect("writes");
    let response = read_all(&mut waiting).await;
    assert!(response.contains("sg-outcome: ran"), "{response}");
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn a_request_that_reached_no_target_frees_its_ticket() {
    let absent = Target::unused_address().await;
    let env = TestEnv::new(&[absent]);
    let entry = Entry::start("e1", 1, &env).await;
    let ticket = ticket(&entry, KEY_A).await;
    send(&entry, &ticket, "donkey 7")
        .await
        .expect(Outcome::NotRun, Reason::ConnectFailed);
    let target = Target::start(|_, _| ok("booked")).await;
    env.0.targets.lock()[0].1 = target.address;
    send(&entry, &ticket, "donkey 7")
        .await
        .expect(Outcome::Ran, Reason::Answered);
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn another_entry_relays_to_the_issuer_without_the_key() {
    let (target, env, first) = set_up(|_, _| ok("booked")).await;
    let second = Entry::start("e2", 2, &env).await;
    let ticket = ticket(&first, KEY_A).await;
    let response = send(&second, &ticket, "donkey 7").await;
    response.expect(Outcome::Ran, Reason::Answered);
    assert_eq!(response.body, "booked");
    send(&second, &ticket, "donkey 7")
        .await
        .expect(Outcome::Ran, Reason::Replayed);
    send(&first, &ticket, "donkey 7")
        .await
        .expect(Outcome::Ran, Reason::Replayed);
    assert_eq!(target.requests().len(), 1);
    // The issuer's address now belongs to a target: the target sees no key, and its response is
    // ignored.
    let stranger = Target::start(|_, _| ok("not an instance")).await;
    let issuer = (first.instance.clone(), first.incarnation);
    env.0.entries.lock().insert(issuer, stranger.address);
    let response = send(&second, &ticket, "donkey 7").await;
    response.expect(Outcome::Unknown, Reason::IssuerGone);
    let seen = stranger.requests();
    assert!(seen[0].starts_with("POST /.sg/relay"), "{}", seen[0]);
    assert!(!seen[0].contains(KEY_A), "{}", seen[0]);
}

#[tokio::test]
async fn a_relayed_request_needs_a_proof_of_its_key() {
    let (target, env, first) = set_up(|_, _| ok("booked")).await;
    let ticket = ticket(&first, KEY_A).await;
    let lines = |holder: &str, proof: &str| {
        vec![
            "sg-relay-method: POST".into(),
            "sg-relay-path: /book".into(),
            format!("sg-relay-holder: {holder}"),
            format!("sg-relay-proof: {proof}"),
            ticket_header(&ticket),
        ]
    };
    for (holder, proof) in [
        ("a/k1", "0".repeat(64)),
        ("a/k9", "0".repeat(64)),
        ("a", String::new()),
    ] {
        let text = request("POST", "/.sg/relay", &lines(holder, &proof), "donkey 7");
        exchange(first.address, text)
            .await
            .expect(Outcome::NotRun, Reason::KeyRefused);
    }
    assert!(target.requests().is_empty());
    assert!(env.0.starts.lock().is_empty());
}

#[tokio::test]
async fn a_dead_or_replaced_issuer_yields_unknown_and_runs_nothing() {
    let (target, env, first) = set_up(|_, _| ok("booked")).await;
    let second = Entry::start("e2", 2, &env).await;
    let ticket = ticket(&first, KEY_A).await;
    send(&first, &ticket, "donkey 7")
        .await
        .expect(Outcome::Ran, Reason::Answered);
    // The directory lists the issuer, but nothing listens at its address.
    let issuer = (first.instance.clone(), first.incarnation);
    let absent = Target::unused_address().await;
    env.0.entries.lock().insert(issuer, absent);
    send(&second, &ticket, "donkey 7")
        .await
        .expect(Outcome::Unknown, Reason::IssuerGone);
    // The directory no longer lists the issuer.
    first.remove_from_directory(&env);
    send(&second, &ticket, "donkey 7")
        .await
        .expect(Outcome::Unknown, Reason::IssuerGone);
    // A new incarnation of the instance has replaced the issuer and has no record of its tickets.
    let replaced = Entry::start("e1", 3, &env).await;
    send(&replaced, &ticket, "donkey 7")
        .await
        .expect(Outcome::Unknown, Reason::IssuerGone);
    send(&second, &ticket, "donkey 7")
        .await
        .expect(Outcome::Unknown, Reason::IssuerGone);
    assert_eq!(target.requests().len(), 1);
}
