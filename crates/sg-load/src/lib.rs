//! Load and experiments: an open-loop load with a schedule of faults, and a judge of the promises.
//!
//! [`plan`] is what a file says, [`schedule`] when each call is made, [`caller`] how, [`fault`] what
//! goes wrong meanwhile. [`collect`] asks the targets what they saw, [`check`] holds that against
//! what callers saw, [`measure`] works the measures out and [`run`] does all of it in order.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod caller;
pub mod check;
pub mod collect;
pub mod fault;
pub mod history;
pub mod lookup;
pub mod measure;
pub mod plan;
pub mod report;
pub mod run;
pub mod schedule;
