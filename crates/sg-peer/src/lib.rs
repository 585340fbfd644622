//! Membership, dissemination of configuration, freshness, and the transport of shares.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]
