//! Newtypes and shared vocabulary of sassafrasgauge.
//!
//! Every other crate builds on these types: identifiers, rates, sizes, spans of time, revisions
//! and the closed sets of outcomes and reasons. The crate knows nothing of the network, the store
//! or any policy.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod id;
pub mod notice;
pub mod outcome;
pub mod parse;
pub mod percent;
pub mod prelude;
pub mod rate;
pub mod revision;
pub mod size;
pub mod time;
