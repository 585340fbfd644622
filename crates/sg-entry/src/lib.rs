//! The daemon of an entry instance.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
