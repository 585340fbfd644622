//! When a published change counts as accepted, for those who publish.
//!
//! A change is accepted when every known instance has it in force, or when the missing ones have
//! fenced themselves: a majority of the slots, by the old and by the new number of slots, has it in
//! force, and the validity has passed since. From then on nobody without it serves keyed routes.

use sg_types::prelude::*;

use crate::{fresh::DRIFT, report};

/// What is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The revision.
    pub revision: Revision,
    /// The number of slots of the revision before.
    pub slots_before: u32,
    /// The number of slots of this revision.
    pub slots: u32,
    /// The longer validity of both.
    pub validity: Span,
}

/// How far a change is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// It is in force on every known instance.
    Everywhere,
    /// It is in force on a majority; the missing instances have fenced themselves.
    Fenced {
        /// Where it is not in force.
        missing: Vec<id::Instance>,
    },
    /// It is in force on a majority; the missing instances may serve keyed routes by the old
    /// revision for a little longer.
    Fencing {
        /// Where it is not in force.
        missing: Vec<id::Instance>,
        /// Until when they may.
        until: Instant,
    },
    /// It is not in force on a majority.
    Waiting {
        /// Where it is not in force, or not known to be.
        missing: Vec<id::Instance>,
    },
}

impl Progress {
    /// Whether the change counts as accepted.
    #[must_use]
    pub const fn is_accepted(&self) -> bool {
        matches!(self, Self::Everywhere | Self::Fenced { .. })
    }

    /// Where it is not in force.
    #[must_use]
    pub fn missing(&self) -> &[id::Instance] {
        match self {
            Self::Everywhere => &[],
            Self::Fenced { missing }
            | Self::Fencing { missing, .. }
            | Self::Waiting { missing } => missing,
        }
    }
}

/// Follows one change.
#[derive(Debug, Clone)]
pub struct Follower {
    change: Change,
    holders: IndexMap<Slot, id::Instance>,
    has: IndexSet<id::Instance>,
    known: IndexSet<id::Instance>,
    majority_at: Option<Instant>,
}

impl Follower {
    /// Starts to follow `change`, which `known` instances are to have.
    #[must_use]
    pub fn new(change: Change, known: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            change,
            holders: IndexMap::new(),
            has: IndexSet::new(),
            known: known.into_iter().collect(),
            majority_at: None,
        }
    }

    /// Adds an instance that is to have the change, such as one that was listed later.
    pub fn expect(&mut self, instance: id::Instance) {
        self.known.insert(instance);
    }

    /// Takes an instance's own report, which was received at `now`.
    pub fn take(&mut self, report: &report::Node, now: Instant) {
        self.known.insert(report.instance.clone());
        for slot in &report.slots {
            self.holders.insert(*slot, report.instance.clone());
        }
        // A refused revision is known there, and its withdrawals are honoured.
        if report.newest >= self.change.revision {
            self.has.insert(report.instance.clone());
        }
        if self.majority_at.is_none() && self.has_majorities() {
            self.majority_at = Some(now);
        }
    }

    fn has_majorities(&self) -> bool {
        [self.change.slots_before, self.change.slots]
            .into_iter()
            .filter(|slots| *slots > 0)
            .all(|slots| self.is_majority_of(slots))
    }

    fn is_majority_of(&self, slots: u32) -> bool {
        let having = self
            .holders
            .iter()
            .filter(|(slot, holder)| slot.get() < slots && self.has.contains(*holder))
            .count();
        having > slots as usize / 2
    }

    /// How far the change is at `now`.
    #[must_use]
    pub fn progress(&self, now: Instant) -> Progress {
        let missing: Vec<_> = self.known.difference(&self.has).cloned().collect();
        if missing.is_empty() && !self.known.is_empty() {
            return Progress::Everywhere;
        }
        let Some(majority_at) = self.majority_at else {
            return Progress::Waiting { missing };
        };
        let drift = f64::from(DRIFT.as_ppm()) / 1_000_000.0;
        let until = majority_at + self.change.validity.mul_f64(1.0 + 2.0 * drift);
        match now < until {
            true => Progress::Fencing { missing, until },
            false => Progress::Fenced { missing },
        }
    }
}
