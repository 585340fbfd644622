//! Selection of regions in the exact proportions of a split.

use sg_types::{percent::PPM_PER_WHOLE, prelude::*};

/// Smooth weighted round robin. After any number of selections, the count of each region differs
/// from its exact share by at most the number of regions.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Sets the shares. Credits are kept unless the number of regions changes.
    pub(crate) fn set_weights(&mut self, shares: impl IntoIterator<Item = Percent>) {
        self.weights = shares.into_iter().map(Percent::as_ppm).collect();
        if self.credits.len() != self.weights.len() {
            self.credits = vec![0; self.weights.len()];
        }
    }

    /// Returns the index of the next region, or `None` if no region has a share.
    pub(crate) fn next_index(&mut self) -> Option<usize> {
        let mut best = None;
        for (index, credit) in self.credits.iter_mut().enumerate() {
            let weight = self.weights[index];
            *credit += i64::from(weight);
            let is_higher = best.is_none_or(|(_, highest)| *credit > highest);
            if weight > 0 && is_higher {
                best = Some((index, *credit));
            }
        }
        let (index, _) = best?;
        self.credits[index] -= i64::from(PPM_PER_WHOLE);
        Some(index)
    }
}
