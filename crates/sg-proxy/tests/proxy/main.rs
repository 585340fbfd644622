//! Tests what callers and targets see of the request path, over real connections.

mod callers;
mod dialect;
mod endings;
mod harness;
mod limits;
mod rate_limits;
mod relays;
mod responses;
