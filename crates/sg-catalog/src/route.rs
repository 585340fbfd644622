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

impl Route {
    /// The name of all routes that are held, and of their service, in logs and metrics.
    pub const HELD: &str = "unreadable";

    /// Creates a route that keeps the place of one that can't be read. It leaves its requests no time, so
    /// that each is refused as not run, whatever its key, before its body is awaited or passed on.
    pub(crate) fn held(path_prefix: Arc<str>) -> Self {
        let service = Self::HELD.parse().expect("the name is valid");
        Self {
            name: Self::HELD.parse().expect("the name is valid"),
            path_prefix,
            idempotent: false,
            large_responses: false,
            max_targets: 1,
            timeout: Some(Span::ZERO),
            latency_objective: Span::ZERO,
            priority: 0,
            allows_anonymous: true,
            session_affinity: false,
            home_regions: Arc::from([]),
            services: Arc::from([WeightedService { service, weight: 1 }]),
        }
    }
}
