//! Tests the guarantees of the request path with callers and targets that observe every byte.

mod at_most_once;
mod env;
mod fairness;
mod faults;
mod keys;
mod limits;
mod outcomes;
mod quarantine;
mod responses;
mod retries;
mod stop;
mod tickets;
mod wire;
