//! Compares a whole entry with a bare pass-through of the same build, in turns, on loopback.
//!
//! The entry is the daemon with real shares, freshness and steering; each server has threads of its
//! own, as many for the entry as for the pass-through. Prints requests a second, latencies and the
//! ratio of the throughputs, then the memory of an idle caller's connection. Ends by itself. Run it
//! with `cargo run --release -p sg-entry --example throughput`.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant as Clock},
};

use support::{Fleet, KEY, address, threads};

/// Turns that each side gets.
const TURNS: usize = 6;
/// How long a turn lasts.
const TURN: Duration = Duration::from_secs(2);
/// Requests in flight.
const IN_FLIGHT: usize = 64;
/// Idle connections that are held for the memory figure.
const IDLE: usize = 2_000;
/// The size of an answer, in bytes.
const ANSWER: usize = 1024;
/// The threads of the callers.
const CALLER_THREADS: usize = 4;

/// What the turns of one side came to.
#[derive(Debug, Default)]
struct Side {
    took: Vec<Duration>,
    failed: usize,
}

impl Side {
    fn add(&mut self, other: Self) {
        self.took.extend(other.took);
        self.failed += other.failed;
    }

    fn rate(&self) -> f64 {
        self.took.len() as f64 / (TURNS as f64 * TURN.as_secs_f64())
    }

    fn print(&mut self, name: &str) {
        self.took.sort();
        let at = |part: f64| self.took[(self.took.len() as f64 * part) as usize];
        let (rate, failed) = (self.rate(), self.failed);
        let (p50, p99) = (at(0.5), at(0.99));
        println!("{name}: {rate:.0} a second, p50 {p50:?}, p99 {p99:?}, {failed} not answered");
    }
}

/// One turn of requests, and what they came to.
async fn turn(address: SocketAddr) -> Side {
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let end = Clock::now() + TURN;
    let workers = (0..IN_FLIGHT).map(|_| tokio::spawn(work(client.clone(), address, end)));
    let mut side = Side::default();
    for done in futures_util::future::join_all(workers).await {
        side.add(done.expect("ends"));
    }
    side
}

async fn work(client: reqwest::Client, address: SocketAddr, end: Clock) -> Side {
    let url = format!("http://{address}/read/1?size={ANSWER}");
    let mut side = Side::default();
    while Clock::now() < end {
        let start = Clock::now();
        let asked = client.get(&url).bearer_auth(KEY).send().await;
        let answer = asked.expect("answers");
        let good = answer.status().is_success();
        let body = answer.bytes().await.expect("is whole");
        if good {
            assert_eq!(body.len(), ANSWER);
            side.took.push(start.elapsed());
        } else {
            side.failed += 1;
        }
    }
    side
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE
}

/// Bytes for each idle connection that had one request, the caller's end included, and the
/// connections.
async fn idle_memory(address: SocketAddr) -> (u64, Vec<tokio::net::TcpStream>) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let text = format!("GET /read/1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let before = resident();
    let mut held = Vec::with_capacity(IDLE);
    for _ in 0..IDLE {
        let stream = tokio::net::TcpStream::connect(address).await;
        let mut stream = stream.expect("connects");
        stream.write_all(text.as_bytes()).await.expect("writes");
        let mut buffer = [0; 2 * ANSWER];
        let read = stream.read(&mut buffer).await.expect("reads");
        assert!(read > 0, "an answer");
        held.push(stream);
    }
    let each = resident().saturating_sub(before) / IDLE as u64;
    (each, held)
}

async fn measure() {
    let fleet = Fleet::start().await;
    let (bare, entry) = (address(support::BARE), address(support::ENTRY));
    turn(bare).await;
    turn(entry).await;
    let (mut bare_side, mut entry_side) = (Side::default(), Side::default());
    for _ in 0..TURNS {
        bare_side.add(turn(bare).await);
        entry_side.add(turn(entry).await);
    }
    bare_side.print("bare pass-through");
    entry_side.print("entry");
    println!("ratio {:.3}", entry_side.rate() / bare_side.rate());
    // The first ones stay open, so that the second figure is not made of what they gave back.
    let (each, _bare) = idle_memory(bare).await;
    println!("idle connection of the bare pass-through: {each} bytes");
    let (each, _entry) = idle_memory(entry).await;
    println!("idle connection of the entry: {each} bytes");
    drop(fleet);
}

fn main() {
    threads(CALLER_THREADS).block_on(measure());
}
