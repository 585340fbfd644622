//! Divides the rate budgets of the fleet into per-instance shares. By construction, the shares of
//! a budget never add up to more than the budget.
//!
//! The crate performs no I/O. An [`Engine`] is a state machine: its driver passes it the time, the
//! budgets, the messages of peers and the answers of the store, and carries out the [`Action`]s that
//! the engine returns.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod action;
pub mod budget;
pub mod claim;
mod drift;
pub mod engine;
mod held_slot;
mod ledger;
pub mod message;
mod panel;
pub mod part;
mod registry;
pub mod report;

pub use action::{Action, Event};
pub use budget::Budget;
pub use engine::Engine;
pub use message::Message;
pub use part::Part;
