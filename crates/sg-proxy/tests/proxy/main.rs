//! Tests what callers and targets see of the request path, over real connections.

mod bodies;
mod callers;
mod crossings;
mod cuts;
mod dialect;
mod disconnects;
mod endings;
mod endless;
mod foreign;
mod harness;
mod late_connects;
mod limits;
mod lingering;
mod memory;
mod pipelines;
mod prices;
mod quotas;
mod rate_limits;
mod relays;
mod responses;
mod self_reports;
mod slots;
mod slow_peers;
mod started_early;
mod stops;
mod stopwatch;
