//! Sites by number.

use serde::{Deserialize, Serialize};

/// The number of a site in its table's list of names.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(u16);

impl Index {
    /// Wraps a number.
    #[must_use]
    pub const fn new(value: u16) -> Self {
        Self(value)
    }

    /// The number.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}
