//! Clients that send bodies of legal size and stop just short of their end.

use std::{
    collections::BTreeMap,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The time after which a client whose connection was closed opens the next one.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);
/// The interval between two rounds over all clients.
const ROUND: Duration = Duration::from_millis(10);
/// The most bytes that one client writes in a round.
const PIECE: usize = 64 << 10;

/// What a crowd sends.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of clients.
    pub clients: usize,
    /// Head of the request, with `{id}` for its id.
    pub head: String,
    /// Length of the body that the head declares. One byte less is sent.
    pub body_bytes: usize,
    /// Largest number of bytes that all clients send in a second.
    pub bytes_per_second: f64,
}

/// Counts of a crowd.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    pub connections: Arc<AtomicU64>,
    pub bytes: Arc<AtomicU64>,
    /// Number of connections by how they ended: the status of the answer, or that there was none.
    pub ends: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Counts {
    fn record_end(&self, end: &str) {
        let mut ends = self.ends.lock().expect("no panic");
        *ends.entry(end.to_owned()).or_default() += 1;
    }
}

struct Client {
    stream: Option<TcpStream>,
    /// What is left to send.
    rest: Vec<u8>,
    sent: usize,
    open_from: Instant,
}

/// Runs a crowd against `address` until `stop` is set.
pub fn run(address: SocketAddr, plan: &Plan, counts: &Counts, stop: &AtomicBool) {
    let started = Instant::now();
    let mut clients: Vec<Client> = (0..plan.clients)
        .map(|_| Client {
            stream: None,
            rest: Vec::new(),
            sent: 0,
            open_from: started,
        })
        .collect();
    let mut number = 0_u64;
    let mut allowance = 0.0;
    let mut last = started;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        let earned = plan.bytes_per_second * now.duration_since(last).as_secs_f64();
        allowance = f64::min(allowance + earned, plan.bytes_per_second / 20.0);
        last = now;
        for client in &mut clients {
            if client.stream.is_none() {
                if now < client.open_from || allowance <= 0.0 {
                    continue;
                }
                client.open_from = now + REOPEN_PAUSE;
                let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50))
                else {
                    continue;
                };
                if stream.set_nonblocking(true).is_err() {
                    continue;
                }
                number += 1;
                counts.connections.fetch_add(1, Ordering::Relaxed);
                let id = format!("{:08x}{number:08x}", std::process::id());
                client.rest = plan.head.replace("{id}", &id).into_bytes();
                client.rest.resize(client.rest.len() + plan.body_bytes - 1, b'z');
                client.sent = 0;
                client.stream = Some(stream);
            }
            if !client.step(&mut allowance, counts) {
                client.stream = None;
                client.open_from = Instant::now() + REOPEN_PAUSE;
            }
        }
        thread::sleep(ROUND);
    }
}

impl Client {
    /// Sends what may be sent now. Returns whether the connection is open.
    fn step(&mut self, allowance: &mut f64, counts: &Counts) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        while self.sent < self.rest.len() && *allowance > 0.0 {
            let end = self.rest.len().min(self.sent + PIECE);
            match stream.write(&self.rest[self.sent..end]) {
                Ok(count) => {
                    self.sent += count;
                    *allowance -= count as f64;
                    counts.bytes.fetch_add(count as u64, Ordering::Relaxed);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    counts.record_end("reset");
                    return false;
                }
            }
        }
        let mut answer = [0; 512];
        match stream.read(&mut answer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
            Err(_) => counts.record_end("reset"),
            Ok(0) => counts.record_end("closed"),
            // The answer refuses the request. The client goes on with another connection.
            Ok(count) => {
                let answer = String::from_utf8_lossy(&answer[..count]);
                counts.record_end(answer.split(' ').nth(1).unwrap_or("no HTTP"));
            }
        }
        false
    }
}
