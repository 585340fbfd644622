//! Bounds the connections of callers.
//!
//! [`Load`] decides what a number of open connections means: nothing, shorter idle times, no reuse, or
//! the refusal of new connections. [`Table`] knows the open connections of one server and ends those that
//! have been idle for longest.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sg_types::prelude::*;
use tokio::sync::Notify;

/// Fraction of the limit from which callers are told a short idle timeout and idle connections end early.
const SHORT_IDLE_FRACTION: f64 = 0.25;
/// Fraction of the limit from which responses close their connections.
const CLOSE_FRACTION: f64 = 0.75;
/// Fraction of the limit by which connections that only get a refusal may exceed the limit.
const REFUSED_FRACTION: f64 = 0.125;
/// Idle timeout that callers are told while idle connections end early.
pub const SHORT_IDLE_TIMEOUT: Span = Span::from_secs(1);
/// Time without a request after which a connection may end early: the stated timeout and the transit of a
/// request that was sent at its end.
const EARLY_END_AFTER: Span = Span::from_millis(1_500);
/// Largest number of connections that end early when one is accepted, more than one so that their number
/// falls.
const MAX_ENDED_PER_ACCEPT: usize = 2;
/// Number of idle connections that end when the system has no descriptor for a new one.
const ENDED_PER_ACCEPT_ERROR: usize = 32;

/// How close the open connections are to their limit, in rising order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Load {
    /// Connections are kept for the usual time.
    Normal,
    /// Connections are kept for [`SHORT_IDLE_TIMEOUT`].
    ShortIdle,
    /// Each connection ends with its response.
    NoReuse,
    /// New connections get a refusal.
    Full,
    /// New connections are closed unread.
    Overflow,
}

impl Load {
    /// Returns the load of `open` connections with a limit of `max`.
    #[must_use]
    pub fn of(open: usize, max: usize) -> Self {
        let fraction = open as f64 / max.max(1) as f64;
        match fraction {
            _ if fraction < SHORT_IDLE_FRACTION => Self::Normal,
            _ if fraction < CLOSE_FRACTION => Self::ShortIdle,
            _ if fraction < 1.0 => Self::NoReuse,
            _ if fraction < 1.0 + REFUSED_FRACTION => Self::Full,
            _ => Self::Overflow,
        }
    }
}

/// What an accepted connection gets.
#[derive(Debug)]
pub enum Admission {
    /// Its requests are served.
    Served(Slot),
    /// Its first request is refused.
    Refused(Slot),
    /// The connection is closed unread.
    Dropped,
}

#[derive(Debug)]
struct Entry {
    /// Since when the connection has had no request; `None` while it has one.
    idle_since: Option<Instant>,
    /// Whether the connection has had no request yet. Its first one may lie unread.
    is_new: bool,
    end: Arc<Notify>,
}

/// A time in which connections were near their limit.
#[derive(Debug, Clone, Copy, Default)]
struct Press {
    started: Option<Instant>,
    ended_early: u64,
    refused: u64,
    dropped: u64,
}

#[derive(Debug, Default)]
struct State {
    entries: IndexMap<u64, Entry>,
    press: Press,
}

/// The open connections of one server.
#[derive(Debug)]
pub struct Table {
    max: usize,
    next_id: AtomicU64,
    state: Mutex<State>,
}

impl Table {
    /// Creates a table for at most `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            next_id: AtomicU64::new(0),
            state: Mutex::default(),
        })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.state.lock().entries.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        Load::of(self.len(), self.max)
    }

    /// Admits a new connection and ends connections that have been idle for longest if the load asks for
    /// that.
    pub fn admit(self: &Arc<Self>, now: Instant) -> Admission {
        let mut state = self.state.lock();
        let load = Load::of(state.entries.len(), self.max);
        if load >= Load::ShortIdle {
            let min_idle = match load {
                Load::ShortIdle => EARLY_END_AFTER,
                _ => Span::ZERO,
            };
            state.end_idle(MAX_ENDED_PER_ACCEPT, min_idle, now);
        }
        state.record_load(load, self.max, now);
        if load == Load::Overflow {
            return Admission::Dropped;
        }
        let slot = Slot {
            table: self.clone(),
            id: self.next_id.fetch_add(1, Ordering::Relaxed),
            end: Arc::default(),
        };
        let entry = Entry {
            idle_since: Some(now),
            is_new: true,
            end: slot.end.clone(),
        };
        state.entries.insert(slot.id, entry);
        if load == Load::Full {
            Admission::Refused(slot)
        } else {
            Admission::Served(slot)
        }
    }

    /// Ends idle connections because the system has no descriptor for a new one.
    pub fn make_room(&self, now: Instant) {
        let mut state = self.state.lock();
        state.end_idle(ENDED_PER_ACCEPT_ERROR, Span::ZERO, now);
    }
}

impl State {
    /// Ends up to `count` connections that have had no request for `min_idle`, longest idle first. A connection
    /// without a request so far has at least [`EARLY_END_AFTER`].
    fn end_idle(&mut self, count: usize, min_idle: Span, now: Instant) {
        for _ in 0..count {
            let idle = self.entries.iter().filter_map(|(id, entry)| {
                let since = entry.idle_since?;
                let min_idle = if entry.is_new {
                    min_idle.max(EARLY_END_AFTER)
                } else {
                    min_idle
                };
                (now.since(since) >= min_idle).then_some((since, *id))
            });
            let Some((_, id)) = idle.min() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.idle_since = None;
                entry.end.notify_one();
                self.press.ended_early += 1;
            }
        }
    }

    /// Counts what a load costs callers, and logs the start and the end of a press.
    fn record_load(&mut self, load: Load, max: usize, now: Instant) {
        let open = self.entries.len();
        match load {
            Load::NoReuse | Load::Full | Load::Overflow => {
                if self.press.started.is_none() {
                    self.press.started = Some(now);
                    log::warn!(open, max; "callers' connections near the limit");
                }
                self.press.refused += u64::from(load == Load::Full);
                self.press.dropped += u64::from(load == Load::Overflow);
            }
            Load::Normal => {
                let press = std::mem::take(&mut self.press);
                if let Some(started) = press.started {
                    log::info!(
                        open, after_ms = now.since(started).as_millis(), ended_early = press.ended_early,
                        refused = press.refused, dropped = press.dropped;
                        "callers' connections below the limit"
                    );
                }
            }
            Load::ShortIdle => {}
        }
    }
}

/// Place of an open connection in a [`Table`]. Dropping the slot frees the place.
#[derive(Debug)]
pub struct Slot {
    table: Arc<Table>,
    id: u64,
    end: Arc<Notify>,
}

impl Slot {
    /// Records that the connection has a request.
    pub fn set_busy(&self) {
        self.set_idle_since(None);
    }

    /// Records that the connection has no request since `now`, and returns the current load.
    pub fn set_idle(&self, now: Instant) -> Load {
        self.set_idle_since(Some(now));
        self.table.load()
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        self.table.load()
    }

    /// Waits until the connection is to end as soon as it has no request.
    pub async fn wait_for_end(&self) {
        self.end.notified().await;
    }

    fn set_idle_since(&self, since: Option<Instant>) {
        if let Some(entry) = self.table.state.lock().entries.get_mut(&self.id) {
            entry.idle_since = since;
            entry.is_new = false;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.table.state.lock().entries.swap_remove(&self.id);
    }
}
