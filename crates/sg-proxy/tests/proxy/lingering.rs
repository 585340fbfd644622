//! Connections that close while the caller still sends.

use std::time::{Duration, Instant};

use sg_proxy::server::Phase;
use sg_types::prelude::Span;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

use crate::{
    harness::{Instance, OK, ScriptedTarget, Step, get, post, status},
    pipelines::{kept_get, large_response},
};

const LARGE: usize = 540_000;

/// Connects with small buffers, so that large requests and responses are in transit for long.
pub async fn connect_slowly(instance: &Instance) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(8 << 10).expect("a buffer size");
    socket.set_send_buffer_size(8 << 10).expect("a buffer size");
    let stream = socket.connect(instance.address).await;
    stream.expect("a connection")
}

/// Reads to the end of the stream with a pause per read. A reset is a failure.
async fn read_slowly(stream: &mut TcpStream, pause: Duration) -> String {
    let mut received = Vec::new();
    let mut chunk = vec![0; 32 << 10];
    loop {
        match stream.read(&mut chunk).await {
            Ok(0) => return String::from_utf8(received).expect("text"),
            Ok(count) => received.extend_from_slice(&chunk[..count]),
            Err(error) => panic!("{error} after {} bytes", received.len()),
        }
        sleep(pause).await;
    }
}

/// A close with unread bytes resets the connection and drops the end of the response.
#[tokio::test]
async fn last_response_of_a_stop_arrives_whole_before_further_requests() {
    let step = Step::RespondAfter(200, large_response(LARGE));
    let target = ScriptedTarget::start(vec![step]).await;
    let instance = Instance::start(&[&target]).await;
    let mut caller = connect_slowly(&instance).await;
    let first = kept_get("/safe/x", "a0");
    caller.write_all(first.as_bytes()).await.expect("a write");
    while target.count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    instance.drain_for(Span::from_secs(30));
    for index in 1..40 {
        let request = kept_get("/safe/x", &format!("a{index}"));
        caller.write_all(request.as_bytes()).await.expect("a write");
        sleep(Duration::from_millis(10)).await;
    }
    let response = read_slowly(&mut caller, Duration::from_millis(5)).await;
    assert_eq!(status(&response), 200);
    assert!(response.len() > LARGE, "{}", response.len());
    // Requests behind a response that closes its connection count as unread.
    assert_eq!(target.count(), 1);
}

/// The caller pauses for longer than an idle connection lingers.
#[tokio::test]
async fn closing_connection_waits_for_a_caller_that_pauses() {
    let target = ScriptedTarget::start(vec![Step::Respond(large_response(LARGE))]).await;
    let instance = Instance::start(&[&target]).await;
    let mut caller = connect_slowly(&instance).await;
    let request = get("/safe/x", "a0").replace("deadline: 1000", "deadline: 9000");
    caller.write_all(request.as_bytes()).await.expect("a write");
    sleep(Duration::from_millis(2_500)).await;
    let behind = kept_get("/safe/x", "a1");
    caller.write_all(behind.as_bytes()).await.expect("a write");
    let response = read_slowly(&mut caller, Duration::ZERO).await;
    assert!(response.len() > LARGE, "{}", response.len());
    assert_eq!(target.count(), 1);
}

/// The refusal of each kind is read whole by a caller that sends on and reads only then.
#[tokio::test]
async fn refusals_arrive_while_the_caller_still_sends() {
    let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let much = "y".repeat(2 << 20);
    let chunk = format!("200000\r\n{much}\r\n0\r\n\r\n");
    let chunked = "POST /once/x HTTP/1.1\r\nhost: h\r\nid: c\r\ntransfer-encoding: chunked\r\n\r\n";
    let kinds = [
        ("body too large", post("/once/x", "a", &much), 413),
        ("chunked body too large", format!("{chunked}{chunk}"), 413),
        ("unknown route", post("/none/x", "b", &much), 404),
        ("bad request", format!("no request\r\n\r\n{much}"), 400),
        (
            "head too large",
            format!("GET /{much} HTTP/1.1\r\n\r\n"),
            431,
        ),
    ];
    for (what, request, expected) in kinds {
        let mut caller = connect_slowly(&instance).await;
        let written = caller.write_all(request.as_bytes()).await;
        assert!(written.is_ok(), "{what}: {written:?}");
        let response = read_slowly(&mut caller, Duration::ZERO).await;
        assert_eq!(status(&response), expected, "{what}: {response}");
    }
    assert_eq!(target.count(), 0);
}

/// The refusal at the limit of connections, and the place of the connection that lingers after it.
#[tokio::test]
async fn lingering_connection_keeps_its_place() {
    let instance = Instance::start_limited(&[], 1).await;
    let mut first = instance.connect().await;
    first
        .write_all(b"no request\r\n\r\n")
        .await
        .expect("a write");
    let mut response = String::new();
    first.read_to_string(&mut response).await.expect("an end");
    assert_eq!(status(&response), 400);
    // The first connection lingers until its caller closes it, or its place is needed.
    let body = "y".repeat(1 << 20);
    let mut second = instance.connect().await;
    let request = post("/none/x", "b", &body);
    second.write_all(request.as_bytes()).await.expect("a write");
    let mut response = String::new();
    second.read_to_string(&mut response).await.expect("an end");
    assert_eq!(status(&response), 503, "{response}");
    drop((first, second));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(status(&instance.send(&get("/none/x", "c")).await), 404);
}

/// A caller that sends without end, or never closes, does not hold a connection for ever.
#[tokio::test]
async fn lingering_ends_within_its_bounds() {
    let instance = Instance::start(&[]).await;
    let started = Instant::now();
    let mut silent = instance.connect().await;
    silent
        .write_all(b"no request\r\n\r\n")
        .await
        .expect("a write");
    let mut endless = instance.connect().await;
    endless
        .write_all(b"no request\r\n\r\n")
        .await
        .expect("a write");
    let flood = vec![b'y'; 64 << 10];
    let mut sent = 0;
    while endless.write_all(&flood).await.is_ok() {
        sent += flood.len();
        assert!(sent < 64 << 20, "{sent}");
    }
    assert!(started.elapsed() < Duration::from_secs(8));
    // Nothing reads behind the bound of the silent connection, so that a write is answered by a reset.
    sleep(Duration::from_millis(1_300)).await;
    silent.write_all(b"y").await.expect("a write");
    sleep(Duration::from_millis(50)).await;
    assert!(silent.write_all(b"y").await.is_err());
}

/// Idle connections see the end of the stream at a stop, not a reset.
#[tokio::test]
async fn idle_connections_end_without_a_reset_at_the_stop() {
    let instance = Instance::start(&[]).await;
    let mut idle = instance.connect().await;
    sleep(Duration::from_millis(50)).await;
    instance.phase.send_replace(Phase::Closing);
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.expect("an end");
    assert!(rest.is_empty());
    let request = kept_get("/none/x", "a");
    idle.write_all(request.as_bytes()).await.expect("a write");
    sleep(Duration::from_millis(50)).await;
    assert!(idle.write_all(request.as_bytes()).await.is_ok());
}
