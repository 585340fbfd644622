//! What callers, targets and the schedule of faults say of one run.

use sg_fake::target::Records;
use sg_tree::View;
use sg_types::prelude::*;

use crate::plan::{Fault, Plan};

/// All that is known of one run.
#[derive(Debug, Clone)]
pub struct History {
    /// The plan.
    pub plan: Plan,
    /// The tree at the start.
    pub view: View,
    /// The calls in the order of their intended times.
    pub calls: Vec<Call>,
    /// The faults that came.
    pub events: Vec<Event>,
    /// What the targets saw, on the clock of this program.
    pub targets: Vec<Seen>,
    /// Targets that did not tell what they saw.
    pub missing: Vec<id::Target>,
    /// When the first call was due.
    pub start: Instant,
}

/// What one target saw.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The target.
    pub name: id::Target,
    /// Its service.
    pub service: id::Service,
    /// Its records; times are microseconds of this program's clock.
    pub records: Records,
}

/// A fault that came.
#[derive(Debug, Clone)]
pub struct Event {
    /// When it was asked for.
    pub asked: Instant,
    /// When it was in force, if that is known.
    pub done: Option<Instant>,
    /// The fault.
    pub fault: Fault,
}

/// One call, with all its attempts.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its name, which stands in its path.
    pub id: Arc<str>,
    /// The client account whose key it carries; on open routes the one that it counts for.
    pub account: id::Account,
    /// The key's public name.
    pub key: id::Key,
    /// The route.
    pub route: id::Route,
    /// The path that it asked for.
    pub path: Arc<str>,
    /// Whether the route wants a key.
    pub keyed: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it crashes each target that runs it.
    pub poison: bool,
    /// When it should have been made.
    pub intended: Instant,
    /// When its caller had its answer or gave up.
    pub done: Instant,
    /// The sends of it.
    pub attempts: Vec<Attempt>,
}

/// One send of a call.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The entry.
    pub entry: id::Instance,
    /// When it was sent.
    pub began: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// How a send ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// No connection to the entry could be made.
    NotSent,
    /// No whole answer came.
    Lost,
    /// A whole answer came.
    Answer {
        /// The HTTP status.
        status: u16,
        /// What it says happened; `None` if it says nothing.
        outcome: Option<Outcome>,
        /// Why; `None` if it says nothing.
        reason: Option<Reason>,
        /// Whether its body is the one that was asked for.
        body: Body,
    },
}

/// Whether a body is the one that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// It is, in full.
    Own,
    /// It answers another request.
    Foreign,
    /// It is not whole.
    Broken,
    /// It is a refusal's.
    Refusal,
}

impl End {
    /// The outcome that the caller was told, if any.
    #[must_use]
    pub const fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answer { outcome, .. } => *outcome,
            Self::NotSent | Self::Lost => None,
        }
    }

    /// The reason that the caller was told, if any.
    #[must_use]
    pub const fn reason(&self) -> Option<Reason> {
        match self {
            Self::Answer { reason, .. } => *reason,
            Self::NotSent | Self::Lost => None,
        }
    }

    /// Whether the caller has what it asked for.
    #[must_use]
    pub const fn is_good(&self) -> bool {
        matches!(
            self,
            Self::Answer {
                status: 200..300,
                body: Body::Own,
                ..
            }
        )
    }

    /// Whether the send certainly ran nowhere, by what the caller was told.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        *self == Self::NotSent || self.outcome() == Some(Outcome::NotRun)
    }
}

impl Call {
    /// How the last send ended.
    #[must_use]
    pub fn end(&self) -> Option<&End> {
        self.attempts.last().map(|attempt| &attempt.end)
    }

    /// Whether the caller has what it asked for.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.end().is_some_and(End::is_good)
    }

    /// How long the caller waited, counted from when the call should have been made.
    #[must_use]
    pub fn latency(&self) -> Span {
        self.done.since(self.intended)
    }
}
