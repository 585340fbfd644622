//! Site numbers.

use serde::{Deserialize, Serialize};

/// The position of a site in the list of site names that a table is built with.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(u16);

impl Index {
    /// Creates an index from its number.
    #[must_use]
    pub const fn new(value: u16) -> Self {
        Self(value)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}
