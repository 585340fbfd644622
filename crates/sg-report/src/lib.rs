//! What instances report to operators, how reports of many instances add up, and how they read.
//!
//! Instances answer with these types on their admin address; the command line merges and prints
//! them. Nothing here is kept anywhere: evidence lives as long as the process that gathered it.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod counts;
pub mod drain;
pub mod explain;
pub mod latency;
pub mod status;
mod table;
pub mod why;

pub use counts::Counts;
pub use latency::Latency;
