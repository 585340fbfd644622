//! The recorded history of a run: calls, faults and the records of targets.

use sg_fake::target::Records;
use sg_tree::View;
use sg_types::prelude::*;

use crate::plan::{Fault, Plan};

/// The recorded history of one run.
#[derive(Debug, Clone)]
pub struct History {
    /// The plan.
    pub plan: Plan,
    /// The tree at the start.
    pub view: View,
    /// The calls in the order of their scheduled times.
    pub calls: Vec<Call>,
    /// The injected faults.
    pub events: Vec<Event>,
    /// The records of the targets, on the clock of this program.
    pub targets: Vec<Observation>,
    /// Targets whose records could not be fetched.
    pub missing: Vec<id::Target>,
    /// The start of the load, from which the scheduled times of calls count.
    pub start: Instant,
}

/// The records of one target.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The target.
    pub name: id::Target,
    /// The service of the target.
    pub service: id::Service,
    /// The records; times are microseconds on the clock of this program.
    pub records: Records,
}

/// An injected fault.
#[derive(Debug, Clone)]
pub struct Event {
    /// When the fault was requested.
    pub requested: Instant,
    /// When the fault was in force; `None` if it was not carried out.
    pub done: Option<Instant>,
    /// The fault.
    pub fault: Fault,
}

/// One call, with all its attempts.
#[derive(Debug, Clone)]
pub struct Call {
    /// The call ID, which is part of the path.
    pub id: Arc<str>,
    /// The client account whose key the call carries; on open routes the account that it is counted for.
    pub account: id::Account,
    /// The public name of the key.
    pub key: id::Key,
    /// The route.
    pub route: id::Route,
    /// The requested path.
    pub path: Arc<str>,
    /// Whether the route requires a key.
    pub keyed: bool,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the call crashes each target that runs it.
    pub poison: bool,
    /// The scheduled time of the call.
    pub intended: Instant,
    /// When the caller had the response or gave up.
    pub done: Instant,
    /// The attempts in order.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a call.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The entry that received the attempt.
    pub entry: id::Instance,
    /// The time at which the attempt started.
    pub began: Instant,
    /// The time at which the response arrived or the attempt failed.
    pub ended: Instant,
    /// The result of the attempt.
    pub result: AttemptResult,
}

/// The result of an attempt as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// No connection to the entry could be made.
    NotSent,
    /// No complete response arrived.
    Lost,
    /// A complete response arrived.
    Response {
        /// The HTTP status.
        status: u16,
        /// The stated outcome, if any.
        outcome: Option<Outcome>,
        /// The stated reason, if any.
        reason: Option<Reason>,
        /// The result of the body check.
        body: Body,
    },
}

/// The result of comparing a response body with the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// The complete response to the request.
    Complete,
    /// The response to another request.
    OtherRequest,
    /// An incomplete response.
    Incomplete,
    /// The body of a refusal.
    Refusal,
}

impl AttemptResult {
    /// Returns the outcome that the response states, if any.
    #[must_use]
    pub const fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Response { outcome, .. } => *outcome,
            Self::NotSent | Self::Lost => None,
        }
    }

    /// Returns the reason that the response states, if any.
    #[must_use]
    pub const fn reason(&self) -> Option<Reason> {
        match self {
            Self::Response { reason, .. } => *reason,
            Self::NotSent | Self::Lost => None,
        }
    }

    /// Returns whether the caller got the complete response to its request.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        matches!(
            self,
            Self::Response {
                status: 200..300,
                body: Body::Complete,
                ..
            }
        )
    }

    /// Returns whether the caller can tell from the result that no target ran the request.
    #[must_use]
    pub fn is_certainly_not_run(&self) -> bool {
        *self == Self::NotSent || self.outcome() == Some(Outcome::NotRun)
    }
}

impl Call {
    /// Returns the result of the last attempt.
    #[must_use]
    pub fn last_result(&self) -> Option<&AttemptResult> {
        self.attempts.last().map(|attempt| &attempt.result)
    }

    /// Returns whether the caller got the complete response to its request.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.last_result().is_some_and(AttemptResult::is_success)
    }

    /// Returns the time from the scheduled time of the call to its end.
    #[must_use]
    pub fn latency(&self) -> Span {
        self.done.since(self.intended)
    }
}
