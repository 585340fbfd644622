//! Load generator and experiment runner: open-loop load, a fault schedule and checks of the promises.
//!
//! [`plan`] parses a load file, [`schedule`] fixes the time of each call, [`caller`] makes the calls and
//! [`fault`] injects the faults. [`collect`] fetches the records of the targets, [`check`] compares them
//! with what the callers observed, [`measure`] computes the report and [`run`] runs all steps in order.
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
