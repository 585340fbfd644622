//! How a service's traffic is divided between regions.

use serde::{Deserialize, Serialize};
use sg_types::{percent::WHOLE, prelude::*};

/// Each region's part of the traffic. The parts add up to the whole, unless there is none.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Split(IndexMap<id::Region, Percent>);

/// The split of one service that an instance has in force, as told to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The service.
    pub service: id::Service,
    /// Its split.
    pub split: Split,
}

impl Split {
    /// A split in proportion to `weights`. Empty if no weight is more than zero.
    #[must_use]
    pub fn new(weights: impl IntoIterator<Item = (id::Region, f64)>) -> Self {
        let weights: Vec<_> = weights.into_iter().collect();
        let sum: f64 = weights.iter().map(|(_, weight)| weight.max(0.0)).sum();
        if !sum.is_finite() || sum <= 0.0 {
            return Self::default();
        }
        let mut parts = IndexMap::with_capacity(weights.len());
        for (region, weight) in weights {
            let ppm = (weight.max(0.0) / sum * f64::from(WHOLE)).floor() as u32;
            parts.insert(region, Percent::from_ppm(ppm));
        }
        let mut split = Self(parts);
        split.give_rest_to_largest();
        split
    }

    /// The part of `region`.
    #[must_use]
    pub fn part(&self, region: &id::Region) -> Percent {
        self.0.get(region).copied().unwrap_or_default()
    }

    /// The regions and their parts.
    pub fn parts(&self) -> impl Iterator<Item = (&id::Region, Percent)> {
        self.0.iter().map(|(region, part)| (region, *part))
    }

    /// Whether no region has a part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The part of the traffic that goes to another region under `other` than under `self`.
    #[must_use]
    pub fn distance(&self, other: &Self) -> Percent {
        let gains = other.parts().map(|(region, part)| {
            let before = self.part(region).as_ppm();
            part.as_ppm().saturating_sub(before)
        });
        Percent::from_ppm(gains.sum())
    }

    /// The split on the way from `self` to `goal` that moves at most `most`.
    #[must_use]
    pub fn toward(&self, goal: &Self, most: Percent) -> Self {
        let distance = self.distance(goal).as_ppm();
        if distance <= most.as_ppm() {
            return goal.clone();
        }
        let scale = |change: u32| {
            let part = u64::from(change) * u64::from(most.as_ppm()) / u64::from(distance);
            part as u32
        };
        let names: IndexSet<&id::Region> = self.0.keys().chain(goal.0.keys()).collect();
        let mut parts = IndexMap::with_capacity(names.len());
        for region in names {
            let (from, to) = (self.part(region).as_ppm(), goal.part(region).as_ppm());
            let part = if to >= from {
                from + scale(to - from)
            } else {
                // The losers give no less than the gainers take: round the loss up.
                (from - scale(from - to)).saturating_sub(1).max(to)
            };
            parts.insert(region.clone(), Percent::from_ppm(part));
        }
        let mut split = Self(parts);
        split.give_rest_to(self, goal);
        split
    }

    /// The mean of several splits. Empty if there are none.
    #[must_use]
    pub fn mean<'a>(splits: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sums: IndexMap<id::Region, f64> = IndexMap::new();
        for split in splits {
            for (region, part) in split.parts() {
                *sums.entry(region.clone()).or_default() += part.as_f64();
            }
        }
        Self::new(sums)
    }

    fn sum(&self) -> u32 {
        self.0.values().map(|part| part.as_ppm()).sum()
    }

    fn give_rest_to_largest(&mut self) {
        let rest = WHOLE.saturating_sub(self.sum());
        if let Some(part) = self.0.values_mut().max_by_key(|part| part.as_ppm()) {
            *part = Percent::from_ppm(part.as_ppm() + rest);
        }
    }

    /// Gives what rounding left back to the losers, so that no more than the wanted part moved.
    fn give_rest_to(&mut self, before: &Self, goal: &Self) {
        let mut rest = WHOLE.saturating_sub(self.sum());
        for (region, part) in &mut self.0 {
            let from = before.part(region).as_ppm();
            let room = from.saturating_sub(part.as_ppm());
            if goal.part(region).as_ppm() < from {
                let back = rest.min(room);
                *part = Percent::from_ppm(part.as_ppm() + back);
                rest -= back;
            }
        }
    }
}
