//! Keeps requests away from a target that asked this instance to come back later.
//!
//! The load: targets whose queue is full turn requests away and state when they want the next one. The
//! pause holds for this instance only, because a target tells each instance its own time. After the pause
//! one request goes first, and the others follow once that one has ended well, so that the target does not
//! get at once all that was held back.

use sg_types::prelude::*;

use crate::self_report::RetryAfter;

/// Maximum length of a pause. A target that states more is most likely in error; its next run ends the
/// pause anyway.
const MAX_PAUSE: Span = Span::from_secs(600);
/// Length of a pause whose stated length can't be read.
const UNREADABLE_PAUSE: Span = Span::from_secs(1);

/// A pause that a target asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pause {
    state: State,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    /// The target takes requests.
    #[default]
    Open,
    /// No request may be sent before `until`, and a single one after that.
    Paused { until: Instant, length: Span },
    /// A single request was sent after a pause of `length`.
    Trial { sent_at: Instant, length: Span },
}

impl Pause {
    /// Starts or extends the pause that the target asks for. Returns the length of the pause from now on
    /// if the target asked for one.
    pub fn extend(&mut self, retry_after: RetryAfter, now: Instant) -> Option<Span> {
        let length = match retry_after {
            RetryAfter::In(length) => length.min(MAX_PAUSE),
            RetryAfter::Unreadable => UNREADABLE_PAUSE,
        };
        if length == Span::ZERO {
            return None;
        }
        let until = match self.state {
            State::Paused { until, .. } => until.max(now + length),
            State::Open | State::Trial { .. } => now + length,
        };
        self.state = State::Paused { until, length };
        Some(until.since(now))
    }

    /// Returns whether the target wants no request at all now.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        matches!(self.state, State::Paused { until, .. } if now < until)
    }

    /// Returns when a request may be sent, as a time from now: zero if one may be sent at once. While a
    /// single request is on its way, the others wait for its end, but no longer than the pause lasted.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Span {
        match self.state {
            State::Open => Span::ZERO,
            State::Paused { until, .. } => until.since(now),
            State::Trial { sent_at, length } => (sent_at + length).since(now),
        }
    }

    /// Returns whether one more request may be sent.
    #[must_use]
    pub fn admits(&self, now: Instant) -> bool {
        self.remaining(now) == Span::ZERO
    }

    /// Records that a request is sent to the target.
    pub fn record_send(&mut self, now: Instant) {
        self.state = match self.state {
            State::Paused { until, length } if now >= until => State::Trial {
                sent_at: now,
                length,
            },
            State::Trial { sent_at, length } if now >= sent_at + length => State::Open,
            unchanged => unchanged,
        };
    }

    /// Records that a request to the target has ended. `is_served` says whether the target ran it.
    pub fn record_end(&mut self, is_served: bool) {
        if let State::Trial { sent_at, length } = self.state {
            self.state = match is_served {
                true => State::Open,
                // The next request is another trial.
                false => State::Paused {
                    until: sent_at,
                    length,
                },
            };
        }
    }
}
