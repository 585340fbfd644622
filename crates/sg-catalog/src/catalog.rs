//! The catalog with its services and limits.

use sg_types::prelude::*;

use crate::{Account, KeyDigest, Route, Unread};

/// The properties that all targets of a service share.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: id::Service,
    /// The path of a target's health check.
    pub health_path: Arc<str>,
    /// The largest number of connections that one target accepts from the whole fleet.
    pub max_connections: u32,
    /// The largest request rate that a cold target can handle, in requests per second over the whole
    /// fleet.
    pub cold_rate: f64,
    /// The time for which a target stays cold after its start.
    pub cold_duration: Span,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest size of a request's head.
    pub max_head: Bytes,
    /// The largest size of a request's body.
    pub max_body: Bytes,
    /// The time limit for receiving the head of a request.
    pub head_timeout: Span,
    /// The time after which a connection without a request is closed.
    pub idle_timeout: Span,
}

/// An error in adding an element to a catalog.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route names an unknown service.
    #[error(
        "route {route} names the unknown service {service}; add the service or remove the route"
    )]
    UnknownService {
        /// The route.
        route: id::Route,
        /// The service.
        service: id::Service,
    },
    /// A route has no service with a weight above zero.
    #[error("route {route} has no service with a weight above zero; add one")]
    NoWeightedService {
        /// The route.
        route: id::Route,
    },
    /// Two accounts share a key, which neither of them may use.
    #[error("accounts {first} and {second} share a key; give each account its own key")]
    SharedKey {
        /// The account that was added first.
        first: id::Account,
        /// The account that was added later.
        second: id::Account,
    },
}

/// The routes, services and client accounts of one revision.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// The revision of the configuration.
    pub revision: Revision,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Services by name.
    pub services: IndexMap<id::Service, Service>,
    /// Client accounts by name.
    pub accounts: IndexMap<id::Account, Arc<Account>>,
    /// The parts of the configuration that could not be read.
    pub unread: Unread,
    owners: IndexMap<KeyDigest, Owner>,
    routes_by_host: IndexMap<Arc<str>, Prefixes>,
    has_large_responses: bool,
    /// The places of routes that can't be read.
    held_by_host: IndexMap<Arc<str>, Prefixes>,
    /// The place of all hosts that the catalog does not name.
    held_hosts: Option<Arc<Route>>,
}

/// The account that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Owner {
    account: id::Account,
    /// Whether another account has the key as well.
    is_shared: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head: Bytes::new(16 << 10),
            max_body: Bytes::new(64 << 20),
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

impl Catalog {
    /// Creates an empty catalog of `revision`.
    #[must_use]
    pub fn new(revision: Revision, limits: Limits) -> Self {
        Self {
            revision,
            limits,
            ..Self::default()
        }
    }

    /// Adds a service. Routes that name the service are added afterwards.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds a client account with its keys. A key of several accounts identifies none of them, because
    /// nothing tells whose quota and regions its requests have to keep to.
    ///
    /// # Errors
    /// Returns [`Error::SharedKey`] if another account has one of the keys. The account is added
    /// nonetheless, with its other keys.
    pub fn add_account(
        &mut self,
        account: Account,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Result<(), Error> {
        let mut shared_with = None;
        for key in keys {
            let owner = self.owners.entry(key).or_insert_with(|| Owner {
                account: account.name.clone(),
                is_shared: false,
            });
            if owner.account != account.name {
                owner.is_shared = true;
                shared_with.get_or_insert_with(|| owner.account.clone());
            }
        }
        let second = account.name.clone();
        self.accounts
            .insert(account.name.clone(), Arc::new(account));
        shared_with.map_or(Ok(()), |first| Err(Error::SharedKey { first, second }))
    }

    /// Keeps the keys of an account that can't be read from being valid for another account.
    pub fn hold_keys(&mut self, keys: impl IntoIterator<Item = KeyDigest>) {
        let account: id::Account = Route::HELD.parse().expect("the name is valid");
        for key in keys {
            let owner = self.owners.entry(key).or_insert_with(|| Owner {
                account: account.clone(),
                is_shared: true,
            });
            owner.is_shared = true;
        }
    }

    /// Makes all routes that are not open require a key although no account could be read. Without any
    /// account, requests would need no key.
    pub fn hold_accounts(&mut self) {
        let name: id::Account = Route::HELD.parse().expect("the name is valid");
        self.accounts.entry(name.clone()).or_insert_with(|| {
            Arc::new(Account {
                name,
                rate: None,
                burst: 0,
                priority: None,
                home_regions: Arc::from([]),
            })
        });
    }

    /// Adds a route to `host`.
    ///
    /// # Errors
    /// Returns [`Error::UnknownService`] or [`Error::NoWeightedService`].
    pub fn add_route(&mut self, host: impl Into<Arc<str>>, route: Route) -> Result<(), Error> {
        for weighted in route.services.iter() {
            if !self.services.contains_key(&weighted.service) {
                return Err(Error::UnknownService {
                    route: route.name,
                    service: weighted.service.clone(),
                });
            }
        }
        if route.services.iter().all(|weighted| weighted.weight == 0) {
            return Err(Error::NoWeightedService { route: route.name });
        }
        self.has_large_responses |= route.large_responses;
        self.routes_by_host
            .entry(host.into())
            .or_default()
            .add(route);
        Ok(())
    }

    /// Keeps the place of a route of `host` that can't be read, so that its requests are refused rather than
    /// run by a route with a shorter prefix. Precedes a route with the same prefix.
    pub fn hold_route(&mut self, host: impl Into<Arc<str>>, path_prefix: impl Into<Arc<str>>) {
        let route = Route::held(path_prefix.into());
        self.held_by_host.entry(host.into()).or_default().add(route);
    }

    /// Keeps the place of hosts whose names can't be read: requests for hosts that the catalog does not name
    /// are refused in the same way.
    pub fn hold_hosts(&mut self) {
        self.held_hosts = Some(Arc::new(Route::held("".into())));
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let (routes, held) = (self.routes_by_host.get(host), self.held_by_host.get(host));
        let route = routes.and_then(|routes| routes.longest_match(path));
        let held = held.and_then(|held| held.longest_match(path));
        match (route, held) {
            (Some(route), Some(held)) if route.path_prefix.len() > held.path_prefix.len() => {
                Some(route)
            }
            (route, held) => held.or(route).or_else(|| self.held_host(host)),
        }
    }

    /// Returns the place that is kept for `host`, if the catalog does not name it.
    fn held_host(&self, host: &str) -> Option<&Arc<Route>> {
        let is_named =
            self.routes_by_host.contains_key(host) || self.held_by_host.contains_key(host);
        self.held_hosts.as_ref().filter(|_| !is_named)
    }

    /// Returns whether any route has large responses.
    #[must_use]
    pub fn has_large_responses(&self) -> bool {
        self.has_large_responses
    }

    /// Returns the account that has the key with the digest `key`.
    #[must_use]
    pub fn account_by_key(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        let owner = self.owners.get(key).filter(|owner| !owner.is_shared)?;
        self.accounts.get(&owner.account)
    }
}

/// The routes of a host by the prefix of the paths that they match.
#[derive(Debug, Clone, Default)]
struct Prefixes {
    routes: IndexMap<Arc<str>, Arc<Route>>,
    /// The lengths of the prefixes, longest first.
    lengths: Vec<usize>,
}

impl Prefixes {
    /// Adds a route. The first one with a prefix stays.
    fn add(&mut self, route: Route) {
        let prefix = route.path_prefix.clone();
        let length = prefix.len();
        self.routes.entry(prefix).or_insert_with(|| Arc::new(route));
        if let Err(place) = self.lengths.binary_search_by(|known| length.cmp(known)) {
            self.lengths.insert(place, length);
        }
    }

    /// Returns the route with the longest prefix that matches `path`.
    fn longest_match(&self, path: &str) -> Option<&Arc<Route>> {
        let mut prefixes = self.lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.find_map(|prefix| self.routes.get(prefix))
    }
}
