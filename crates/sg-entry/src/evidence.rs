//! What was counted before and after each revision came into force, for explaining. It ends with
//! the process.

mod cuts;

use std::collections::VecDeque;

use parking_lot::Mutex;
use sg_report::{
    Counts,
    explain::{Evidence, Window},
};
use sg_types::prelude::*;

use self::cuts::{Cuts, earlier};

/// How many revisions are remembered: more than a day of them at one in two seconds.
const REVISIONS: usize = 1 << 16;
/// How long each side of a revision is counted at least, over other revisions if need be.
const SIDE: Span = Span::from_secs(60);
/// How often the counters are cut without a change.
const PERIOD: Span = Span::from_secs(5);

/// A change of revision.
#[derive(Debug, Clone, Copy)]
struct Mark {
    revision: Revision,
    at: Instant,
    /// The cut that parts before from after.
    cut: Instant,
}

#[derive(Debug, Default)]
struct State {
    cuts: Cuts,
    marks: VecDeque<Mark>,
}

/// Remembers the changes of revision and the counters around them.
#[derive(Debug)]
pub struct Ring {
    instance: id::Instance,
    incarnation: Incarnation,
    state: Mutex<State>,
}

impl Ring {
    /// An empty ring of this run of `instance`.
    #[must_use]
    pub fn new(instance: id::Instance, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            state: Mutex::default(),
        }
    }

    /// The same with another bound on the memory of the counters.
    #[must_use]
    pub fn with_budget(self, bytes: usize) -> Self {
        let state = State {
            cuts: Cuts::with_budget(bytes),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            ..self
        }
    }

    /// What the counters take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.state.lock().cuts.bytes()
    }

    /// Notes that `revision` is in force from `now` on, with the counters so far.
    pub fn adopt(&self, revision: Revision, counts: Counts, now: Instant) {
        let mut state = self.state.lock();
        let newest = state
            .marks
            .back()
            .map_or(Revision::default(), |mark| mark.revision);
        debug_assert!(newest <= revision, "revision {revision} after {newest}");
        if newest >= revision {
            return;
        }
        if state.marks.len() == REVISIONS {
            state.marks.pop_front();
        }
        let cut = state.cuts.mark(counts, now);
        state.marks.push_back(Mark {
            revision,
            at: now,
            cut,
        });
        state.forget();
    }

    /// Takes the counters between changes, from `read`, if that is due at `now`. To be called every
    /// few seconds; without it, sides reach further than they need to.
    pub fn tick(&self, read: impl FnOnce() -> Counts, now: Instant) {
        let mut state = self.state.lock();
        let due = state
            .cuts
            .last()
            .is_some_and(|last| now.since(last) >= PERIOD);
        if !due {
            return;
        }
        let State { cuts, marks } = &mut *state;
        cuts.push(read(), now);
        cuts.merge(now, |from, until| count(marks, from, until) > 0);
        state.forget();
    }

    /// The revision in force and how long it has been.
    #[must_use]
    pub fn in_force(&self, now: Instant) -> Option<(Revision, Span)> {
        let state = self.state.lock();
        let mark = state.marks.back()?;
        Some((mark.revision, now.since(mark.at)))
    }

    /// What is known of `revision`, with the counters as they are at `now`. Each side is counted
    /// for as long as one revision was in force there, and for a minute at least if it was seen.
    #[must_use]
    pub fn explain(&self, revision: Revision, counts: &Counts, now: Instant) -> Option<Evidence> {
        let state = self.state.lock();
        let index = state
            .marks
            .binary_search_by_key(&revision, |mark| mark.revision)
            .ok()?;
        let mark = state.marks[index];
        if state.cuts.first()? > mark.cut {
            return None;
        }
        Some(Evidence {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            age: now.since(mark.at),
            before: state.side_before(index),
            after: state.side_after(index, counts, now),
        })
    }
}

impl State {
    /// Forgets changes whose cut is gone, but for the latest one.
    fn forget(&mut self) {
        let first = self.cuts.first().unwrap_or_default();
        while self.marks.len() > 1 && self.marks[0].cut < first {
            self.marks.pop_front();
        }
    }

    fn side_before(&self, index: usize) -> Option<Window> {
        let mark = self.marks[index];
        let mut from = earlier(mark.cut, SIDE);
        if let Some(index) = index.checked_sub(1) {
            from = from.min(self.marks[index].cut);
        }
        let from = self.cuts.before(from)?;
        (from < mark.cut).then(|| Window {
            span: mark.cut.since(from),
            counts: self.cuts.between(from, mark.cut),
            others: count(&self.marks, after(from), mark.at),
        })
    }

    fn side_after(&self, index: usize, counts: &Counts, now: Instant) -> Window {
        let mark = self.marks[index];
        let next = self.marks.get(index + 1);
        let until = (mark.cut + SIDE).max(next.map_or(now, |next| next.cut));
        let cut = self.cuts.after(until);
        Window {
            span: cut.unwrap_or(now).since(mark.cut),
            counts: match cut {
                Some(cut) => self.cuts.between(mark.cut, cut),
                None => self.cuts.since(mark.cut, counts),
            },
            others: count(&self.marks, after(mark.at), cut.unwrap_or(after(now))),
        }
    }
}

/// How many changes came from `from` on and before `until`.
fn count(marks: &VecDeque<Mark>, from: Instant, until: Instant) -> u32 {
    let place = |at| marks.partition_point(|mark| mark.at < at);
    u32::try_from(place(until).saturating_sub(place(from))).unwrap_or(u32::MAX)
}

/// The next moment.
fn after(at: Instant) -> Instant {
    at + Span::from_nanos(1)
}
