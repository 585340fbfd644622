//! Reports of instances to operators: their types, merging over instances, and printing.
//!
//! Instances serve these types on their admin address; the command line merges and prints them.
//! Reports are not stored: the evidence of an instance is lost when its process ends.
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
