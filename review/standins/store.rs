//! A stand-in of the platform's store, as `PROTOCOL.md` describes it, without faults.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, json::Json};

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The number of items in a page of a listing.
const PAGE_ITEMS: usize = 50;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: i64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The revision, the key and the text of each change.
    log: Vec<(u64, String, String)>,
    /// The end and the length of each lease.
    leases: HashMap<i64, (Instant, Duration)>,
}

/// The store. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl State {
    fn item_json(&self, key: &str) -> String {
        let item = &self.items[key];
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{},"currentRev":{}}}"#,
            item.value, item.revision, item.created, item.lease, self.revision
        )
    }

    fn put(&mut self, key: &str, value: String, lease: i64) {
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
        let event = self.item_json(key);
        self.log.push((revision, key.to_owned(), event));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                r#"{{"key":"{key}","revision":{},"deleted":true}}"#,
                self.revision
            );
            self.log.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<i64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

impl Store {
    /// Serves the store on `address` until the process ends.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
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

    /// Writes a value as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.0;
        state
            .lock()
            .expect("store")
            .put(key, encode(value.as_bytes()), 0);
        changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head, false) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            let (method, target) = head.request();
            let (status, text) = self.answer(method, target, &String::from_utf8_lossy(&body));
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "1".to_owned()),
            ];
            if http::write_response(&mut writer, status, &headers, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
        };
        let (state, changed) = &*self.0;
        let mut state = state.lock().expect("store");
        state.expire_leases();
        match (method, path) {
            ("GET", "/kv-key") => {
                let key = parameter("key");
                match state.items.contains_key(&key) {
                    true => (200, state.item_json(&key)),
                    false => (404, String::new()),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter("pathPrefix"), parameter("after"));
                let keys = state.items.keys();
                let keys: Vec<&String> = keys
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .collect();
                let items = keys.iter().take(PAGE_ITEMS);
                let items: Vec<String> = items.map(|key| state.item_json(key)).collect();
                let text = format!(
                    r#"{{"items":[{}],"hasMore":{},"currentRev":{}}}"#,
                    items.join(","),
                    keys.len() > PAGE_ITEMS,
                    state.revision
                );
                (200, text)
            }
            ("GET", "/kv-watch") => {
                let prefix = parameter("pathPrefix");
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait = parameter("waitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    if after > state.revision {
                        return (410, String::new());
                    }
                    let events = state.log.iter();
                    let events =
                        events.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<&str> = events.map(|(.., event)| event.as_str()).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        return (
                            200,
                            format!(r#"{{"events":[{events}],"currentRev":{revision}}}"#),
                        );
                    }
                    let left = left.min(Duration::from_millis(200));
                    state = changed.wait_timeout(state, left).expect("store").0;
                    state.expire_leases();
                }
            }
            ("POST", "/kv-txn") => {
                let result = commit(&mut state, &Json::parse(body));
                changed.notify_all();
                result
            }
            ("POST", "/kv-lease") => {
                let seconds = Json::parse(body)
                    .field("ttlS_time")
                    .number()
                    .clamp(1.0, 600.0);
                let ttl = Duration::from_secs_f64(seconds);
                state.revision += 1;
                let lease = state.revision as i64;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttlS_time":{seconds}}}"#))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttlS_time":{}}}"#, ttl.as_secs_f64()))
                    }
                    None => (404, String::new()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(lease);
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, String::new()),
        }
    }
}

/// Applies a transaction if its precondition holds.
fn commit(state: &mut State, body: &Json) -> (u16, String) {
    let rows = body.field("precondition").items();
    let holds = rows.iter().all(|row| {
        let found = state.items.get(row.field("key").text());
        found.map_or(0, |item| item.revision) == row.field("revision").number() as u64
    });
    if !holds {
        let keys = rows.iter().map(|row| row.field("key").text());
        let found = keys.filter(|key| state.items.contains_key(*key));
        let items: Vec<String> = found.map(|key| state.item_json(key)).collect();
        return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
    }
    let puts = body.field("puts").items();
    let lease = |put: &Json| put.field("lease").number() as i64;
    if puts
        .iter()
        .any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put)))
    {
        return (404, String::new());
    }
    for put in puts {
        state.put(
            put.field("key").text(),
            put.field("value").text().to_owned(),
            lease(put),
        );
    }
    for key in body.field("deletes").items() {
        state.delete(key.text());
    }
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}

/// Returns the standard Base64 text of `bytes`.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let at = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let group = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= part.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
