//! The request path: authentication, admission, attempts, response buffering and outcome.
//!
//! [`Forward`] is the HTTP endpoint for callers. The request path reaches the rest of the system
//! through the traits in [`dependencies`] and through [`sg_steer::Selector`]. Other crates
//! implement these traits: they choose targets and agree with other instances on shares of budgets.
//!
//! The modules [`fair_queue`], [`history`], [`quarantine`], [`ticket`] and [`ticket_register`] make
//! decisions without I/O and take the current time as an argument; the other modules do the I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod admit;
mod body;
mod budget_wait;
mod call;
pub mod caller_connection;
mod canonical;
mod check;
mod counters;
pub mod dependencies;
pub mod fair_queue;
pub mod forward;
mod handler;
mod headers;
pub mod history;
mod issue;
pub mod journal;
mod key;
mod limit;
mod memory;
mod metrics;
mod notice_limiter;
mod pending;
mod relay;
mod reply;
mod response;
mod run;
mod settings;
mod shared;
mod shutdown;
mod single_run;
mod stream;
pub mod ticket;
pub mod ticket_register;
mod trace;
mod upstream;

pub use dependencies::Dependencies;
pub use forward::Forward;
pub use sg_place::quarantine;
