//! The platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{self, quote},
};

/// The largest number of items of one page.
const PAGE: usize = 500;

/// A copy of the store's data.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Duration>,
}

#[derive(Debug, Clone)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key and JSON of each change, by revision.
    changes: Vec<(u64, String, String)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// The revision up to which the changes are not known.
    oldest: u64,
    /// Number of times that the store came back from a copy.
    era: u64,
    /// Whether the store is away: it answers nothing and takes nothing.
    is_away: bool,
}

/// The store. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn json(&self, key: &str) -> String {
        let item = &self.items[key];
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{},\"currentRev\":{}}}",
            quote(key),
            item.value,
            item.revision,
            item.created,
            item.lease,
            self.revision
        )
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let json = self.json(key);
        self.changes.push((revision, key.to_owned(), json));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let json = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                quote(key),
                self.revision
            );
            self.changes.push((self.revision, key.to_owned(), json));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }

    /// Makes all changes of a transaction if its precondition holds.
    fn commit(&mut self, body: &json::Value) -> (u16, String) {
        let rows = body.get("precondition").list();
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &json::Value| {
            revision(row.get("key").text()) == row.get("revision").number() as u64
        };
        if !rows.iter().all(holds) {
            let items = rows.iter().map(|row| match row.get("key").text() {
                key if self.items.contains_key(key) => self.json(key),
                key => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease = |put: &json::Value| put.get("lease").number() as u64;
        let puts = body.get("puts").list();
        let is_known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !puts.iter().all(|put| is_known(lease(put))) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = put.get("value").text().to_owned();
            self.put(put.get("key").text(), value, lease(put));
        }
        for key in body.get("deletes").list() {
            self.delete(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Store {
    /// Starts the store on `address`.
    ///
    /// # Errors
    /// Returns the error of the system.
    pub fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    /// Writes a value without a lease, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic");
        if !state.is_away {
            state.put(key, encode_base64(value.as_bytes()), 0);
            changed.notify_all();
        }
    }

    /// Removes a key, as a server that leaves does.
    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic");
        if !state.is_away {
            state.delete(key);
            changed.notify_all();
        }
    }

    /// Returns a copy of the data as they are now.
    pub fn copy(&self) -> Copy {
        let state = self.shared.0.lock().expect("no panic");
        let leases = state.leases.iter();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
            leases: leases.map(|(lease, known)| (*lease, known.ttl)).collect(),
        }
    }

    /// Takes the store away.
    pub fn take_away(&self) {
        let (state, changed) = &*self.shared;
        state.lock().expect("no panic").is_away = true;
        changed.notify_all();
    }

    /// Brings the store back from a copy, in a new era.
    pub fn bring_back(&self, copy: Copy) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic");
        let now = Instant::now();
        let leases = copy.leases.into_iter();
        state.leases = leases
            .map(|(lease, ttl)| (lease, Lease { ttl, ends_at: now + ttl }))
            .collect();
        state.revision = copy.revision;
        state.oldest = copy.revision;
        state.items = copy.items;
        state.changes.clear();
        state.era += 1;
        state.is_away = false;
        changed.notify_all();
    }

    /// Returns the era, or `None` while the store is away.
    fn era(&self) -> Option<u64> {
        let state = self.shared.0.lock().expect("no panic");
        (!state.is_away).then_some(state.era)
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader)?;
            let Some(era) = self.era() else {
                return Ok(());
            };
            let (status, body) = self.handle(&request);
            // Nothing that was asked before a copy came back is answered.
            if self.era() != Some(era) {
                return Ok(());
            }
            let era = era.to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            http::respond(&mut writer, status, &fields, body.as_bytes())?;
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, String) {
        let target = request.start.get(1).map_or("", String::as_str);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, value.replace("%2F", "/")))
            .collect();
        let field = |name: &str| query.get(name).map_or("", String::as_str);
        let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
        if path == "/kv-watch" {
            let wait = Duration::from_millis(number("waitMs"));
            return self.watch(field("pathPrefix"), number("after"), wait);
        }
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic");
        state.end_leases();
        let reply = match path {
            "/kv-key" if state.items.contains_key(field("key")) => (200, state.json(field("key"))),
            "/kv-range" => list(&state, field("pathPrefix"), field("after")),
            "/kv-txn" => state.commit(&body),
            "/kv-lease" => {
                let seconds = body.get("ttlS_time").number().max(1.0);
                let ttl = Duration::from_secs_f64(seconds);
                state.last_lease += 1;
                let lease = state.last_lease;
                let ends_at = Instant::now() + ttl;
                state.leases.insert(lease, Lease { ttl, ends_at });
                (200, format!("{{\"lease\":{lease},\"ttlS_time\":{seconds}}}"))
            }
            _ => lease_call(&mut state, path),
        };
        changed.notify_all();
        reply
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic");
        let era = state.era;
        loop {
            state.end_leases();
            let is_known = state.era == era && (state.oldest..=state.revision).contains(&after);
            if state.is_away || !is_known {
                return (410, "{}".to_owned());
            }
            let first = state.changes.partition_point(|(revision, ..)| *revision <= after);
            let events = state.changes[first..].iter();
            let events = events.filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<&str> = events.map(|(.., json)| json.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            let waited = changed.wait_timeout(state, left.min(Duration::from_millis(200)));
            state = waited.expect("no panic").0;
        }
    }
}

fn list(state: &State, prefix: &str, after: &str) -> (u16, String) {
    let keys = state.items.keys();
    let keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
    let keys: Vec<&String> = keys.collect();
    let items: Vec<String> = keys.iter().take(PAGE).map(|key| state.json(key)).collect();
    let reply = format!(
        "{{\"items\":[{}],\"hasMore\":{},\"currentRev\":{}}}",
        items.join(","),
        keys.len() > PAGE,
        state.revision
    );
    (200, reply)
}

fn lease_call(state: &mut State, path: &str) -> (u16, String) {
    let (call, lease) = path.rsplit_once('/').unwrap_or((path, ""));
    let lease = lease.parse::<u64>().unwrap_or(0);
    match call {
        "/kv-lease-end" if state.leases.contains_key(&lease) => {
            state.end_lease(lease);
            (200, "{}".to_owned())
        }
        "/kv-keep" => match state.leases.get_mut(&lease) {
            Some(known) => {
                known.ends_at = Instant::now() + known.ttl;
                let seconds = known.ttl.as_secs_f64();
                (200, format!("{{\"ttlS_time\":{seconds}}}"))
            }
            None => (404, "{}".to_owned()),
        },
        _ => (404, "{}".to_owned()),
    }
}

/// Encodes `bytes` in the standard base64 alphabet with padding.
fn encode_base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            text.push(match index <= group.len() {
                true => char::from(ALPHABET[digit as usize]),
                false => '=',
            });
        }
    }
    text
}
