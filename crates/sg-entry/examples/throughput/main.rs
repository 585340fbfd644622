//! Compares an entry with a plain reverse proxy of the same build, in alternating turns on
//! loopback.
//!
//! The entry is the daemon with real shares, freshness and steering. Each server has its own
//! runtime, with the same number of threads. Prints requests per second, latencies and the ratio of
//! the throughputs, then the memory of an idle connection of a caller. The example ends by itself.
//! Run it with `cargo run --release -p sg-entry --example throughput`.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant as Clock},
};

use support::{Fleet, KEY, address, runtime};

/// Number of turns per server.
const TURNS: usize = 6;
/// Duration of a turn.
const TURN: Duration = Duration::from_secs(2);
/// Number of concurrent requests.
const IN_FLIGHT: usize = 64;
/// Number of idle connections for the memory measurement.
const IDLE: usize = 2_000;
/// Size of a response body, in bytes.
const BODY_BYTES: usize = 1024;
/// Worker threads of the callers.
const CALLER_THREADS: usize = 4;

/// Results of the turns of one server.
#[derive(Debug, Default)]
struct Results {
    latencies: Vec<Duration>,
    failed: usize,
}

impl Results {
    fn merge(&mut self, other: Self) {
        self.latencies.extend(other.latencies);
        self.failed += other.failed;
    }

    fn requests_per_second(&self) -> f64 {
        self.latencies.len() as f64 / (TURNS as f64 * TURN.as_secs_f64())
    }

    fn print(&mut self, name: &str) {
        self.latencies.sort();
        let quantile = |part: f64| self.latencies[(self.latencies.len() as f64 * part) as usize];
        let (rate, failed) = (self.requests_per_second(), self.failed);
        let (p50, p99) = (quantile(0.5), quantile(0.99));
        println!("{name}: {rate:.0} a second, p50 {p50:?}, p99 {p99:?}, {failed} not answered");
    }
}

/// Sends requests to a server for one turn and returns the results.
async fn run_turn(address: SocketAddr) -> Results {
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let end = Clock::now() + TURN;
    let workers = (0..IN_FLIGHT).map(|_| tokio::spawn(send_requests(client.clone(), address, end)));
    let mut results = Results::default();
    for done in futures_util::future::join_all(workers).await {
        results.merge(done.expect("ends"));
    }
    results
}

async fn send_requests(client: reqwest::Client, address: SocketAddr, end: Clock) -> Results {
    let url = format!("http://{address}/read/1?size={BODY_BYTES}");
    let mut results = Results::default();
    while Clock::now() < end {
        let start = Clock::now();
        let sent = client.get(&url).bearer_auth(KEY).send().await;
        let response = sent.expect("responds");
        let is_success = response.status().is_success();
        let body = response.bytes().await.expect("is whole");
        if is_success {
            assert_eq!(body.len(), BODY_BYTES);
            results.latencies.push(start.elapsed());
        } else {
            results.failed += 1;
        }
    }
    results
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Returns the memory per idle connection, in bytes, and the connections. Each connection has sent
/// one request. The memory includes the caller's end.
async fn idle_memory(address: SocketAddr) -> (u64, Vec<tokio::net::TcpStream>) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let text = format!("GET /read/1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let before = resident_bytes();
    let mut connections = Vec::with_capacity(IDLE);
    for _ in 0..IDLE {
        let stream = tokio::net::TcpStream::connect(address).await;
        let mut stream = stream.expect("connects");
        stream.write_all(text.as_bytes()).await.expect("writes");
        let mut buffer = [0; 2 * BODY_BYTES];
        let read = stream.read(&mut buffer).await.expect("reads");
        assert!(read > 0, "a response");
        connections.push(stream);
    }
    let bytes_each = resident_bytes().saturating_sub(before) / IDLE as u64;
    (bytes_each, connections)
}

async fn measure() {
    let fleet = Fleet::start().await;
    let (proxy, entry) = (address(support::PROXY), address(support::ENTRY));
    run_turn(proxy).await;
    run_turn(entry).await;
    let (mut proxy_results, mut entry_results) = (Results::default(), Results::default());
    for _ in 0..TURNS {
        proxy_results.merge(run_turn(proxy).await);
        entry_results.merge(run_turn(entry).await);
    }
    proxy_results.print("plain proxy");
    entry_results.print("entry");
    println!(
        "ratio {:.3}",
        entry_results.requests_per_second() / proxy_results.requests_per_second()
    );
    // The connections stay open, so that the second measurement does not reuse their memory.
    let (bytes_each, _proxy) = idle_memory(proxy).await;
    println!("idle connection of the plain proxy: {bytes_each} bytes");
    let (bytes_each, _entry) = idle_memory(entry).await;
    println!("idle connection of the entry: {bytes_each} bytes");
    drop(fleet);
}

fn main() {
    runtime(CALLER_THREADS).block_on(measure());
}
