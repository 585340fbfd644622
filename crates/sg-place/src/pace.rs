//! How fast the machine of a target works at a moment.

use std::{fmt, num::ParseIntError, str::FromStr};

/// Time that work takes on a target's machine at a moment, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pace(u32);

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(100);

    /// Creates a pace from a percentage of the usual time; zero counts as the usual pace.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Self {
        match percent {
            0 => Self::USUAL,
            percent => Self(percent),
        }
    }

    /// Returns the time that work takes in percent of the usual time.
    #[must_use]
    pub const fn percent(self) -> u32 {
        self.0
    }

    /// Returns the factor by which work takes longer than usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Pace {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::from_percent)
    }
}
