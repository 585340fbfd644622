//! Latency histograms, which can be merged over instances.

use serde::{Deserialize, Serialize};
use sg_types::time::Span;

/// Number of buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Upper bound of the first bucket, in microseconds.
const FIRST_BOUND_MICROS: f64 = 64.0;
/// Number of buckets; the last bucket also counts all longer latencies.
const BUCKETS: usize = 80;
const NANOS_PER_MICRO: f64 = 1_000.0;

/// A histogram of latencies. The bucket bounds grow by a fixed factor, which keeps percentiles
/// accurate to within a fifth.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Latency(Vec<u64>);

impl Latency {
    /// Records one latency.
    pub fn record(&mut self, latency: Span) {
        let index = bucket_index(latency);
        if self.0.len() <= index {
            self.0.resize(index + 1, 0);
        }
        self.0[index] += 1;
    }

    /// Adds the counts of `other` to this histogram.
    pub fn merge(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (count, added) in self.0.iter_mut().zip(&other.0) {
            *count += added;
        }
    }

    /// Returns the increase since `earlier`, an earlier state of the same histogram.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let old = earlier.0.iter().copied().chain(std::iter::repeat(0));
        let counts = self.0.iter().zip(old);
        let mut counts: Vec<u64> = counts.map(|(now, old)| now.saturating_sub(old)).collect();
        let len = counts.iter().rposition(|count| *count > 0);
        counts.truncate(len.map_or(0, |last| last + 1));
        counts.shrink_to_fit();
        Self(counts)
    }

    /// Returns the memory use of the buckets in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        self.0.capacity() * size_of::<u64>()
    }

    /// Returns the number of recorded latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Returns the latency that `fraction` of the recorded latencies don't exceed, or `None` if
    /// no latency was recorded.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Option<Span> {
        let count = self.count();
        if count == 0 {
            return None;
        }
        let rank = (count as f64 * fraction).ceil().max(1.0) as u64;
        let mut seen = 0;
        let index = self.0.iter().position(|bucket| {
            seen += bucket;
            seen >= rank
        });
        index.map(upper_bound)
    }
}

fn bucket_index(latency: Span) -> usize {
    let micros = latency.as_nanos() as f64 / NANOS_PER_MICRO;
    if micros <= FIRST_BOUND_MICROS {
        return 0;
    }
    let index = ((micros / FIRST_BOUND_MICROS).log2() * BUCKETS_PER_DOUBLING).ceil();
    (index as usize).min(BUCKETS - 1)
}

/// Returns the upper bound of the bucket at `index`.
fn upper_bound(index: usize) -> Span {
    let micros = FIRST_BOUND_MICROS * 2f64.powf(index as f64 / BUCKETS_PER_DOUBLING);
    Span::from_nanos((micros * NANOS_PER_MICRO) as u64)
}
