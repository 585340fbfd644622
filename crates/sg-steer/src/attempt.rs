//! The interface between the request path and the steering decisions.

use std::net::SocketAddr;

use sg_types::prelude::*;

/// What an attempt is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// Targets that this request must not go to again.
    pub tried: &'a [id::Target],
    /// The time.
    pub now: Instant,
    /// The request's fingerprint, for spreading and for quarantine.
    pub fingerprint: Fingerprint,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A whole answer came, after this long.
    Answered {
        /// From the request's first byte to the answer's head.
        latency: Span,
        /// Whether the answer is a server error.
        failed: bool,
    },
    /// The target refused and said that the request did not run.
    Shed,
    /// The target said that it takes no new work.
    Leaving,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// The connection was lost while the target may have been running the request.
    Lost,
    /// Nothing came in time.
    TimedOut,
    /// The attempt was given up by the caller or by this instance.
    Cancelled,
}

/// A started attempt. Dropping it without [`Attempt::end`] counts as [`End::Cancelled`].
pub trait Attempt: Send + 'static {
    /// The target.
    fn target(&self) -> &id::Target;

    /// Where the target listens.
    fn address(&self) -> SocketAddr;

    /// The region that the target is in.
    fn region(&self) -> &id::Region;

    /// How many requests this instance has in flight on the target, this one included.
    fn in_flight(&self) -> u32;

    /// Reports how the attempt ended.
    fn end(self, end: End, now: Instant);
}

/// Chooses targets. Implemented by the steering engine and by test doubles.
pub trait Steer: Send + Sync + 'static {
    /// The guard of a started attempt.
    type Attempt: Attempt;

    /// Chooses a region and a target and counts the attempt as in flight.
    ///
    /// # Errors
    /// The reason why no target may be asked now; the request has not run.
    fn start(&self, ask: Ask<'_>) -> Result<Self::Attempt, Reason>;

    /// Asks once more for a request that [`Steer::start`] refused and that has waited since.
    ///
    /// Telling it apart keeps the request in the region that it was first meant for: drawn anew
    /// each time, what waits for a full region would end in another one, past the shift cap.
    ///
    /// # Errors
    /// As [`Steer::start`].
    fn start_again(&self, ask: Ask<'_>) -> Result<Self::Attempt, Reason> {
        self.start(ask)
    }

    /// Whether the service's retry budget allows one more attempt; takes it from the budget.
    fn may_retry(&self, service: &id::Service, now: Instant) -> bool;
}
