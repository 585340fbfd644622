//! The platform's key-value service, as a trait and one HTTP adapter.
//!
//! [`Store`] names what the platform gives: reads, compare-and-swap, leases and watches. An answer
//! can be lost after a write took effect; [`Error::Lost`] says so, and callers read back to learn
//! what happened.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod error;
mod store;

pub use error::Error;
pub use store::{Changes, Entry, Event, Expect, Lease, MAX_VALUE, Page, Store, Swap, Version};
