//! Records the counters before and after each change of revision, for `/explain`. The records are
//! kept in memory only and end with the process.

mod samples;

use std::collections::VecDeque;

use parking_lot::Mutex;
use sg_report::{
    Counts,
    explain::{Evidence, Window},
};
use sg_types::prelude::*;

use self::samples::{Samples, instant_before};

/// Maximum number of changes kept: more than a day at one change every two seconds.
const MAX_CHANGES: usize = 1 << 16;
/// Minimum length of the windows before and after a change. A window may extend over other changes.
const MIN_WINDOW: Span = Span::from_secs(60);
/// Interval between samples while the revision does not change.
const SAMPLE_INTERVAL: Span = Span::from_secs(5);

/// A change of revision.
#[derive(Debug, Clone, Copy)]
struct Change {
    revision: Revision,
    at: Instant,
    /// Time of the sample that separates the counts before the change from those after it.
    sample_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    samples: Samples,
    changes: VecDeque<Change>,
}

/// Records changes of revision and the counters around them.
#[derive(Debug)]
pub struct Recorder {
    instance: id::Instance,
    incarnation: Incarnation,
    state: Mutex<State>,
}

impl Recorder {
    /// Creates an empty recorder for this incarnation of `instance`.
    #[must_use]
    pub fn new(instance: id::Instance, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            state: Mutex::default(),
        }
    }

    /// Replaces the limit on the memory of the samples.
    #[must_use]
    pub fn with_memory_limit(self, bytes: usize) -> Self {
        let state = State {
            samples: Samples::with_memory_limit(bytes),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            ..self
        }
    }

    /// Returns the memory that the samples use, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.state.lock().samples.size_bytes()
    }

    /// Records that `revision` is in force from `now` on, with the counters at that time.
    pub fn record_revision(&self, revision: Revision, counts: Counts, now: Instant) {
        let mut state = self.state.lock();
        let newest = state
            .changes
            .back()
            .map_or(Revision::default(), |change| change.revision);
        debug_assert!(newest <= revision, "revision {revision} after {newest}");
        if newest >= revision {
            return;
        }
        if state.changes.len() == MAX_CHANGES {
            state.changes.pop_front();
        }
        let sample_at = state.samples.sample_for_change(counts, now);
        state.changes.push_back(Change {
            revision,
            at: now,
            sample_at,
        });
        state.evict_changes();
    }

    /// Takes a sample from `read` if one is due at `now`. Call this method every few seconds:
    /// with fewer samples, windows are longer than needed.
    pub fn sample_if_due(&self, read: impl FnOnce() -> Counts, now: Instant) {
        let mut state = self.state.lock();
        let due = state
            .samples
            .last_at()
            .is_some_and(|last| now.since(last) >= SAMPLE_INTERVAL);
        if !due {
            return;
        }
        let State { samples, changes } = &mut *state;
        samples.push(read(), now);
        samples.merge(now, |from, until| count_changes(changes, from, until) > 0);
        state.evict_changes();
    }

    /// Returns the revision in force and for how long it has been in force.
    #[must_use]
    pub fn in_force(&self, now: Instant) -> Option<(Revision, Span)> {
        let state = self.state.lock();
        let change = state.changes.back()?;
        Some((change.revision, now.since(change.at)))
    }

    /// Returns the evidence on `revision`, given the counters at `now`. Each window covers the
    /// whole time that one revision was in force, and at least one minute if that much was
    /// recorded.
    #[must_use]
    pub fn explain(&self, revision: Revision, counts: &Counts, now: Instant) -> Option<Evidence> {
        let state = self.state.lock();
        let index = state
            .changes
            .binary_search_by_key(&revision, |change| change.revision)
            .ok()?;
        let change = state.changes[index];
        if state.samples.first_at()? > change.sample_at {
            return None;
        }
        Some(Evidence {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            age: now.since(change.at),
            before: state.window_before(index),
            after: state.window_after(index, counts, now),
        })
    }
}

impl State {
    /// Removes the changes whose sample was evicted, but keeps the latest change.
    fn evict_changes(&mut self) {
        let first = self.samples.first_at().unwrap_or_default();
        while self.changes.len() > 1 && self.changes[0].sample_at < first {
            self.changes.pop_front();
        }
    }

    fn window_before(&self, index: usize) -> Option<Window> {
        let change = self.changes[index];
        let mut from = instant_before(change.sample_at, MIN_WINDOW);
        if let Some(index) = index.checked_sub(1) {
            from = from.min(self.changes[index].sample_at);
        }
        let from = self.samples.at_or_before(from)?;
        (from < change.sample_at).then(|| Window {
            span: change.sample_at.since(from),
            counts: self.samples.counts_between(from, change.sample_at),
            others: count_changes(&self.changes, next_instant(from), change.at),
        })
    }

    fn window_after(&self, index: usize, counts: &Counts, now: Instant) -> Window {
        let change = self.changes[index];
        let next = self.changes.get(index + 1);
        let until = (change.sample_at + MIN_WINDOW).max(next.map_or(now, |next| next.sample_at));
        let end = self.samples.at_or_after(until);
        Window {
            span: end.unwrap_or(now).since(change.sample_at),
            counts: match end {
                Some(end) => self.samples.counts_between(change.sample_at, end),
                None => self.samples.counts_since(change.sample_at, counts),
            },
            others: count_changes(
                &self.changes,
                next_instant(change.at),
                end.unwrap_or(next_instant(now)),
            ),
        }
    }
}

/// Counts the changes at or after `from` and before `until`.
fn count_changes(changes: &VecDeque<Change>, from: Instant, until: Instant) -> u32 {
    let index_of = |at| changes.partition_point(|change| change.at < at);
    u32::try_from(index_of(until).saturating_sub(index_of(from))).unwrap_or(u32::MAX)
}

/// Returns the smallest instant after `at`.
fn next_instant(at: Instant) -> Instant {
    at + Span::from_nanos(1)
}
