//! Bodies of requests that stall, are too long or don't fit into the memory.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use sg_catalog::catalog::Limits;
use sg_proxy::content::Progress;
use sg_types::prelude::{Bytes, Span};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::harness::{Instance, catalog_with, header, status, target};

/// More than the instance of the harness may buffer of one body, seven eighths of 16 MiB.
const LONG_BYTES: usize = 15 << 20;
static PIECE: [u8; 64 << 10] = [b'x'; 64 << 10];
const STALL: Span = Span::from_millis(400);
const FINE: &str =
    "HTTP/1.1 200 OK\r\nid: long\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfine";
const SHED: &str =
    "HTTP/1.1 503 Shed\r\nid: long\r\nnot-run: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A target that reads up to `reads` bytes of each request, responds, and closes the connection. Returns its
/// address, and the numbers of bytes and of connections that it got.
async fn start_target(
    reads: usize,
    response: &'static str,
) -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (bytes, connections) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let counts = (bytes.clone(), connections.clone());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counts.1.fetch_add(1, Ordering::SeqCst);
            let bytes = counts.0.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 64 << 10];
                let mut own = 0;
                while own < reads {
                    match stream.read(&mut buffer).await {
                        Ok(count @ 1..) => own += count,
                        _ => break,
                    }
                    bytes.store(own, Ordering::SeqCst);
                }
                let _ = stream.write_all(response.as_bytes()).await;
                // The rest is read, so that closing does not reset the connection.
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
            });
        }
    });
    (address, bytes, connections)
}

async fn start(targets: &[SocketAddr]) -> Instance {
    let instance = Instance::start_unloaded().await;
    let limits = Limits {
        max_body: Bytes::new(64 << 20),
        head_timeout: STALL,
        ..Limits::default()
    };
    instance.core.replace_catalog(catalog_with(1, limits));
    for (index, address) in targets.iter().enumerate() {
        instance
            .core
            .upsert_target(target(&format!("t{index}"), *address));
    }
    instance.core.set_loaded();
    instance
}

/// Sends a request that declares `declared` bytes and has `sent`, and returns the response.
async fn send(instance: &Instance, path: &str, declared: usize, sent: usize) -> String {
    let mut stream = instance.connect().await;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nid: long\r\ncontent-length: {declared}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a write");
    let (mut reader, mut writer) = stream.split();
    let write = async {
        let mut left = sent;
        while left > 0 {
            let piece = &PIECE[..left.min(PIECE.len())];
            if writer.write_all(piece).await.is_err() {
                return;
            }
            left -= piece.len();
        }
    };
    let read = async {
        let mut response = Vec::new();
        let mut chunk = [0; 4_096];
        while !response.windows(4).any(|end| end == b"\r\n\r\n") {
            match reader.read(&mut chunk).await {
                Ok(count @ 1..) => response.extend_from_slice(&chunk[..count]),
                _ => break,
            }
        }
        String::from_utf8(response).expect("text")
    };
    tokio::join!(write, read).1
}

/// Guards against a stalled body holding memory and a connection until the request's deadline.
#[tokio::test]
async fn stalled_body_is_refused_unrun_and_the_connection_closes() {
    let (address, _, connections) = start_target(1, FINE).await;
    let instance = start(&[address]).await;
    let started = Instant::now();
    let response = send(&instance, "/once/x", 10, 9).await;
    assert_eq!(header(&response, "reason").as_deref(), Some("body-stalled"));
    assert_eq!(header(&response, "connection").as_deref(), Some("close"));
    assert!(started.elapsed() < Duration::from_millis(1_200));
    assert_eq!(connections.load(Ordering::SeqCst), 0);
    assert_eq!(instance.core.memory.usage().held[1], 0);
}

/// Guards against buffering what is refused anyway, and against charging what is only announced.
#[tokio::test]
async fn announced_bytes_cost_nothing_and_too_many_are_refused_from_the_head() {
    let instance = start(&[]).await;
    assert_eq!(status(&send(&instance, "/once/x", 65 << 20, 0).await), 413);
    let mut stream = instance.connect().await;
    let head = "POST /once/x HTTP/1.1\r\nhost: h\r\nid: a\r\ncontent-length: 60000000\r\n\r\nxyz";
    stream.write_all(head.as_bytes()).await.expect("a write");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let held = instance.core.memory.usage().held[1];
    assert!((3..=4_096).contains(&held), "{held}");
}

/// Guards against a head of legal size costing many times its size as fields.
#[tokio::test]
async fn thousands_of_fields_are_refused() {
    let instance = start(&[]).await;
    let fields = "a:b\r\n".repeat(2_000);
    let request = format!("GET /once/x HTTP/1.1\r\nhost: h\r\nid: a\r\n{fields}\r\n");
    assert_eq!(status(&instance.send(&request).await), 431);
}

/// Guards against chunks of a byte keeping the buffers alive that they were read into.
#[tokio::test]
async fn chunks_of_a_byte_cost_about_their_bytes() {
    let instance = start(&[]).await;
    let mut stream = instance.connect().await;
    let head = "POST /once/x HTTP/1.1\r\nhost: h\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("a write");
    let chunks = "1\r\nx\r\n".repeat(5_000);
    stream.write_all(chunks.as_bytes()).await.expect("a write");
    let held = || instance.core.memory.usage().held[1];
    let started = Instant::now();
    while held() < 5_000 {
        assert!(started.elapsed() < Duration::from_secs(1), "{}", held());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(held() <= 16_000, "{}", held());
}

/// Guards against refusing a single legal body that is longer than what may be buffered.
#[tokio::test]
async fn body_that_does_not_fit_reaches_one_target_while_it_is_read() {
    let (address, bytes, connections) = start_target(LONG_BYTES, FINE).await;
    let instance = start(&[address]).await;
    let response = send(&instance, "/safe/x", LONG_BYTES, LONG_BYTES).await;
    assert_eq!(status(&response), 200, "{response}");
    assert!(bytes.load(Ordering::SeqCst) >= LONG_BYTES);
    assert_eq!(connections.load(Ordering::SeqCst), 1);
    assert_eq!(instance.core.metrics.streamed_requests.get(), 1);
}

/// Guards against promising that a request did not run whose body was being sent, and against sending it
/// again or blaming the target.
#[tokio::test]
async fn streamed_body_that_stalls_may_have_run_and_is_not_sent_again() {
    let targets = [
        start_target(usize::MAX, FINE).await,
        start_target(usize::MAX, FINE).await,
    ];
    let instance = start(&[targets[0].0, targets[1].0]).await;
    let response = send(&instance, "/safe/x", LONG_BYTES, LONG_BYTES - 1).await;
    assert_eq!(status(&response), 502, "{response}");
    let connections = targets.map(|target| target.2.load(Ordering::SeqCst));
    assert_eq!(connections.iter().sum::<usize>(), 1, "{connections:?}");
}

/// Guards against 502 although the target proved that it did not run a streamed request.
#[tokio::test]
async fn streamed_request_that_its_target_sheds_is_refused_unrun() {
    let targets = [start_target(1, SHED).await, start_target(1, SHED).await];
    let instance = start(&[targets[0].0, targets[1].0]).await;
    let response = send(&instance, "/safe/x", LONG_BYTES, LONG_BYTES).await;
    assert_eq!(status(&response), 503, "{response}");
    let connections = targets.map(|target| target.2.load(Ordering::SeqCst));
    assert_eq!(connections.iter().sum::<usize>(), 1, "{connections:?}");
}

/// Guards against giving up at the end of a stop what a target gets while its caller still sends it.
#[tokio::test]
async fn streamed_request_is_taken_in_a_stop_only_if_it_ends_before() {
    for (stop, reads, expected, sends) in [(300, usize::MAX, 503, 0), (30_000, LONG_BYTES, 200, 1)]
    {
        let (address, _, connections) = start_target(reads, FINE).await;
        let instance = start(&[address]).await;
        instance.drain_for(Span::from_millis(stop));
        let sent = if sends > 0 {
            LONG_BYTES
        } else {
            LONG_BYTES - 1
        };
        let response = send(&instance, "/once/x", LONG_BYTES, sent).await;
        let found = (status(&response), connections.load(Ordering::SeqCst));
        assert_eq!(found, (expected, sends), "{response}");
    }
}

/// Guards against occupying a target for a caller that can't send the rest in time.
#[test]
fn only_bodies_that_arrive_in_time_are_streamed() {
    let progress = Progress {
        received: 8 << 20,
        declared: Some(16 << 20),
        elapsed: Span::from_secs(1),
        left: Span::from_secs(2),
    };
    assert!(progress.may_stream());
    let late = Progress {
        left: Span::from_millis(1_900),
        ..progress
    };
    assert!(!late.may_stream());
    let without_fingerprint = Progress {
        received: 1 << 10,
        ..progress
    };
    assert!(!without_fingerprint.may_stream());
}
