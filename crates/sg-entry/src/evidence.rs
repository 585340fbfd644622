//! What was counted under each revision, for explaining. It ends with the process.

use std::collections::VecDeque;

use parking_lot::Mutex;
use sg_report::{
    Counts,
    explain::{Evidence, Window},
};
use sg_types::prelude::*;

/// How many revisions are remembered.
const REVISIONS: usize = 64;

/// The counters at the moment that a revision came into force.
#[derive(Debug, Clone)]
struct Mark {
    revision: Revision,
    at: Instant,
    counts: Counts,
}

/// Remembers the counters at each change of revision.
#[derive(Debug)]
pub struct Ring {
    instance: id::Instance,
    incarnation: Incarnation,
    marks: Mutex<VecDeque<Mark>>,
}

impl Ring {
    /// An empty ring of this run of `instance`.
    #[must_use]
    pub fn new(instance: id::Instance, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            marks: Mutex::default(),
        }
    }

    /// Notes that `revision` is in force from `now` on, with the counters so far.
    pub fn adopt(&self, revision: Revision, counts: Counts, now: Instant) {
        let mut marks = self.marks.lock();
        let newest = marks
            .back()
            .map_or(Revision::default(), |mark| mark.revision);
        debug_assert!(newest <= revision, "revision {revision} after {newest}");
        if newest >= revision {
            return;
        }
        if marks.len() == REVISIONS {
            marks.pop_front();
        }
        marks.push_back(Mark {
            revision,
            at: now,
            counts,
        });
    }

    /// The revision in force and how long it has been.
    #[must_use]
    pub fn in_force(&self, now: Instant) -> Option<(Revision, Span)> {
        let marks = self.marks.lock();
        marks.back().map(|mark| (mark.revision, now.since(mark.at)))
    }

    /// What is known of `revision`, with the counters as they are at `now`.
    #[must_use]
    pub fn explain(&self, revision: Revision, counts: &Counts, now: Instant) -> Option<Evidence> {
        let marks = self.marks.lock();
        let index = marks.iter().position(|mark| mark.revision == revision)?;
        let mark = &marks[index];
        let before = index
            .checked_sub(1)
            .map(|index| window(&marks[index], mark.at, &mark.counts));
        let after = match marks.get(index + 1) {
            Some(next) => window(mark, next.at, &next.counts),
            None => window(mark, now, counts),
        };
        Some(Evidence {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            age: now.since(mark.at),
            before,
            after,
        })
    }
}

fn window(from: &Mark, until: Instant, counts: &Counts) -> Window {
    Window {
        span: until.since(from.at),
        counts: counts.since(&from.counts),
    }
}
