//! Clients that send requests at a steady rate.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request of this run has.
pub fn request_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", std::process::id())
}

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub to: SocketAddr,
    pub at: Instant,
    pub answered: Option<Instant>,
    /// The status; 0 if there was no answer.
    pub status: u16,
}

/// What the clients of one kind send.
#[derive(Debug, Clone)]
pub struct Plan {
    pub host: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
    pub deadline_ms: u64,
    /// The number of objects that requests concern.
    pub objects: u64,
}

#[derive(Debug)]
pub struct Clients {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Sends one request on a connection that may be open already.
pub fn send(connection: &mut Option<BufReader<TcpStream>>, to: SocketAddr, plan: &Plan) -> Sent {
    let mut sent = Sent {
        id: request_id(),
        to,
        at: Instant::now(),
        answered: None,
        status: 0,
    };
    let wait = Duration::from_millis(plan.deadline_ms);
    if connection.is_none() {
        let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            return sent;
        };
        let _ = stream.set_nodelay(true);
        *connection = Some(BufReader::new(stream));
    }
    let Some(reader) = connection.as_mut() else {
        return sent;
    };
    let object = NEXT.load(Ordering::SeqCst) % plan.objects.max(1);
    let mut head = format!(
        "{} {}{object} HTTP/1.1\r\nHost: {}\r\nX-Sassafrasgauge-Request-Id: {}\r\nCookie: X-Sassafrasgauge-Affinity-Key={object}\r\nX-Sassafrasgauge-Deadline-Ms: {}\r\n",
        plan.method, plan.path, plan.host, sent.id, plan.deadline_ms
    );
    if let Some(key) = &plan.key {
        head.push_str(&format!("X-Sassafrasgauge-Key: {key}\r\n"));
    }
    if plan.method != "GET" {
        head.push_str("Content-Length: 0\r\n");
    }
    head.push_str("\r\n");
    sent.at = Instant::now();
    let _ = reader.get_ref().set_read_timeout(Some(wait));
    let answer = match reader.get_mut().write_all(head.as_bytes()) {
        Ok(()) => http::read(reader).ok().flatten(),
        Err(_) => None,
    };
    match answer {
        Some(answer) => {
            sent.answered = Some(Instant::now());
            sent.status = answer.status();
            if answer.closes() {
                *connection = None;
            }
        }
        None => *connection = None,
    }
    sent
}

impl Clients {
    /// Starts clients that send `rate` requests a second to each of `nodes`, from `workers` connections each.
    pub fn start(nodes: &[SocketAddr], plan: &Plan, rate: f64, workers: usize) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let sent = Arc::<Mutex<Vec<Sent>>>::default();
        let interval = Duration::from_secs_f64(workers as f64 / rate);
        let mut threads = Vec::new();
        for node in nodes.iter().copied() {
            for worker in 0..workers {
                let (stop, sent, plan) = (stop.clone(), sent.clone(), plan.clone());
                threads.push(thread::spawn(move || {
                    let mut connection = None;
                    let mut next =
                        Instant::now() + interval.mul_f64(worker as f64 / workers as f64);
                    while !stop.load(Ordering::SeqCst) {
                        let now = Instant::now();
                        if now < next {
                            thread::sleep((next - now).min(Duration::from_millis(20)));
                            continue;
                        }
                        next = (next + interval).max(now);
                        let one = send(&mut connection, node, &plan);
                        sent.lock().unwrap().push(one);
                    }
                }));
            }
        }
        Self {
            stop,
            sent,
            threads,
        }
    }

    /// Stops the clients and returns what they sent.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}
