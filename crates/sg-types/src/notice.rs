//! Notices that an instance broadcasts to all others about suspect requests, leaving targets and
//! stopping instances.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    id,
    parse::{self, text_serde},
    revision::Incarnation,
    time::Span,
};

/// A digest of a request's account, method, path and body. The request's name, which the caller
/// chooses, is not part of the digest. The text form is 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Creates a fingerprint from the digest's value.
    #[must_use]
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the digest as a number.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| parse::Error::Number {
                text: text.chars().take(64).collect(),
                example: "32 hexadecimal digits",
            })
    }
}

text_serde!(Fingerprint);

/// A notice broadcast to all instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Notice {
    /// A target was lost while it ran a request.
    Suspect {
        /// The client account of the request; `None` on open routes.
        account: Option<id::Account>,
        /// The service.
        service: id::Service,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The target that was lost.
        target: id::Target,
        /// Number of requests from the reporting instance that were in flight on the target.
        in_flight: u32,
    },
    /// A target announced that it is leaving, or was observed to leave.
    Leaving {
        /// The service.
        service: id::Service,
        /// The target.
        target: id::Target,
    },
    /// An instance is about to stop. Lookup responses must not name the instance, and it gets no
    /// share of a budget.
    Stopping {
        /// The instance.
        instance: id::Instance,
        /// The incarnation that stops.
        incarnation: Incarnation,
        /// Time until the instance has stopped.
        within: Span,
    },
}
