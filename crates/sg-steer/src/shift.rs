//! Shifts: where a service's traffic should go, and the capped steps toward that.
//!
//! [`goal`] works from the whole demand and from what each region can take. Moving traffic changes
//! neither, so the goal does not chase its own effect however late the load reports are.
//! [`Shifter`] walks toward the goal. Each instance applies its split to its own traffic; no
//! instance moves more than the cap in an interval, so neither does the fleet.

use std::collections::VecDeque;

use sg_types::prelude::*;

use crate::split::Split;

/// Requests in work at once: the unit of capacity and of demand.
pub type Slots = f64;

/// What is known of a region for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Region {
    /// The part that the tree wants.
    pub wanted: Percent,
    /// Slots of targets that may take work.
    pub alive: Slots,
    /// Slots that are left after the loss of any one failure domain.
    pub after_loss: Slots,
    /// The largest part of the traffic that the link carries.
    pub link: Percent,
}

impl Region {
    /// The part of a demand that the region may keep of what the tree gives it.
    fn keeps(&self, demand: Slots, used: f64) -> f64 {
        self.wanted.as_f64().min(part(self.alive * used, demand))
    }

    /// The part of a demand that the region may be given when others lose theirs.
    fn takes(&self, demand: Slots, used: f64) -> f64 {
        let slots = self.alive.min(self.after_loss) * used;
        part(slots, demand).min(self.link.as_f64())
    }
}

fn part(slots: Slots, demand: Slots) -> f64 {
    if slots <= 0.0 {
        return 0.0;
    }
    (slots / demand.max(f64::MIN_POSITIVE)).min(1.0)
}

/// Where the traffic should go.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Goal {
    /// The split to reach.
    pub split: Split,
    /// The part of the traffic that no region has room for. It stays where it is and is refused
    /// there rather than moved.
    pub unplaced: f64,
}

/// Where `demand` should go: what the tree wants, less what a region can't serve, which goes to
/// the others in proportion to their room after the loss of a failure domain.
#[must_use]
pub fn goal(regions: &IndexMap<id::Region, Region>, demand: Slots, headroom: Percent) -> Goal {
    let used = 1.0 - headroom.as_f64();
    let kept: Vec<f64> = regions.values().map(|r| r.keeps(demand, used)).collect();
    let rooms: Vec<f64> = regions
        .values()
        .zip(&kept)
        .map(|(region, kept)| (region.takes(demand, used) - kept).max(0.0))
        .collect();
    let homeless: f64 = regions
        .values()
        .zip(&kept)
        .map(|(region, kept)| region.wanted.as_f64() - kept)
        .sum();
    let room: f64 = rooms.iter().sum();
    let placed = homeless.min(room);
    let unplaced = (homeless - placed).max(0.0);
    let parts = regions.iter().zip(kept.iter().zip(&rooms));
    let weights = parts.map(|((name, region), (kept, own_room))| {
        let gained = if room > 0.0 {
            placed * own_room / room
        } else {
            0.0
        };
        let lost = region.wanted.as_f64() - kept;
        let stays = if homeless > 0.0 {
            unplaced * lost / homeless
        } else {
            0.0
        };
        (name.clone(), kept + gained + stays)
    });
    Goal {
        split: Split::new(weights),
        unplaced,
    }
}

/// What steps are allowed.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most traffic that moves in any interval.
    pub cap: Percent,
    /// The interval that the cap counts over.
    pub interval: Span,
}

/// A step that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When.
    pub at: Instant,
    /// The part of the traffic that it moved.
    pub moved: Percent,
}

/// The split in force and the steps of the last interval.
#[derive(Debug, Clone, Default)]
pub struct Shifter {
    in_force: Split,
    steps: VecDeque<Step>,
}

impl Shifter {
    /// Starts with `split`. A first split moves no traffic, for there is none.
    #[must_use]
    pub fn new(split: Split) -> Self {
        Self {
            in_force: split,
            steps: VecDeque::new(),
        }
    }

    /// Starts with what other instances have in force. The next step waits for an interval.
    #[must_use]
    pub fn adopt(split: Split, now: Instant) -> Self {
        let all = Step {
            at: now,
            moved: Percent::FULL,
        };
        Self {
            in_force: split,
            steps: VecDeque::from([all]),
        }
    }

    /// The split in force.
    #[must_use]
    pub const fn in_force(&self) -> &Split {
        &self.in_force
    }

    /// The part of the traffic that may still move at `now`.
    #[must_use]
    pub fn allowance(&self, limits: Limits, now: Instant) -> Percent {
        let recent = self
            .steps
            .iter()
            .filter(|step| now <= step.at + limits.interval);
        let moved: u32 = recent.map(|step| step.moved.as_ppm()).sum();
        Percent::from_ppm(limits.cap.as_ppm().saturating_sub(moved))
    }

    /// Whether `goal` is more than `deadband` away from the split in force.
    #[must_use]
    pub fn is_away_from(&self, goal: &Split, deadband: Percent) -> bool {
        !goal.is_empty() && self.in_force.distance(goal) > deadband
    }

    /// Takes a step toward `goal`, as far as the steps of the last interval leave room.
    pub fn step(&mut self, goal: &Split, limits: Limits, now: Instant) -> Option<Step> {
        let allowance = self.allowance(limits, now);
        if goal.is_empty() || allowance == Percent::ZERO {
            return None;
        }
        let next = self.in_force.toward(goal, allowance);
        let moved = self.in_force.distance(&next);
        if moved == Percent::ZERO {
            return None;
        }
        let step = Step { at: now, moved };
        self.in_force = next;
        self.steps.retain(|step| now <= step.at + limits.interval);
        self.steps.push_back(step);
        Some(step)
    }
}
