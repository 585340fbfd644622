//! Interface between the request path and the steering engine.

use std::net::SocketAddr;

use sg_types::prelude::*;

/// Parameters for choosing a target for one attempt.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// Targets that must not be chosen because earlier attempts of the request used them.
    pub tried: &'a [id::Target],
    /// The current time.
    pub now: Instant,
    /// Fingerprint of the request, for spreading and for quarantine. [`crate::Engine`] does not use
    /// the fingerprint.
    pub fingerprint: Fingerprint,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target sent a complete response.
    Responded {
        /// Time from the first byte of the request to the head of the response.
        latency: Span,
        /// Whether the response is a server error.
        failed: bool,
    },
    /// The target refused the request for load and said that the request did not run.
    Shed,
    /// The target said that it accepts no new work.
    Leaving,
    /// No connection could be made, so nothing was sent.
    ConnectFailed,
    /// The connection was lost while the target may have been running the request.
    ConnectionLost,
    /// The target did not respond within the timeout.
    TimedOut,
    /// The caller or this instance cancelled the attempt.
    Cancelled,
}

/// A started attempt. Dropping it without [`Attempt::finish`] counts as [`Completion::Cancelled`].
pub trait Attempt: Send + 'static {
    /// Returns the target.
    fn target(&self) -> &id::Target;

    /// Returns the address that the target listens on.
    fn address(&self) -> SocketAddr;

    /// Returns the region of the target.
    fn region(&self) -> &id::Region;

    /// Returns the number of requests that this instance has in flight on the target, including
    /// this one.
    fn in_flight(&self) -> u32;

    /// Reports how the attempt ended.
    fn finish(self, completion: Completion, now: Instant);
}

/// Chooses targets. The steering engine and test doubles implement this trait.
pub trait Selector: Send + Sync + 'static {
    /// Guard of a started attempt.
    type Attempt: Attempt;

    /// Chooses a region and a target and counts the attempt as in flight.
    ///
    /// # Errors
    /// Returns the reason why no target can be chosen now. The request has not run.
    fn start_attempt(&self, query: Query<'_>) -> Result<Self::Attempt, Reason>;

    /// Chooses a target for a request that [`Selector::start_attempt`] refused and that has been
    /// queued since.
    ///
    /// The engine keeps such a request in the region that was first selected for it. Selecting a
    /// new region on each try would let requests that wait for a full region end up in another
    /// region, beyond the shift cap.
    ///
    /// # Errors
    /// As [`Selector::start_attempt`].
    fn start_queued(&self, query: Query<'_>) -> Result<Self::Attempt, Reason> {
        self.start_attempt(query)
    }

    /// Takes one attempt from the service's retry budget and returns whether the budget allowed it.
    fn take_retry(&self, service: &id::Service, now: Instant) -> bool;
}
