//! Comparison of requests by what a rejection would cost their callers.

use sg_types::prelude::*;

/// What is known of a request when requests compete for too few slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bid {
    /// Priority of the request, 0 being the most urgent.
    pub priority: u32,
    /// Time until the latency objective; zero once the objective is missed.
    pub objective_left: Span,
    /// Time until the response is due.
    pub deadline_left: Span,
    /// Work that the request needs at the target that it would get.
    pub work: Span,
    /// Time that the request has already waited for a slot.
    pub waited: Span,
    /// Client account of the request; `None` on routes that are open to all.
    pub account: Option<id::Account>,
    /// Route of the request.
    pub route: id::Route,
}
