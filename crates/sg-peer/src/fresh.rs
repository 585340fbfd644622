//! Freshness: whether a key withdrawal would have reached this instance.
//!
//! Evidence is dated by the time at which its request was *sent*, by this instance's clock, since
//! the statement in the response was true at that time or later. A *confirmation* states that a
//! revision was the head in the store; instances pass it on with its age. A *vote* states that the
//! holder of a slot had read no later revision. Votes of a majority of the slots are equivalent to
//! a confirmation, since a change is accepted only when a majority has it in force.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use sg_types::prelude::*;

/// The maximum error of an instance's clock rate.
pub const MAX_CLOCK_DRIFT: Percent = Percent::from_ppm(10_000);
/// The validity used until a tree is known.
pub(crate) const INITIAL_VALIDITY: Span = Span::from_secs(5);
/// The maximum number of stored votes.
const MAX_VOTES: usize = 65_536;
/// The maximum number of stored confirmations.
const MAX_CONFIRMATIONS: usize = 8;
/// The minimum validity, which applies if the tree states a shorter one.
const MIN_VALIDITY: Span = Span::from_millis(500);

/// Returns [`MAX_CLOCK_DRIFT`] as a fraction.
fn drift_fraction() -> f64 {
    f64::from(MAX_CLOCK_DRIFT.as_ppm()) / 1_000_000.0
}

/// Returns the time of evidence that was `age` old by another clock when its request was sent, or
/// `None` if that time lies before the start of this clock.
#[must_use]
pub fn evidence_time(sent: Instant, age: Span) -> Option<Instant> {
    let age = age.mul_f64(1.0 + drift_fraction());
    (age < sent.since(Instant::START)).then(|| sent - age)
}

/// A vote of the holder of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Vote {
    revision: Revision,
    at: Instant,
}

/// The state of the instance that the gate depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// The newest revision that this instance has read.
    pub revision: Revision,
    /// The number of slots in the tree.
    pub slots: u32,
    /// The slots held by this instance whose claims are confirmed.
    pub own_slots: Vec<Slot>,
    /// The time for which evidence is valid, in true time.
    pub validity: Span,
}

/// The kind of evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A confirmation, read from the store or received from another instance.
    Confirmation,
    /// Votes of a majority of the slots.
    Majority,
}

/// Evidence of freshness, and the time at which the evidence was true.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The kind of evidence.
    pub source: Source,
    /// The time at which the evidence was true.
    pub at: Instant,
}

/// Handle by which the request path checks whether keyed routes may be served. All clones share the
/// same state.
#[derive(Debug, Clone, Default)]
pub struct Handle {
    expires_at: Arc<AtomicU64>,
}

impl Handle {
    /// Returns whether a key withdrawal would have reached this instance. The caller reads `now`
    /// after its last await before the use.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        now < self.expires_at()
    }

    /// Returns the time at which the known evidence expires.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        Instant::from_nanos(self.expires_at.load(Ordering::Acquire))
    }

    pub(crate) fn set(&self, expires_at: Option<Instant>) {
        let expires_at = expires_at.unwrap_or(Instant::START);
        self.expires_at
            .store(expires_at.as_nanos(), Ordering::Release);
    }
}

/// Collects evidence and decides whether this instance is fresh.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    confirmations: IndexMap<Revision, Instant>,
    votes: IndexMap<Slot, Vote>,
    #[cfg(feature = "testing")]
    mutation: Option<Mutation>,
}

/// Deliberate faults of the gate, for tests.
#[cfg(feature = "testing")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Votes count regardless of the revision that they name.
    AnyRevision,
    /// Half of the slots count as a majority.
    HalfIsEnough,
}

impl Gate {
    /// Records that `revision` was the head in the store at `at` or later.
    pub fn record_confirmation(&mut self, revision: Revision, at: Instant) {
        let known = self.confirmations.entry(revision).or_insert(at);
        *known = at.max(*known);
        if self.confirmations.len() > MAX_CONFIRMATIONS {
            self.confirmations.sort_unstable_keys();
            self.confirmations.shift_remove_index(0);
        }
    }

    /// Records that the holder of `slot` had read no revision later than `revision` at `at`.
    pub fn record_vote(&mut self, slot: Slot, revision: Revision, at: Instant) {
        if self.votes.len() >= MAX_VOTES && !self.votes.contains_key(&slot) {
            return;
        }
        let vote = self.votes.entry(slot).or_insert(Vote { revision, at });
        if at >= vote.at {
            *vote = Vote { revision, at };
        }
    }

    /// Drops votes older than `before`.
    pub fn expire(&mut self, before: Instant) {
        self.votes.retain(|_, vote| vote.at >= before);
    }

    /// Returns the latest evidence that no revision after `context.revision` was accepted.
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

    /// Returns the time at which a majority of the slots backed `context.revision`: the time of the
    /// vote that completes the majority, counted from the newest.
    fn majority(&self, context: &Context, now: Instant) -> Option<Instant> {
        let mut times: Vec<Instant> = self
            .votes
            .iter()
            .filter(|(slot, _)| slot.get() < context.slots && !context.own_slots.contains(slot))
            .filter(|(_, vote)| self.backs(vote, context))
            .map(|(_, vote)| vote.at)
            .collect();
        let own = context.own_slots.iter();
        let own = own.filter(|slot| slot.get() < context.slots);
        times.extend(own.map(|_| now));
        times.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.votes_needed(context.slots);
        times.get(needed.checked_sub(1)?).copied()
    }

    #[cfg(not(feature = "testing"))]
    fn backs(&self, vote: &Vote, context: &Context) -> bool {
        vote.revision <= context.revision
    }

    #[cfg(not(feature = "testing"))]
    fn votes_needed(&self, slots: u32) -> usize {
        slots as usize / 2 + 1
    }

    /// Returns the time at which the evidence expires and keyed routes may no longer be served, or
    /// `None` without evidence.
    #[must_use]
    pub fn expires_at(&self, context: &Context, now: Instant) -> Option<Instant> {
        let validity = context
            .validity
            .max(MIN_VALIDITY)
            .mul_f64(1.0 - drift_fraction());
        self.evidence(context, now)
            .map(|evidence| evidence.at + validity)
    }

    /// Returns whether keyed routes may be served at `now`.
    #[must_use]
    pub fn is_fresh(&self, context: &Context, now: Instant) -> bool {
        self.expires_at(context, now)
            .is_some_and(|expires_at| now < expires_at)
    }
}

#[cfg(feature = "testing")]
impl Gate {
    /// Injects a deliberate fault.
    pub fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    fn backs(&self, vote: &Vote, context: &Context) -> bool {
        self.mutation == Some(Mutation::AnyRevision) || vote.revision <= context.revision
    }

    fn votes_needed(&self, slots: u32) -> usize {
        match self.mutation {
            Some(Mutation::HalfIsEnough) => slots as usize / 2,
            _ => slots as usize / 2 + 1,
        }
    }
}
