//! Chooses the entries that a caller should use.
//!
//! A [`Table`] maps blocks of client addresses to sites; [`decide`] computes an [`Answer`] that
//! callers may cache from a client's address and the live instances. The crate depends neither on
//! HTTP nor on how instances are discovered.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod answer;
pub mod block;
mod decide;
mod hash;
pub mod member;
mod prefix;
pub mod site;
pub mod table;

pub use answer::Answer;
pub use block::Block;
pub use decide::{Query, STOP_PROPAGATION, decide};
pub use member::Member;
pub use table::Table;
