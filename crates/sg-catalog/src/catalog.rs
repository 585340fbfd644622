//! The catalog with its services and limits.

use sg_types::prelude::*;

use crate::{Account, KeyDigest, Route};

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
    /// Two accounts share a key.
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
    accounts_by_key: IndexMap<KeyDigest, id::Account>,
    routes_by_host: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    has_large_responses: bool,
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

    /// Adds a client account with its keys.
    ///
    /// # Errors
    /// Returns [`Error::SharedKey`] if another account has one of the keys.
    pub fn add_account(
        &mut self,
        account: Account,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Result<(), Error> {
        for key in keys {
            let previous = self.accounts_by_key.insert(key, account.name.clone());
            if let Some(first) = previous.filter(|previous| *previous != account.name) {
                let second = account.name;
                return Err(Error::SharedKey { first, second });
            }
        }
        self.accounts
            .insert(account.name.clone(), Arc::new(account));
        Ok(())
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
        let routes = self.routes_by_host.entry(host.into()).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        Ok(())
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_ref()))
    }

    /// Returns whether any route has large responses.
    #[must_use]
    pub fn has_large_responses(&self) -> bool {
        self.has_large_responses
    }

    /// Returns the account that has the key with the digest `key`.
    #[must_use]
    pub fn account_by_key(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        self.accounts.get(self.accounts_by_key.get(key)?)
    }
}
