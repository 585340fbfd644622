//! Which entry a caller should use.
//!
//! A [`Table`] maps blocks of client addresses to sites; [`decide`] turns a client's address and
//! the live instances into an [`Answer`] that callers may cache. The crate knows neither HTTP nor
//! how the instances are found.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod answer;
pub mod block;
mod decide;
mod hash;
mod level;
pub mod member;
pub mod site;
pub mod table;

pub use answer::Answer;
pub use block::Block;
pub use decide::{Ask, SPREAD, decide};
pub use member::Member;
pub use table::Table;
