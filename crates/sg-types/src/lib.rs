//! Newtypes and enums shared by all crates of sassafrasgauge.
//!
//! The types cover identifiers, rates, sizes, time spans, revisions, outcomes and reasons. This crate
//! does not depend on the network, the store or any policy.
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
