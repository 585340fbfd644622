//! Client of the platform's key-value store.
//!
//! [`Store`] is the interface: reads, compare-and-swap, leases and watches. A response can be lost
//! after a write took effect. [`Error::ResponseLost`] reports this case, and callers read the key
//! back to learn the result. [`http::Client`] implements the interface. [`publish`], [`load`] and
//! [`history`] operate on the configuration tree, and [`key`] generates keys of client accounts.
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
pub mod version;

pub use error::Error;
pub use head::Head;
pub use store::{Changes, Entry, Event, Lease, MAX_VALUE, Page, Precondition, Store, Swap};
pub use version::Version;
