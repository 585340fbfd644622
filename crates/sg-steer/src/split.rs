//! Division of a service's traffic between regions.

use serde::{Deserialize, Serialize};
use sg_types::{percent::PPM_PER_WHOLE, prelude::*};

/// Share of the traffic of each region. The shares add up to 100% unless the split is empty.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Split(IndexMap<id::Region, Percent>);

/// The current split of one service on an instance, as sent to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSplit {
    /// The service.
    pub service: id::Service,
    /// The split of the service.
    pub split: Split,
}

impl Split {
    /// Returns a split in proportion to `weights`. Empty if no weight is greater than zero.
    #[must_use]
    pub fn new(weights: impl IntoIterator<Item = (id::Region, f64)>) -> Self {
        let weights: Vec<_> = weights.into_iter().collect();
        let sum: f64 = weights.iter().map(|(_, weight)| weight.max(0.0)).sum();
        if !sum.is_finite() || sum <= 0.0 {
            return Self::default();
        }
        let mut shares = IndexMap::with_capacity(weights.len());
        for (region, weight) in weights {
            let ppm = (weight.max(0.0) / sum * f64::from(PPM_PER_WHOLE)).floor() as u32;
            shares.insert(region, Percent::from_ppm(ppm));
        }
        let mut split = Self(shares);
        split.assign_remainder_to_largest();
        split
    }

    /// Returns the share of `region`.
    #[must_use]
    pub fn share(&self, region: &id::Region) -> Percent {
        self.0.get(region).copied().unwrap_or_default()
    }

    /// Returns the regions and their shares.
    pub fn shares(&self) -> impl Iterator<Item = (&id::Region, Percent)> {
        self.0.iter().map(|(region, share)| (region, *share))
    }

    /// Returns whether the split contains no region.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the share of the traffic that goes to another region under `other` than under
    /// `self`.
    #[must_use]
    pub fn distance(&self, other: &Self) -> Percent {
        let gains = other.shares().map(|(region, share)| {
            let previous = self.share(region).as_ppm();
            share.as_ppm().saturating_sub(previous)
        });
        Percent::from_ppm(gains.sum())
    }

    /// Returns the split between `self` and `goal` that moves at most `limit` of the traffic.
    #[must_use]
    pub fn toward(&self, goal: &Self, limit: Percent) -> Self {
        let distance = self.distance(goal).as_ppm();
        if distance <= limit.as_ppm() {
            return goal.clone();
        }
        let scale = |change: u32| {
            let scaled = u64::from(change) * u64::from(limit.as_ppm()) / u64::from(distance);
            scaled as u32
        };
        let names: IndexSet<&id::Region> = self.0.keys().chain(goal.0.keys()).collect();
        let mut shares = IndexMap::with_capacity(names.len());
        for region in names {
            let (from, to) = (self.share(region).as_ppm(), goal.share(region).as_ppm());
            let share = if to >= from {
                from + scale(to - from)
            } else {
                // Rounds losses up, so that the regions that lose traffic give at least what the
                // others gain.
                (from - scale(from - to)).saturating_sub(1).max(to)
            };
            shares.insert(region.clone(), Percent::from_ppm(share));
        }
        let mut split = Self(shares);
        split.assign_remainder_to_losing(self, goal);
        split
    }

    /// Returns the mean of several splits. Empty if there are none.
    #[must_use]
    pub fn mean<'a>(splits: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sums: IndexMap<id::Region, f64> = IndexMap::new();
        for split in splits {
            for (region, share) in split.shares() {
                *sums.entry(region.clone()).or_default() += share.as_f64();
            }
        }
        Self::new(sums)
    }

    fn sum(&self) -> u32 {
        self.0.values().map(|share| share.as_ppm()).sum()
    }

    fn assign_remainder_to_largest(&mut self) {
        let remainder = PPM_PER_WHOLE.saturating_sub(self.sum());
        if let Some(share) = self.0.values_mut().max_by_key(|share| share.as_ppm()) {
            *share = Percent::from_ppm(share.as_ppm() + remainder);
        }
    }

    /// Adds the rounding remainder to the shares of the regions that lose traffic, so that no more
    /// than the allowed share moves.
    fn assign_remainder_to_losing(&mut self, previous: &Self, goal: &Self) {
        let mut remainder = PPM_PER_WHOLE.saturating_sub(self.sum());
        for (region, share) in &mut self.0 {
            let from = previous.share(region).as_ppm();
            let reduction = from.saturating_sub(share.as_ppm());
            if goal.share(region).as_ppm() < from {
                let added = remainder.min(reduction);
                *share = Percent::from_ppm(share.as_ppm() + added);
                remainder -= added;
            }
        }
    }
}
