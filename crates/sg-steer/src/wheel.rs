//! Draws regions in the exact proportions of a split.

use sg_types::{percent::WHOLE, prelude::*};

/// Smooth weighted round robin: after any number of draws each region has had its part of them to
/// within the number of regions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Wheel {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl Wheel {
    /// Sets the parts. Credits stay, unless the number of regions changes.
    pub(crate) fn set(&mut self, parts: impl IntoIterator<Item = Percent>) {
        self.weights = parts.into_iter().map(Percent::as_ppm).collect();
        if self.credits.len() != self.weights.len() {
            self.credits = vec![0; self.weights.len()];
        }
    }

    /// Draws the next region's index. `None` if no region has a part.
    pub(crate) fn draw(&mut self) -> Option<usize> {
        let mut best = None;
        for (index, credit) in self.credits.iter_mut().enumerate() {
            let weight = self.weights[index];
            *credit += i64::from(weight);
            let better = best.is_none_or(|(_, most)| *credit > most);
            if weight > 0 && better {
                best = Some((index, *credit));
            }
        }
        let (index, _) = best?;
        self.credits[index] -= i64::from(WHOLE);
        Some(index)
    }
}
