//! How fast the machine of a target works at a moment, and how long that holds.
//!
//! A pace changes many times a second, so a reported pace says something only for as long as paces were
//! observed to hold. Work that lasts longer is slowed only in part.

use std::{fmt, num::ParseIntError, str::FromStr};

use sg_types::prelude::*;

/// Part of the persistence below which the interval between two reports of a target makes them count for
/// less, because concurrent responses report the same moment.
const FULL_INTERVAL: f64 = 0.125;
/// Age of a reported pace, as a multiple of the persistence, from which the pace is not used: one in fifty
/// deviations lasts that long.
const STALE_PERSISTENCES: f64 = 4.0;
/// Deviation from the usual pace up to which a pace counts as the usual one. Work varies by more than that
/// by itself, and if such differences decided, requests about one object would spread over targets where it
/// is cold.
const TOLERANCE: f64 = 0.25;
/// Weight of observations from which older ones are forgotten, so that the persistence follows changes
/// of the machines.
const MAX_WEIGHT: f64 = 200.0;

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

    /// Returns the factor by which work takes longer than usual; 1 for small deviations.
    #[must_use]
    pub fn factor(self) -> f64 {
        let factor = f64::from(self.0) / f64::from(Self::USUAL.0);
        if (factor - 1.0).abs() <= TOLERANCE {
            return 1.0;
        }
        factor
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

/// A pace and when the target reported it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// The reported pace.
    pub pace: Pace,
    /// When the report arrived.
    pub at: Instant,
}

/// How long a deviation from the usual pace lasts, as observed between consecutive reports of targets.
#[derive(Debug, Clone, Copy, Default)]
pub struct Persistence {
    /// Weight of the deviations that held between two reports.
    weight: f64,
    /// Rate at which the observed deviations ended, times their weight, per second.
    end_rate: f64,
}

impl Persistence {
    /// Records two consecutive reports of one target. A pair is weighted by its deviation, because a small
    /// one says little. Rates are averaged rather than lengths, and a deviation that has ended adds no length:
    /// reports that lie far apart show only that deviations are shorter.
    pub fn record(&mut self, earlier: Sample, later: Sample) {
        let seconds = later.at.since(earlier.at).as_secs_f64();
        let deviation = earlier.pace.factor() - 1.0;
        if seconds <= 0.0 || deviation == 0.0 {
            return;
        }
        let lasts = self.seconds();
        let importance = match lasts > 0.0 && lasts.is_finite() {
            true => (seconds / (lasts * FULL_INTERVAL)).min(1.0),
            false => 1.0,
        };
        let left = ((later.pace.factor() - 1.0) / deviation).clamp(0.0, 1.0);
        if self.weight > MAX_WEIGHT {
            self.weight /= 2.0;
            self.end_rate /= 2.0;
        }
        let weight = deviation.abs() * importance;
        self.weight += weight * left;
        self.end_rate += weight * (1.0 - left) / seconds;
    }

    /// Adds the observations of `other`.
    pub fn add(&mut self, other: &Self) {
        self.weight += other.weight;
        self.end_rate += other.end_rate;
    }

    /// Returns the mean time that a deviation lasts in seconds: zero without observations, and infinite
    /// if no observed deviation has ended.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        self.weight / self.end_rate
    }

    /// Returns the time that `work_seconds` of usual work take if they begin `wait_seconds` from `now`.
    #[must_use]
    pub fn expected_seconds(
        &self,
        sample: Option<Sample>,
        work_seconds: f64,
        wait_seconds: f64,
        now: Instant,
    ) -> f64 {
        let lasts = self.seconds();
        let deviating = sample.filter(|sample| sample.pace.factor() != 1.0);
        let Some(sample) = deviating.filter(|_| lasts > 0.0) else {
            return work_seconds;
        };
        let age = now.since(sample.at).as_secs_f64() + wait_seconds;
        if age > lasts * STALE_PERSISTENCES {
            return work_seconds;
        }
        let still_holds = (-age / lasts).exp();
        let factor = sample.pace.factor();
        let slowed = held_seconds(work_seconds * factor, lasts);
        work_seconds + still_holds * slowed * (1.0 - 1.0 / factor)
    }

    /// Returns the time that work would have taken at the usual pace if it took `measured_seconds` until
    /// `now`. Without observations, a pace that was reported during the work counts for the whole work.
    #[must_use]
    pub fn usual_seconds(
        &self,
        sample: Option<Sample>,
        measured_seconds: f64,
        now: Instant,
    ) -> f64 {
        let Some(sample) = sample.filter(|sample| sample.pace.factor() != 1.0) else {
            return measured_seconds;
        };
        let age = now.since(sample.at).as_secs_f64();
        let slowed = match self.seconds() {
            0.0 if age > measured_seconds => 0.0,
            0.0 => measured_seconds,
            lasts => held_seconds(measured_seconds, lasts) * (-age / lasts).exp(),
        };
        measured_seconds - slowed * (1.0 - 1.0 / sample.pace.factor())
    }
}

/// Returns the part of `seconds` during which a pace that lasts `lasts` seconds on average still holds.
fn held_seconds(seconds: f64, lasts: f64) -> f64 {
    if lasts.is_infinite() {
        return seconds;
    }
    lasts * (1.0 - (-seconds / lasts).exp())
}
