//! A sound server of the platform.

use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{http, record::Record, store::Store};

/// The interval at which a server writes its entry, `heartbeatS`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A server. Clones share its state.
#[derive(Debug, Clone)]
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    pub running: Arc<AtomicU64>,
    /// Whether the server leaves: it writes its entry no more and says so in its answers.
    pub is_leaving: Arc<AtomicBool>,
}

impl Server {
    /// Starts the server and writes its entry from now on.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub fn start(&self, store: &Store, record: &Record) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let (server, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || server.serve_connection(stream, &record));
            }
        });
        let (server, store) = (self.clone(), store.clone());
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        server.write_entry(&store, born, 1);
        thread::spawn(move || {
            for sequence in 2_u64.. {
                thread::sleep(HEARTBEAT);
                if server.is_leaving.load(Ordering::SeqCst) {
                    return;
                }
                server.write_entry(&store, born, sequence);
            }
        });
        Ok(())
    }

    fn write_entry(&self, store: &Store, born: u128, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"concurrency\":{},\
             \"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":{sequence},\"born\":{born}}}",
            self.service, self.address, self.zone, self.slots
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Leaves without a report of `draining`: the entry is removed, and the server serves on.
    pub fn leave(&self, store: &Store) {
        self.is_leaving.store(true, Ordering::SeqCst);
        store.delete(&format!("servers/{}", self.id));
    }

    fn serve_connection(&self, stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader)?;
            self.answer(&request, &mut writer, record)?;
        }
    }

    fn answer(
        &self,
        request: &http::Message,
        writer: &mut TcpStream,
        record: &Record,
    ) -> io::Result<()> {
        let path = request.start.get(1).map_or("", String::as_str);
        let load = |running: u64| format!("{running},0,{}", self.slots);
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let leaving = is_leaving.then_some(("Server-Leaving", "1"));
        if path == "/health" {
            let load = load(self.running.load(Ordering::SeqCst));
            let mut fields = vec![
                ("X-Sassafrasgauge-Instance-Id", self.id.as_str()),
                ("X-Sassafrasgauge-Server-Load", &load),
            ];
            fields.extend(leaving);
            let status = if is_leaving { 503 } else { 200 };
            return http::respond(writer, status, &fields, b"");
        }
        let expected = request.field("x-sassafrasgauge-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let fields = [("X-Sassafrasgauge-Instance-Id", self.id.as_str())];
            return http::respond(writer, 421, &fields, b"");
        }
        let id = request.field("x-sassafrasgauge-request-id").unwrap_or("");
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        if running > u64::from(self.slots) {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let mut fields = vec![
                ("X-Sassafrasgauge-Request-Id", id),
                ("X-Sassafrasgauge-Not-Executed", "1"),
            ];
            fields.extend(leaving);
            return http::respond(writer, 503, &fields, b"");
        }
        record.note(&format!("server {} runs {id} {path}", self.id));
        thread::sleep(self.work);
        let running = self.running.fetch_sub(1, Ordering::SeqCst);
        let load = load(running - 1);
        let stamp = format!("3e1b.{id}");
        let mut fields = vec![
            ("X-Sassafrasgauge-Request-Id", id),
            ("X-Sassafrasgauge-Server-Stamp", &stamp),
            ("X-Sassafrasgauge-Server-Load", &load),
        ];
        fields.extend(leaving);
        http::respond(writer, 200, &fields, format!("{} ran {id}", self.id).as_bytes())
    }
}
