//! Tests of the HTTP client against a scripted server on loopback.

use std::{net::SocketAddr, time::Duration};

use sg_clock::Timer;
use sg_store::{Error, Precondition, Store, Swap, Version, http};
use sg_types::time::{Instant, Span};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Action of the server on a request.
#[derive(Clone, Copy)]
enum Action {
    /// Sends this status and body.
    Respond(u16, &'static str),
    /// Reads the request and closes the connection.
    Close,
    /// Sends so many parts of a listing of seven, one each tenth of a second, and stops then.
    Drip(usize),
}

/// The parts of a listing that drips, and their size in bytes.
const PARTS: usize = 7;
const PART_BYTES: usize = 9_000;

/// Sends the first `count` parts of an empty listing, which spaces make long.
async fn drip(socket: &mut TcpStream, count: usize) {
    let body = format!(
        "{:1$}",
        r#"{"header":{"revision":"7"}}"#,
        PARTS * PART_BYTES
    );
    let head = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", body.len());
    let _ = socket.write_all(head.as_bytes()).await;
    for part in body.as_bytes().chunks(PART_BYTES).take(count) {
        let _ = socket.write_all(part).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    if count < PARTS {
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
}

/// Starts a server that serves one connection after the other, and returns its address.
async fn start_server(actions: Vec<Action>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("has an address");
    tokio::spawn(async move {
        for action in actions {
            let (mut socket, _) = listener.accept().await.expect("accepts");
            let mut request = vec![0; 16 << 10];
            let _ = socket.read(&mut request).await;
            if let Action::Respond(status, body) = action {
                let text = format!(
                    "HTTP/1.1 {status:03} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                    body.len()
                );
                let _ = socket.write_all(text.as_bytes()).await;
            }
            if let Action::Drip(count) = action {
                drip(&mut socket, count).await;
            }
        }
    });
    address
}

/// Returns an address without a listener: port 1 is reserved.
fn unreachable_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn client(addresses: Vec<SocketAddr>) -> http::Client {
    http::Client::new(http::Options::new(addresses), Timer::new()).expect("a client")
}

async fn swap(actions: Vec<Action>) -> Result<Swap, Error> {
    let client = client(vec![start_server(actions).await]);
    client
        .swap("k", Precondition::Absent, "v".into(), None)
        .await
}

/// A caller that mistakes a write with a lost response for a rejected write would write twice.
#[tokio::test]
async fn errors_distinguish_lost_responses_from_rejected_writes() {
    let lost = swap(vec![Action::Close]).await;
    assert!(matches!(lost, Err(Error::ResponseLost { .. })), "{lost:?}");
    let lost = swap(vec![Action::Respond(
        503,
        r#"{"message":"request timed out"}"#,
    )])
    .await;
    assert!(matches!(lost, Err(Error::ResponseLost { .. })), "{lost:?}");
    let lost = swap(vec![Action::Respond(0, "{}")]).await;
    assert!(matches!(lost, Err(Error::ResponseLost { .. })), "{lost:?}");
    let rejected = swap(vec![Action::Respond(429, "{}")]).await;
    assert!(matches!(rejected, Err(Error::Rejected { status: 429, .. })));
    let client = client(vec![unreachable_address()]);
    let unreachable = client
        .swap("k", Precondition::Absent, "v".into(), None)
        .await;
    assert!(matches!(unreachable, Err(Error::Unreachable { .. })));
}

/// The write may have taken effect at the first address, so a second attempt could apply it twice.
#[tokio::test]
async fn a_write_with_a_lost_response_is_not_sent_to_another_address() {
    let first = start_server(vec![Action::Close]).await;
    let done = Action::Respond(200, r#"{"header":{"revision":"9"},"succeeded":true}"#);
    let second = start_server(vec![done, done]).await;
    let lost = client(vec![first, second])
        .swap("k", Precondition::Absent, "v".into(), None)
        .await;
    assert!(matches!(lost, Err(Error::ResponseLost { .. })), "{lost:?}");
    let written = client(vec![unreachable_address(), second])
        .swap("k", Precondition::Absent, "v".into(), None)
        .await;
    assert_eq!(written.expect("written"), Swap::Done(Version::new(9)));
}

/// If the client kept preferring an address that accepts connections and never responds, every
/// write would fail.
#[tokio::test]
async fn an_address_that_loses_responses_is_not_tried_first_again() {
    let unresponsive = start_server(vec![Action::Close]).await;
    let done = Action::Respond(200, r#"{"header":{"revision":"9"},"succeeded":true}"#);
    let client = client(vec![unresponsive, start_server(vec![done]).await]);
    let lost = client
        .swap("k", Precondition::Absent, "v".into(), None)
        .await;
    assert!(matches!(lost, Err(Error::ResponseLost { .. })), "{lost:?}");
    let next = client
        .swap("k", Precondition::Absent, "v".into(), None)
        .await;
    assert_eq!(next.expect("written"), Swap::Done(Version::new(9)));
}

/// Callers resolve a conflict with the returned entry, without a second read.
#[tokio::test]
async fn a_conflict_returns_the_current_entry() {
    let body = r#"{"header":{"revision":"7"},"responses":[{"response_range":{"kvs":
        [{"key":"aw==","value":"dw==","mod_revision":"5"}]}}]}"#;
    let found = swap(vec![Action::Respond(200, body)])
        .await
        .expect("a response");
    match found {
        Swap::Conflict(Some(entry)) => {
            assert_eq!((entry.key.as_ref(), entry.value.as_ref()), ("k", &b"w"[..]));
            assert_eq!(entry.version, Version::new(5));
        }
        other => panic!("{other:?}"),
    }
}

/// The stream starts with a message without events, which must not end the watch.
#[tokio::test]
async fn a_watch_parses_one_message_per_line() {
    let body = concat!(
        r#"{"result":{"header":{"revision":"3"},"created":true}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"aw==","value":"dw==","mod_revision":"8"}},{"type":"DELETE","kv":{"key":"aw=="}}]}}"#,
        "\n"
    );
    let client = client(vec![start_server(vec![Action::Respond(200, body)]).await]);
    let changes = client
        .watch("k", Version::new(3), Span::from_secs(5))
        .await
        .expect("changes");
    assert_eq!(changes.events.len(), 2);
    assert_eq!(changes.version, Version::new(8));
}

/// The store reports an expired lease by a missing TTL in a successful response.
#[tokio::test]
async fn renewing_an_expired_lease_fails() {
    let body = r#"{"result":{"ID":"5"}}"#;
    let client = client(vec![start_server(vec![Action::Respond(200, body)]).await]);
    let renewed = client.renew(sg_store::Lease::new(5)).await;
    assert!(matches!(renewed, Err(Error::LeaseExpired)), "{renewed:?}");
}

/// Guards against a listing over a narrow link that ends at a fixed time, and against one that never ends.
#[tokio::test]
async fn responses_are_read_while_they_arrive_and_no_longer() {
    for (parts, is_read) in [(PARTS, true), (2, false)] {
        let mut options = http::Options::new([start_server(vec![Action::Drip(parts)]).await]);
        options.timeout = Span::from_millis(300);
        let timer = Timer::new();
        let client = http::Client::new(options, timer.clone()).expect("a client");
        let listed = client.list("p/").await;
        let took = timer.now().since(Instant::START);
        assert_eq!(
            listed.is_ok(),
            is_read,
            "{parts} parts after {took}: {listed:?}"
        );
        assert!(took < Span::from_secs(3), "{parts} parts: {took}");
    }
}

/// The address has no listener, so an attempt to send would fail with a different error.
#[tokio::test]
async fn an_oversized_value_is_rejected_before_sending() {
    let client = client(vec![unreachable_address()]);
    let value = vec![0; sg_store::MAX_VALUE + 1];
    let rejected = client
        .swap("k", Precondition::Absent, value.into(), None)
        .await;
    assert!(matches!(rejected, Err(Error::TooLarge { .. })));
}
