//! The answer to a lookup.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// An entry that the caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The instance.
    pub instance: id::Instance,
    /// The address that the instance listens on.
    pub address: SocketAddr,
    /// The share of the caller's requests that should go to the instance. An entry with zero
    /// weight is a fallback for when the entries before it fail.
    pub weight: Percent,
}

/// The entries that a caller should use, best first, and the time for which they may be cached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The failure domain nearest to the caller, if a block covers the caller's address.
    pub domain: Option<id::Domain>,
    /// The entries. Empty only if the answering instance knows of none that may be named.
    pub entries: Vec<Entry>,
    /// The time for which the answer may be cached.
    #[serde(rename = "cache")]
    pub max_age: Span,
}

impl Answer {
    /// Returns the value of the `Cache-Control` header, with whole seconds rounded down.
    #[must_use]
    pub fn cache_control(&self) -> String {
        const MILLIS_PER_SECOND: u64 = 1_000;
        match self.max_age.as_millis() / MILLIS_PER_SECOND {
            0 => "no-store".to_owned(),
            seconds => format!("private, max-age={seconds}"),
        }
    }
}
