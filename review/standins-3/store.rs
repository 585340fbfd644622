//! A stand-in of the platform's store. Each instance reaches it at an address of its own, which can be cut off.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64};

/// The largest number of items in a page of a listing.
const PAGE_ITEMS: usize = 500;
/// The interval at which waiting watches look for a cut, and leases for their end.
const POLL: Duration = Duration::from_millis(20);

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// The store. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

/// The way of one instance to the store.
#[derive(Debug, Clone)]
pub struct Door {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Door {
    /// While `is_cut` is set nothing passes in either direction.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.state.lock().unwrap().revision = 100;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(POLL);
                expiring.state.lock().unwrap().expire();
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Writes a value as the operator or a server does.
    pub fn write(&self, key: &str, value: &str) {
        self.state
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().delete(key);
        self.changed.notify_all();
    }

    /// Returns the keys below a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Opens a way to the store at `address`.
    pub fn open(&self, address: SocketAddr) -> Door {
        let listener = TcpListener::bind(address).expect("free address");
        let door = Door {
            address,
            is_cut: Arc::default(),
        };
        let (store, is_cut) = (self.clone(), door.is_cut.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_cut) = (store.clone(), is_cut.clone());
                thread::spawn(move || store.serve(stream, &is_cut));
            }
        });
        door
    }

    fn serve(&self, mut stream: TcpStream, is_cut: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("socket"));
        let mut was_cut = is_cut.load(Ordering::SeqCst);
        loop {
            while is_cut.load(Ordering::SeqCst) {
                was_cut = true;
                thread::sleep(POLL);
            }
            // Bytes that a partition held up are lost with their connection.
            if was_cut {
                return;
            }
            let Ok(Some(request)) = http::read(&mut reader) else {
                return;
            };
            if is_cut.load(Ordering::SeqCst) {
                was_cut = true;
                continue;
            }
            let (status, body) = self.answer(&request, is_cut);
            if is_cut.load(Ordering::SeqCst) {
                was_cut = true;
                continue;
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, is_cut: &AtomicBool) -> (u16, String) {
        let target = request.second();
        let path = target.split('?').next().unwrap_or("");
        let query = http::query(target);
        let field = |name: &str| {
            let found = query.iter().find(|(known, _)| known == name);
            found.map(|(_, value)| value.as_str()).unwrap_or("")
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        if let Some(id) = path.strip_prefix("/kv-keep/") {
            return self.keep(id.parse().unwrap_or(0));
        }
        if let Some(id) = path.strip_prefix("/kv-lease-end/") {
            self.state
                .lock()
                .unwrap()
                .end_lease(id.parse().unwrap_or(0));
            self.changed.notify_all();
            return (200, "{}".to_owned());
        }
        match path {
            "/kv-key" => {
                let state = self.state.lock().unwrap();
                match state.items.get(field("key")) {
                    Some(item) => {
                        let text = item_json(field("key"), item);
                        let open = text.trim_end_matches('}');
                        (200, format!("{open},\"currentRev\":{}}}", state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "/kv-range" => self.range(field("pathPrefix"), field("after")),
            "/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                self.watch(field("pathPrefix"), after, wait, is_cut)
            }
            "/kv-txn" => self.commit(&body),
            "/kv-lease" => {
                let seconds = body.get("ttlS_time").number().clamp(1.0, 600.0);
                let ttl = Duration::from_secs_f64(seconds);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = 77_000 + state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttlS_time\":{seconds}}}"),
                )
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let Some((end, ttl)) = state.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        *end = Instant::now() + *ttl;
        (200, format!("{{\"ttlS_time\":{}}}", ttl.as_secs_f64()))
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let below = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let below: Vec<_> = below.take(PAGE_ITEMS + 1).collect();
        let items: Vec<String> = below
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = below.len() > PAGE_ITEMS;
        (
            200,
            format!(
                "{{\"items\":[{}],\"hasMore\":{more},\"currentRev\":{}}}",
                items.join(","),
                state.revision
            ),
        )
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        is_cut: &AtomicBool,
    ) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if after > state.revision {
            return (410, "{}".to_owned());
        }
        loop {
            let from = state
                .events
                .partition_point(|(revision, ..)| *revision <= after);
            let events = state.events[from..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix));
            let events = events.map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
            });
            let events: Vec<String> = events.collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end || is_cut.load(Ordering::SeqCst) {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"currentRev\":{}}}",
                        events.join(","),
                        state.revision
                    ),
                );
            }
            let (guard, _) = self
                .changed
                .wait_timeout(state, (end - now).min(POLL * 5))
                .unwrap();
            state = guard;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let conditions = body.get("precondition").list();
        let holds = |row: &Json| {
            let known = state
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            known == row.get("revision").number() as u64
        };
        if !conditions.iter().all(holds) {
            let items = conditions.iter().map(|row| {
                let key = row.get("key").text();
                match state.items.get(key) {
                    Some(item) => item_json(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":0}}"),
                }
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let deletes = body.get("deletes").list();
        let keys = puts
            .iter()
            .map(|put| put.get("key").text())
            .chain(deletes.iter().map(Json::text));
        if keys
            .clone()
            .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
        {
            return (403, "{}".to_owned());
        }
        for put in puts {
            let lease = put.get("lease").number() as u64;
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in puts {
            let (key, value) = (put.get("key").text(), put.get("value").text());
            state.put(key, value.to_owned(), put.get("lease").number() as u64);
        }
        for key in deletes {
            state.delete(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}
