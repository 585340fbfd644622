//! The id of a change to the tree, by which its author recognises it after a lost answer.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A change's id: 128 random bits. Text form: 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u128);

/// A text that is no change id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a change id is 32 hexadecimal digits; copy it from the message of the change")]
pub struct Malformed;

impl Id {
    /// Wraps a number.
    #[must_use]
    pub const fn new(id: u128) -> Self {
        Self(id)
    }

    /// Draws a new id.
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
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| Malformed)
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
