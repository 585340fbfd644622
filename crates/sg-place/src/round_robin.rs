//! Weighted round robin over the parts of a traffic split.

/// Smooth weighted round robin. After any number of requests, the count of each part differs from
/// its weighted share by about one at most.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the part that takes the next request, or `None` if no weight is above
    /// zero.
    pub fn next(&mut self, weights: impl IntoIterator<Item = u32>) -> Option<usize> {
        let weights: Vec<i64> = weights.into_iter().map(i64::from).collect();
        if weights.len() != self.credit.len() {
            self.credit = vec![0; weights.len()];
        }
        let total: i64 = weights.iter().sum();
        if total == 0 {
            return None;
        }
        for (credit, weight) in self.credit.iter_mut().zip(&weights) {
            *credit += weight;
        }
        let (chosen, _) = self
            .credit
            .iter()
            .enumerate()
            .filter(|(index, _)| weights[*index] > 0)
            .max_by_key(|(index, credit)| (**credit, std::cmp::Reverse(*index)))?;
        self.credit[chosen] -= total;
        Some(chosen)
    }
}
