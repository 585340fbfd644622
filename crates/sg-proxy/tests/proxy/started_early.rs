//! Requests that a caller sends without waiting for the responses to those before them.

use std::time::{Duration, Instant};

use sg_proxy::server::Phase;
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::harness::{Instance, OK, ScriptedTarget, Step, catalog_with_downloads};

/// Time that the target takes for each request, in milliseconds.
const WORK_MILLIS: u64 = 300;

/// Starts a target and an instance whose configuration has a route with large responses.
async fn start(has_downloads: bool) -> (ScriptedTarget, Instance) {
    let target = ScriptedTarget::start(vec![Step::RespondAfter(WORK_MILLIS, OK)]).await;
    let instance = Instance::start(&[&target]).await;
    if has_downloads {
        assert!(instance.core.replace_catalog(catalog_with_downloads()));
    }
    (target, instance)
}

fn request(id: &str, method: &str, path: &str) -> String {
    let length = if method == "POST" {
        "content-length: 0\r\n"
    } else {
        ""
    };
    format!("{method} {path} HTTP/1.1\r\nhost: h\r\nid: {id}\r\n{length}\r\n")
}

/// Sends `requests` in one piece.
async fn send(instance: &Instance, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(instance.address)
        .await
        .expect("a connection");
    let bytes = requests.concat();
    stream
        .write_all(bytes.as_bytes())
        .await
        .expect("an open connection");
    stream
}

/// Reads responses until `count` of them have arrived or the connection ends. Returns their ids.
async fn read_ids(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    let mut chunk = [0; 4096];
    while text.matches("fine").count() < count {
        let read = timeout(Duration::from_secs(5), stream.read(&mut chunk)).await;
        match read.expect("a response in time") {
            Ok(0) | Err(_) => break,
            Ok(length) => text.push_str(&String::from_utf8_lossy(&chunk[..length])),
        }
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.trim().to_owned()).collect()
}

/// Guards against responses that wait for the work of all requests before them on the connection.
#[tokio::test]
async fn requests_sent_ahead_are_handled_at_the_same_time() {
    let (target, instance) = start(true).await;
    let started = Instant::now();
    let requests = ["a", "b", "c", "d"].map(|id| request(id, "GET", "/safe/x"));
    let mut stream = send(&instance, &requests).await;
    assert_eq!(read_ids(&mut stream, 4).await, ["a", "b", "c", "d"]);
    assert!(started.elapsed() < Duration::from_millis(WORK_MILLIS * 2));
    assert_eq!(target.count(), 4);
}

/// Guards against a change for deployments without routes with large responses.
#[tokio::test]
async fn without_large_responses_requests_are_handled_in_turn() {
    let (target, instance) = start(false).await;
    let requests = ["a", "b"].map(|id| request(id, "GET", "/safe/x"));
    let mut stream = send(&instance, &requests).await;
    sleep(Duration::from_millis(WORK_MILLIS / 2)).await;
    assert_eq!(target.count(), 1);
    assert_eq!(read_ids(&mut stream, 2).await, ["a", "b"]);
}

/// Guards against a request that may run once only and is started before its turn: its caller sends the request
/// again if an earlier response closes the connection.
#[tokio::test]
async fn request_that_may_run_once_waits_for_its_turn() {
    let (target, instance) = start(true).await;
    let requests = [
        request("a", "GET", "/safe/x"),
        request("b", "POST", "/once/x"),
        request("c", "GET", "/safe/x"),
    ];
    let mut stream = send(&instance, &requests).await;
    sleep(Duration::from_millis(WORK_MILLIS / 2)).await;
    assert_eq!(target.count(), 1);
    assert_eq!(read_ids(&mut stream, 3).await, ["a", "b", "c"]);
}

/// Guards against requests that are sent although the response before them closes the connection.
#[tokio::test]
async fn nothing_starts_behind_a_request_that_closes_the_connection() {
    let (target, instance) = start(true).await;
    let closing = request("a", "GET", "/safe/x").replace("host: h", "host: h\r\nconnection: close");
    let requests = [closing, request("b", "GET", "/safe/x")];
    let mut stream = send(&instance, &requests).await;
    assert_eq!(read_ids(&mut stream, 2).await, ["a"]);
    assert_eq!(target.count(), 1);
}

/// Guards against a read that runs beside the write before it, and returns the state from before the write.
#[tokio::test]
async fn nothing_starts_beside_a_request_that_may_run_once() {
    let (target, instance) = start(true).await;
    let requests = [
        request("a", "POST", "/once/x"),
        request("b", "GET", "/safe/x"),
    ];
    let mut stream = send(&instance, &requests).await;
    sleep(Duration::from_millis(WORK_MILLIS / 2)).await;
    assert_eq!(target.count(), 1);
    assert_eq!(read_ids(&mut stream, 2).await, ["a", "b"]);
}

/// Guards against work that goes on for a caller that has left.
#[tokio::test]
async fn started_requests_end_with_the_connection() {
    let target = ScriptedTarget::start(vec![Step::Silent]).await;
    let instance = Instance::start(&[&target]).await;
    assert!(instance.core.replace_catalog(catalog_with_downloads()));
    let requests = ["a", "b", "c"].map(|id| request(id, "GET", "/safe/x"));
    let stream = send(&instance, &requests).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(target.count(), 3);
    drop(stream);
    sleep(Duration::from_millis(400)).await;
    let aborted = target.aborted.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(aborted, 3);
}

/// Guards against a stop that closes the connection while started requests have no response.
#[tokio::test]
async fn started_requests_are_answered_during_a_stop() {
    let (_target, instance) = start(true).await;
    let requests = ["a", "b", "c"].map(|id| request(id, "GET", "/safe/x"));
    let mut stream = send(&instance, &requests).await;
    sleep(Duration::from_millis(50)).await;
    let stop_at = instance.core.timer.now() + Span::from_secs(4);
    instance.core.start_draining(stop_at);
    instance.phase.send_replace(Phase::Closing);
    assert_eq!(read_ids(&mut stream, 3).await, ["a", "b", "c"]);
}

/// Guards against unbounded work for a caller that sends very many requests ahead.
#[tokio::test]
async fn number_of_started_requests_is_bounded() {
    let target = ScriptedTarget::start(vec![Step::Silent]).await;
    let instance = Instance::start(&[&target]).await;
    assert!(instance.core.replace_catalog(catalog_with_downloads()));
    let requests: Vec<String> = (0..200)
        .map(|number| request(&format!("r{number}"), "GET", "/safe/x"))
        .collect();
    let _stream = send(&instance, &requests).await;
    sleep(Duration::from_millis(200)).await;
    assert!(target.count() <= sg_proxy::pipeline::MAX_STARTED + 1);
}
