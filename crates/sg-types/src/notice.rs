//! What instances tell all others at once: suspects, quarantines and leaving targets.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    id,
    parse::{self, text_serde},
    revision::Incarnation,
    time::Span,
};

/// A digest of a request's account, method, path and body that doesn't depend on what its caller
/// says of it. Text form: 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Wraps a digest.
    #[must_use]
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// The digest as a number.
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

/// A notice to all instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Notice {
    /// A target was lost while it ran this request.
    Suspect {
        /// Whose request it was; `None` on open routes.
        account: Option<id::Account>,
        /// The service.
        service: id::Service,
        /// The request.
        fingerprint: Fingerprint,
        /// The target that was lost.
        target: id::Target,
        /// How many requests were in flight on that target from the instance that tells.
        in_flight: u32,
    },
    /// A target says that it leaves, or is seen to.
    Leaving {
        /// The service.
        service: id::Service,
        /// The target.
        target: id::Target,
    },
    /// An instance is about to stop: name it in no look-up and give it no share.
    Stopping {
        /// The instance.
        instance: id::Instance,
        /// The run of it that stops.
        incarnation: Incarnation,
        /// How long until it is gone.
        within: Span,
    },
}
