//! Steering decisions: pure functions and small state machines that are told the time.
//!
//! [`Steer`] is what the request path sees: it starts an [`Attempt`], a guard that reports how the
//! attempt ended.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod attempt;

pub use attempt::{Ask, Attempt, End, Steer};
