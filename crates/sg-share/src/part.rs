//! Parts of a budget, in millionths of a unit.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::Budget;

/// A part of a budget's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Part {
    /// Rate, in millionths of a unit per second.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub rate: u64,
    /// Burst, in millionths of a unit.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub burst: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
pub(crate) fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl Part {
    /// Returns the part that covers the whole budget.
    #[must_use]
    pub fn whole(budget: Budget) -> Self {
        Self {
            rate: budget.rate.as_micros(),
            burst: u64::from(budget.burst) * rate::MICRO,
        }
    }

    /// Returns the base share of `slot` when the budget is divided into `slots` equal parts. The
    /// lowest slots receive the remainder. The parts of all slots add up to the whole.
    #[must_use]
    pub fn slot_share(self, slots: u32, slot: Slot) -> Self {
        if slot.get() >= slots {
            return Self::default();
        }
        let (slots, slot) = (u64::from(slots), u64::from(slot.get()));
        let share = |whole: u64| whole / slots + u64::from(slot < whole % slots);
        Self {
            rate: share(self.rate),
            burst: share(self.burst),
        }
    }

    /// Whether both the rate and the burst are zero.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.rate == 0 && self.burst == 0
    }

    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    pub(crate) fn saturating_add(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    pub(crate) fn saturating_sub(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    pub(crate) fn fits_within(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }
}
