//! Fleet-wide budgets cut into shares whose sum never exceeds the budget, by construction.
//!
//! The crate does no input or output. An [`Engine`] is told the time, the budgets, what peers said
//! and what the store answered, and returns [`Action`]s for its driver to carry out.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod action;
pub mod budget;
pub mod claim;
mod drift;
pub mod engine;
mod ledger;
pub mod message;
mod panel;
pub mod part;
mod registry;
pub mod report;
mod tenure;

pub use action::{Action, Event};
pub use budget::Budget;
pub use engine::Engine;
pub use message::Message;
pub use part::Part;
