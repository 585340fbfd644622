//! The request path: authentication, admission, attempts, response buffering and outcome.
//!
//! [`Forward`] is the HTTP endpoint for callers. The rest of the system is reached through the
//! traits in [`gate`] and through [`sg_steer::Selector`]; how budget shares are agreed between
//! instances and how targets are chosen is decided outside this crate.
//!
//! The modules [`fair`], [`history`], [`quarantine`], [`register`] and [`ticket`] make decisions
//! without I/O and take the time as an argument; the other modules do the I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod admit;
mod answer;
mod body;
mod call;
mod canonical;
mod check;
mod counts;
pub mod fair;
pub mod forward;
pub mod gate;
mod headers;
pub mod history;
mod issue;
pub mod journal;
mod key;
mod limit;
pub mod link;
mod memory;
mod metric;
mod once;
mod pace;
mod path;
mod pending;
pub mod register;
mod relay;
mod reply;
mod run;
mod shared;
mod stop;
mod stream;
mod terms;
pub mod ticket;
mod trace;
mod upstream;
mod wait;

pub use forward::Forward;
pub use gate::Gates;
pub use sg_place::quarantine;
