//! In-memory store with injectable faults, for tests. Leases expire by the timer that the store is
//! created with, so a test can pause the time.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::time::{Instant, Span};
use tokio::sync::Notify;

use crate::{Changes, Entry, Error, Event, Lease, MAX_VALUE, Page, Precondition, Swap, Version};

/// Number of calls by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Calls {
    /// Reads of one key or of a prefix.
    pub reads: u64,
    /// Swaps, removals, grants, renewals and revocations.
    pub writes: u64,
    /// Opened watches.
    pub watches: u64,
}

impl Calls {
    /// Returns the number of all calls.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.reads + self.writes + self.watches
    }
}

/// Faults of one connection to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Fault {
    /// Whether all calls fail.
    pub down: bool,
    /// Delay of each call before it takes effect.
    pub delay: Span,
    /// Number of the next writes that take effect but whose response is lost.
    pub lose_responses: u32,
    /// Number of the next writes whose request is lost, so that they take no effect. The caller
    /// can't tell a lost request from a lost response.
    pub lose_requests: u32,
    /// Key prefix of the writes that may be lost. Calls on leases count as writes to an empty key.
    pub key_prefix: &'static str,
}

#[derive(Debug, Default)]
struct Data {
    version: u64,
    next_lease: i64,
    entries: IndexMap<Arc<str>, (Entry, Option<Lease>)>,
    leases: IndexMap<i64, (Instant, Span)>,
    history: Vec<(u64, Event)>,
}

#[derive(Debug, Default)]
struct Connection {
    fault: Fault,
    calls: Calls,
}

#[derive(Debug)]
struct Shared {
    data: Mutex<Data>,
    changed: Notify,
    timer: Timer,
}

/// A connection to an in-memory store. Clones share the connection. [`Store::connect`] opens
/// another connection to the same data.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<Shared>,
    connection: Arc<Mutex<Connection>>,
}

impl Store {
    /// Creates an empty store.
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        let shared = Shared {
            data: Mutex::default(),
            changed: Notify::new(),
            timer,
        };
        Self {
            shared: Arc::new(shared),
            connection: Arc::default(),
        }
    }

    /// Opens another connection to the same data, with its own faults and call counts.
    #[must_use]
    pub fn connect(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            connection: Arc::default(),
        }
    }

    /// Returns the number of calls of this connection.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.connection.lock().calls
    }

    /// Sets the faults of this connection.
    pub fn set_fault(&self, fault: Fault) {
        self.connection.lock().fault = fault;
    }

    /// Writes a value without a precondition, as a faulty tool would.
    pub fn overwrite(&self, key: &str, value: impl Into<Bytes>) {
        self.shared.data.lock().put(key, value.into(), None);
        self.shared.changed.notify_waiters();
    }

    /// Counts a call, delays it and fails it if the connection is down.
    async fn begin_call(&self, count: impl FnOnce(&mut Calls)) -> Result<(), Error> {
        let delay = {
            let mut connection = self.connection.lock();
            count(&mut connection.calls);
            connection.fault.delay
        };
        if delay > Span::ZERO {
            self.shared.timer.sleep(delay).await;
        }
        match self.connection.lock().fault.down {
            true => Err(Error::Unreachable {
                cause: "injected outage".to_owned(),
            }),
            false => Ok(()),
        }
    }

    /// Applies a write, or loses the request or the response according to the faults.
    async fn write<T>(
        &self,
        key: &str,
        apply: impl FnOnce(&mut Data, Instant) -> Result<T, Error>,
    ) -> Result<T, Error> {
        self.begin_call(|calls| calls.writes += 1).await?;
        let response_lost = || Error::ResponseLost {
            cause: "injected loss".to_owned(),
        };
        if self
            .connection
            .lock()
            .fault
            .take_loss(key, |fault| &mut fault.lose_requests)
        {
            return Err(response_lost());
        }
        let now = self.shared.timer.now();
        let result = {
            let mut data = self.shared.data.lock();
            data.expire(now);
            apply(&mut data, now)
        };
        self.shared.changed.notify_waiters();
        let is_lost = self
            .connection
            .lock()
            .fault
            .take_loss(key, |fault| &mut fault.lose_responses);
        match is_lost {
            true => Err(response_lost()),
            false => result,
        }
    }

    async fn read<T>(&self, apply: impl FnOnce(&Data) -> T) -> Result<T, Error> {
        self.begin_call(|calls| calls.reads += 1).await?;
        let now = self.shared.timer.now();
        let mut data = self.shared.data.lock();
        data.expire(now);
        Ok(apply(&data))
    }
}

impl Fault {
    /// Returns whether a write to `key` is lost, and decrements `counter` if so.
    fn take_loss(&mut self, key: &str, counter: impl FnOnce(&mut Self) -> &mut u32) -> bool {
        if !key.starts_with(self.key_prefix) {
            return false;
        }
        let remaining = counter(self);
        let is_lost = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_lost
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Bytes, lease: Option<Lease>) -> Version {
        self.version += 1;
        let entry = Entry {
            key: key.into(),
            value,
            version: Version::new(self.version),
        };
        self.history.push((self.version, Event::Put(entry.clone())));
        self.entries.insert(key.into(), (entry, lease));
        Version::new(self.version)
    }

    fn delete(&mut self, key: &str) {
        if let Some((entry, _)) = self.entries.shift_remove(key) {
            self.version += 1;
            let removed = Event::Removed {
                key: entry.key,
                version: Version::new(self.version),
            };
            self.history.push((self.version, removed));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.shift_remove(&lease);
        let keys: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, (_, owner))| *owner == Some(Lease::new(lease)))
            .map(|(key, _)| Arc::clone(key))
            .collect();
        keys.iter().for_each(|key| self.delete(key));
    }

    fn expire(&mut self, now: Instant) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| self.end_lease(id));
    }

    fn events_after(&self, prefix: &str, after: Version) -> Vec<Event> {
        let key = |event: &Event| match event {
            Event::Put(entry) => Arc::clone(&entry.key),
            Event::Removed { key, .. } => Arc::clone(key),
        };
        self.history
            .iter()
            .filter(|(version, event)| {
                *version > after.revision() && key(event).starts_with(prefix)
            })
            .map(|(_, event)| event.clone())
            .collect()
    }
}

impl crate::Store for Store {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.read(|data| data.entries.get(key).map(|(entry, _)| entry.clone()))
            .await
    }

    async fn list(&self, prefix: &str) -> Result<Page, Error> {
        self.read(|data| {
            let found = data.entries.values().map(|(entry, _)| entry.clone());
            let mut entries: Vec<_> = found
                .filter(|entry| entry.key.starts_with(prefix))
                .collect();
            entries.sort_by(|a, b| a.key.cmp(&b.key));
            Page {
                entries,
                version: Version::new(data.version),
            }
        })
        .await
    }

    async fn swap(
        &self,
        key: &str,
        precondition: Precondition,
        value: Bytes,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        if value.len() > MAX_VALUE {
            return Err(Error::TooLarge {
                size: value.len(),
                limit: MAX_VALUE,
            });
        }
        self.write(key, |data, _| {
            if lease.is_some_and(|lease| !data.leases.contains_key(&lease.get())) {
                return Err(Error::LeaseExpired);
            }
            let found = data.entries.get(key).map(|(entry, _)| entry.clone());
            let holds = match precondition {
                Precondition::Absent => found.is_none(),
                Precondition::At(version) => {
                    found.as_ref().is_some_and(|entry| entry.version == version)
                }
            };
            Ok(match holds {
                true => Swap::Done(data.put(key, value, lease)),
                false => Swap::Conflict(found),
            })
        })
        .await
    }

    async fn remove(&self, key: &str, version: Version) -> Result<bool, Error> {
        self.write(key, |data, _| {
            let entry = data.entries.get(key);
            let is_current = entry.is_some_and(|(entry, _)| entry.version == version);
            if is_current {
                data.delete(key);
            }
            Ok(is_current)
        })
        .await
    }

    async fn grant(&self, ttl: Span) -> Result<Lease, Error> {
        self.write("", |data, now| {
            data.next_lease += 1;
            data.leases.insert(data.next_lease, (now + ttl, ttl));
            Ok(Lease::new(data.next_lease))
        })
        .await
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.write("", |data, now| match data.leases.get_mut(&lease.get()) {
            Some((expires_at, ttl)) => {
                *expires_at = now + *ttl;
                Ok(())
            }
            None => Err(Error::LeaseExpired),
        })
        .await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.write("", |data, _| {
            data.end_lease(lease.get());
            Ok(())
        })
        .await
    }

    async fn watch(&self, prefix: &str, after: Version, max_wait: Span) -> Result<Changes, Error> {
        self.begin_call(|calls| calls.watches += 1).await?;
        let deadline = self.shared.timer.now() + max_wait;
        loop {
            let changed = self.shared.changed.notified();
            if self.connection.lock().fault.down {
                return Err(Error::ResponseLost {
                    cause: "injected outage".to_owned(),
                });
            }
            let now = self.shared.timer.now();
            let (events, version, next_expiry) = {
                let mut data = self.shared.data.lock();
                data.expire(now);
                let next_expiry = data
                    .leases
                    .values()
                    .map(|(expires_at, _)| *expires_at)
                    .min();
                (data.events_after(prefix, after), data.version, next_expiry)
            };
            if !events.is_empty() {
                let delay = self.connection.lock().fault.delay;
                self.shared.timer.sleep(delay).await;
                let version = Version::new(version);
                return Ok(Changes { events, version });
            }
            if now >= deadline {
                return Ok(Changes {
                    events,
                    version: after,
                });
            }
            let wake_at = next_expiry.map_or(deadline, |next_expiry| next_expiry.min(deadline));
            let _ = self.shared.timer.until(wake_at, changed).await;
        }
    }
}
