//! Tests keys: the account of a request, the places where a key is accepted, and withdrawal.

use std::sync::atomic::Ordering;

use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    env::{Entry, KEY_A, TestEnv, view},
    wire::{Behavior, Target, bearer, exchange, ok, read_all, request},
};

const WITHDRAWN: (&str, &str) = ("/accounts/a/keys/k1/withdrawn", "yes");

async fn set_up() -> (Target, TestEnv, Entry) {
    let target = Target::start(|_, _| ok("hello")).await;
    let env = TestEnv::new(&[target.address]);
    let entry = Entry::start("e1", 1, &env).await;
    (target, env, entry)
}

#[tokio::test]
async fn a_request_runs_for_the_account_of_its_key_and_no_target_sees_the_key() {
    let (target, _env, entry) = set_up().await;
    let spoofed_account = "sg-account: b".to_owned();
    let text = request("GET", "/read/1", &[bearer(KEY_A), spoofed_account], "");
    let response = exchange(entry.address, text).await;
    response.expect(Outcome::Ran, Reason::Answered);
    assert_eq!(response.body, "hello");
    let open = request("GET", "/open", &[bearer(KEY_A)], "");
    exchange(entry.address, open)
        .await
        .expect(Outcome::Ran, Reason::Answered);
    let seen = target.requests();
    assert_eq!(seen.len(), 2);
    assert!(seen[0].contains("sg-account: a\r\n"), "{}", seen[0]);
    assert!(seen.iter().all(|text| !text.contains(KEY_A)), "{seen:?}");
    let request: id::Request = response
        .header("sg-request-id")
        .expect("has a request id")
        .parse()
        .expect("a name");
    let record = entry
        .forward
        .find_record(&request)
        .expect("is in the journal");
    assert_eq!(record.account.expect("has an account").as_str(), "a");
    assert_eq!(record.attempts.len(), 1);
}

#[tokio::test]
async fn a_request_with_a_missing_unknown_or_misplaced_key_runs_nothing() {
    let (target, _env, entry) = set_up().await;
    let encoded = KEY_A.replace('k', "%6B");
    let cases = [
        (request("GET", "/read", &[], ""), Reason::KeyMissing),
        (
            request("GET", "/read", &[bearer("unknown-key")], ""),
            Reason::KeyRefused,
        ),
        (
            request(
                "GET",
                "/read",
                &[bearer(KEY_A), format!("x-copy: a{KEY_A}")],
                "",
            ),
            Reason::Malformed,
        ),
        (
            request("GET", &format!("/read?k={KEY_A}"), &[bearer(KEY_A)], ""),
            Reason::Malformed,
        ),
        (
            request("GET", &format!("/open/{encoded}"), &[bearer(KEY_A)], ""),
            Reason::Malformed,
        ),
        (
            request("GET", "/read", &[bearer(KEY_A), bearer(KEY_A)], ""),
            Reason::Malformed,
        ),
        (request("GET", "/open/../read", &[], ""), Reason::Malformed),
        (
            request("GET", "/open/%2e%2E/read", &[], ""),
            Reason::Malformed,
        ),
    ];
    for (text, reason) in cases {
        exchange(entry.address, text)
            .await
            .expect(Outcome::NotRun, reason);
    }
    let head = request(
        "POST",
        "/read",
        &[
            bearer(KEY_A),
            "transfer-encoding: chunked".into(),
            "trailer: x-copy".into(),
        ],
        "",
    );
    let trailer = format!("{head}2\r\nhi\r\n0\r\nx-copy: {KEY_A}\r\n\r\n");
    exchange(entry.address, trailer)
        .await
        .expect(Outcome::NotRun, Reason::Malformed);
    assert!(target.requests().is_empty(), "{:?}", target.requests());
    // The same requests without the fault run, so the checks above do not reject everything.
    let good = request(
        "GET",
        "/read?k=other",
        &[bearer(KEY_A), "x-copy: other".into()],
        "",
    );
    exchange(entry.address, good)
        .await
        .expect(Outcome::Ran, Reason::Answered);
    let harmless = format!("{head}2\r\nhi\r\n0\r\nx-copy: other\r\n\r\n");
    exchange(entry.address, harmless)
        .await
        .expect(Outcome::Ran, Reason::Answered);
}

#[tokio::test]
async fn no_path_encoding_bypasses_the_key_check() {
    let (target, env, entry) = set_up().await;
    let open_root = ("/services/desk/routes/open/path", "/");
    env.set_view(view(2, &[open_root]));
    for path in [
        "/read/1",
        "/%72ead/1",
        "//read/1",
        "/%2Fread/1",
        "/%2f%72EAD/1".to_lowercase().as_str(),
    ] {
        let response = exchange(entry.address, request("GET", path, &[], "")).await;
        response.expect(Outcome::NotRun, Reason::KeyMissing);
    }
    for path in [
        "/x/../read",
        "/x/%2e./read",
        "/x%2f..%2fread",
        "/x/..%5cread",
    ] {
        let response = exchange(entry.address, request("GET", path, &[], "")).await;
        response.expect(Outcome::NotRun, Reason::Malformed);
    }
    assert!(target.requests().is_empty());
    let open = exchange(entry.address, request("GET", "/x%20y//z", &[], "")).await;
    open.expect(Outcome::Ran, Reason::Answered);
    assert!(
        target.requests()[0].starts_with("GET /x%20y//z "),
        "the path is forwarded unchanged"
    );
}

#[tokio::test]
async fn a_withdrawn_key_stops_working_for_a_connected_caller() {
    let (target, env, entry) = set_up().await;
    let mut stream = TcpStream::connect(entry.address).await.expect("connects");
    let text = request("GET", "/read", &[bearer(KEY_A)], "").replace("connection: close\r\n", "");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut buffer = [0; 4096];
    let read = stream.read(&mut buffer).await.expect("reads");
    assert!(String::from_utf8_lossy(&buffer[..read]).contains("sg-outcome: ran"));
    env.set_view(view(2, &[WITHDRAWN]));
    let last = request("GET", "/read", &[bearer(KEY_A)], "");
    stream.write_all(last.as_bytes()).await.expect("writes");
    let response = read_all(&mut stream).await;
    assert!(response.contains("sg-reason: key-refused"), "{response}");
    assert_eq!(target.requests().len(), 1);
}

#[tokio::test]
async fn a_request_whose_key_is_withdrawn_while_its_body_arrives_runs_nothing() {
    let (target, env, entry) = set_up().await;
    let mut stream = TcpStream::connect(entry.address).await.expect("connects");
    let text = request("POST", "/read", &[bearer(KEY_A)], "0123456789");
    let (first, rest) = text.split_at(text.len() - 5);
    stream.write_all(first.as_bytes()).await.expect("writes");
    while entry.forward.in_flight() == 0 {
        tokio::task::yield_now().await;
    }
    env.set_view(view(2, &[WITHDRAWN]));
    stream.write_all(rest.as_bytes()).await.expect("writes");
    let response = read_all(&mut stream).await;
    assert!(response.contains("sg-outcome: not-run"), "{response}");
    assert!(response.contains("sg-reason: key-refused"), "{response}");
    assert!(target.requests().is_empty());
    let admitted = env.0.admitted.load(Ordering::SeqCst);
    assert_eq!(admitted, 0, "no budget is consumed");
}

#[tokio::test]
async fn a_request_is_not_retried_after_its_key_is_withdrawn() {
    let stalled = Target::start(|_, _| Behavior::Stall).await;
    let second = Target::start(|_, _| ok("hello")).await;
    let env = TestEnv::new(&[stalled.address, second.address]);
    let entry = Entry::start("e1", 1, &env).await;
    let text = request("GET", "/read", &[bearer(KEY_A)], "");
    let sent = tokio::spawn(exchange(entry.address, text));
    while stalled.requests().is_empty() {
        tokio::task::yield_now().await;
    }
    env.set_view(view(2, &[WITHDRAWN]));
    let response = sent.await.expect("ends");
    response.expect(Outcome::Unknown, Reason::DeadlineRunning);
    assert!(second.requests().is_empty(), "{:?}", second.requests());
}

#[tokio::test]
async fn a_stale_instance_serves_open_routes_only() {
    let (target, env, entry) = set_up().await;
    env.0.stale.store(true, Ordering::SeqCst);
    let keyed = request("GET", "/read", &[bearer(KEY_A)], "");
    exchange(entry.address, &keyed)
        .await
        .expect(Outcome::NotRun, Reason::Stale);
    let open = request("GET", "/open", &[], "");
    exchange(entry.address, open)
        .await
        .expect(Outcome::Ran, Reason::Answered);
    env.0.stale.store(false, Ordering::SeqCst);
    exchange(entry.address, keyed)
        .await
        .expect(Outcome::Ran, Reason::Answered);
    assert_eq!(target.requests().len(), 2);
}

#[tokio::test]
async fn a_response_stream_ends_when_its_key_is_withdrawn() {
    const SIZE: usize = 8 * 1024 * 1024;
    let target = Target::start(|_, _| {
        Behavior::Respond(format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {SIZE}\r\n\r\n{}",
            "x".repeat(SIZE)
        ))
    })
    .await;
    let env = TestEnv::new(&[target.address]);
    let entry = Entry::start("e1", 1, &env).await;
    let text = request("GET", "/read", &[bearer(KEY_A)], "");
    let mut stream = TcpStream::connect(entry.address).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut first = [0; 1024];
    stream.read_exact(&mut first).await.expect("reads");
    env.set_view(view(2, &[WITHDRAWN]));
    let rest = read_all(&mut stream).await;
    assert!(
        rest.len() + first.len() < SIZE,
        "the stream went on to its end"
    );
    // With the key in force the same response arrives complete.
    env.set_view(view(3, &[]));
    let complete = exchange(entry.address, text).await;
    assert!(complete.is_complete());
}
