//! Timer service, the only code that reads a clock.
//!
//! The clock counts the time for which the machine was suspended, as soon as the machine goes on.
//!
//! [`Timer`] wraps tokio's time, so a test that pauses tokio's clock controls every subscriber. A
//! [`Subscription`] yields one [`Tick`] per period. The tick contains its lateness, so that a
//! process that was paused can detect the pause before it acts. [`Progress`] limits the time of a transfer by
//! what arrives.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod progress;
mod subscription;
mod suspension;
mod timer;

pub use progress::Progress;
pub use subscription::{Subscription, Tick};
pub use timer::{Elapsed, Timer};
