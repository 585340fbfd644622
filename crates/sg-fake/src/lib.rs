//! Stand-ins of the platform and of targets.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
