//! The platform's key-value service, as a trait and one HTTP adapter.
//!
//! [`Store`] names what the platform gives: reads, compare-and-swap, leases and watches. An answer
//! can be lost after a write took effect; [`Error::Lost`] says so, and callers read back to learn
//! what happened. [`http::Client`] is the adapter. [`publish`], [`load`] and [`history`] are the
//! operations on the tree of settings; [`key`] makes keys of client accounts.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod change;
mod error;
pub mod head;
pub mod history;
pub mod http;
pub mod key;
pub mod load;
#[cfg(feature = "testing")]
pub mod memory;
pub mod publish;
mod store;

pub use error::Error;
pub use head::Head;
pub use store::{Changes, Entry, Event, Expect, Lease, MAX_VALUE, Page, Store, Swap, Version};
