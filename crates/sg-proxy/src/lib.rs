//! Request path over plain HTTP/1.1, generic over the header names and status codes that callers
//! and targets use.
//!
//! A [`Dialect`] reads and writes headers and makes no decisions. [`Core`] holds the state that
//! decisions are based on, [`serve`](fn@serve) handles one request from its head to its response,
//! [`connections`] keeps connections to targets, [`slots`] asks a dispatcher for them, and [`server`] accepts connections of callers.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod attempt;
pub mod body;
pub mod callers;
mod chunks;
pub mod connections;
pub mod content;
pub mod core;
pub mod dialect;
pub mod explain;
mod history;
mod listener;
pub mod memory;
pub mod metrics;
mod open_sends;
pub mod pipeline;
pub mod planning;
pub mod policy;
mod price;
mod query;
pub mod quotas;
mod rate_limits;
mod reach;
mod receive;
mod relay;
mod self_reports;
mod send;
mod serve;
pub mod server;
pub mod slots;
mod state;
pub mod stream;
pub mod target_stream;
mod trace;

pub use body::Body;
pub use core::Core;
pub use dialect::Dialect;
pub use serve::serve;
