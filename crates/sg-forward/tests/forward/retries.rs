//! Retries: bounded, to another target, on a new connection, within the deadline.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use sg_steer::End;
use sg_types::prelude::*;

use crate::{
    double::{Entry, KEY_A, TENTH, World},
    wire::{Act, Target, bearer, ok, raw, request},
};

fn read() -> String {
    request("GET", "/read", &[bearer(KEY_A)], "")
}

#[tokio::test]
async fn a_repeatable_request_moves_from_a_silent_or_lost_target_to_another() {
    for (act, end) in [(Act::Silence, End::TimedOut), (Act::Reset, End::Lost)] {
        let bad = Target::start(move |_, _| act.clone()).await;
        let good = Target::start(|_, _| ok("hello")).await;
        let world = World::new(&[bad.address, good.address]);
        let entry = Entry::start("e1", 1, &world).await;
        let answer = raw(entry.address, read()).await;
        answer.expect(Outcome::Ran, Reason::Answered);
        assert_eq!((bad.seen().len(), good.seen().len()), (1, 1));
        assert_eq!(world.ends()[0], end);
        let counts = entry.forward.counts();
        let account = &counts.accounts["a"];
        assert_eq!((account.ran, account.attempts), (1, 2));
        assert_eq!(account.waited.count(), 1);
    }
}

#[tokio::test]
async fn one_silent_connection_retires_all_pooled_ones_to_its_target() {
    const OLD: u32 = 6;
    let silenced = Arc::new(AtomicBool::new(false));
    let flag = silenced.clone();
    let barrier = Duration::from_millis(400);
    let first = Target::start_by_connection(move |_, _, connection| {
        let old = connection < OLD;
        match (old, flag.load(Ordering::SeqCst)) {
            (true, true) => Act::Silence,
            (true, false) => Act::Late(
                barrier,
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi".into(),
            ),
            (false, _) => ok("new"),
        }
    })
    .await;
    let second = Target::start(|_, _| ok("second")).await;
    let world = World::new(&[first.address, second.address]);
    let entry = Entry::start("e1", 1, &world).await;
    let sends = (0..OLD).map(|_| raw(entry.address, read()));
    futures_util::future::join_all(sends).await;
    assert_eq!(first.connections(), OLD);
    silenced.store(true, Ordering::SeqCst);
    let moved = raw(entry.address, read()).await;
    assert_eq!(moved.body, "second");
    for _ in 0..OLD {
        let next = raw(entry.address, read()).await;
        assert_eq!(
            next.body, "new",
            "no second request meets a silent connection"
        );
    }
}

#[tokio::test]
async fn a_target_that_says_not_run_is_believed() {
    let shed = "HTTP/1.1 503 Busy\r\nsg-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
    let leaving =
        "HTTP/1.1 503 Busy\r\nsg-outcome: not-run\r\nsg-leaving: yes\r\ncontent-length: 0\r\n\r\n";
    let plain = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        (shed, Outcome::NotRun, Reason::Shed, 0),
        (leaving, Outcome::NotRun, Reason::Shed, 1),
        (plain, Outcome::Ran, Reason::Answered, 0),
    ];
    for (text, outcome, reason, notices) in cases {
        let target = Target::start(move |_, _| Act::Answer(text.into())).await;
        let world = World::new(&[target.address]);
        let entry = Entry::start("e1", 1, &world).await;
        raw(entry.address, read()).await.expect(outcome, reason);
        assert_eq!(world.0.notices.lock().len(), notices);
    }
}

/// Attempts for each request of `count`, with every target gone.
async fn attempts_in_an_outage(retry_percent: u32, count: usize) -> f64 {
    let absent = [Target::absent().await, Target::absent().await];
    let world = World::new(&absent);
    world.0.retry_percent.store(retry_percent, Ordering::SeqCst);
    let entry = Entry::start("e1", 1, &world).await;
    for _ in 0..count {
        let answer = raw(entry.address, read()).await;
        assert_eq!(answer.said().0, "not-run");
    }
    let attempts = world.0.starts.lock().len();
    attempts as f64 / count as f64
}

#[tokio::test]
async fn in_a_full_outage_attempts_stay_under_the_budget() {
    const REQUESTS: usize = 200;
    const MOST: f64 = 1.1;
    let bounded = attempts_in_an_outage(TENTH, REQUESTS).await;
    assert!(bounded > 1.0 && bounded < MOST, "{bounded}");
    let unbounded = attempts_in_an_outage(100, REQUESTS).await;
    assert!(
        unbounded >= MOST,
        "a budget that allows all is seen: {unbounded}"
    );
}

#[tokio::test]
async fn no_request_goes_to_one_target_twice() {
    let target = Target::start(|_, _| Act::Reset).await;
    let world = World::new(&[target.address]);
    let entry = Entry::start("e1", 1, &world).await;
    raw(entry.address, read())
        .await
        .expect(Outcome::Unknown, Reason::ConnectionLost);
    assert_eq!(target.seen().len(), 1);
}
