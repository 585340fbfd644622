//! Ids of changes to the tree. The author of a change recognizes it by the id after a lost
//! response.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Id of a change: 128 random bits, written as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u128);

/// Error of parsing a text that is not a change id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a change id is 32 hexadecimal digits; copy it from the message of the change")]
pub struct ParseError;

impl Id {
    /// Creates an id from a number.
    #[must_use]
    pub const fn new(id: u128) -> Self {
        Self(id)
    }

    /// Generates a random id.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError)
    }
}

impl Serialize for Id {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
