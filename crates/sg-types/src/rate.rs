//! Request rates and link bandwidths.

use std::{fmt, str::FromStr};

use crate::parse::{self, text_serde};

/// Millionths of a request in one request.
pub const MICRO: u64 = 1_000_000;

const RATE_EXAMPLE: &str = "50/s or 0.5/s";
const BANDWIDTH_EXAMPLE: &str = "280Mbit/s or 4Gbit/s";

/// Requests per second, stored in millionths of a request so that the shares of a
/// budget add up exactly. The text form is `50/s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Rate(u64);

impl Rate {
    /// Zero requests per second.
    pub const ZERO: Self = Self(0);

    /// The largest rate, up to which the text form can be read.
    pub const MAX: Self = Self(1_000_000_000 * MICRO);

    /// Creates a rate of `micros` millionths of a request per second, or the largest rate.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        if micros > Self::MAX.0 {
            return Self::MAX;
        }
        Self(micros)
    }

    /// Creates a rate of `requests` requests per second, or the largest rate.
    #[must_use]
    pub const fn per_second(requests: u64) -> Self {
        Self::from_micros(requests.saturating_mul(MICRO))
    }

    /// Returns the rate in millionths of a request per second.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICRO as f64
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_f64())
    }
}

impl FromStr for Rate {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (value, unit) = parse::split_number(text, RATE_EXAMPLE)?;
        if unit != "/s" {
            return Err(parse::Error::Unit {
                unit: unit.to_owned(),
                example: RATE_EXAMPLE,
            });
        }
        if value > Self::MAX.as_f64() {
            return Err(parse::Error::Range {
                text: text.to_owned(),
                min: "0/s",
                max: "1000000000/s",
            });
        }
        Ok(Self((value * MICRO as f64).round() as u64))
    }
}

text_serde!(Rate);

/// The bandwidth of a link in bits per second. The text form is `280Mbit/s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Bandwidth(u64);

impl Bandwidth {
    /// Creates a bandwidth of `bits` bits per second.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the bandwidth in bits per second.
    #[must_use]
    pub const fn as_bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const UNITS: [(u64, &str); 3] = [
            (1_000_000_000, "Gbit/s"),
            (1_000_000, "Mbit/s"),
            (1_000, "kbit/s"),
        ];
        let unit = UNITS
            .iter()
            .find(|(bits, _)| self.0 != 0 && self.0.is_multiple_of(*bits));
        match unit {
            Some((bits, name)) => write!(f, "{}{name}", self.0 / bits),
            None => write!(f, "{}bit/s", self.0),
        }
    }
}

impl FromStr for Bandwidth {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (value, unit) = parse::split_number(text, BANDWIDTH_EXAMPLE)?;
        let bits = match unit {
            "bit/s" => 1.0,
            "kbit/s" => 1e3,
            "Mbit/s" => 1e6,
            "Gbit/s" => 1e9,
            _ => {
                return Err(parse::Error::Unit {
                    unit: unit.to_owned(),
                    example: BANDWIDTH_EXAMPLE,
                });
            }
        };
        Ok(Self((value * bits).round() as u64))
    }
}

text_serde!(Bandwidth);
