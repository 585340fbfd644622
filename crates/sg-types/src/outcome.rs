//! What an answer says about its request: the outcome and the reason, both closed sets.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Whether a request ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran the request and its whole answer follows.
    Ran,
    /// No target ran the request or ever will on behalf of this exchange.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl Outcome {
    /// The text form that the outcome header carries.
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

/// A text that names no outcome or reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not in the closed set; see the callers' page for the names")]
pub struct Unlisted(String);

impl FromStr for Outcome {
    type Err = Unlisted;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Ran, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or_else(|| Unlisted(text.to_owned()))
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Why an answer has its outcome, and the HTTP status that goes with it.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in the order of the callers' page.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// The text form that the reason header and the counters carry.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// The HTTP status of a refusal for this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

reasons! {
    /// The target's whole answer was passed on.
    Answered = "answered", 200;
    /// The answer of an earlier send of the same request was passed on again.
    Replayed = "replayed", 200;
    /// No route of the tree matches the request.
    NoRoute = "no-route", 404;
    /// The route wants a key and the request has none.
    KeyMissing = "key-missing", 401;
    /// The key is not known or was withdrawn.
    KeyRefused = "key-refused", 401;
    /// This instance can't know whether keys were withdrawn.
    Stale = "stale", 503;
    /// No revision of the tree is in force here yet.
    NoTree = "no-tree", 503;
    /// The client account is over its rate and burst.
    OverRate = "over-rate", 429;
    /// The client account's queue is full.
    QueueFull = "queue-full", 429;
    /// The deadline passed before a target was asked.
    Deadline = "deadline", 504;
    /// The deadline passed while a target worked.
    DeadlineRunning = "deadline-running", 504;
    /// The headers are larger than the tree allows.
    HeadersTooLarge = "headers-too-large", 431;
    /// The body is larger than the tree allows.
    BodyTooLarge = "body-too-large", 413;
    /// The body ended before its stated end, or came too slowly.
    BodyIncomplete = "body-incomplete", 400;
    /// The request is malformed, or carries its key where a key may not stand.
    Malformed = "malformed", 400;
    /// The route may not be repeated and the request has no ticket.
    TicketMissing = "ticket-missing", 428;
    /// The ticket is forged, or was used for another request.
    TicketMismatch = "ticket-mismatch", 409;
    /// The ticket is past its time.
    TicketExpired = "ticket-expired", 409;
    /// The instance that issued the ticket can't be asked whether the request ran.
    IssuerGone = "issuer-gone", 503;
    /// An earlier send of the request ended without a known outcome.
    EarlierUnknown = "earlier-unknown", 502;
    /// The request ran and its answer is no longer kept.
    AnswerGone = "answer-gone", 410;
    /// The request is quarantined: targets were lost while they ran it.
    Quarantined = "quarantined", 422;
    /// No target may take the request now.
    NoTarget = "no-target", 503;
    /// The region is at its capacity.
    RegionFull = "region-full", 503;
    /// The shift toward another region is at its cap.
    ShiftCapped = "shift-capped", 503;
    /// A target refused the request and said that it did not run.
    Shed = "shed", 503;
    /// No connection to a target could be made.
    ConnectFailed = "connect-failed", 502;
    /// The connection was lost after bytes of the request may have left.
    ConnectionLost = "connection-lost", 502;
    /// The answer was cut short, late or longer than stated.
    AnswerBroken = "answer-broken", 502;
    /// The instance is about to stop and takes no new work.
    Leaving = "leaving", 503;
    /// The fleet-wide retry budget is used up.
    RetryBudget = "retry-budget", 503;
    /// This instance is at its own limit of concurrent work.
    Overloaded = "overloaded", 503;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = Unlisted;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| Unlisted(text.to_owned()))
    }
}
