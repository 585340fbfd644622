//! Tests the guarantees of the request path with callers and targets that observe every byte.

mod double;
mod fairness;
mod keys;
mod limits;
mod once;
mod outcomes;
mod quarantine;
mod retries;
mod stops;
mod storm;
mod tickets;
mod whole;
mod wire;
