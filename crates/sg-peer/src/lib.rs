//! Membership, dissemination of the configuration, freshness, and transport of share messages.
//!
//! [`Node::start`] makes a process a member of the fleet. The protocol is in [`core`], which
//! performs no input or output and receives the time from its caller. Tasks carry out its decisions
//! over a [`Transport`].
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod accept;
pub mod config;
pub mod contact;
pub mod core;
pub mod frame;
pub mod fresh;
pub mod handler;
pub mod headroom;
mod jitter;
pub mod list;
pub mod member;
pub mod members;
mod metrics;
pub mod node;
pub mod notice;
pub mod report;
pub mod rpc;
mod shared;
mod task;
pub mod transport;

pub use frame::Frame;
pub use headroom::Headroom;
pub use metrics::Metrics;
pub use node::{Handle, Node, Options};
pub use rpc::Rpc;
pub use shared::Budgets;
pub use transport::Transport;
