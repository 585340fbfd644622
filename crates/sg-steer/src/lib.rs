//! Steering decisions as pure functions and small state machines that take the time as an argument.
//!
//! [`Selector`] is the interface for the request path. It starts an [`Attempt`], a guard that
//! reports how the attempt ended. [`Engine`] implements it with the compiled tree, the results of
//! probes and the outcomes of its own attempts.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod attempt;
pub mod engine;
mod health;
mod link;
mod load;
mod member;
pub mod observation;
mod pool;
mod region;
pub mod report;
pub mod retry;
mod round_robin;
mod settings;
pub mod shift;
pub mod split;

pub use attempt::{Attempt, Completion, Query, Selector};
pub use engine::Engine;
pub use split::{ServiceSplit, Split};
