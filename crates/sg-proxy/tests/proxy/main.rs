//! Tests what callers and targets see of the request path, over real connections.

mod bodies;
mod callers;
mod dialect;
mod endings;
mod endless;
mod harness;
mod limits;
mod memory;
mod rate_limits;
mod relays;
mod responses;
mod self_reports;
