//! Routes from a host and path prefix to services.

use sg_types::prelude::*;

/// A service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: id::Service,
    /// The service's weight among the services of the route.
    pub weight: u32,
}

/// A route of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: id::Route,
    /// The path prefix that the route matches, which starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Whether the responses are large transfers rather than short messages.
    pub large_responses: bool,
    /// The largest number of targets that one request may be sent to.
    pub max_targets: u32,
    /// The time limit of a request; `None` leaves the limit to the caller's deadline.
    pub timeout: Option<Span>,
    /// The latency objective of requests.
    pub latency_objective: Span,
    /// The priority of the route's requests, 0 being the most urgent.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub allows_anonymous: bool,
    /// Whether targets respond faster to requests for objects that they handled recently.
    pub session_affinity: bool,
    /// The only regions that may run the route's requests; empty for all.
    pub home_regions: Arc<[id::Region]>,
    /// The services that run the route's requests, at least one.
    pub services: Arc<[WeightedService]>,
}
