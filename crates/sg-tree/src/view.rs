//! The resolved tree: every value typed and every inheritance done.

use std::net::SocketAddr;

use sg_types::prelude::*;

use crate::Digest;

/// One revision of the tree, resolved. Immutable; instances swap whole views.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The revision.
    pub revision: Revision,
    /// The digest of the tree it was resolved from.
    pub digest: Digest,
    /// What concerns the instances together.
    pub fleet: Fleet,
    /// Instances that the tree says something of.
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

/// What concerns the instances together. The fields are the settings of the same names.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// How many slots hold a base share.
    pub slots: u32,
    /// How long the knowledge that no key was withdrawn is good.
    pub validity: Span,
    /// Relays a failure domain.
    pub relays: u32,
    /// How long a look-up's answer may be cached.
    pub lookup_cache: Span,
    /// How long a ticket is good.
    pub ticket_lifetime: Span,
    /// The largest headers.
    pub header_limit: Bytes,
    /// Requests in work at once in one instance.
    pub concurrency: u32,
    /// How long work in hand goes on at a stop.
    pub drain_grace: Span,
}

/// What the tree says of one instance.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Whether it takes no new work.
    pub drain: bool,
}

/// A region.
#[derive(Debug, Clone)]
pub struct Region {
    /// Its failure domains.
    pub domains: Vec<id::Domain>,
}

/// A failure domain.
#[derive(Debug, Clone)]
pub struct Domain {
    /// The region it is in.
    pub region: id::Region,
    /// Whether its targets take no new work.
    pub drain: bool,
    /// The blocks of client addresses that are nearest to it.
    pub blocks: Vec<Arc<str>>,
}

/// The link between two regions.
#[derive(Debug, Clone)]
pub struct Link {
    /// One end.
    pub a: id::Region,
    /// The other end.
    pub b: id::Region,
    /// What it carries each way.
    pub bandwidth: Bandwidth,
}

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// The usual size of an answer.
    pub answer_size: Bytes,
    /// The usual time of a request.
    pub service_time: Span,
    /// Connections that a target takes from the fleet.
    pub connections: u32,
    /// How long to wait for a connection.
    pub connect_timeout: Span,
    /// How long a connection may be silent.
    pub progress_timeout: Span,
    /// Retries as a share of requests.
    pub retry_budget: Percent,
    /// The most attempts for one request.
    pub attempts: u32,
    /// The most traffic that moves in an interval.
    pub shift_cap: Percent,
    /// The interval that the cap counts over.
    pub shift_interval: Span,
    /// The part of a region's capacity left unused.
    pub headroom: Percent,
    /// The most targets of a region ejected at once.
    pub ejection_cap: Percent,
    /// How long a cold target takes to the full load.
    pub slow_start: Span,
    /// How old a load report may be.
    pub load_stale: Span,
    /// How often targets are probed.
    pub probe_interval: Span,
    /// How long a quarantine lasts.
    pub quarantine: Span,
    /// Each region's part of the traffic.
    pub split: IndexMap<id::Region, Percent>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The targets.
    pub targets: IndexMap<id::Target, Target>,
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Everybody.
    Open,
    /// Client accounts, by key.
    Keyed,
}

/// The HTTP methods that a route takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Method(Option<Arc<str>>);

impl Method {
    pub(crate) fn new(text: &str) -> Self {
        let named = !text.eq_ignore_ascii_case("any");
        Self(named.then(|| text.to_ascii_uppercase().into()))
    }

    /// Whether the route takes `method`.
    #[must_use]
    pub fn accepts(&self, method: &str) -> bool {
        self.0
            .as_deref()
            .is_none_or(|wanted| wanted.eq_ignore_ascii_case(method))
    }

    /// Whether some method is taken by both.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(_), Some(theirs)) => self.accepts(theirs),
            _ => true,
        }
    }
}

/// A route of a service.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: id::Route,
    /// The start of the paths it takes.
    pub path: Arc<str>,
    /// The methods it takes.
    pub method: Method,
    /// Who may use it.
    pub access: Access,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// How long a request may take.
    pub deadline: Span,
    /// The largest body of a request.
    pub body_limit: Bytes,
    /// How long a body may take to arrive.
    pub body_timeout: Span,
    /// The largest answer.
    pub answer_limit: Bytes,
}

/// A target of a service.
#[derive(Debug, Clone)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// The region it is in.
    pub region: id::Region,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// Whether it takes no new work, by its own setting or its failure domain's.
    pub drain: bool,
    /// Requests it runs at once.
    pub slots: u32,
}

/// A client account.
#[derive(Debug, Clone)]
pub struct Account {
    /// Requests a second over the fleet.
    pub rate: Rate,
    /// Requests at once over the fleet.
    pub burst: u32,
    /// Weight in queues.
    pub priority: u32,
    /// Requests that may wait in one instance.
    pub queue_limit: u32,
}

/// Whose a key is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The client account.
    pub account: id::Account,
    /// The key's public name.
    pub name: id::Key,
}

impl View {
    /// The service and route that take a request, by the longest start of its path.
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
