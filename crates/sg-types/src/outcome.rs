//! The outcome of a request and the reason for it, as reported in the response.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Whether a request ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran the request and its complete response follows.
    Ran,
    /// No target ran the request, and none will run this submission of it.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the text form used in the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a text that is not the name of an outcome or reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a known outcome or reason; see the callers' page for the names")]
pub struct UnknownName(String);

impl FromStr for Outcome {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Ran, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or_else(|| UnknownName(text.to_owned()))
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// The reason for an outcome. Each reason has an HTTP status.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, in the order in which the callers' page lists them.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the text form used in the reason header and in the counters.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status of a refusal for this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Returns whether the configuration alone decides on refusals for this reason.
            #[must_use]
            pub const fn is_decided_by_configuration(self) -> bool {
                matches!(
                    self,
                    Self::NoRoute | Self::KeyMissing | Self::KeyRefused | Self::BodyTooLarge
                )
            }
        }
    };
}

reasons! {
    /// The target's complete response was forwarded.
    Answered = "answered", 200;
    /// The stored response to an earlier submission of the same request was returned.
    Replayed = "replayed", 200;
    /// No route of the tree matches the request.
    NoRoute = "no-route", 404;
    /// The route requires a key and the request has none.
    KeyMissing = "key-missing", 401;
    /// The key is unknown or was withdrawn.
    KeyRefused = "key-refused", 401;
    /// The instance can't determine whether keys were withdrawn since the instance's last update.
    Stale = "stale", 503;
    /// The instance has not loaded a revision of the tree yet.
    NoTree = "no-tree", 503;
    /// The client account exceeded its rate and burst.
    OverRate = "over-rate", 429;
    /// The client account's queue is full.
    QueueFull = "queue-full", 429;
    /// The deadline passed before the request was sent to a target.
    Deadline = "deadline", 504;
    /// The deadline passed while a target was processing the request.
    DeadlineRunning = "deadline-running", 504;
    /// The headers are larger than the tree allows.
    HeadersTooLarge = "headers-too-large", 431;
    /// The body is larger than the tree allows.
    BodyTooLarge = "body-too-large", 413;
    /// The body ended before its declared length, or arrived too slowly.
    BodyIncomplete = "body-incomplete", 400;
    /// The caller sent nothing of the body for too long.
    BodyStalled = "body-stalled", 408;
    /// The request is malformed, or carries its key in a place where keys are not allowed.
    Malformed = "malformed", 400;
    /// Requests of the route may not be repeated, and the request has no ticket.
    TicketMissing = "ticket-missing", 428;
    /// The ticket is forged, or was used for a different request.
    TicketMismatch = "ticket-mismatch", 409;
    /// The ticket has expired.
    TicketExpired = "ticket-expired", 409;
    /// The instance that issued the ticket is unreachable, so whether the request ran is unknown.
    IssuerGone = "issuer-gone", 503;
    /// An earlier submission of the request ended with an unknown outcome.
    EarlierUnknown = "earlier-unknown", 502;
    /// The request ran, but its response is no longer stored.
    AnswerGone = "answer-gone", 410;
    /// The request is quarantined: targets were lost while they ran it.
    Quarantined = "quarantined", 422;
    /// No target can currently accept the request.
    NoTarget = "no-target", 503;
    /// The region is at capacity.
    RegionFull = "region-full", 503;
    /// All targets asked for a pause.
    TargetsPaused = "targets-paused", 503;
    /// The traffic shift toward another region reached its cap.
    ShiftCapped = "shift-capped", 503;
    /// A target refused the request and reported that it did not run it.
    Shed = "shed", 503;
    /// No connection to a target could be established.
    ConnectFailed = "connect-failed", 502;
    /// The connection was lost after bytes of the request may have been sent.
    ConnectionLost = "connection-lost", 502;
    /// The response was truncated, late or longer than declared.
    AnswerBroken = "answer-broken", 502;
    /// The instance is about to stop and accepts no new requests.
    Leaving = "leaving", 503;
    /// The fleet-wide retry budget is exhausted.
    RetryBudget = "retry-budget", 503;
    /// The instance reached its limit of concurrent requests.
    Overloaded = "overloaded", 503;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| UnknownName(text.to_owned()))
    }
}
