//! The tree of settings: text form, inheritance, validation and the resolved view.
//!
//! Operators write a [`Node`] as JSON: an object is a node, and any other value is a setting in its
//! text form. A node inherits each setting from its parent unless the node overrides it. [`compile`]
//! validates a whole tree and resolves it into a [`View`], which the other crates read.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod capacity;
pub mod compile;
pub mod diff;
pub mod digest;
pub mod effective;
pub mod fault;
pub mod guarantees;
pub mod kind;
pub mod node;
pub mod path;
pub mod predict;
pub mod reference;
pub mod setting;
pub mod view;

pub use digest::Digest;
pub use fault::Fault;
pub use kind::Kind;
pub use node::Node;
pub use path::Path;
pub use view::View;
