//! Fake platform services and targets, run as processes or inside tests.
//!
//! [`store`] implements the part of the etcd v3 JSON gateway that the system uses, [`list`] the
//! Consul health API, and [`target`] an HTTP server with slots, cold starts and faults. Each
//! server accepts faults on `POST /_control`; the store and the targets also report the requests
//! that they received. [`wire`] breaks a server's connections as a crash or a silent middlebox
//! does.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod list;
pub mod reply;
pub mod server;
pub mod store;
pub mod target;
pub mod wire;
