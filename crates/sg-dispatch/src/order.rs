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

impl Bid {
    /// Returns whether the request would miss its latency objective if it started now.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.work > self.objective_left
    }

    /// Returns whether the response would be in time if the request started after `wait`.
    #[must_use]
    pub fn is_servable_after(&self, wait: Span) -> bool {
        wait + self.work <= self.deadline_left
    }

    /// Returns the bid as it is `elapsed` later, if the request still waits then.
    #[must_use]
    pub fn after(self, elapsed: Span) -> Self {
        Self {
            objective_left: self.objective_left.saturating_sub(elapsed),
            deadline_left: self.deadline_left.saturating_sub(elapsed),
            waited: self.waited + elapsed,
            ..self
        }
    }

    /// Returns the place of the request in the order, given the standing of its account and route.
    #[must_use]
    pub fn rank(&self, standing: Standing) -> Rank {
        self.rank_with(standing, self.is_late())
    }

    /// Returns a rank that no request of the same priority and standing precedes.
    pub(crate) fn least_rank(&self, standing: Standing) -> Rank {
        Rank {
            work: Span::ZERO,
            ..self.rank_with(standing, false)
        }
    }

    /// Returns the place of the request, given whether it would miss its objective.
    pub(crate) fn rank_with(&self, standing: Standing, is_late: bool) -> Rank {
        Rank {
            is_in_turn: !standing.is_underserved,
            priority: self.priority,
            is_excess: standing.is_excess,
            is_late,
            work: self.work,
        }
    }
}

/// How the account and the route of a request were treated recently, compared with all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Standing {
    /// Whether the route or the account is served much less often than all requests.
    pub is_underserved: bool,
    /// Whether the account asks for more than usual and has already got its usual share.
    pub is_excess: bool,
}

/// Place of a request in the order: the least is served first, the greatest is rejected first.
///
/// Priority precedes the other criteria, so a more urgent request never yields to a less urgent one, except
/// to a route or an account that would otherwise be starved. Within a priority, requests that can't meet
/// their objective any more yield to those that can, and the one that needs less work comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_in_turn: bool,
    priority: u32,
    is_excess: bool,
    is_late: bool,
    work: Span,
}
