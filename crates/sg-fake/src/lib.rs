//! Stand-ins of the platform and of targets, as plain processes and for tests in process.
//!
//! [`store`] speaks the part of the etcd v3 JSON interface that the system uses, [`list`] the
//! Consul health interface, [`target`] is a server with slots, cold starts and faults. Each takes
//! faults by `POST /_control` and tells what it saw. [`wire`] lets a server lose its connections
//! the way that a crash or a silent middlebox does.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod list;
pub mod reply;
pub mod server;
pub mod store;
pub mod target;
pub mod wire;
