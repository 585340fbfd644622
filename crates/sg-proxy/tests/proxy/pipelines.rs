//! Callers that send further requests before the first one is answered.

use std::time::{Duration, Instant};

use sg_types::prelude::Span;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::harness::{Instance, OK, ScriptedTarget, Step, catalog, get, header, status};

/// Returns a GET request that keeps its connection open.
pub fn kept_get(path: &str, id: &str) -> String {
    get(path, id).replace("connection: close\r\n", "")
}

/// Returns a response of the status 200 with a body of `length` bytes.
pub fn large_response(length: usize) -> &'static str {
    let head = format!("HTTP/1.1 200 OK\r\nid: {{id}}\r\ncontent-length: {length}\r\n\r\n");
    (head + &"y".repeat(length)).leak()
}

/// Reads responses and keeps what arrives behind them.
pub struct Reader {
    pub stream: TcpStream,
    received: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: Vec::new(),
        }
    }

    pub async fn send(&mut self, bytes: &str) {
        let written = self.stream.write_all(bytes.as_bytes()).await;
        written.expect("a write");
    }

    /// Reads one response with a declared length; `None` if the connection ends before.
    pub async fn read_response(&mut self) -> Option<String> {
        loop {
            let head_end = self.received.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = head_end.map(|end| end + 4) {
                let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
                let length: usize = header(&head, "content-length")
                    .map_or(0, |length| length.parse().expect("digits"));
                if self.received.len() >= end + length {
                    let rest = self.received.split_off(end + length);
                    let response = std::mem::replace(&mut self.received, rest);
                    return Some(String::from_utf8(response).expect("text"));
                }
            }
            let mut chunk = vec![0; 16 << 10];
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.received.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

fn forwarded_deadline(request: &str) -> u64 {
    let deadline = header(request, "deadline").expect("a deadline");
    deadline.parse().expect("digits")
}

/// A request that waits for the response before it has used that time. Without this, the target works on for
/// a caller that has stopped waiting.
#[tokio::test]
async fn wait_behind_another_request_counts_as_the_callers_time() {
    let with_length = "POST /safe/x HTTP/1.1\r\nhost: h\r\nid: a\r\ncontent-length: 4\r\n\r\nbody";
    let chunked = "POST /safe/x HTTP/1.1\r\nhost: h\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n\
                   4\r\nbody\r\n0\r\n\r\n";
    for first in [&kept_get("/safe/x", "a"), with_length, chunked] {
        let steps = vec![Step::RespondAfter(500, OK), Step::Respond(OK)];
        let target = ScriptedTarget::start(steps).await;
        let instance = Instance::start(&[&target]).await;
        let mut caller = Reader::new(instance.connect().await);
        let second = kept_get("/safe/x", "b");
        caller.send(&format!("{first}{second}")).await;
        for _ in 0..2 {
            let response = caller.read_response().await.expect("a response");
            assert_eq!(status(&response), 200, "{response}");
        }
        let requests = target.requests.lock().clone();
        let deadline = forwarded_deadline(&requests[1]);
        assert!((300..=510).contains(&deadline), "{deadline} after {first}");
        // A request after a pause has its whole time.
        sleep(Duration::from_millis(300)).await;
        caller.send(&kept_get("/safe/x", "c")).await;
        caller.read_response().await.expect("a response");
        let requests = target.requests.lock().clone();
        assert!(forwarded_deadline(&requests[2]) > 900);
    }
}

/// A request whose time is used up behind another one reaches no target.
#[tokio::test]
async fn request_without_time_left_is_refused_unrun() {
    let steps = vec![Step::RespondAfter(400, OK)];
    let target = ScriptedTarget::start(steps).await;
    let instance = Instance::start(&[&target]).await;
    let mut caller = Reader::new(instance.connect().await);
    let second = kept_get("/safe/x", "b").replace("deadline: 1000", "deadline: 200");
    caller
        .send(&format!("{}{second}", kept_get("/safe/x", "a")))
        .await;
    let first = caller.read_response().await.expect("a response");
    let second = caller.read_response().await.expect("a response");
    assert_eq!((status(&first), status(&second)), (200, 503), "{second}");
    assert_eq!(target.count(), 1);
}

/// The responses that wait for a caller that does not read are one, however many requests it has sent.
#[tokio::test]
async fn caller_that_reads_nothing_costs_one_response() {
    let target = ScriptedTarget::start(vec![Step::Respond(large_response(900_000))]).await;
    let instance = Instance::start_with_small_buffers(&[&target]).await;
    let mut caller = Reader::new(instance.connect().await);
    let requests: String = (0..300)
        .map(|index| kept_get("/safe/x", &format!("a{index}")))
        .map(|request| request.replace("deadline: 1000", "deadline: 20000"))
        .collect();
    caller.send(&requests).await;
    sleep(Duration::from_millis(700)).await;
    assert_eq!(target.count(), 1);
    // A caller that reads after all gets its responses.
    for _ in 0..5 {
        let response = caller.read_response().await.expect("a response");
        assert_eq!(status(&response), 200);
    }
}

/// A caller that reads a response through a buffer of its own may drop a refusal that arrives with it.
#[tokio::test]
async fn refusals_behind_a_response_arrive_apart_from_it() {
    let instance = Instance::start(&[]).await;
    let mut caller = Reader::new(instance.connect().await);
    let requests: String = (0..4)
        .map(|index| kept_get("/none/x", &format!("a{index}")))
        .collect();
    let started = Instant::now();
    caller.send(&requests).await;
    for _ in 0..4 {
        let response = caller.read_response().await.expect("a response");
        assert_eq!(status(&response), 404);
    }
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(55), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
    // Requests that are sent after the response are refused at once.
    let started = Instant::now();
    for index in 0..4 {
        let request = kept_get("/none/x", &format!("b{index}"));
        caller.send(&request).await;
        caller.read_response().await.expect("a response");
    }
    assert!(started.elapsed() < Duration::from_millis(50));
}

/// Bodies and heads that arrive in any pieces keep their limits between requests.
#[tokio::test]
async fn requests_in_small_pieces_are_served_in_order() {
    let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let requests = [
        "POST /safe/x HTTP/1.1\r\nhost: h\r\nid: a\r\ncontent-length: 4\r\n\r\n\r\n\r\n",
        "\r\nGET /safe/x HTTP/1.1\nhost: h\nid: b\n\n",
        "POST /safe/x HTTP/1.1\r\nhost: h\r\nid: c\r\ntransfer-encoding: chunked\r\n\r\n\
         4\r\n\r\n\r\n\r\n0\r\n\r\n",
        "POST /safe/x HTTP/1.1\r\nhost: h\r\nid: d\r\ncontent-length: 0\r\n\r\n",
        "GET /safe/x HTTP/1.1\r\nhost: h\r\nid: e\r\n\r\n",
    ];
    for size in [1, 7, 4_096] {
        let mut caller = Reader::new(instance.connect().await);
        caller.stream.set_nodelay(true).expect("a socket");
        for piece in requests.concat().as_bytes().chunks(size) {
            caller.stream.write_all(piece).await.expect("a write");
            tokio::task::yield_now().await;
        }
        for id in ["a", "b", "c", "d", "e"] {
            let response = caller.read_response().await.expect("a response");
            let found = (status(&response), header(&response, "id"));
            assert_eq!(found, (200, Some(id.to_owned())), "pieces of {size}");
        }
    }
    let forwarded = target.requests.lock().clone();
    assert!(forwarded[0].ends_with("\r\n\r\n\r\n\r\n"), "{forwarded:?}");
}

/// A head that is sent slowly holds its connection for the configured time only.
#[tokio::test]
async fn incomplete_head_ends_the_connection_in_time() {
    let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let mut shorter = catalog();
    shorter.revision = sg_types::prelude::Revision::new(2);
    shorter.limits.head_timeout = Span::from_millis(300);
    assert!(instance.core.replace_catalog(shorter));
    let mut idle = Reader::new(instance.connect().await);
    let mut slow = instance.connect().await;
    let started = Instant::now();
    let request = get("/safe/x", "a");
    let mut is_ended = false;
    for byte in request.as_bytes() {
        let mut read = [0];
        let _ = slow.write_all(&[*byte]).await;
        let pause = Duration::from_millis(20);
        if let Ok(read) = tokio::time::timeout(pause, slow.read(&mut read)).await {
            assert!(matches!(read, Ok(0)), "{read:?}");
            is_ended = true;
            break;
        }
    }
    assert!(is_ended && started.elapsed() < Duration::from_millis(900));
    let ends = instance
        .core
        .metrics
        .early_ends
        .with_label_values(&["late-head"]);
    assert_eq!((ends.get(), target.count()), (1, 0));
    // A connection without a request is kept.
    idle.send(&kept_get("/safe/x", "b")).await;
    let response = idle.read_response().await.expect("a response");
    assert_eq!(status(&response), 200);
}
