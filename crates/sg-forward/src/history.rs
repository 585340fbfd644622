//! What is truthfully said of a request, as a pure function of how its attempts went.

use sg_steer::End;
use sg_types::prelude::*;

/// How an attempt that brought no good answer went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No connection was made; no byte left.
    ConnectFailed,
    /// The target refused and said that the request did not run.
    Shed,
    /// The target refused, said that the request did not run, and takes no new work.
    Leaving,
    /// The connection was lost after bytes may have left.
    Lost,
    /// The connection brought no byte for too long.
    Silent,
    /// The deadline passed while the target worked.
    Late,
    /// The answer was cut short or its framing proves no end.
    Cut,
    /// The answer was larger than the tree allows, or belongs to another request.
    Wrong,
}

impl Step {
    /// The text form that the counters carry.
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

    /// Whether the target may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::Shed | Self::Leaving)
    }

    /// Whether the target was lost, which makes the request a suspect.
    #[must_use]
    pub const fn lost_target(self) -> bool {
        matches!(self, Self::Lost | Self::Cut)
    }

    /// Why the request has no answer, if this was its last attempt.
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

    /// What steering is told.
    #[must_use]
    pub const fn end(self, latency: Span) -> End {
        match self {
            Self::ConnectFailed => End::ConnectFailed,
            Self::Shed => End::Shed,
            Self::Leaving => End::Leaving,
            Self::Lost | Self::Cut => End::Lost,
            Self::Silent | Self::Late => End::TimedOut,
            Self::Wrong => End::Answered {
                latency,
                failed: true,
            },
        }
    }
}

/// The attempts of one request, in order, none of which brought a good answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct History {
    steps: Vec<Step>,
    refusal: Option<Reason>,
}

impl History {
    /// Adds an attempt.
    pub fn push(&mut self, step: Step) {
        self.steps.push(step);
    }

    /// Notes why no further attempt was made.
    pub fn refuse(&mut self, reason: Reason) {
        self.refusal = Some(reason);
    }

    /// Whether another attempt may be made. A request that may not be repeated moves on only from a
    /// connection that was never made.
    #[must_use]
    pub fn may_go_on(&self, repeatable: bool) -> bool {
        let untouched = self.steps.iter().all(|step| *step == Step::ConnectFailed);
        repeatable || untouched
    }

    /// The outcome and the reason of the refusal. `not-run` only if no attempt may have run.
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
