//! Freshness: whether a withdrawal of a key would have reached this instance.
//!
//! Evidence is always dated by the moment that a request was *sent*, by this instance's clock: what
//! the answer says was true then or later. There are two kinds. A *confirmation* says that a
//! revision was the store's head; it travels between instances with its age. A *vote* says that the
//! holder of a slot had read no later revision. Votes of a majority of the slots are as good as a
//! confirmation, since a change counts as accepted only when a majority has it in force.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use sg_types::prelude::*;

/// The greatest error of an instance's clock rate.
pub const DRIFT: Percent = Percent::from_ppm(10_000);
/// The validity that is used until a tree is known.
pub(crate) const FIRST_VALIDITY: Span = Span::from_secs(5);
/// The most votes that are kept.
const MAX_VOTES: usize = 65_536;
/// The most confirmations that are kept.
const MAX_CONFIRMATIONS: usize = 8;
/// The least validity that is used, whatever the tree says.
const MIN_VALIDITY: Span = Span::from_millis(500);

fn drift() -> f64 {
    f64::from(DRIFT.as_ppm()) / 1_000_000.0
}

/// The instant that evidence of age `age`, by another clock, is dated with; `None` if it lies before
/// this clock's start.
#[must_use]
pub fn dated(sent: Instant, age: Span) -> Option<Instant> {
    let age = age.mul_f64(1.0 + drift());
    (age < sent.since(Instant::START)).then(|| sent - age)
}

/// A vote of a slot's holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Vote {
    revision: Revision,
    at: Instant,
}

/// What a gate needs to know of the instance around it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// The newest revision that this instance has read.
    pub revision: Revision,
    /// The number of slots of the tree.
    pub slots: u32,
    /// The slots held here, their claims confirmed.
    pub own_slots: Vec<Slot>,
    /// How long evidence is good, in true time.
    pub validity: Span,
}

/// Which evidence is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A confirmation, from the store or relayed.
    Confirmation,
    /// Votes of a majority.
    Majority,
}

/// The best evidence and its date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// What kind it is.
    pub source: Source,
    /// When it was true.
    pub at: Instant,
}

/// Tells the request path whether keyed routes may be served. Clones share the answer.
#[derive(Debug, Clone, Default)]
pub struct Handle {
    until: Arc<AtomicU64>,
}

impl Handle {
    /// Whether a withdrawal of a key would have reached this instance. `now` is to be read after
    /// the last wait before the use.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        now < self.until()
    }

    /// Until when the evidence that is known now is good.
    #[must_use]
    pub fn until(&self) -> Instant {
        Instant::from_nanos(self.until.load(Ordering::Acquire))
    }

    pub(crate) fn set(&self, until: Option<Instant>) {
        let until = until.unwrap_or(Instant::START);
        self.until.store(until.as_nanos(), Ordering::Release);
    }
}

/// Gathers evidence and decides.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    confirmations: IndexMap<Revision, Instant>,
    votes: IndexMap<Slot, Vote>,
    #[cfg(feature = "testing")]
    mutation: Option<Mutation>,
}

/// Ways to break the gate on purpose.
#[cfg(feature = "testing")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Votes count whatever revision they name.
    AnyRevision,
    /// Half of the slots is enough.
    HalfIsEnough,
}

impl Gate {
    /// Notes that `revision` was the store's head at `at` or later.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        let known = self.confirmations.entry(revision).or_insert(at);
        *known = at.max(*known);
        if self.confirmations.len() > MAX_CONFIRMATIONS {
            self.confirmations.sort_unstable_keys();
            self.confirmations.shift_remove_index(0);
        }
    }

    /// Notes that the holder of `slot` had read no revision after `revision` at `at`.
    pub fn vote(&mut self, slot: Slot, revision: Revision, at: Instant) {
        if self.votes.len() >= MAX_VOTES && !self.votes.contains_key(&slot) {
            return;
        }
        let vote = self.votes.entry(slot).or_insert(Vote { revision, at });
        if at >= vote.at {
            *vote = Vote { revision, at };
        }
    }

    /// Forgets votes that are older than `before`.
    pub fn expire(&mut self, before: Instant) {
        self.votes.retain(|_, vote| vote.at >= before);
    }

    /// The best evidence that no revision after `context.revision` was accepted.
    #[must_use]
    pub fn evidence(&self, context: &Context, now: Instant) -> Option<Evidence> {
        let confirmed = self
            .confirmations
            .iter()
            .filter(|(revision, _)| **revision <= context.revision)
            .map(|(_, at)| *at)
            .max();
        let confirmed = confirmed.map(|at| Evidence {
            source: Source::Confirmation,
            at,
        });
        let majority = self.majority(context, now).map(|at| Evidence {
            source: Source::Majority,
            at,
        });
        [confirmed, majority]
            .into_iter()
            .flatten()
            .max_by_key(|evidence| evidence.at)
    }

    /// Since when a majority of the slots backs `context.revision`: the date of the vote that
    /// completes it, newest first.
    fn majority(&self, context: &Context, now: Instant) -> Option<Instant> {
        let mut dates: Vec<Instant> = self
            .votes
            .iter()
            .filter(|(slot, _)| slot.get() < context.slots && !context.own_slots.contains(slot))
            .filter(|(_, vote)| self.backs(vote, context))
            .map(|(_, vote)| vote.at)
            .collect();
        let own = context.own_slots.iter();
        let own = own.filter(|slot| slot.get() < context.slots);
        dates.extend(own.map(|_| now));
        dates.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.needed(context.slots);
        dates.get(needed.checked_sub(1)?).copied()
    }

    #[cfg(not(feature = "testing"))]
    fn backs(&self, vote: &Vote, context: &Context) -> bool {
        vote.revision <= context.revision
    }

    #[cfg(not(feature = "testing"))]
    fn needed(&self, slots: u32) -> usize {
        slots as usize / 2 + 1
    }

    /// Until when keyed routes may be served; `None` without evidence.
    #[must_use]
    pub fn until(&self, context: &Context, now: Instant) -> Option<Instant> {
        let validity = context.validity.max(MIN_VALIDITY).mul_f64(1.0 - drift());
        self.evidence(context, now)
            .map(|evidence| evidence.at + validity)
    }

    /// Whether keyed routes may be served at `now`.
    #[must_use]
    pub fn is_fresh(&self, context: &Context, now: Instant) -> bool {
        self.until(context, now).is_some_and(|until| now < until)
    }
}

#[cfg(feature = "testing")]
impl Gate {
    /// Breaks the gate on purpose.
    pub fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    fn backs(&self, vote: &Vote, context: &Context) -> bool {
        self.mutation == Some(Mutation::AnyRevision) || vote.revision <= context.revision
    }

    fn needed(&self, slots: u32) -> usize {
        match self.mutation {
            Some(Mutation::HalfIsEnough) => slots as usize / 2,
            _ => slots as usize / 2 + 1,
        }
    }
}
