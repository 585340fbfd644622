//! Latencies in buckets that add up over instances.

use serde::{Deserialize, Serialize};
use sg_types::time::Span;

/// Buckets for each doubling of the latency.
const PER_DOUBLING: f64 = 4.0;
/// The upper end of the first bucket, in microseconds.
const FIRST_MICROS: f64 = 64.0;
/// The number of buckets; the last one takes all that is longer.
const BUCKETS: usize = 80;
const NANOS_PER_MICRO: f64 = 1_000.0;

/// A histogram of latencies. Bounds grow by a fixed factor, so that a percentile is right to
/// within a fifth.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Latency(Vec<u64>);

impl Latency {
    /// Counts one latency.
    pub fn record(&mut self, latency: Span) {
        let index = bucket(latency);
        if self.0.len() <= index {
            self.0.resize(index + 1, 0);
        }
        self.0[index] += 1;
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (mine, theirs) in self.0.iter_mut().zip(&other.0) {
            *mine += theirs;
        }
    }

    /// The counts that came since `earlier`, a state of the same histogram.
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

    /// How many bytes the buckets take.
    pub(crate) fn bytes(&self) -> usize {
        self.0.capacity() * size_of::<u64>()
    }

    /// How many latencies were counted.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.iter().sum()
    }

    /// The latency that `fraction` of all counted ones don't exceed; `None` if there are none.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Option<Span> {
        let count = self.count();
        if count == 0 {
            return None;
        }
        let wanted = (count as f64 * fraction).ceil().max(1.0) as u64;
        let mut seen = 0;
        let index = self.0.iter().position(|bucket| {
            seen += bucket;
            seen >= wanted
        });
        index.map(bound)
    }
}

fn bucket(latency: Span) -> usize {
    let micros = latency.as_nanos() as f64 / NANOS_PER_MICRO;
    if micros <= FIRST_MICROS {
        return 0;
    }
    let index = ((micros / FIRST_MICROS).log2() * PER_DOUBLING).ceil();
    (index as usize).min(BUCKETS - 1)
}

/// The upper end of a bucket.
fn bound(index: usize) -> Span {
    let micros = FIRST_MICROS * 2f64.powf(index as f64 / PER_DOUBLING);
    Span::from_nanos((micros * NANOS_PER_MICRO) as u64)
}
