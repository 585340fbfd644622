//! A stand-in of the platform's servers, as `PROTOCOL.md` describes them, without faults.

use std::{
    collections::HashMap,
    io::{BufReader, ErrorKind},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Head, header},
    store::Store,
};

/// How often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The time after which a server closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a server looks whether the connection of a request at work has been closed.
const CLOSE_CHECK: Duration = Duration::from_millis(20);

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub server: String,
    pub at: Instant,
    /// When the server began to work on the request, if it has.
    pub run_at: Option<Instant>,
    /// When the server ended the work, or dropped it because the connection was closed.
    pub ended_at: Option<Instant>,
    pub is_dropped: bool,
}

/// The arrivals at all servers.
#[derive(Debug, Clone, Default)]
pub struct Arrivals(Arc<Mutex<HashMap<String, Vec<Arrival>>>>);

impl Arrivals {
    fn record(&self, arrival: Arrival) -> usize {
        let mut arrivals = self.0.lock().expect("arrivals");
        let of_id = arrivals.entry(arrival.id.clone()).or_default();
        of_id.push(arrival);
        of_id.len() - 1
    }

    fn update(&self, id: &str, index: usize, change: impl FnOnce(&mut Arrival)) {
        let mut arrivals = self.0.lock().expect("arrivals");
        if let Some(arrival) = arrivals.get_mut(id).and_then(|of_id| of_id.get_mut(index)) {
            change(arrival);
        }
    }

    /// Returns the arrivals of the request `id`.
    pub fn of(&self, id: &str) -> Vec<Arrival> {
        let arrivals = self.0.lock().expect("arrivals");
        arrivals.get(id).cloned().unwrap_or_default()
    }
}

/// What a server needs to know of its deployment.
#[derive(Debug, Clone)]
pub struct Options {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub queue: u32,
    /// The work of a request without a `work-ms` header.
    pub work: Duration,
    /// The size of the response to a GET request without a `reply-bytes` header.
    pub reply_bytes: usize,
}

#[derive(Debug, Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// Starts a server that writes its entry to `store` and records requests in `arrivals`.
pub fn start(options: Options, store: &Store, arrivals: &Arrivals) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("time of day")
        .as_millis();
    let (entry, entries) = (options.clone(), store.clone());
    let sequence = AtomicU64::new(0);
    thread::spawn(move || {
        loop {
            let sequence = sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let value = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","concurrency":{},"state":"ready","coldRemainingS":0,"sequence":{sequence},"born":{born}}}"#,
                entry.service, entry.address, entry.zone, entry.slots
            );
            entries.put(&format!("servers/{}", entry.id), &value);
            thread::sleep(HEARTBEAT);
        }
    });
    let load: Arc<(Mutex<Load>, Condvar)> = Arc::default();
    let arrivals = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = Server {
                options: options.clone(),
                load: load.clone(),
                arrivals: arrivals.clone(),
            };
            thread::spawn(move || server.serve_connection(stream));
        }
    });
    Ok(())
}

struct Server {
    options: Options,
    load: Arc<(Mutex<Load>, Condvar)>,
    arrivals: Arrivals,
}

impl Server {
    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::with_capacity(1 << 16, stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(length) = http::skip_body(&mut reader, &head) else {
                return;
            };
            let Some((status, mut headers, body)) = self.answer(&head, length, &writer) else {
                return;
            };
            headers.push(("X-Sassafrasgauge-Server-Load", self.load_text()));
            headers.push(("Keep-Alive", format!("timeout={}", IDLE_TIMEOUT.as_secs())));
            if http::write_response(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn load_text(&self) -> String {
        let load = self.load.0.lock().expect("load");
        format!("{},{},{}", load.running, load.waiting, self.options.slots)
    }

    /// Returns the answer, or `None` if the connection was closed before the work was done.
    fn answer(
        &self,
        head: &Head,
        length: usize,
        connection: &TcpStream,
    ) -> Option<(u16, Vec<(&'static str, String)>, Vec<u8>)> {
        let (method, target) = head.request();
        let own = ("X-Sassafrasgauge-Instance-Id", self.options.id.clone());
        if target == "/health" {
            return Some((200, vec![own], Vec::new()));
        }
        let Some(id) = header(&head.headers, "x-sassafrasgauge-request-id") else {
            let refused = ("X-Sassafrasgauge-Not-Executed", "1".to_owned());
            return Some((400, vec![refused], Vec::new()));
        };
        let echo = ("X-Sassafrasgauge-Request-Id", id.to_owned());
        let expected = header(&head.headers, "x-sassafrasgauge-expect-instance");
        if expected.is_some_and(|expected| expected != self.options.id) {
            return Some((421, vec![echo, own], Vec::new()));
        }
        let at = Instant::now();
        let index = self.arrivals.record(Arrival {
            id: id.to_owned(),
            server: self.options.id.clone(),
            at,
            run_at: None,
            ended_at: None,
            is_dropped: false,
        });
        let number = |name| header(&head.headers, name).and_then(|text| text.parse::<u64>().ok());
        let deadline = number("x-sassafrasgauge-deadline-ms").unwrap_or(30_000);
        let deadline = at + Duration::from_millis(deadline);
        let Some(slot) = self.take_slot(deadline) else {
            let refused = ("X-Sassafrasgauge-Not-Executed", "1".to_owned());
            return Some((503, vec![echo, refused], Vec::new()));
        };
        self.arrivals
            .update(id, index, |arrival| arrival.run_at = Some(Instant::now()));
        let work = number("work-ms").map_or(self.options.work, Duration::from_millis);
        let end = (Instant::now() + work).min(deadline);
        let is_dropped = !work_until(end, connection);
        drop(slot);
        self.arrivals.update(id, index, |arrival| {
            arrival.ended_at = Some(Instant::now());
            arrival.is_dropped = is_dropped;
        });
        if is_dropped {
            return None;
        }
        let stamp = format!("{}.{id}", self.options.id);
        let headers = vec![echo, ("X-Sassafrasgauge-Server-Stamp", stamp)];
        let reply = match method {
            "GET" => {
                let bytes = number("reply-bytes").map_or(self.options.reply_bytes, |n| n as usize);
                vec![b'r'; bytes]
            }
            _ => format!("{length} bytes").into_bytes(),
        };
        let status = if Instant::now() >= deadline { 504 } else { 200 };
        Some((status, headers, reply))
    }

    /// Waits for a free slot. Returns `None` if the queue is full or the deadline passes.
    fn take_slot(&self, deadline: Instant) -> Option<SlotGuard<'_>> {
        let (load, freed) = &*self.load;
        let mut state = load.lock().expect("load");
        if state.running >= self.options.slots {
            if state.waiting >= self.options.queue {
                return None;
            }
            state.waiting += 1;
            while state.running >= self.options.slots && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                state = freed.wait_timeout(state, left).expect("load").0;
            }
            state.waiting -= 1;
            if state.running >= self.options.slots {
                return None;
            }
        }
        state.running += 1;
        Some(SlotGuard(&self.load))
    }
}

struct SlotGuard<'a>(&'a (Mutex<Load>, Condvar));

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let (load, freed) = self.0;
        load.lock().expect("load").running -= 1;
        freed.notify_all();
    }
}

/// Works until `end`. Returns `false` if the caller closes the connection before.
fn work_until(end: Instant, connection: &TcpStream) -> bool {
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        let _ = connection.set_read_timeout(Some(left.min(CLOSE_CHECK)));
        let peeked = connection.peek(&mut [0]);
        let _ = connection.set_read_timeout(Some(IDLE_TIMEOUT));
        match peeked {
            Ok(0) => return false,
            // Further bytes say nothing about the request at work.
            Ok(_) => thread::sleep(left.min(CLOSE_CHECK)),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
}
