//! Assignment of requests to the slots of a service's targets in one region, as pure decisions.
//!
//! One instance of the region, the dispatcher, holds a group for each service. The other instances ask the
//! dispatcher for a slot before they send a request. No function of this crate reads a clock or opens a
//! socket: time is an argument, so tests can simulate any load.
//!
//! - [`group`] assigns the slots of one service in one region.
//! - [`message`] holds what the asking instances and the dispatcher tell each other.
//! - [`order`] compares requests by what a rejection would cost their callers.
//! - [`price`] decides about requests of an instance that has no waiting room.
//! - [`room`] holds the requests that wait for a slot.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod fairness;
pub mod group;
mod lease;
pub mod message;
pub mod order;
mod placement;
pub mod price;
mod recent;
pub mod room;

pub use group::Group;
pub use message::{Ask, Decision, Ticket};
pub use order::Bid;
pub use price::Price;
pub use room::Room;
