//! The resolved tree, in which each value is typed and inheritance is resolved.

use std::net::SocketAddr;

use sg_types::prelude::*;

use crate::Digest;

/// One revision of the tree, resolved. Instances replace a view as a whole and never change it in
/// place.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The revision of the tree.
    pub revision: Revision,
    /// The digest of the tree that the view was resolved from.
    pub digest: Digest,
    /// Settings shared by all instances.
    pub fleet: Fleet,
    /// Instances that the tree has settings for.
    pub entries: IndexMap<id::Instance, Entry>,
    /// The regions.
    pub regions: IndexMap<id::Region, Region>,
    /// The failure domains of all regions.
    pub domains: IndexMap<id::Domain, Domain>,
    /// The links between regions.
    pub links: Vec<Link>,
    /// The services.
    pub services: IndexMap<id::Service, Service>,
    /// The client accounts.
    pub accounts: IndexMap<id::Account, Account>,
    /// The keys that work, by digest.
    pub keys: IndexMap<Digest, Key>,
}

/// Settings shared by all instances. The fields have the names of the settings.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Number of slots of the fleet, each of which has a base share of every budget.
    pub slots: u32,
    /// Time for which an instance serves keyed routes after it last confirmed that no key was
    /// withdrawn.
    pub validity: Span,
    /// Number of instances per failure domain that watch the store and relay changes to the others.
    pub relays: u32,
    /// Time for which callers may cache a lookup response.
    pub lookup_cache: Span,
    /// Time after which a ticket expires.
    pub ticket_lifetime: Span,
    /// Maximum total size of a request's headers.
    pub header_limit: Bytes,
    /// Maximum number of concurrent requests in one instance.
    pub concurrency: u32,
    /// Time that a stopping instance gives to requests in flight.
    pub drain_grace: Span,
}

/// The settings of one instance.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Whether the instance is drained and accepts no new requests.
    pub drain: bool,
}

/// A region.
#[derive(Debug, Clone)]
pub struct Region {
    /// The failure domains of the region.
    pub domains: Vec<id::Domain>,
}

/// A failure domain.
#[derive(Debug, Clone)]
pub struct Domain {
    /// The region of the failure domain.
    pub region: id::Region,
    /// Whether the targets of the failure domain are drained.
    pub drain: bool,
    /// Blocks of client addresses that are nearest to the failure domain.
    pub blocks: Vec<Arc<str>>,
}

/// The link between two regions.
#[derive(Debug, Clone)]
pub struct Link {
    /// The first region.
    pub a: id::Region,
    /// The second region.
    pub b: id::Region,
    /// Bandwidth in each direction.
    pub bandwidth: Bandwidth,
}

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name of the service.
    pub name: id::Service,
    /// Typical size of a response.
    pub answer_size: Bytes,
    /// Typical time that a target takes for a request.
    pub service_time: Span,
    /// Maximum number of connections to a target from all instances together.
    pub connections: u32,
    /// Time that an attempt waits for a connection.
    pub connect_timeout: Span,
    /// Maximum time without a byte from a connection on which a response is awaited.
    pub progress_timeout: Span,
    /// Maximum number of retries and hedges, as a fraction of requests.
    pub retry_budget: Percent,
    /// Maximum number of attempts for a request that may be repeated.
    pub attempts: u32,
    /// Maximum fraction of the traffic that moves between regions in one shift interval.
    pub shift_cap: Percent,
    /// Interval to which the shift cap applies.
    pub shift_interval: Span,
    /// Fraction of a region's capacity that steering leaves unused.
    pub headroom: Percent,
    /// Maximum fraction of a region's targets that are ejected at once.
    pub ejection_cap: Percent,
    /// Time over which the traffic of a cold target grows to the full amount.
    pub slow_start: Span,
    /// Age after which a target's load report is ignored.
    pub load_stale: Span,
    /// Interval between probes of a target.
    pub probe_interval: Span,
    /// Time for which a quarantined request is refused.
    pub quarantine: Span,
    /// Each region's fraction of the traffic.
    pub split: IndexMap<id::Region, Percent>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The targets.
    pub targets: IndexMap<id::Target, Target>,
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Every caller, without a key.
    Open,
    /// Client accounts, with a key.
    Keyed,
}

/// The HTTP method that a route matches: one method or any.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Method(Option<Arc<str>>);

impl Method {
    pub(crate) fn new(text: &str) -> Self {
        let is_specific = !text.eq_ignore_ascii_case("any");
        Self(is_specific.then(|| text.to_ascii_uppercase().into()))
    }

    /// Returns whether the route matches `method`.
    #[must_use]
    pub fn accepts(&self, method: &str) -> bool {
        self.0
            .as_deref()
            .is_none_or(|own| own.eq_ignore_ascii_case(method))
    }

    /// Returns whether at least one method matches both.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(_), Some(method)) => self.accepts(method),
            _ => true,
        }
    }
}

/// A route of a service.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name of the route.
    pub name: id::Route,
    /// Prefix of the URL paths that the route matches.
    pub path: Arc<str>,
    /// The HTTP method that the route matches.
    pub method: Method,
    /// The callers that may use the route.
    pub access: Access,
    /// Whether requests of the route may run more than once.
    pub repeatable: bool,
    /// Maximum time for a request, unless the caller allows less.
    pub deadline: Span,
    /// Maximum size of a request's body.
    pub body_limit: Bytes,
    /// Maximum time for a request's body to arrive.
    pub body_timeout: Span,
    /// Maximum size of a response.
    pub answer_limit: Bytes,
}

/// A target of a service.
#[derive(Debug, Clone)]
pub struct Target {
    /// The IP address and port that the target listens on.
    pub address: SocketAddr,
    /// The region of the target.
    pub region: id::Region,
    /// The failure domain of the target.
    pub domain: id::Domain,
    /// Whether the target or its failure domain is drained.
    pub drain: bool,
    /// Maximum number of requests that the target runs at once.
    pub slots: u32,
}

/// A client account.
#[derive(Debug, Clone)]
pub struct Account {
    /// Maximum rate of the account's requests over the whole fleet.
    pub rate: Rate,
    /// Maximum number of requests that the account may make at once after a pause, over the whole
    /// fleet.
    pub burst: u32,
    /// The account's weight in the queues for targets.
    pub priority: u32,
    /// Maximum number of the account's requests that wait in one instance.
    pub queue_limit: u32,
}

/// A key that works, with its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The client account that owns the key.
    pub account: id::Account,
    /// The key's public name.
    pub name: id::Key,
}

impl View {
    /// Returns the service and route that match a request. The longest matching path prefix wins.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<(&Service, &Route)> {
        self.services
            .values()
            .flat_map(|service| service.routes.iter().map(move |route| (service, route)))
            .filter(|(_, route)| path.starts_with(route.path.as_ref()))
            .filter(|(_, route)| route.method.accepts(method))
            .max_by_key(|(_, route)| route.path.len())
    }
}
