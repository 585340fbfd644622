//! The operators' command line.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
