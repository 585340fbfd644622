//! Samples of the counters over time. Memory is limited in bytes. Samples far from any change of
//! revision are merged, so that memory does not grow while the revision is unchanged.

use std::collections::VecDeque;

use sg_report::Counts;
use sg_types::prelude::*;

/// Minimum time between two samples. A change within this time of the previous sample uses that
/// sample.
pub(super) const MIN_SPACING: Span = Span::from_secs(2);
/// Minimum distance from a change of revision for a sample to be merged.
const MERGE_DISTANCE: Span = Span::from_secs(120);
/// Default limit on the memory of all samples, in bytes.
const MEMORY_LIMIT_BYTES: usize = 64 << 20;

/// A point in time with the counts since the previous sample.
#[derive(Debug, Clone)]
struct Sample {
    at: Instant,
    counts: Counts,
    bytes: usize,
}

impl Sample {
    fn new(at: Instant, counts: Counts) -> Self {
        let bytes = counts.size_bytes();
        Self { at, counts, bytes }
    }
}

/// Samples in order of time. The counts of the first sample are empty, since no sample precedes
/// the first one.
#[derive(Debug)]
pub(super) struct Samples {
    samples: VecDeque<Sample>,
    /// Counters at the latest sample.
    latest: Counts,
    bytes: usize,
    limit_bytes: usize,
}

impl Default for Samples {
    fn default() -> Self {
        Self {
            samples: VecDeque::new(),
            latest: Counts::default(),
            bytes: 0,
            limit_bytes: MEMORY_LIMIT_BYTES,
        }
    }
}

impl Samples {
    pub(super) fn with_memory_limit(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            ..Self::default()
        }
    }

    /// Returns the time of the oldest sample.
    pub(super) fn first_at(&self) -> Option<Instant> {
        self.samples.front().map(|sample| sample.at)
    }

    /// Returns the time of the latest sample.
    pub(super) fn last_at(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.at)
    }

    /// Returns the memory that the samples use, in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the time of the sample that belongs to a change at `now`. Takes a sample if the
    /// latest one is [`MIN_SPACING`] old or older.
    pub(super) fn sample_for_change(&mut self, counts: Counts, now: Instant) -> Instant {
        match self.last_at() {
            Some(last) if now.since(last) < MIN_SPACING => last,
            _ => {
                self.push(counts, now);
                now
            }
        }
    }

    /// Adds a sample at `now`.
    pub(super) fn push(&mut self, counts: Counts, now: Instant) {
        let delta = match self.samples.is_empty() {
            true => Counts::default(),
            false => counts.since(&self.latest).without_zeros(),
        };
        let sample = Sample::new(now, delta);
        self.bytes += sample.bytes;
        self.samples.push_back(sample);
        self.latest = counts;
        self.evict();
    }

    /// Removes the oldest samples until the rest fits the memory limit.
    fn evict(&mut self) {
        while self.bytes > self.limit_bytes && self.samples.len() > 1 {
            let old = self.samples.pop_front();
            self.bytes -= old.map_or(0, |sample| sample.bytes);
            if let Some(first) = self.samples.front_mut() {
                self.bytes -= first.bytes;
                *first = Sample::new(first.at, Counts::default());
                self.bytes += first.bytes;
            }
        }
    }

    /// Merges samples that are more than [`MERGE_DISTANCE`] older than `now` and have no change
    /// within that distance. `has_change` returns whether a change happened between two instants.
    pub(super) fn merge(&mut self, now: Instant, has_change: impl Fn(Instant, Instant) -> bool) {
        let mut index = self
            .samples
            .partition_point(|sample| now.since(sample.at) > MERGE_DISTANCE);
        while index > 1 && index < self.samples.len() {
            let at = self.samples[index - 1].at;
            if has_change(instant_before(at, MERGE_DISTANCE), at + MERGE_DISTANCE) {
                return;
            }
            let Some(sample) = self.samples.remove(index - 1) else {
                return;
            };
            index -= 1;
            let next = &mut self.samples[index];
            self.bytes -= sample.bytes + next.bytes;
            let mut delta = sample.counts;
            delta.merge(&next.counts);
            *next = Sample::new(next.at, delta);
            self.bytes += next.bytes;
        }
    }

    /// Returns the time of the latest sample at or before `at`, or of the first sample if all are
    /// later.
    pub(super) fn at_or_before(&self, at: Instant) -> Option<Instant> {
        let index = self.samples.partition_point(|sample| sample.at <= at);
        let sample = self.samples.get(index.saturating_sub(1))?;
        Some(sample.at)
    }

    /// Returns the time of the earliest sample at or after `at`. Returns `None` if no sample is that
    /// late yet.
    pub(super) fn at_or_after(&self, at: Instant) -> Option<Instant> {
        let index = self.samples.partition_point(|sample| sample.at < at);
        self.samples.get(index).map(|sample| sample.at)
    }

    /// Returns the counts between two samples.
    pub(super) fn counts_between(&self, from: Instant, until: Instant) -> Counts {
        let mut sum = Counts::default();
        for sample in &self.samples {
            if from < sample.at && sample.at <= until {
                sum.merge(&sample.counts);
            }
        }
        sum
    }

    /// Returns the counts between a sample and the time when `counts` was read.
    pub(super) fn counts_since(&self, from: Instant, counts: &Counts) -> Counts {
        let mut sum = self
            .last_at()
            .map_or_else(Counts::default, |last| self.counts_between(from, last));
        sum.merge(&counts.since(&self.latest).without_zeros());
        sum
    }
}

/// Returns the instant `span` before `at`, or the start of the clock if that is later.
pub(super) fn instant_before(at: Instant, span: Span) -> Instant {
    Instant::START + at.since(Instant::START).saturating_sub(span)
}
