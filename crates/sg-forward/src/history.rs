//! Derives the outcome of a request from its failed attempts, without I/O.

use sg_steer::Completion;
use sg_types::prelude::*;

/// The way in which an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made and no byte was sent.
    ConnectFailed,
    /// The target refused and stated that the request did not run.
    Shed,
    /// The target refused, stated that the request did not run, and takes no new work.
    Leaving,
    /// The connection was lost after bytes may have been sent.
    ConnectionLost,
    /// The connection brought no byte within the progress timeout.
    NoProgress,
    /// The deadline passed while the target worked.
    DeadlinePassed,
    /// The response was truncated, or its framing does not show where the response ends.
    Truncated,
    /// The response was larger than the tree allows, or belongs to another request.
    Invalid,
}

impl Failure {
    /// Returns the label used in metrics and the journal.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect-failed",
            Self::Shed => "shed",
            Self::Leaving => "leaving",
            Self::ConnectionLost => "lost",
            Self::NoProgress => "silent",
            Self::DeadlinePassed => "late",
            Self::Truncated => "cut",
            Self::Invalid => "wrong",
        }
    }

    /// Returns whether the target may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::Shed | Self::Leaving)
    }

    /// Returns whether the target was lost, which makes the request a suspect.
    #[must_use]
    pub const fn is_target_lost(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::Truncated)
    }

    /// Returns the reason for the refusal if this was the request's last attempt.
    #[must_use]
    pub const fn reason(self) -> Reason {
        match self {
            Self::ConnectFailed => Reason::ConnectFailed,
            Self::Shed | Self::Leaving => Reason::Shed,
            Self::ConnectionLost => Reason::ConnectionLost,
            Self::NoProgress | Self::DeadlinePassed => Reason::DeadlineRunning,
            Self::Truncated | Self::Invalid => Reason::AnswerBroken,
        }
    }

    /// Returns the completion to report to the target selection.
    #[must_use]
    pub const fn completion(self, latency: Span) -> Completion {
        match self {
            Self::ConnectFailed => Completion::ConnectFailed,
            Self::Shed => Completion::Shed,
            Self::Leaving => Completion::Leaving,
            Self::ConnectionLost | Self::Truncated => Completion::ConnectionLost,
            Self::NoProgress | Self::DeadlinePassed => Completion::TimedOut,
            Self::Invalid => Completion::Responded {
                latency,
                failed: true,
            },
        }
    }
}

/// The failed attempts of one request, in order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct History {
    failures: Vec<Failure>,
    refusal: Option<Reason>,
}

impl History {
    /// Records a failed attempt.
    pub fn record_failure(&mut self, failure: Failure) {
        self.failures.push(failure);
    }

    /// Records why no further attempt was made.
    pub fn record_refusal(&mut self, reason: Reason) {
        self.refusal = Some(reason);
    }

    /// Returns whether another attempt may be made. A request that may not be repeated can be sent
    /// again only if no earlier attempt got a connection.
    #[must_use]
    pub fn may_send_again(&self, repeatable: bool) -> bool {
        let never_connected = self
            .failures
            .iter()
            .all(|failure| *failure == Failure::ConnectFailed);
        repeatable || never_connected
    }

    /// Returns the outcome and reason of the refusal. The outcome is `not-run` only if no attempt
    /// may have run the request.
    #[must_use]
    pub fn outcome(&self) -> (Outcome, Reason) {
        let ran = self
            .failures
            .iter()
            .rev()
            .find(|failure| failure.may_have_run());
        if let Some(failure) = ran {
            return (Outcome::Unknown, failure.reason());
        }
        let reason = match (self.failures.last(), self.refusal) {
            (Some(_), Some(Reason::RetryBudget)) => Reason::RetryBudget,
            (Some(failure), _) => failure.reason(),
            (None, Some(reason)) => reason,
            (None, None) => Reason::NoTarget,
        };
        (Outcome::NotRun, reason)
    }
}
