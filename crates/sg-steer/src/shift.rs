//! Goal of a service's traffic split and the capped steps toward it.
//!
//! [`goal`] works from the whole demand and from the capacity of each region. Moving traffic
//! changes neither, so the goal does not react to its own effect, however late the load reports
//! are. [`Shifter`] takes steps toward the goal. Each instance applies its split to its own
//! traffic. No instance moves more than the cap in an interval, so neither does the fleet.

use std::collections::VecDeque;

use sg_types::prelude::*;

use crate::split::Split;

/// Number of concurrent requests, the unit of capacity and of demand.
pub type Slots = f64;

/// Share of a region in the tree and its capacity for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Region {
    /// Share of the traffic in the split of the tree.
    pub tree_share: Percent,
    /// Slots of targets that can take work.
    pub usable_slots: Slots,
    /// Slots that remain after the loss of any one failure domain.
    pub slots_after_loss: Slots,
    /// Largest share of the traffic that the link carries.
    pub link_share: Percent,
}

impl Region {
    /// Returns the share of the region in the tree, reduced to what its slots can serve.
    fn retained_share(&self, demand: Slots, usable_fraction: f64) -> f64 {
        self.tree_share
            .as_f64()
            .min(servable_share(self.usable_slots * usable_fraction, demand))
    }

    /// Returns the largest share of the demand that the region may have when it takes over traffic
    /// from other regions.
    fn max_share(&self, demand: Slots, usable_fraction: f64) -> f64 {
        let slots = self.usable_slots.min(self.slots_after_loss) * usable_fraction;
        servable_share(slots, demand).min(self.link_share.as_f64())
    }
}

/// Returns the share of `demand` that `slots` can serve.
fn servable_share(slots: Slots, demand: Slots) -> f64 {
    if slots <= 0.0 {
        return 0.0;
    }
    (slots / demand.max(f64::MIN_POSITIVE)).min(1.0)
}

/// Split that the shift moves to.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Goal {
    /// The split.
    pub split: Split,
    /// Share of the traffic that no region has capacity for. This traffic stays in its region,
    /// where it is refused.
    pub unplaced: f64,
}

/// Returns the split of the tree, less the part of `demand` that a region can't serve. That part
/// goes to the other regions in proportion to their spare capacity after the loss of a failure
/// domain.
#[must_use]
pub fn goal(regions: &IndexMap<id::Region, Region>, demand: Slots, headroom: Percent) -> Goal {
    let usable_fraction = 1.0 - headroom.as_f64();
    let kept: Vec<f64> = regions
        .values()
        .map(|r| r.retained_share(demand, usable_fraction))
        .collect();
    let spare: Vec<f64> = regions
        .values()
        .zip(&kept)
        .map(|(region, kept)| (region.max_share(demand, usable_fraction) - kept).max(0.0))
        .collect();
    let displaced: f64 = regions
        .values()
        .zip(&kept)
        .map(|(region, kept)| region.tree_share.as_f64() - kept)
        .sum();
    let total_spare: f64 = spare.iter().sum();
    let placed = displaced.min(total_spare);
    let unplaced = (displaced - placed).max(0.0);
    let shares = regions.iter().zip(kept.iter().zip(&spare));
    let weights = shares.map(|((name, region), (kept, own_spare))| {
        let gained = if total_spare > 0.0 {
            placed * own_spare / total_spare
        } else {
            0.0
        };
        let lost = region.tree_share.as_f64() - kept;
        let remaining = if displaced > 0.0 {
            unplaced * lost / displaced
        } else {
            0.0
        };
        (name.clone(), kept + gained + remaining)
    });
    Goal {
        split: Split::new(weights),
        unplaced,
    }
}

/// Limits of the steps of a shift.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest share of the traffic that may move in any interval.
    pub cap: Percent,
    /// Interval to which the cap applies.
    pub interval: Span,
}

/// A completed step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time of the step.
    pub at: Instant,
    /// Share of the traffic that the step moved.
    pub moved: Percent,
}

/// Current split and the steps of the last interval.
#[derive(Debug, Clone, Default)]
pub struct Shifter {
    current: Split,
    steps: VecDeque<Step>,
}

impl Shifter {
    /// Starts with `split`. The first split needs no steps because there is no traffic to move.
    #[must_use]
    pub fn new(split: Split) -> Self {
        Self {
            current: split,
            steps: VecDeque::new(),
        }
    }

    /// Starts with the current split of other instances. The next step waits for one interval.
    #[must_use]
    pub fn adopt(split: Split, now: Instant) -> Self {
        let full_step = Step {
            at: now,
            moved: Percent::FULL,
        };
        Self {
            current: split,
            steps: VecDeque::from([full_step]),
        }
    }

    /// Returns the current split.
    #[must_use]
    pub const fn current(&self) -> &Split {
        &self.current
    }

    /// Returns the share of the traffic that may still move at `now`.
    #[must_use]
    pub fn allowance(&self, limits: Limits, now: Instant) -> Percent {
        let recent = self
            .steps
            .iter()
            .filter(|step| now <= step.at + limits.interval);
        let moved: u32 = recent.map(|step| step.moved.as_ppm()).sum();
        Percent::from_ppm(limits.cap.as_ppm().saturating_sub(moved))
    }

    /// Returns whether `goal` differs from the current split by more than `deadband`.
    #[must_use]
    pub fn exceeds_deadband(&self, goal: &Split, deadband: Percent) -> bool {
        !goal.is_empty() && self.current.distance(goal) > deadband
    }

    /// Takes a step toward `goal`, as far as the steps of the last interval allow.
    pub fn step(&mut self, goal: &Split, limits: Limits, now: Instant) -> Option<Step> {
        let allowance = self.allowance(limits, now);
        if goal.is_empty() || allowance == Percent::ZERO {
            return None;
        }
        let next = self.current.toward(goal, allowance);
        let moved = self.current.distance(&next);
        if moved == Percent::ZERO {
            return None;
        }
        let step = Step { at: now, moved };
        self.current = next;
        self.steps.retain(|step| now <= step.at + limits.interval);
        self.steps.push_back(step);
        Some(step)
    }
}
