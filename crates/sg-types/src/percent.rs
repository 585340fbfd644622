//! Fractions in parts per million.

use std::{fmt, str::FromStr};

use crate::parse::{self, text_serde};

/// Parts per million in 100%.
pub const PPM_PER_WHOLE: u32 = 1_000_000;

const PPM_PER_PERCENT: f64 = 10_000.0;
const EXAMPLE: &str = "12.5%";

/// A fraction from 0% to 100%, stored in parts per million. The text form is `12.5%`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Percent(u32);

impl Percent {
    /// 0%.
    pub const ZERO: Self = Self(0);
    /// 100%.
    pub const FULL: Self = Self(PPM_PER_WHOLE);

    /// Creates a fraction of `ppm` parts per million, capped at 100%.
    #[must_use]
    pub const fn from_ppm(ppm: u32) -> Self {
        Self(if ppm > PPM_PER_WHOLE {
            PPM_PER_WHOLE
        } else {
            ppm
        })
    }

    /// Returns the fraction in parts per million.
    #[must_use]
    pub const fn as_ppm(self) -> u32 {
        self.0
    }

    /// Returns the fraction as a number from 0 to 1.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(PPM_PER_WHOLE)
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / PPM_PER_PERCENT)
    }
}

impl FromStr for Percent {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (value, unit) = parse::split_number(text, EXAMPLE)?;
        if unit != "%" {
            return Err(parse::Error::Unit {
                unit: unit.to_owned(),
                example: EXAMPLE,
            });
        }
        let ppm = (value * PPM_PER_PERCENT).round();
        if ppm > f64::from(PPM_PER_WHOLE) {
            return Err(parse::Error::Range {
                text: text.to_owned(),
                min: "0%",
                max: "100%",
            });
        }
        Ok(Self(ppm as u32))
    }
}

text_serde!(Percent);
