//! A stand-in of a server that registers in the store and records what reaches it.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

/// The interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The waiting requests that a server takes, per slot.
const QUEUE_PER_SLOT: usize = 3;

#[derive(Debug, Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    /// The time for which the server is cold from its start.
    pub cold: Duration,
    /// The path of a request that crashes the server.
    pub poison: Option<String>,
}

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
    pub peer: SocketAddr,
    pub is_cold: bool,
    pub status: u16,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    cold_until: Mutex<Instant>,
    born: u64,
    load: Mutex<Load>,
    freed: Condvar,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    sequence: AtomicU64,
}

/// A running server. Clones share its state.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
    store: Store,
}

impl Server {
    /// Starts a server, which registers at once.
    pub fn start(options: Options, store: &Store) -> Self {
        let listener = TcpListener::bind(options.address).expect("free address");
        listener.set_nonblocking(true).expect("socket");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("clock")
            .as_millis() as u64;
        let shared = Arc::new(Shared {
            cold_until: Mutex::new(Instant::now() + options.cold),
            options,
            born,
            load: Mutex::default(),
            freed: Condvar::new(),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });
        let server = Self {
            shared,
            store: store.clone(),
        };
        server.write_entry();
        let beating = server.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            while !beating.is_down() {
                thread::sleep(Duration::from_millis(20));
                if last.elapsed() >= HEARTBEAT {
                    last = Instant::now();
                    beating.write_entry();
                }
            }
        });
        let accepting = server.clone();
        thread::spawn(move || {
            while !accepting.is_down() {
                let Ok((stream, peer)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let kept = stream.try_clone().expect("socket");
                accepting.shared.connections.lock().unwrap().push(kept);
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream, peer));
            }
        });
        server
    }

    fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> &str {
        &self.shared.options.id
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }

    fn cold_left(&self) -> Duration {
        let until = *self.shared.cold_until.lock().unwrap();
        until.saturating_duration_since(Instant::now())
    }

    /// Makes the server cold again and tells so in its entry.
    pub fn turn_cold(&self, span: Duration) {
        *self.shared.cold_until.lock().unwrap() = Instant::now() + span;
        self.write_entry();
    }

    fn write_entry(&self) {
        let options = &self.shared.options;
        let sequence = self.shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"concurrency\":{},\"state\":\"ready\",\"coldRemainingS\":{},\"sequence\":{sequence},\"born\":{}}}",
            options.service,
            options.address,
            options.zone,
            options.slots,
            self.cold_left().as_secs_f64(),
            self.shared.born
        );
        self.store.write(&format!("servers/{}", options.id), &entry);
    }

    /// Returns whether the server has ended.
    pub fn has_ended(&self) -> bool {
        self.is_down()
    }

    /// Ends the server at once, as a crash does: its connections close, and its entry stays until it lapses.
    pub fn lose_power(&self) {
        if self.shared.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in self.shared.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id()));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove(&key);
        });
    }

    fn load_header(&self) -> (&'static str, String) {
        let load = self.shared.load.lock().unwrap();
        let text = format!(
            "{},{},{}",
            load.running, load.waiting, self.shared.options.slots
        );
        ("X-Sassafrasgauge-Server-Load", text)
    }

    /// Waits for a slot. Returns whether there was room.
    fn enter(&self) -> bool {
        let slots = self.shared.options.slots;
        let mut load = self.shared.load.lock().unwrap();
        if load.running >= slots {
            if load.waiting >= slots * QUEUE_PER_SLOT {
                return false;
            }
            load.waiting += 1;
            while load.running >= slots {
                load = self.shared.freed.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.shared.load.lock().unwrap().running -= 1;
        self.shared.freed.notify_one();
    }

    fn serve(&self, mut stream: TcpStream, peer: SocketAddr) {
        let mut reader = BufReader::new(stream.try_clone().expect("socket"));
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.is_down() {
                return;
            }
            let path = request.second().split('?').next().unwrap_or("").to_owned();
            let answered = match path.as_str() {
                "/health" => self.answer_health(&mut stream),
                _ => self.answer(&mut stream, &request, peer),
            };
            if answered.is_err() || self.is_down() {
                return;
            }
        }
    }

    fn answer_health(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let headers = [
            ("X-Sassafrasgauge-Instance-Id", self.id().to_owned()),
            (
                "X-Sassafrasgauge-Cold-Ms",
                self.cold_left().as_millis().to_string(),
            ),
            self.load_header(),
        ];
        http::respond(stream, 200, &headers, b"")
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &http::Message,
        peer: SocketAddr,
    ) -> std::io::Result<()> {
        let id = request
            .header("x-sassafrasgauge-request-id")
            .unwrap_or("")
            .to_owned();
        let expected = request.header("x-sassafrasgauge-expect-instance");
        let is_other = expected.is_some_and(|expected| expected != self.id());
        let cold_left = self.cold_left();
        let is_in = !is_other && self.enter();
        let status = match (is_other, is_in) {
            (true, _) => 421,
            (_, true) => 200,
            (_, false) => 503,
        };
        self.shared.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            id: id.clone(),
            tenant: request
                .header("x-sassafrasgauge-tenant")
                .unwrap_or("")
                .to_owned(),
            peer,
            is_cold: cold_left > Duration::ZERO,
            status,
        });
        let poison = self.shared.options.poison.as_deref();
        if status == 200 && poison.is_some_and(|poison| request.second().starts_with(poison)) {
            self.lose_power();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let mut headers = vec![("X-Sassafrasgauge-Request-Id", id)];
        if status == 200 {
            let factor = if cold_left > Duration::ZERO { 2 } else { 1 };
            thread::sleep(self.shared.options.work * factor);
            self.leave();
            headers.push((
                "X-Sassafrasgauge-Server-Stamp",
                format!("{}.{}", self.id(), self.shared.born),
            ));
            headers.push(self.load_header());
            return http::respond(stream, 200, &headers, b"the server's bytes");
        }
        if status == 503 {
            headers.push(("X-Sassafrasgauge-Not-Executed", "1".to_owned()));
            headers.push(self.load_header());
        } else {
            headers.push(("X-Sassafrasgauge-Instance-Id", self.id().to_owned()));
        }
        http::respond(stream, status, &headers, b"")
    }
}
