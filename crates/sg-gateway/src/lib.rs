//! The daemon that connects the request path, the mesh and the store.
//!
//! The daemon is generic over three ports: [`sg_store::Store`] supplies the configuration and the
//! targets, [`Interpreter`] interprets the store's values, and [`Protocol`] implements the protocol of
//! callers, targets and the platform's checks. Everything else is implemented in this crate and its
//! dependencies.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod beacon;
pub mod budget;
pub mod daemon;
mod digests;
mod entries;
mod exchange;
mod explanation;
mod following;
pub mod grace;
mod health;
pub mod logs;
mod lookup;
pub mod ports;
mod reading;
mod registry;
mod servers;
pub mod settings;
mod shutdown;
mod slots;
mod updates;

pub use daemon::run;
pub use ports::{Interpreter, Protocol, StoreValue};
pub use settings::Settings;
