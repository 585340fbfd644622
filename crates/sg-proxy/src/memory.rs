//! One memory budget for the process.
//!
//! Every buffer that a peer can make grow belongs to a [`Hold`] of the [`Budget`]. A hold grows as bytes
//! arrive. If the budget is used up, the holds that made the least progress are told to give up their
//! bytes, in the order of [`victim`].

use std::fmt;

use http::HeaderMap;
use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::prelude::*;
use tokio::sync::Notify;

use self::victim::{Candidate, Progress};

pub mod segments;
pub mod victim;

pub use segments::Segments;

/// Fraction of the budget that only small holds may use, so that small requests are still served while
/// large ones use up the rest.
const SMALL_FRACTION: f64 = 0.125;
/// Largest size of a small hold.
const SMALL_BYTES: u64 = 64 << 10;

/// Memory of a body that is forwarded while it arrives: the read buffer of one connection, 64 KiB, and as much
/// in the write queue of the other.
pub const FORWARDED_BYTES: Bytes = Bytes::new(128 << 10);
/// Length of a head up to which its memory is part of that of its connection.
const ORDINARY_HEAD_BYTES: usize = 4 << 10;
/// Memory of a field of a head beside its text, in the received and in the sent request.
const FIELD_BYTES: usize = 256;
/// Fraction of the budget below which a time of memory pressure ends.
const CALM_FRACTION: f64 = 0.5;
/// Time without an eviction or refusal after which a time of memory pressure ends, so that its log lines are
/// few.
const CALM_AFTER: Span = Span::from_secs(5);

/// Returns the memory of a request's head beyond that of an ordinary one. The fields keep the buffer that the head was
/// read into, whose capacity is up to twice the length.
#[must_use]
pub fn head_bytes(fields: &HeaderMap) -> Bytes {
    let lengths = fields
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let length: usize = lengths.sum();
    match length > ORDINARY_HEAD_BYTES {
        true => Bytes::new((2 * length + fields.len() * FIELD_BYTES) as u64),
        false => Bytes::new(0),
    }
}

/// What held bytes are used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// Connections of callers, with the heads of their requests and the bytes read ahead.
    Connection,
    /// Bodies of requests.
    Request,
    /// Responses of targets.
    Response,
}

impl Use {
    /// All uses.
    pub const ALL: [Self; 3] = [Self::Connection, Self::Request, Self::Response];

    /// Returns the label in metrics and log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

/// How far a request has come, which decides who gives up bytes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No byte of the request has been sent to a target, or its response is complete and the caller
    /// reads it.
    Open,
    /// A target may be running the request.
    Forwarded,
    /// The hold is never told to give up its bytes.
    Kept,
}

/// The budget has no room for more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget is used up; raise memory-mb or send less at once")]
pub struct Exhausted;

/// Limits of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all uses.
    pub total: Bytes,
    /// Part of them for responses. Beyond it, responses are forwarded while they arrive.
    pub responses: Bytes,
}

/// Number of bytes that the process may buffer, shared by all holds.
pub struct Budget {
    timer: Timer,
    limit: u64,
    response_limit: u64,
    table: Mutex<Table>,
    released: Notify,
}

#[derive(Default)]
struct Table {
    entries: IndexMap<u64, Entry>,
    next_key: u64,
    used: u64,
    used_by: [u64; Use::ALL.len()],
    /// Bytes of holds that were told to give them up and have not done so.
    awaited: u64,
    evictions: [u64; Use::ALL.len()],
    refusals: [u64; Use::ALL.len()],
    pressure: Option<Pressure>,
}

/// A time in which bytes were refused or given up.
#[derive(Clone, Copy)]
struct Pressure {
    started: Instant,
    last: Instant,
    evictions: u64,
    refusals: u64,
}

struct Entry {
    usage: Use,
    stage: Stage,
    bytes: u64,
    since: Instant,
    progress: Progress,
    is_evicted: bool,
    evicted: Arc<Notify>,
}

/// State of a budget, for metrics and log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Bytes held, by use in the order of [`Use::ALL`].
    pub held: [u64; Use::ALL.len()],
    /// Holds that were told to give up their bytes, by use.
    pub evictions: [u64; Use::ALL.len()],
    /// Requests for more bytes that were refused, by use.
    pub refusals: [u64; Use::ALL.len()],
}

impl Usage {
    /// Returns the number of bytes held.
    #[must_use]
    pub fn total(&self) -> Bytes {
        Bytes::new(self.held.iter().sum())
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Budget")
            .field("limit", &self.limit)
            .field("usage", &self.usage())
            .finish_non_exhaustive()
    }
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: Bytes, timer: Timer) -> Arc<Self> {
        let limits = Limits {
            total: limit,
            responses: limit,
        };
        Self::with_limits(limits, timer)
    }

    /// Creates a budget with a limit on responses.
    #[must_use]
    pub fn with_limits(limits: Limits, timer: Timer) -> Arc<Self> {
        Arc::new(Self {
            timer,
            limit: limits.total.get(),
            response_limit: limits.responses.get(),
            table: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Creates a hold of no bytes.
    #[must_use]
    pub fn hold(self: &Arc<Self>, usage: Use) -> Hold {
        self.hold_for(usage, Arc::default())
    }

    fn hold_for(self: &Arc<Self>, usage: Use, evicted: Arc<Notify>) -> Hold {
        let now = self.timer.now();
        let mut table = self.table.lock();
        let key = table.next_key;
        table.next_key += 1;
        let entry = Entry {
            usage,
            stage: Stage::Open,
            bytes: 0,
            since: now,
            progress: Progress::new(now),
            is_evicted: false,
            evicted: evicted.clone(),
        };
        table.entries.insert(key, entry);
        Hold {
            budget: self.clone(),
            key,
            evicted,
        }
    }

    /// Returns the number of bytes that the process may buffer.
    #[must_use]
    pub fn limit(&self) -> Bytes {
        Bytes::new(self.limit)
    }

    /// Returns the largest number of bytes that a single hold may reach.
    #[must_use]
    pub fn largest_hold(&self) -> Bytes {
        Bytes::new(self.limit - self.small_reserve())
    }

    /// Returns the current state.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let table = self.table.lock();
        Usage {
            held: table.used_by,
            evictions: table.evictions,
            refusals: table.refusals,
        }
    }

    fn small_reserve(&self) -> u64 {
        (self.limit as f64 * SMALL_FRACTION) as u64
    }

    /// Charges `bytes` to the hold `key` if there is room. Otherwise tells others to give up bytes if
    /// `evicts` is set.
    fn try_grow(&self, key: u64, bytes: u64, evicts: bool) -> Growth {
        let now = self.timer.now();
        let mut table = self.table.lock();
        let Some(entry) = table.entries.get(&key) else {
            return Growth::Refused;
        };
        if entry.is_evicted {
            return Growth::Refused;
        }
        let usage = entry.usage;
        let is_small = entry.bytes + bytes <= SMALL_BYTES;
        let limit = self.limit - if is_small { 0 } else { self.small_reserve() };
        let used_by = table.used_by[usage as usize];
        if usage == Use::Response && used_by + bytes > self.response_limit {
            table.refusals[usage as usize] += 1;
            return Growth::Refused;
        }
        let excess = (table.used + bytes).saturating_sub(limit);
        if excess == 0 {
            table.charge(key, bytes);
            return Growth::Granted;
        }
        let is_awaited = evicts && table.evict(key, excess, now);
        table.refusals[usage as usize] += u64::from(!is_awaited);
        table.record_pressure(self.limit, now);
        match is_awaited {
            true => Growth::Awaited,
            false => Growth::Refused,
        }
    }
}

enum Growth {
    Granted,
    /// Other holds were told to give up enough bytes.
    Awaited,
    Refused,
}

impl Table {
    fn charge(&mut self, key: u64, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.bytes += bytes;
            self.used += bytes;
            self.used_by[entry.usage as usize] += bytes;
            if entry.is_evicted {
                self.awaited += bytes;
            }
        }
    }

    fn release(&mut self, key: u64, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&key) {
            let bytes = bytes.min(entry.bytes);
            entry.bytes -= bytes;
            self.used -= bytes;
            self.used_by[entry.usage as usize] -= bytes;
            if entry.is_evicted {
                self.awaited -= bytes;
            }
        }
    }

    /// Records that bytes were refused or given up, and logs the start of a time of pressure.
    fn record_pressure(&mut self, limit: u64, now: Instant) {
        let (evictions, refusals) = (self.evictions.iter().sum(), self.refusals.iter().sum());
        if self.pressure.is_none() {
            log::warn!(held = self.used, limit; "memory for buffers used up");
        }
        let pressure = self.pressure.get_or_insert(Pressure {
            started: now,
            last: now,
            evictions,
            refusals,
        });
        pressure.last = now;
    }

    /// Logs the end of a time of pressure.
    fn check_calm(&mut self, limit: u64, now: Instant) {
        let Some(pressure) = self.pressure else {
            return;
        };
        let is_low = (self.used as f64) < limit as f64 * CALM_FRACTION;
        if !is_low || now.since(pressure.last) < CALM_AFTER {
            return;
        }
        self.pressure = None;
        let evictions = self.evictions.iter().sum::<u64>() - pressure.evictions;
        let refusals = self.refusals.iter().sum::<u64>() - pressure.refusals;
        log::info!(
            held = self.used, limit, after_ms = now.since(pressure.started).as_millis(), evictions, refusals;
            "memory for buffers available again"
        );
    }

    /// Tells holds to give up bytes until `excess` bytes are awaited. Returns whether they are, without
    /// the hold `asking`, which may not take the bytes of a hold with more progress.
    fn evict(&mut self, asking: u64, excess: u64, now: Instant) -> bool {
        if self.awaited >= excess {
            return true;
        }
        let candidates = self.entries.iter().filter(|(_, entry)| !entry.is_evicted);
        let candidates: Vec<_> = candidates
            .map(|(key, entry)| Candidate {
                key: *key,
                stage: entry.stage,
                bytes: entry.bytes,
                age: now.since(entry.since),
                progress: entry.progress.recent(now),
            })
            .collect();
        let Some(victims) = victim::choose(&candidates, asking, excess - self.awaited) else {
            return false;
        };
        victims.into_iter().for_each(|key| self.evict_one(key));
        true
    }

    fn evict_one(&mut self, key: u64) {
        let entry = self.entries.get_mut(&key);
        if let Some(entry) = entry.filter(|entry| !entry.is_evicted && entry.stage != Stage::Kept) {
            entry.is_evicted = true;
            self.awaited += entry.bytes;
            self.evictions[entry.usage as usize] += 1;
            entry.evicted.notify_one();
        }
    }
}

/// Bytes that one owner holds of a [`Budget`], released on drop.
#[derive(Debug)]
pub struct Hold {
    budget: Arc<Budget>,
    key: u64,
    evicted: Arc<Notify>,
}

impl Hold {
    /// Creates a hold of no bytes with the owner of this one, who is told if either has to give up its
    /// bytes.
    #[must_use]
    pub fn sibling(&self, usage: Use) -> Self {
        self.budget.hold_for(usage, self.evicted.clone())
    }

    /// Charges `bytes` more if the budget has room at this moment.
    ///
    /// # Errors
    /// Returns [`Exhausted`] if it has none, or if this hold was told to give up its bytes.
    pub fn grow(&self, bytes: Bytes) -> Result<(), Exhausted> {
        match self.budget.try_grow(self.key, bytes.get(), false) {
            Growth::Granted => Ok(()),
            Growth::Awaited | Growth::Refused => Err(Exhausted),
        }
    }

    /// Charges `bytes` more as soon as other holds that made less progress have given up theirs.
    ///
    /// # Errors
    /// Returns [`Exhausted`] if no hold made less progress, or if this hold was told to give up its
    /// bytes.
    pub async fn grow_when_released(&self, bytes: Bytes) -> Result<(), Exhausted> {
        loop {
            let released = self.budget.released.notified();
            let mut released = std::pin::pin!(released);
            released.as_mut().enable();
            match self.budget.try_grow(self.key, bytes.get(), true) {
                Growth::Granted => return Ok(()),
                Growth::Refused => return Err(Exhausted),
                Growth::Awaited => tokio::select! {
                    () = released => {}
                    () = self.evicted.notified() => return Err(Exhausted),
                },
            }
        }
    }

    /// Charges [`FORWARDED_BYTES`] for a response that is forwarded while it arrives, and makes room for them.
    pub fn grow_to_forward(&self) {
        self.grow_over(FORWARDED_BYTES);
        self.make_room();
    }

    /// Tells holds to give up the bytes beyond the budget, those with the least progress first, perhaps this
    /// one. A request that may be running gives up nothing: neither does this hold before it is
    /// [`Stage::Open`], nor do others for it.
    pub fn make_room(&self) {
        let now = self.budget.timer.now();
        let mut table = self.budget.table.lock();
        let entry = table.entries.get(&self.key);
        let excess = table.used.saturating_sub(self.budget.limit);
        if excess == 0 || entry.is_none_or(|entry| entry.stage != Stage::Open) {
            return;
        }
        if !table.evict(self.key, excess, now) {
            table.evict_one(self.key);
        }
        table.record_pressure(self.budget.limit, now);
    }

    /// Charges `bytes` more whether or not the budget has room, because they have already arrived.
    pub fn grow_over(&self, bytes: Bytes) {
        self.budget.table.lock().charge(self.key, bytes.get());
    }

    /// Releases `bytes`, at most what is held.
    pub fn shrink(&self, bytes: Bytes) {
        self.budget.table.lock().release(self.key, bytes.get());
        self.budget.released.notify_waiters();
    }

    /// Returns whether this hold was told to give up its bytes.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        let table = self.budget.table.lock();
        let entry = table.entries.get(&self.key);
        entry.is_some_and(|entry| entry.is_evicted)
    }

    /// Records that `bytes` were received or delivered.
    pub fn record_progress(&self, bytes: Bytes) {
        let now = self.budget.timer.now();
        if let Some(entry) = self.budget.table.lock().entries.get_mut(&self.key) {
            entry.progress.record(bytes.get(), now);
        }
    }

    /// Records how far the request of this hold has come. A kept hold stays so.
    pub fn set_stage(&self, stage: Stage) {
        let mut table = self.budget.table.lock();
        let entry = table.entries.get_mut(&self.key);
        if let Some(entry) = entry.filter(|entry| entry.stage != Stage::Kept) {
            entry.stage = stage;
        }
    }

    /// Returns the number of bytes held.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        let table = self.budget.table.lock();
        Bytes::new(table.entries.get(&self.key).map_or(0, |entry| entry.bytes))
    }

    /// Waits until this hold is told to give up its bytes. The owner then drops the hold. Only one owner
    /// may wait.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let now = self.budget.timer.now();
        let mut table = self.budget.table.lock();
        table.release(self.key, u64::MAX);
        table.entries.swap_remove(&self.key);
        table.check_calm(self.budget.limit, now);
        drop(table);
        self.budget.released.notify_waiters();
    }
}
