//! Tests that a caller gets the complete response to its own request, or an error that is
//! recognisable as one.

use std::{net::SocketAddr, time::Duration};

use sg_steer::Completion;
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    task::JoinSet,
};

use crate::{
    env::{Entry, KEY_A, TestEnv, view},
    wire::{Behavior, Response, Target, bearer, exchange, ok, request},
};

fn read(path: &str) -> String {
    request("GET", path, &[bearer(KEY_A)], "")
}

async fn set_up(
    behave: impl Fn(&str, usize) -> Behavior + Send + Sync + 'static,
) -> (Target, TestEnv, Entry) {
    let target = Target::start(behave).await;
    let env = TestEnv::new(&[target.address]);
    env.set_view(view(1, &[("/services/desk/answer-limit", "1MiB")]));
    let entry = Entry::start("e1", 1, &env).await;
    (target, env, entry)
}

#[tokio::test]
async fn a_broken_response_is_never_reported_as_success() {
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno end is stated",
        "HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\nlarger than allowed",
        "HTTP/1.1 200 OK\r\nsg-request-id: of-another\r\ncontent-length: 5\r\n\r\nhello",
    ];
    for text in cases {
        let (_target, _env, entry) =
            set_up(move |_, _| Behavior::RespondAndClose(text.into())).await;
        let response = exchange(entry.address, read("/read")).await;
        response.expect(Outcome::Unknown, Reason::AnswerBroken);
        assert!(!response.body.contains("half"), "{response:?}");
    }
    let (_target, _env, entry) = set_up(|_, _| ok("hello")).await;
    let response = exchange(entry.address, read("/read")).await;
    assert!(response.is_complete());
    assert_eq!(response.body, "hello");
}

/// Guards against a response without a valid status being passed on.
#[tokio::test]
async fn a_response_without_a_valid_status_is_none() {
    for status in ["000", "099", "20", "abc"] {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 4\r\n\r\nodd!");
        let behave = move |_: &str, _: usize| Behavior::RespondAndClose(text.clone());
        let (_target, _env, entry) = set_up(behave).await;
        let response = exchange(entry.address, read("/read")).await;
        response.expect(Outcome::Unknown, Reason::ConnectionLost);
        assert!(!response.body.contains("odd!"), "{response:?}");
    }
}

/// Guards against a late copy of another request's response that names no request.
#[tokio::test]
async fn a_response_without_a_name_is_not_taken_from_a_target_that_names_requests() {
    let (target, _env, entry) = set_up(|text, number| {
        let id = text
            .lines()
            .find(|line| line.to_lowercase().starts_with("sg-request-id:"));
        let id = id.expect("a request id").to_owned();
        let own = format!("HTTP/1.1 200 OK\r\n{id}\r\ncontent-length: 3\r\n\r\nown");
        let copy = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
        Behavior::Respond(match number {
            0 => own,
            _ => format!("{copy}{own}"),
        })
    })
    .await;
    let first = exchange(entry.address, read("/read")).await;
    assert_eq!(first.body, "own");
    let second = exchange(entry.address, read("/read")).await;
    second.expect(Outcome::Unknown, Reason::AnswerBroken);
    assert_eq!(target.connections(), 1);
}

#[tokio::test]
async fn a_truncated_large_response_closes_the_callers_connection() {
    const PART: usize = 400 * 1024;
    let part = "x".repeat(PART);
    let cases = [
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{part}",
            PART + 1
        ),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{PART:x}\r\n{part}\r\n"),
    ];
    for text in cases {
        let (_target, env, entry) =
            set_up(move |_, _| Behavior::RespondAndClose(text.clone())).await;
        let response = exchange(entry.address, read("/read")).await;
        assert!(
            !response.is_complete(),
            "{} {}",
            response.head,
            response.body.len()
        );
        assert!(
            env.completions().contains(&Completion::ConnectionLost),
            "{:?}",
            env.completions()
        );
    }
    let complete = format!("HTTP/1.1 200 OK\r\ncontent-length: {PART}\r\n\r\n{part}");
    let (_target, _env, entry) =
        set_up(move |_, _| Behavior::RespondAndClose(complete.clone())).await;
    let response = exchange(entry.address, read("/read")).await;
    assert!(response.is_complete(), "{}", response.head);
    assert_eq!(response.body.len(), PART);
}

#[tokio::test]
async fn without_the_listener_a_chunked_response_is_buffered_until_complete() {
    const PART: usize = 400 * 1024;
    let part = "x".repeat(PART);
    let truncated =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{PART:x}\r\n{part}\r\n");
    let complete = format!("{truncated}0\r\n\r\n");
    for (text, outcome) in [(truncated, "unknown"), (complete, "ran")] {
        let target = Target::start(move |_, _| Behavior::RespondAndClose(text.clone())).await;
        let env = TestEnv::new(&[target.address]);
        let entry = Entry::start_without_listener("e1", 1, &env).await;
        let response = exchange(entry.address, read("/read")).await;
        assert_eq!(response.outcome_and_reason().0, outcome);
        assert!(response.is_complete());
    }
}

#[tokio::test]
async fn a_response_on_a_reused_connection_belongs_to_its_request() {
    // The first response is followed immediately by the start of another one.
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\ncrossed";
    let (target, _env, entry) = set_up(move |text, _| match text.starts_with("GET /read/first") {
        true => Behavior::Respond(extra.into()),
        false => ok("second"),
    })
    .await;
    for round in 0..20 {
        let first = exchange(entry.address, read("/read/first")).await;
        assert_eq!(first.body, "first", "round {round}");
        let second = exchange(entry.address, read("/read/second")).await;
        assert_eq!(second.body, "second", "round {round}");
    }
    assert!(
        target.connections() >= 20,
        "a connection with unread bytes was reused"
    );
}

#[tokio::test]
async fn the_connection_of_a_cancelled_exchange_is_not_reused() {
    let (target, env, entry) = set_up(|text, _| match text.starts_with("GET /read/slow") {
        true => Behavior::Stall,
        false => ok("quick"),
    })
    .await;
    let slow = read("/read/slow").replace("connection: close\r\n", "");
    let abandoned = tokio::spawn(exchange(entry.address, slow));
    while target.requests().is_empty() {
        tokio::task::yield_now().await;
    }
    abandoned.abort();
    while env.completions().is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(env.completions(), [Completion::Cancelled]);
    for _ in 0..4 {
        let response = exchange(entry.address, read("/read/quick")).await;
        assert_eq!(response.body, "quick");
    }
    assert_eq!(
        target.connections(),
        2,
        "one is closed, the other is shared by the later requests"
    );
}

#[tokio::test]
async fn a_response_without_a_body_is_complete() {
    let (_target, _env, entry) =
        set_up(|_, _| Behavior::Respond("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n".into()))
            .await;
    let text = request("HEAD", "/read", &[bearer(KEY_A)], "");
    let response = exchange(entry.address, text).await;
    response.expect(Outcome::Ran, Reason::Answered);
    assert_eq!(response.header("content-length").as_deref(), Some("5"));
    let (_target, _env, entry) =
        set_up(|_, _| Behavior::Respond("HTTP/1.1 204 No Content\r\n\r\n".into())).await;
    exchange(entry.address, read("/read"))
        .await
        .expect(Outcome::Ran, Reason::Answered);
}

/// Sends `text`, and returns what arrives and whether the connection is reset.
async fn exchange_until_reset(address: std::net::SocketAddr, text: String) -> (Response, bool) {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut bytes = Vec::new();
    let is_reset = stream.read_to_end(&mut bytes).await.is_err();
    (Response::parse(&String::from_utf8_lossy(&bytes)), is_reset)
}

/// Guards against a head or a body that ends early and looks like a shorter valid one.
#[tokio::test]
async fn a_response_cut_at_any_byte_is_never_reported_as_success() {
    let cases = [
        (
            "GET",
            "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n012345678901",
        ),
        (
            "GET",
            "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx: y\r\n\r\n012345678901",
        ),
        (
            "GET",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n",
        ),
        ("GET", "HTTP/1.1 204 No Content\r\nx: y\r\n\r\n"),
        ("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n"),
    ];
    for (method, text) in cases {
        for ends in [
            Behavior::RespondAndClose as fn(String) -> Behavior,
            Behavior::RespondAndReset,
        ] {
            // The path of a request says where its response is cut.
            let (_target, _env, entry) = set_up(move |request, _| {
                let path = request.split(' ').nth(1).expect("a path");
                let cut = path["/read/".len()..].parse().expect("digits");
                ends(text[..cut].into())
            })
            .await;
            let mut cuts = JoinSet::new();
            for cut in 0..=text.len() {
                for version in ["HTTP/1.1", "HTTP/1.0"] {
                    let request = request(method, &format!("/read/{cut}"), &[bearer(KEY_A)], "")
                        .replace("HTTP/1.1", version);
                    let exchange = exchange_until_reset(entry.address, request);
                    cuts.spawn(async move { (cut, version, exchange.await.0) });
                }
            }
            while let Some(ended) = cuts.join_next().await {
                let (cut, version, response) = ended.expect("a response");
                let is_success = response.outcome_and_reason().0 == "ran";
                let may_succeed = cut == text.len();
                // A reset may overtake the last bytes.
                let is_closed = matches!(ends(String::new()), Behavior::RespondAndClose(_));
                assert!(
                    is_success == may_succeed || !is_success && !is_closed,
                    "{cut} of {text} to {version}: {response:?}"
                );
            }
        }
    }
}

/// The end of the connection ends a response to a caller of HTTP/1.0 that states no length.
#[tokio::test]
async fn a_truncated_large_response_never_looks_complete_to_an_old_caller() {
    const PART: usize = 400 * 1024;
    let part = "x".repeat(PART);
    let cut =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{PART:x}\r\n{part}\r\n");
    for (text, is_whole) in [(format!("{cut}0\r\n\r\n"), true), (cut, false)] {
        let (_target, _env, entry) =
            set_up(move |_, _| Behavior::RespondAndClose(text.clone())).await;
        let request = read("/read").replace("HTTP/1.1", "HTTP/1.0");
        let (response, is_reset) = exchange_until_reset(entry.address, request).await;
        let is_taken_for_whole = !is_reset && response.outcome_and_reason().0 == "ran";
        assert_eq!(is_taken_for_whole, is_whole, "{}", response.head);
    }
}

/// The time in which an instance answers a request without a target, on a busy machine.
const LONGEST_WAIT: Duration = Duration::from_millis(400);

/// Starts a server, on threads of its own, that writes the beginning of a response, and then zeros without end.
async fn flood(elsewhere: &Runtime) -> SocketAddr {
    let listener = elsewhere.spawn(TcpListener::bind("127.0.0.1:0"));
    let listener = listener.await.expect("a task").expect("a port");
    let address = listener.local_addr().expect("an address");
    elsewhere.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(write_zeros(
                stream,
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            ));
        }
    });
    address
}

async fn write_zeros(mut stream: TcpStream, first: impl AsRef<[u8]>) {
    let zeros = vec![b'0'; 64 << 10];
    let mut bytes = first.as_ref();
    while stream.write_all(bytes).await.is_ok() {
        bytes = &zeros;
    }
}

/// Guards against threads that read messages whose framing never ends and serve nothing else meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_without_end_keep_no_other_request_waiting() {
    let elsewhere = Runtime::new().expect("a runtime");
    let env = TestEnv::new(&[flood(&elsewhere).await]);
    env.set_view(view(1, &[]));
    let entry = Entry::start("e1", 1, &env).await;
    let head = request("POST", "/read", &[bearer(KEY_A)], "");
    let head = head.replace("\r\n\r\n", "\r\ntransfer-encoding: chunked\r\n\r\n");
    for is_from_callers in [false, true] {
        let mut callers = JoinSet::new();
        for _ in 0..8 {
            let (address, head) = (entry.address, head.clone());
            let flood = async move {
                if is_from_callers {
                    let stream = TcpStream::connect(address).await.expect("a connection");
                    write_zeros(stream, head).await;
                } else {
                    exchange(address, read("/read")).await;
                }
            };
            callers.spawn_on(flood, elsewhere.handle());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let probe = exchange(entry.address, request("GET", "/nowhere", &[], ""));
        let probe =
            elsewhere.spawn(async { tokio::time::timeout(LONGEST_WAIT, probe).await.is_ok() });
        let is_answered = probe.await.expect("a task");
        assert!(is_answered, "from callers: {is_from_callers}");
        callers.shutdown().await;
    }
    elsewhere.shutdown_background();
}
