//! The catalog: the active routes, services and client accounts, compiled for the request path.
//!
//! A catalog in use is immutable. A new revision is compiled separately and replaces the active one as
//! a whole. Keys are stored only as digests.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod account;
pub mod catalog;
pub mod route;
pub mod unread;

pub use account::{Account, KeyDigest};
pub use catalog::Catalog;
pub use route::Route;
pub use unread::Unread;
