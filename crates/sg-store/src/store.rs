//! Interface of the platform's key-value store.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use sg_types::time::Span;

use crate::{Error, Version, version::Era};

/// Maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

/// Id of a lease. The store removes the keys of a lease when the lease expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease {
    era: Era,
    id: i64,
}

impl Lease {
    /// Creates a lease from the store's id, in era 0.
    #[must_use]
    pub const fn new(id: i64) -> Self {
        Self::at(Era::new(0), id)
    }

    /// Creates a lease from the store's id and the era in which the store granted the lease.
    #[must_use]
    pub const fn at(era: Era, id: i64) -> Self {
        Self { era, id }
    }

    /// Returns the store's id of the lease.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.id
    }

    /// Returns the era in which the store granted the lease.
    #[must_use]
    pub const fn era(self) -> Era {
        self.era
    }
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the entry.
    pub key: Arc<str>,
    /// Value of the key.
    pub value: Bytes,
    /// Version at which the value was written.
    pub version: Version,
}

/// Precondition of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key has no value.
    Absent,
    /// The value of the key was written at this version.
    At(Version),
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The value was written at this version.
    Done(Version),
    /// The precondition does not hold. Contains the current entry; nothing was written.
    Conflict(Option<Entry>),
}

/// A change under a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Entry),
    /// A key was removed, or its lease expired.
    Removed {
        /// Removed key.
        key: Arc<str>,
        /// Version at which the key was removed.
        version: Version,
    },
}

/// Entries under a prefix, and the version of the store at the time of the read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Entries in order of their keys.
    pub entries: Vec<Entry>,
    /// Version of the store at the time of the read. A watch from this version misses no change.
    pub version: Version,
}

/// Interface of the platform's key-value store. Each call counts against the rate limits of the
/// platform.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key.
    ///
    /// # Errors
    /// See [`Error`]. The same errors apply to the other calls.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Writes `value` if `precondition` holds. The key is removed when `lease` expires, if a lease
    /// is given.
    fn swap(
        &self,
        key: &str,
        precondition: Precondition,
        value: Bytes,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<Swap, Error>> + Send;

    /// Removes the key if its value was written at `version`. Returns whether the key was removed.
    fn remove(
        &self,
        key: &str,
        version: Version,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Grants a lease that expires `ttl` after the grant or the last renewal.
    fn grant(&self, ttl: Span) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Restarts the time to live of a lease.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `max_wait` for changes under `prefix` later than version `after`. Returns an
    /// empty list of events if there are none.
    fn watch(
        &self,
        prefix: &str,
        after: Version,
        max_wait: Span,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Changes, oldest first.
    pub events: Vec<Event>,
    /// Version to pass to the next watch.
    pub version: Version,
}
