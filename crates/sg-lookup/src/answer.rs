//! The answer to a look-up.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// An entry that the caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The instance.
    pub instance: id::Instance,
    /// Where it listens.
    pub address: SocketAddr,
    /// The part of the caller's requests that should go there. Entries of no weight are for when
    /// those before them fail.
    pub weight: Percent,
}

/// Which entries a caller should use, best first, and for how long it may go by that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The failure domain that the caller is nearest to, if a block covers its address.
    pub domain: Option<id::Domain>,
    /// The entries. Empty only if the instance knows of none.
    pub entries: Vec<Entry>,
    /// How long the answer may be cached.
    pub cache: Span,
}

impl Answer {
    /// The value of the `Cache-Control` header: whole seconds, rounded down.
    #[must_use]
    pub fn cache_control(&self) -> String {
        const MILLIS_PER_SEC: u64 = 1_000;
        match self.cache.as_millis() / MILLIS_PER_SEC {
            0 => "no-store".to_owned(),
            seconds => format!("private, max-age={seconds}"),
        }
    }
}
