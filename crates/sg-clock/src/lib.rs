//! The timer service: the one place that reads a clock, and that parts subscribe to.
//!
//! [`Timer`] wraps tokio's time, so a test that pauses tokio's clock drives every subscriber. A
//! [`Subscription`] yields a [`Tick`] for each period; the tick says how late it is, which is how a
//! process that was paused finds out before it acts.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod subscription;
mod timer;

pub use subscription::{Subscription, Tick};
pub use timer::{Elapsed, Timer};
