//! The HTTP adapter against a scripted answerer on the loopback.

use std::net::SocketAddr;

use sg_clock::Timer;
use sg_store::{Error, Expect, Store, Swap, Version, http};
use sg_types::time::Span;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// What the answerer does with a request.
#[derive(Clone, Copy)]
enum Answer {
    /// Answers with this status and body.
    Give(u16, &'static str),
    /// Reads the request and closes.
    Close,
}

/// Answers one connection after the other; returns its address.
async fn answerer(answers: Vec<Answer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(async move {
        for answer in answers {
            let (mut socket, _) = listener.accept().await.expect("accepts");
            let mut request = vec![0; 16 << 10];
            let _ = socket.read(&mut request).await;
            if let Answer::Give(status, body) = answer {
                let text = format!(
                    "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                    body.len()
                );
                let _ = socket.write_all(text.as_bytes()).await;
            }
        }
    });
    address
}

/// An address that nobody listens on: port 1 is reserved.
fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn client(addresses: Vec<SocketAddr>) -> http::Client {
    http::Client::new(http::Options::new(addresses), Timer::new()).expect("a client")
}

async fn swap(answers: Vec<Answer>) -> Result<Swap, Error> {
    let client = client(vec![answerer(answers).await]);
    client.swap("k", Expect::Absent, "v".into(), None).await
}

#[tokio::test]
async fn errors_say_truly_whether_a_write_took_effect() {
    let lost = swap(vec![Answer::Close]).await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    let lost = swap(vec![Answer::Give(
        503,
        r#"{"message":"request timed out"}"#,
    )])
    .await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    let refused = swap(vec![Answer::Give(429, "{}")]).await;
    assert!(matches!(refused, Err(Error::Refused { status: 429, .. })));
    let client = client(vec![nobody()]);
    let unreachable = client.swap("k", Expect::Absent, "v".into(), None).await;
    assert!(matches!(unreachable, Err(Error::Unreachable { .. })));
}

#[tokio::test]
async fn a_write_is_not_repeated_at_another_address_when_its_answer_is_lost() {
    let first = answerer(vec![Answer::Close]).await;
    let done = Answer::Give(200, r#"{"header":{"revision":"9"},"succeeded":true}"#);
    let second = answerer(vec![done, done]).await;
    let lost = client(vec![first, second])
        .swap("k", Expect::Absent, "v".into(), None)
        .await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    let tried = client(vec![nobody(), second])
        .swap("k", Expect::Absent, "v".into(), None)
        .await;
    assert_eq!(tried.expect("written"), Swap::Done(Version::new(9)));
}

#[tokio::test]
async fn an_address_that_swallows_calls_is_passed_over_by_the_next_one() {
    let silent = answerer(vec![Answer::Close]).await;
    let done = Answer::Give(200, r#"{"header":{"revision":"9"},"succeeded":true}"#);
    let client = client(vec![silent, answerer(vec![done]).await]);
    let lost = client.swap("k", Expect::Absent, "v".into(), None).await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    let next = client.swap("k", Expect::Absent, "v".into(), None).await;
    assert_eq!(next.expect("written"), Swap::Done(Version::new(9)));
}

#[tokio::test]
async fn a_conflict_brings_what_was_found() {
    let body = r#"{"header":{"revision":"7"},"responses":[{"response_range":{"kvs":
        [{"key":"aw==","value":"dw==","mod_revision":"5"}]}}]}"#;
    let found = swap(vec![Answer::Give(200, body)]).await.expect("answered");
    match found {
        Swap::Conflict(Some(entry)) => {
            assert_eq!((entry.key.as_ref(), entry.value.as_ref()), ("k", &b"w"[..]));
            assert_eq!(entry.version, Version::new(5));
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_watch_yields_changes_line_by_line() {
    let body = concat!(
        r#"{"result":{"header":{"revision":"3"},"created":true}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"aw==","value":"dw==","mod_revision":"8"}},{"type":"DELETE","kv":{"key":"aw=="}}]}}"#,
        "\n"
    );
    let client = client(vec![answerer(vec![Answer::Give(200, body)]).await]);
    let changes = client
        .watch("k", Version::new(3), Span::from_secs(5))
        .await
        .expect("changes");
    assert_eq!(changes.events.len(), 2);
    assert_eq!(changes.version, Version::new(8));
}

#[tokio::test]
async fn a_lapsed_lease_is_told() {
    let body = r#"{"result":{"ID":"5"}}"#;
    let client = client(vec![answerer(vec![Answer::Give(200, body)]).await]);
    let gone = client.renew(sg_store::Lease::new(5)).await;
    assert!(matches!(gone, Err(Error::LeaseGone)), "{gone:?}");
}

#[tokio::test]
async fn a_value_over_the_limit_is_not_sent() {
    let client = client(vec![nobody()]);
    let value = vec![0; sg_store::MAX_VALUE + 1];
    let refused = client.swap("k", Expect::Absent, value.into(), None).await;
    assert!(matches!(refused, Err(Error::TooLarge { .. })));
}
