//! Derives the outcome of a request from its failed attempts, as a pure function.

use sg_steer::Completion;
use sg_types::prelude::*;

/// The way in which an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No connection was made and no byte was sent.
    ConnectFailed,
    /// The target refused and stated that the request did not run.
    Shed,
    /// The target refused, stated that the request did not run, and takes no new work.
    Leaving,
    /// The connection was lost after bytes may have been sent.
    Lost,
    /// The connection brought no byte within the progress timeout.
    Silent,
    /// The deadline passed while the target worked.
    Late,
    /// The response was truncated, or its framing doesn't show where the response ends.
    Cut,
    /// The response was larger than the tree allows, or belongs to another request.
    Wrong,
}

impl Step {
    /// Returns the label used in metrics and the journal.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect-failed",
            Self::Shed => "shed",
            Self::Leaving => "leaving",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Late => "late",
            Self::Cut => "cut",
            Self::Wrong => "wrong",
        }
    }

    /// Returns whether the target may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::Shed | Self::Leaving)
    }

    /// Returns whether the target was lost, which makes the request a suspect.
    #[must_use]
    pub const fn lost_target(self) -> bool {
        matches!(self, Self::Lost | Self::Cut)
    }

    /// Returns the reason for the refusal if this was the request's last attempt.
    #[must_use]
    pub const fn reason(self) -> Reason {
        match self {
            Self::ConnectFailed => Reason::ConnectFailed,
            Self::Shed | Self::Leaving => Reason::Shed,
            Self::Lost => Reason::ConnectionLost,
            Self::Silent | Self::Late => Reason::DeadlineRunning,
            Self::Cut | Self::Wrong => Reason::AnswerBroken,
        }
    }

    /// Returns the end of the attempt to report to steering.
    #[must_use]
    pub const fn end(self, latency: Span) -> Completion {
        match self {
            Self::ConnectFailed => Completion::ConnectFailed,
            Self::Shed => Completion::Shed,
            Self::Leaving => Completion::Leaving,
            Self::Lost | Self::Cut => Completion::ConnectionLost,
            Self::Silent | Self::Late => Completion::TimedOut,
            Self::Wrong => Completion::Responded {
                latency,
                failed: true,
            },
        }
    }
}

/// The attempts of one request, in order, all of which failed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct History {
    steps: Vec<Step>,
    refusal: Option<Reason>,
}

impl History {
    /// Adds a failed attempt.
    pub fn push(&mut self, step: Step) {
        self.steps.push(step);
    }

    /// Records why no further attempt was made.
    pub fn refuse(&mut self, reason: Reason) {
        self.refusal = Some(reason);
    }

    /// Returns whether another attempt may be made. A request that may not be repeated can be sent
    /// again only if no earlier attempt got a connection.
    #[must_use]
    pub fn may_go_on(&self, repeatable: bool) -> bool {
        let untouched = self.steps.iter().all(|step| *step == Step::ConnectFailed);
        repeatable || untouched
    }

    /// Returns the outcome and reason of the refusal. The outcome is `not-run` only if no attempt
    /// may have run the request.
    #[must_use]
    pub fn verdict(&self) -> (Outcome, Reason) {
        let ran = self.steps.iter().rev().find(|step| step.may_have_run());
        if let Some(step) = ran {
            return (Outcome::Unknown, step.reason());
        }
        let reason = match (self.steps.last(), self.refusal) {
            (Some(_), Some(Reason::RetryBudget)) => Reason::RetryBudget,
            (Some(step), _) => step.reason(),
            (None, Some(reason)) => reason,
            (None, None) => Reason::NoTarget,
        };
        (Outcome::NotRun, reason)
    }
}
