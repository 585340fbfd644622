//! Interface of the platform's key-value store.

use std::{fmt, future::Future, sync::Arc};

use bytes::Bytes;
use sg_types::time::Span;

use crate::Error;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

/// Position in the history of the store. Each write increments the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Version(u64);

impl Version {
    /// Creates a version from a number.
    #[must_use]
    pub const fn new(version: u64) -> Self {
        Self(version)
    }

    /// Returns the version as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Id of a lease. The store removes the keys of a lease when the lease expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease(i64);

impl Lease {
    /// Creates a lease from the store's id.
    #[must_use]
    pub const fn new(id: i64) -> Self {
        Self(id)
    }

    /// Returns the store's id of the lease.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.0
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
