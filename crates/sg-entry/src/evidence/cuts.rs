//! The counters over time, in slices between cuts. Memory is bounded by bytes; what is far from any
//! change of revision is merged, so that quiet time costs nothing.

use std::collections::VecDeque;

use sg_report::Counts;
use sg_types::prelude::*;

/// Between two cuts at least. A change that comes sooner shares the cut before it.
pub(super) const SPACING: Span = Span::from_secs(2);
/// Cuts this far from any change of revision are merged.
const NEAR: Span = Span::from_secs(120);
/// What the slices may take together.
const BUDGET_BYTES: usize = 64 << 20;

/// A point in time, with what was counted since the cut before.
#[derive(Debug, Clone)]
struct Cut {
    at: Instant,
    slice: Counts,
    bytes: usize,
}

impl Cut {
    fn new(at: Instant, slice: Counts) -> Self {
        let bytes = slice.bytes();
        Self { at, slice, bytes }
    }
}

/// Cuts in the order of time. The first one's slice is empty.
#[derive(Debug)]
pub(super) struct Cuts {
    cuts: VecDeque<Cut>,
    /// The counters at the newest cut.
    newest: Counts,
    bytes: usize,
    budget: usize,
}

impl Default for Cuts {
    fn default() -> Self {
        Self {
            cuts: VecDeque::new(),
            newest: Counts::default(),
            bytes: 0,
            budget: BUDGET_BYTES,
        }
    }
}

impl Cuts {
    pub(super) fn with_budget(budget: usize) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// The time of the oldest cut.
    pub(super) fn first(&self) -> Option<Instant> {
        self.cuts.front().map(|cut| cut.at)
    }

    /// The time of the newest cut.
    pub(super) fn last(&self) -> Option<Instant> {
        self.cuts.back().map(|cut| cut.at)
    }

    /// What the slices take.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The time of the cut that a change at `now` belongs to; cuts if there is none near.
    pub(super) fn mark(&mut self, counts: Counts, now: Instant) -> Instant {
        match self.last() {
            Some(last) if now.since(last) < SPACING => last,
            _ => {
                self.push(counts, now);
                now
            }
        }
    }

    /// Cuts at `now`.
    pub(super) fn push(&mut self, counts: Counts, now: Instant) {
        let slice = match self.cuts.is_empty() {
            true => Counts::default(),
            false => counts.since(&self.newest).without_zeros(),
        };
        let cut = Cut::new(now, slice);
        self.bytes += cut.bytes;
        self.cuts.push_back(cut);
        self.newest = counts;
        self.evict();
    }

    /// Drops the oldest slices until the rest is within the budget.
    fn evict(&mut self) {
        while self.bytes > self.budget && self.cuts.len() > 1 {
            let old = self.cuts.pop_front();
            self.bytes -= old.map_or(0, |cut| cut.bytes);
            if let Some(first) = self.cuts.front_mut() {
                self.bytes -= first.bytes;
                *first = Cut::new(first.at, Counts::default());
                self.bytes += first.bytes;
            }
        }
    }

    /// Merges slices that ended long before `now`, far from any of the changes that `changed`
    /// tells: whether there is one from one time to another.
    pub(super) fn merge(&mut self, now: Instant, changed: impl Fn(Instant, Instant) -> bool) {
        let mut index = self.cuts.partition_point(|cut| now.since(cut.at) > NEAR);
        while index > 1 && index < self.cuts.len() {
            let at = self.cuts[index - 1].at;
            if changed(earlier(at, NEAR), at + NEAR) {
                return;
            }
            let Some(cut) = self.cuts.remove(index - 1) else {
                return;
            };
            index -= 1;
            let next = &mut self.cuts[index];
            self.bytes -= cut.bytes + next.bytes;
            let mut slice = cut.slice;
            slice.add(&next.slice);
            *next = Cut::new(next.at, slice);
            self.bytes += next.bytes;
        }
    }

    /// The latest cut at `at` or before, else the first one.
    pub(super) fn before(&self, at: Instant) -> Option<Instant> {
        let index = self.cuts.partition_point(|cut| cut.at <= at);
        let cut = self.cuts.get(index.saturating_sub(1))?;
        Some(cut.at)
    }

    /// The earliest cut at `at` or after; `None` if there is none yet.
    pub(super) fn after(&self, at: Instant) -> Option<Instant> {
        let index = self.cuts.partition_point(|cut| cut.at < at);
        self.cuts.get(index).map(|cut| cut.at)
    }

    /// What was counted between two cuts.
    pub(super) fn between(&self, from: Instant, until: Instant) -> Counts {
        let mut sum = Counts::default();
        for cut in &self.cuts {
            if from < cut.at && cut.at <= until {
                sum.add(&cut.slice);
            }
        }
        sum
    }

    /// What was counted from a cut until `counts` were read.
    pub(super) fn since(&self, from: Instant, counts: &Counts) -> Counts {
        let mut sum = self
            .last()
            .map_or_else(Counts::default, |last| self.between(from, last));
        sum.add(&counts.since(&self.newest).without_zeros());
        sum
    }
}

/// The time that was `span` before `at`.
pub(super) fn earlier(at: Instant, span: Span) -> Instant {
    Instant::START + at.since(Instant::START).saturating_sub(span)
}
