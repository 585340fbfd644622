//! Data sizes in bytes.

use std::{fmt, str::FromStr};

use crate::parse::{self, text_serde};

const EXAMPLE: &str = "64KiB, 1MiB or 512B";
const UNITS: [(u64, &str); 4] = [
    (1 << 30, "GiB"),
    (1 << 20, "MiB"),
    (1 << 10, "KiB"),
    (1, "B"),
];

/// A number of bytes. The text form is a number and a binary unit, such as `64KiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Bytes(u64);

impl Bytes {
    /// Creates a size of `bytes` bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of bytes as a `usize`, saturating at `usize::MAX`.
    #[must_use]
    pub fn as_len(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = UNITS
            .iter()
            .find(|(size, _)| self.0 != 0 && self.0.is_multiple_of(*size));
        match unit {
            Some((size, name)) => write!(f, "{}{name}", self.0 / size),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for Bytes {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (value, unit) = parse::split_number(text, EXAMPLE)?;
        let size = UNITS.iter().find(|(_, name)| *name == unit);
        match size {
            Some((size, _)) => Ok(Self((value * *size as f64).round() as u64)),
            None => Err(parse::Error::Unit {
                unit: unit.to_owned(),
                example: EXAMPLE,
            }),
        }
    }
}

text_serde!(Bytes);
