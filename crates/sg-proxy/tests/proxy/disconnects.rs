//! Callers that disconnect while further requests of them wait.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::sleep,
};

use crate::{
    harness::{Instance, OK, ScriptedTarget, Step},
    pipelines::{kept_get, large_response},
};

/// Waits until the target's connection was closed, at most half a second, and then some time longer for
/// requests that must not be sent.
async fn expect_withdrawn(target: &ScriptedTarget, what: &str) {
    let left_at = Instant::now();
    while target.aborted.load(Ordering::SeqCst) == 0 {
        let elapsed = left_at.elapsed();
        assert!(
            elapsed < Duration::from_millis(500),
            "still at work: {what}"
        );
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(300)).await;
    assert_eq!(target.count(), 1, "sent after the caller left: {what}");
}

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Close,
    Reset,
}

/// Without reading ahead, the end of the stream stays behind the bytes of the requests that wait.
#[tokio::test]
async fn disconnect_behind_waiting_requests_withdraws_the_work() {
    // The last number of requests does not fit into the read-ahead buffer.
    for waiting in [1, 3, 100, 1_200] {
        for leave in [Leave::Close, Leave::Reset] {
            let target = ScriptedTarget::start(vec![Step::Silent]).await;
            let instance = Instance::start(&[&target]).await;
            let mut stream = instance.connect().await;
            let requests: String = (0..=waiting)
                .map(|index| kept_get("/safe/x", &format!("a{index}")))
                .collect();
            let written = stream.write_all(requests.as_bytes()).await;
            written.expect("a write");
            while target.count() == 0 {
                sleep(Duration::from_millis(10)).await;
            }
            sleep(Duration::from_millis(50)).await;
            if matches!(leave, Leave::Reset) {
                stream.set_zero_linger().expect("a socket");
            }
            drop(stream);
            expect_withdrawn(&target, &format!("{waiting} waiting, {leave:?}")).await;
            let gone = instance
                .core
                .metrics
                .early_ends
                .with_label_values(&["gone"]);
            assert_eq!(gone.get(), 1);
            assert_eq!(instance.core.metrics.in_progress.get(), 0);
        }
    }
}

/// A body of which nothing is read yet hides the end of the stream in the same way.
#[tokio::test]
async fn disconnect_behind_a_chunked_request_withdraws_the_work() {
    let target = ScriptedTarget::start(vec![Step::Silent]).await;
    let instance = Instance::start(&[&target]).await;
    let mut stream = instance.connect().await;
    let chunked = "POST /safe/x HTTP/1.1\r\nhost: h\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n\
                   4\r\nbody\r\n0\r\n\r\n";
    let requests = format!("{chunked}{}", kept_get("/safe/x", "b"));
    let written = stream.write_all(requests.as_bytes()).await;
    written.expect("a write");
    while target.count() == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    drop(stream);
    expect_withdrawn(&target, "chunked").await;
}

/// Requests that wait behind a response are not taken from a connection whose caller has left.
#[tokio::test]
async fn nothing_is_taken_after_the_disconnect() {
    let target = ScriptedTarget::start(vec![Step::RespondAfter(300, OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let mut streams = Vec::new();
    for index in 0..10 {
        let mut stream = instance.connect().await;
        let requests: String = (0..4)
            .map(|part| kept_get("/safe/x", &format!("a{index}-{part}")))
            .collect();
        let written = stream.write_all(requests.as_bytes()).await;
        written.expect("a write");
        streams.push(stream);
    }
    sleep(Duration::from_millis(150)).await;
    let taken = target.count();
    drop(streams);
    sleep(Duration::from_millis(800)).await;
    assert_eq!(target.count(), taken);
}

/// A caller that closes its side while it reads gets the response that is ready, and nothing further.
#[tokio::test]
async fn ready_response_is_delivered_after_the_caller_closed_its_side() {
    const LARGE: usize = 900_000;
    let target = ScriptedTarget::start(vec![Step::Respond(large_response(LARGE))]).await;
    let instance = Instance::start_with_small_buffers(&[&target]).await;
    let mut stream = instance.connect().await;
    let requests: String = (0..4)
        .map(|part| kept_get("/safe/x", &format!("a{part}")))
        .collect();
    let written = stream.write_all(requests.as_bytes()).await;
    written.expect("a write");
    sleep(Duration::from_millis(300)).await;
    stream.shutdown().await.expect("a half-close");
    sleep(Duration::from_millis(100)).await;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("an end");
    assert!(response.len() > LARGE, "{}", response.len());
    assert!(response.len() < 2 * LARGE, "{}", response.len());
    assert_eq!(target.count(), 1);
}
