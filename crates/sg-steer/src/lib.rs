//! Steering decisions: pure functions and small state machines that are told the time.
//!
//! [`Steer`] is what the request path sees: it starts an [`Attempt`], a guard that reports how the
//! attempt ended. [`Engine`] implements it from the tree's view, from what probes observe and from
//! how its own attempts end.
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
mod settings;
pub mod shift;
pub mod split;
mod wheel;

pub use attempt::{Ask, Attempt, End, Steer};
pub use engine::Engine;
pub use split::{Position, Split};
