//! A planned stop: new work is refused, work in hand ends, and resends are still answered.

use std::time::Duration;

use sg_types::prelude::*;

use crate::{
    double::{Entry, KEY_A, World, view},
    once::ticket,
    wire::{Act, Target, bearer, ok, raw, request, with_ticket},
};

#[tokio::test]
async fn a_stop_ends_work_in_hand_and_refuses_new_work() {
    let slow = Act::Late(
        Duration::from_millis(150),
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow".into(),
    );
    let target = Target::start(move |_, _| slow.clone()).await;
    let world = World::new(&[target.address]);
    let entry = Entry::start("e1", 1, &world).await;
    let text = request("GET", "/read", &[bearer(KEY_A)], "");
    let address = entry.address;
    let in_hand = tokio::spawn(raw(address, text.clone()));
    while target.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    entry.forward.leave();
    let late = raw(address, text).await;
    late.expect(Outcome::NotRun, Reason::Leaving);
    assert!(late.header("retry-after").is_some());
    assert_eq!(entry.forward.in_hand(), 1, "the first request is in hand");
    entry.forward.idle().await;
    assert_eq!(entry.forward.in_hand(), 0);
    assert_eq!(in_hand.await.expect("ends").body, "slow");
}

#[tokio::test]
async fn a_stopping_entry_still_answers_resends_and_gives_out_no_tickets() {
    let target = Target::start(|_, _| ok("booked")).await;
    let world = World::new(&[target.address]);
    let entry = Entry::start("e1", 1, &world).await;
    let used = ticket(&entry, KEY_A).await;
    let unused = ticket(&entry, KEY_A).await;
    let book = |ticket: &str| {
        request(
            "POST",
            "/book",
            &[bearer(KEY_A), with_ticket(ticket)],
            "donkey 7",
        )
    };
    raw(entry.address, book(&used))
        .await
        .expect(Outcome::Ran, Reason::Answered);
    world.set(view(2, &[("/entries/e1/drain", "yes")]));
    raw(entry.address, book(&used))
        .await
        .expect(Outcome::Ran, Reason::Replayed);
    raw(entry.address, book(&unused))
        .await
        .expect(Outcome::NotRun, Reason::Leaving);
    let without = raw(
        entry.address,
        request("POST", "/book", &[bearer(KEY_A)], "x"),
    )
    .await;
    without.expect(Outcome::NotRun, Reason::TicketMissing);
    assert!(without.header("sg-ticket").is_none());
    assert_eq!(target.seen().len(), 1);
}
