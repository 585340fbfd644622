//! Monotonic instants and time spans, in nanoseconds.
//!
//! Functions that make decisions take an [`Instant`] as an argument and never read a clock, so that
//! tests control the time.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    str::FromStr,
    time::Duration,
};

use crate::parse::{self, text_serde};

const NANOS_PER_MICRO: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;
const NANOS_PER_SEC: u64 = 1_000_000_000;
const EXAMPLE: &str = "250ms, 5s, 10m or 1h";

/// A point on a process's monotonic clock, in nanoseconds since the clock's start.
///
/// Instants of different processes can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Instant(u64);

impl Instant {
    /// The start of the clock.
    pub const START: Self = Self(0);

    /// Creates the instant `nanos` nanoseconds after the clock's start.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Returns the nanoseconds since the clock's start.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Instant {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Instant {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Instant {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

/// A length of time, in nanoseconds. The text form is a number and `ns`, `us`, `ms`, `s`, `m` or `h`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Span(u64);

impl Span {
    /// Zero time.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `nanos` nanoseconds.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Creates a span of `micros` microseconds, or the longest span.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros.saturating_mul(NANOS_PER_MICRO))
    }

    /// Creates a span of `millis` milliseconds, or the longest span.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(NANOS_PER_MILLI))
    }

    /// Creates a span of `secs` seconds, or the longest span.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(NANOS_PER_SEC))
    }

    /// Returns the span in nanoseconds.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / NANOS_PER_MILLI
    }

    /// Returns the span in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / NANOS_PER_SEC as f64
    }

    /// Returns the span multiplied by `factor`, saturating at zero and at the longest span.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }

    /// Returns `self - other`, or zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_nanos(span.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const UNITS: [(u64, &str); 5] = [
            (3_600 * NANOS_PER_SEC, "h"),
            (60 * NANOS_PER_SEC, "m"),
            (NANOS_PER_SEC, "s"),
            (NANOS_PER_MILLI, "ms"),
            (NANOS_PER_MICRO, "us"),
        ];
        if self.0 == 0 {
            return f.write_str("0s");
        }
        let unit = UNITS
            .iter()
            .find(|(nanos, _)| self.0.is_multiple_of(*nanos));
        match unit {
            Some((nanos, name)) => write!(f, "{}{name}", self.0 / nanos),
            None => write!(f, "{}ns", self.0),
        }
    }
}

impl FromStr for Span {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (value, unit) = parse::split_number(text, EXAMPLE)?;
        let nanos = match unit {
            "ns" => 1,
            "us" => NANOS_PER_MICRO,
            "ms" => NANOS_PER_MILLI,
            "s" => NANOS_PER_SEC,
            "m" => 60 * NANOS_PER_SEC,
            "h" => 3_600 * NANOS_PER_SEC,
            _ => {
                return Err(parse::Error::Unit {
                    unit: unit.to_owned(),
                    example: EXAMPLE,
                });
            }
        };
        Ok(Self((value * nanos as f64).round() as u64))
    }
}

text_serde!(Span);
