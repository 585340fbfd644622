//! The ports that a platform has to implement besides [`sg_store::Store`].

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Response, request, response};
use sg_catalog::Catalog;
use sg_place::{Target, self_report::SelfReport};
use sg_proxy::{Dialect, dialect::Malformed};
use sg_types::prelude::*;

/// The meaning of a value in the store.
#[derive(Debug, Clone)]
pub enum StoreValue {
    /// A new configuration.
    Catalog(Box<Catalog>),
    /// The entry that a target wrote about itself.
    Target(Box<Target>),
    /// The entry of a target is gone.
    TargetRemoved(id::Target),
    /// An operator's order to close or reopen a failure domain.
    DomainOrder {
        /// The failure domain.
        domain: id::Domain,
        /// Whether no request may be sent to targets of the domain.
        closed: bool,
    },
    /// A value that the gateway does not use.
    Other,
}

/// An error in reading a value of the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "can't read the value of {key}: {cause}; the last valid value stays in force until the value is corrected"
)]
pub struct UnreadableValue {
    /// The key of the value.
    pub key: Arc<str>,
    /// The reason why the value can't be read.
    pub cause: String,
}

/// Interprets the values of the store.
pub trait Interpreter: Send + Sync + 'static {
    /// Returns the key prefix of the configuration and of operators' orders.
    fn operator_prefix(&self) -> Arc<str>;

    /// Returns the key prefix of the entries that targets write.
    fn target_prefix(&self) -> Arc<str>;

    /// Interprets the value of `key`; `None` means that the key was deleted.
    ///
    /// # Errors
    /// Returns [`UnreadableValue`] if the value does not have the platform's documented format.
    fn interpret(
        &self,
        key: &Arc<str>,
        value: Option<&[u8]>,
    ) -> Result<StoreValue, UnreadableValue>;
}

/// A caller's lookup of instances.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LookupRequest {
    /// The caller's failure domain, if given.
    pub domain: Option<id::Domain>,
    /// The caller's region, if given.
    pub region: Option<id::Region>,
}

/// The response of a target to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthReport {
    /// Whether the target accepts requests.
    pub healthy: bool,
    /// The target that responded, if the response names it.
    pub target: Option<id::Target>,
    /// The time for which the target stays cold, if reported.
    pub cold_for: Option<Span>,
    /// What the target says of itself.
    pub self_report: SelfReport,
}

/// The platform's protocol of requests, lookups and health checks.
pub trait Protocol: Dialect {
    /// Parses a lookup.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the request is not a lookup.
    fn parse_lookup(&self, head: &request::Parts) -> Result<LookupRequest, Malformed>;

    /// Returns the response to a lookup, which callers may cache for `ttl`. `addresses` is not empty.
    fn lookup_response(&self, addresses: &[SocketAddr], ttl: Span) -> Response<Bytes>;

    /// Returns a response without a body to a lookup, a readiness check or another request: success if
    /// `is_success`, failure otherwise.
    fn status_response(&self, is_success: bool) -> Response<Bytes>;

    /// Returns whether a request on the readiness address is a readiness check.
    fn is_readiness_check(&self, head: &request::Parts) -> bool;

    /// Returns the headers of a health check.
    fn health_check_headers(&self) -> HeaderMap;

    /// Parses the response to a health check.
    fn parse_health_check(&self, head: &response::Parts) -> HealthReport;
}
