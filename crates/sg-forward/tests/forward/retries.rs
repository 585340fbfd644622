//! Tests retries: bounded, to another target, on a new connection, within the deadline.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use sg_steer::Completion;
use sg_types::prelude::*;

use crate::{
    env::{Entry, KEY_A, TEN_PERCENT, TestEnv},
    wire::{Behavior, Target, bearer, exchange, ok, request},
};

fn read() -> String {
    request("GET", "/read", &[bearer(KEY_A)], "")
}

#[tokio::test]
async fn a_repeatable_request_is_retried_on_another_target_after_a_timeout_or_reset() {
    for (behavior, completion) in [
        (Behavior::Stall, Completion::TimedOut),
        (Behavior::Reset, Completion::ConnectionLost),
    ] {
        let bad = Target::start(move |_, _| behavior.clone()).await;
        let good = Target::start(|_, _| ok("hello")).await;
        let env = TestEnv::new(&[bad.address, good.address]);
        let entry = Entry::start("e1", 1, &env).await;
        let response = exchange(entry.address, read()).await;
        response.expect(Outcome::Ran, Reason::Answered);
        assert_eq!((bad.requests().len(), good.requests().len()), (1, 1));
        assert_eq!(env.completions()[0], completion);
        let counts = entry.forward.counters();
        let account = &counts.accounts["a"];
        assert_eq!((account.ran, account.attempts), (1, 2));
        assert_eq!(account.waited.count(), 1);
    }
}

/// Guards against work that is given up although no other target can take the request.
#[tokio::test]
async fn a_repeatable_request_waits_for_its_target_if_no_other_one_can_take_it() {
    let slow = Behavior::RespondAfter(
        Duration::from_millis(1_500),
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi".into(),
    );
    let full = "HTTP/1.1 503 Full\r\nsg-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
    for other in [None, Some(Behavior::Respond(full.into()))] {
        let behavior = slow.clone();
        let target = Target::start(move |_, _| behavior.clone()).await;
        let mut addresses = vec![target.address];
        if let Some(other) = other {
            let other = Target::start(move |_, _| other.clone()).await;
            addresses.push(other.address);
        }
        let env = TestEnv::new(&addresses);
        let entry = Entry::start("e1", 1, &env).await;
        let response = exchange(entry.address, read()).await;
        response.expect(Outcome::Ran, Reason::Answered);
    }
}

#[tokio::test]
async fn one_stalled_connection_retires_all_pooled_connections_to_its_target() {
    const OLD_CONNECTIONS: u32 = 6;
    let is_silenced = Arc::new(AtomicBool::new(false));
    let flag = is_silenced.clone();
    let barrier = Duration::from_millis(400);
    let first = Target::start_by_connection(move |_, _, connection| {
        let old = connection < OLD_CONNECTIONS;
        match (old, flag.load(Ordering::SeqCst)) {
            (true, true) => Behavior::Stall,
            (true, false) => Behavior::RespondAfter(
                barrier,
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi".into(),
            ),
            (false, _) => ok("new"),
        }
    })
    .await;
    let second = Target::start(|_, _| ok("second")).await;
    let env = TestEnv::new(&[first.address, second.address]);
    let entry = Entry::start("e1", 1, &env).await;
    let sends = (0..OLD_CONNECTIONS).map(|_| exchange(entry.address, read()));
    futures_util::future::join_all(sends).await;
    assert_eq!(first.connections(), OLD_CONNECTIONS);
    is_silenced.store(true, Ordering::SeqCst);
    let moved = exchange(entry.address, read()).await;
    assert_eq!(moved.body, "second");
    for _ in 0..OLD_CONNECTIONS {
        let next = exchange(entry.address, read()).await;
        assert_eq!(
            next.body, "new",
            "no second request uses a stalled connection"
        );
    }
}

#[tokio::test]
async fn a_not_run_response_of_a_target_is_trusted() {
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
        let target = Target::start(move |_, _| Behavior::Respond(text.into())).await;
        let env = TestEnv::new(&[target.address]);
        let entry = Entry::start("e1", 1, &env).await;
        exchange(entry.address, read())
            .await
            .expect(outcome, reason);
        assert_eq!(env.0.notices.lock().len(), notices);
    }
}

/// Returns the mean number of attempts per request over `count` requests, with all targets down.
async fn attempts_in_an_outage(retry_percent: u32, count: usize) -> f64 {
    let absent = [
        Target::unused_address().await,
        Target::unused_address().await,
    ];
    let env = TestEnv::new(&absent);
    env.0.retry_percent.store(retry_percent, Ordering::SeqCst);
    let entry = Entry::start("e1", 1, &env).await;
    for _ in 0..count {
        let response = exchange(entry.address, read()).await;
        assert_eq!(response.outcome_and_reason().0, "not-run");
    }
    let attempts = env.0.starts.lock().len();
    attempts as f64 / count as f64
}

#[tokio::test]
async fn attempts_stay_within_the_retry_budget_in_a_full_outage() {
    const REQUESTS: usize = 200;
    const MAX_ATTEMPTS_PER_REQUEST: f64 = 1.1;
    let bounded = attempts_in_an_outage(TEN_PERCENT, REQUESTS).await;
    assert!(
        bounded > 1.0 && bounded < MAX_ATTEMPTS_PER_REQUEST,
        "{bounded}"
    );
    let unbounded = attempts_in_an_outage(100, REQUESTS).await;
    assert!(
        unbounded >= MAX_ATTEMPTS_PER_REQUEST,
        "an unlimited budget is detected: {unbounded}"
    );
}

#[tokio::test]
async fn a_request_is_sent_to_each_target_at_most_once() {
    let target = Target::start(|_, _| Behavior::Reset).await;
    let env = TestEnv::new(&[target.address]);
    let entry = Entry::start("e1", 1, &env).await;
    exchange(entry.address, read())
        .await
        .expect(Outcome::Unknown, Reason::ConnectionLost);
    assert_eq!(target.requests().len(), 1);
}
