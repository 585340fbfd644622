//! Tests a graceful stop: new requests are refused, requests in flight complete, and resends are
//! still answered.

use std::time::Duration;

use sg_types::prelude::*;

use crate::{
    at_most_once::ticket,
    env::{Entry, KEY_A, TestEnv, view},
    wire::{Behavior, Target, bearer, exchange, ok, request, ticket_header},
};

#[tokio::test]
async fn a_graceful_stop_completes_requests_in_flight_and_refuses_new_ones() {
    let slow = Behavior::RespondAfter(
        Duration::from_millis(150),
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow".into(),
    );
    let target = Target::start(move |_, _| slow.clone()).await;
    let env = TestEnv::new(&[target.address]);
    let entry = Entry::start("e1", 1, &env).await;
    let text = request("GET", "/read", &[bearer(KEY_A)], "");
    let address = entry.address;
    let in_flight = tokio::spawn(exchange(address, text.clone()));
    while target.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    entry.forward.refuse_new_work();
    let late = exchange(address, text).await;
    late.expect(Outcome::NotRun, Reason::Leaving);
    assert!(late.header("retry-after").is_some());
    assert_eq!(
        entry.forward.in_flight(),
        1,
        "the first request is in flight"
    );
    entry.forward.wait_idle().await;
    assert_eq!(entry.forward.in_flight(), 0);
    assert_eq!(in_flight.await.expect("ends").body, "slow");
}

#[tokio::test]
async fn a_stopping_entry_still_answers_resends_and_issues_no_tickets() {
    let target = Target::start(|_, _| ok("booked")).await;
    let env = TestEnv::new(&[target.address]);
    let entry = Entry::start("e1", 1, &env).await;
    let used = ticket(&entry, KEY_A).await;
    let unused = ticket(&entry, KEY_A).await;
    let book = |ticket: &str| {
        request(
            "POST",
            "/book",
            &[bearer(KEY_A), ticket_header(ticket)],
            "donkey 7",
        )
    };
    exchange(entry.address, book(&used))
        .await
        .expect(Outcome::Ran, Reason::Answered);
    env.set_view(view(2, &[("/entries/e1/drain", "yes")]));
    exchange(entry.address, book(&used))
        .await
        .expect(Outcome::Ran, Reason::Replayed);
    exchange(entry.address, book(&unused))
        .await
        .expect(Outcome::NotRun, Reason::Leaving);
    let without = exchange(
        entry.address,
        request("POST", "/book", &[bearer(KEY_A)], "x"),
    )
    .await;
    without.expect(Outcome::NotRun, Reason::TicketMissing);
    assert!(without.header("sg-ticket").is_none());
    assert_eq!(target.requests().len(), 1);
}
