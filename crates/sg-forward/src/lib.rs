//! The path of a request: key, admission, attempts, whole answer, outcome.
//!
//! The crate sees the rest of the system through the small traits of [`gate`] and through
//! [`sg_steer::Steer`]; it knows neither how shares are agreed nor how targets are chosen.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod gate;
