//! Decisions about callers' connections.

use http::Request;
use sg_types::prelude::*;

/// Decisions about callers' connections that depend on the configuration.
pub trait Policy: Clone + Send + Sync + 'static {
    /// Returns the time in which the head of a request has to be complete once its first byte was read.
    fn head_timeout(&self) -> Span;

    /// Returns whether any request may be handled while earlier responses of its connection are still due.
    fn starts_early(&self) -> bool;

    /// Returns whether the request with the head `head` may be handled while earlier responses of its
    /// connection are still due.
    fn may_start_early(&self, head: &Request<()>) -> bool;
}

/// Policy of a server whose requests are handled one after the other on each connection, with the time in which
/// a head has to be complete.
#[derive(Debug, Clone)]
pub struct OneByOne<H>(pub H);

impl<H: Fn() -> Span + Clone + Send + Sync + 'static> Policy for OneByOne<H> {
    fn head_timeout(&self) -> Span {
        (self.0)()
    }

    fn starts_early(&self) -> bool {
        false
    }

    fn may_start_early(&self, _: &Request<()>) -> bool {
        false
    }
}
