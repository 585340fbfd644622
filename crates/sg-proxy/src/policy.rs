//! What the configuration says of callers' connections.

use http::Request;
use sg_types::prelude::*;

use crate::{Core, Dialect, server};

/// Time in which the head of a request has to be complete before the configuration is known.
const DEFAULT_HEAD_TIMEOUT: Span = Span::from_secs(3);

/// Policy of the server for callers' requests.
#[derive(Debug)]
pub struct Callers<D>(pub Arc<Core<D>>);

impl<D> Clone for Callers<D> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<D: Dialect> server::Policy for Callers<D> {
    fn head_timeout(&self) -> Span {
        let catalog = self.0.catalog();
        catalog.map_or(DEFAULT_HEAD_TIMEOUT, |catalog| catalog.limits.head_timeout)
    }

    fn starts_early(&self) -> bool {
        let catalog = self.0.catalog();
        catalog.is_some_and(|catalog| catalog.has_large_responses()) && !self.0.is_draining()
    }

    /// A request may start early if it may be repeated, because its caller sends it again when an earlier
    /// response closes the connection.
    fn may_start_early(&self, head: &Request<()>) -> bool {
        let core = &self.0;
        let Some(catalog) = core.catalog() else {
            return false;
        };
        let (parts, ()) = head.clone().into_parts();
        let Ok(request_info) = core.dialect.parse_request(&parts) else {
            return false;
        };
        let route = catalog.route(request_info.host, parts.uri.path());
        route.is_some_and(|route| route.idempotent)
    }
}
