//! Acceptance of a published change, as seen by its publisher.
//!
//! A change is accepted when every known instance has it in force. It is also accepted when a
//! majority of the slots, by both the old and the new number of slots, has it in force and the
//! validity has passed since then: the missing instances have then fenced themselves, and no
//! instance without the change serves keyed routes.

use sg_types::prelude::*;

use crate::{fresh::MAX_CLOCK_DRIFT, report};

/// A published change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The published revision.
    pub revision: Revision,
    /// The number of slots in the previous revision.
    pub slots_before: u32,
    /// The number of slots in the published revision.
    pub slots: u32,
    /// The longer of the validities of the two revisions.
    pub validity: Span,
}

/// The progress of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The change is in force on every known instance.
    Everywhere,
    /// The change is in force on a majority, and the missing instances have fenced themselves.
    Fenced {
        /// Instances on which the change is not in force.
        missing: Vec<id::Instance>,
    },
    /// The change is in force on a majority. The missing instances may still serve keyed routes by
    /// the previous revision.
    Fencing {
        /// Instances on which the change is not in force.
        missing: Vec<id::Instance>,
        /// The time from which the missing instances no longer serve keyed routes.
        until: Instant,
    },
    /// The change is not in force on a majority.
    Waiting {
        /// Instances on which the change is not in force or its state is unknown.
        missing: Vec<id::Instance>,
    },
}

impl Progress {
    /// Returns whether the change counts as accepted.
    #[must_use]
    pub const fn is_accepted(&self) -> bool {
        matches!(self, Self::Everywhere | Self::Fenced { .. })
    }

    /// Returns the instances on which the change is not in force.
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

/// Tracks the progress of one change.
#[derive(Debug, Clone)]
pub struct Follower {
    change: Change,
    holders: IndexMap<Slot, id::Instance>,
    updated: IndexSet<id::Instance>,
    expected: IndexSet<id::Instance>,
    majority_at: Option<Instant>,
}

impl Follower {
    /// Starts to track `change`, which is expected to reach the `known` instances.
    #[must_use]
    pub fn new(change: Change, known: impl IntoIterator<Item = id::Instance>) -> Self {
        Self {
            change,
            holders: IndexMap::new(),
            updated: IndexSet::new(),
            expected: known.into_iter().collect(),
            majority_at: None,
        }
    }

    /// Adds an instance that the change is expected to reach, such as one that was listed later.
    pub fn expect(&mut self, instance: id::Instance) {
        self.expected.insert(instance);
    }

    /// Records a report from an instance, received at `now`.
    pub fn take(&mut self, report: &report::Node, now: Instant) {
        self.expected.insert(report.instance.clone());
        for slot in &report.slots {
            self.holders.insert(*slot, report.instance.clone());
        }
        // An instance that refused the revision has read it and has applied its key withdrawals.
        if report.newest >= self.change.revision {
            self.updated.insert(report.instance.clone());
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
        let updated_slots = self
            .holders
            .iter()
            .filter(|(slot, holder)| slot.get() < slots && self.updated.contains(*holder))
            .count();
        updated_slots > slots as usize / 2
    }

    /// Returns the progress of the change at `now`.
    #[must_use]
    pub fn progress(&self, now: Instant) -> Progress {
        let missing: Vec<_> = self.expected.difference(&self.updated).cloned().collect();
        if missing.is_empty() && !self.expected.is_empty() {
            return Progress::Everywhere;
        }
        let Some(majority_at) = self.majority_at else {
            return Progress::Waiting { missing };
        };
        let drift = f64::from(MAX_CLOCK_DRIFT.as_ppm()) / 1_000_000.0;
        let until = majority_at + self.change.validity.mul_f64(1.0 + 2.0 * drift);
        match now < until {
            true => Progress::Fencing { missing, until },
            false => Progress::Fenced { missing },
        }
    }
}
