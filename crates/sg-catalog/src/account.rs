//! Client accounts and their keys.

use std::fmt;

use sg_types::prelude::*;

/// The digest of a client account's key. The key itself is not stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; blake3::OUT_LEN]);

impl KeyDigest {
    /// Returns the digest of a plain-text key.
    #[must_use]
    pub fn from_key(key: impl AsRef<[u8]>) -> Self {
        Self(*blake3::hash(key.as_ref()).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The account's name.
    pub name: id::Account,
    /// The rate limit in requests per second over the whole fleet; `None` for no limit.
    pub rate: Option<Rate>,
    /// The number of requests allowed at once beyond the rate, over the whole fleet.
    pub burst: u32,
    /// The priority of the account's requests, 0 being the most urgent; `None` for the route's priority.
    pub priority: Option<u32>,
    /// The only regions that may run the account's requests; empty for all.
    pub home_regions: Arc<[id::Region]>,
}
