//! Checks fleet-wide invariants in true time.

use sg_share::{Budget, budget};
use sg_types::prelude::*;

use crate::world::Node;

/// A token bucket for each budget of the fleet, and the first violation found.
pub struct Check {
    buckets: IndexMap<budget::Id, Bucket>,
    pub violation: Option<String>,
}

/// A token bucket that counts in 1e-15 of a unit, the product of a millionth and a nanosecond.
struct Bucket {
    rate: i128,
    burst: i128,
    level: i128,
    at: u64,
}

const FEMTOS_PER_UNIT: i128 = 1_000_000_000_000_000;
/// The time during which old settings may still be in force on some instance.
const CONVERGENCE_TIME: u64 = 30 * crate::world::SEC;

impl Check {
    pub fn new(budgets: &IndexMap<budget::Id, Budget>) -> Self {
        let mut check = Self {
            buckets: IndexMap::new(),
            violation: None,
        };
        check.set(budgets, 0);
        check
    }

    fn set(&mut self, budgets: &IndexMap<budget::Id, Budget>, now: u64) {
        for (id, budget) in budgets {
            let rate = i128::from(budget.rate.as_micros());
            let burst = i128::from(budget.burst) * FEMTOS_PER_UNIT;
            let bucket = self.buckets.entry(id.clone()).or_insert(Bucket {
                rate,
                burst,
                level: burst,
                at: now,
            });
            bucket.settle(now);
            // A greater burst sets a new bound, under which the bucket may be full at once.
            bucket.level += (burst - bucket.burst).max(0);
            bucket.rate = rate;
            bucket.burst = burst;
        }
    }

    /// Applies the greater of the old and the new values, until [`Self::finish_configure`] is called.
    pub fn configure(&mut self, budgets: &IndexMap<budget::Id, Budget>, now: u64) {
        let greater = budgets
            .iter()
            .map(|(id, budget)| {
                let (rate, burst) = self.buckets.get(id).map_or((0, 0), |old| {
                    (old.rate as u64, (old.burst / FEMTOS_PER_UNIT) as u32)
                });
                let greater = Budget {
                    rate: Rate::from_micros(budget.rate.as_micros().max(rate)),
                    burst: budget.burst.max(burst),
                };
                (id.clone(), greater)
            })
            .collect();
        self.set(&greater, now);
    }

    /// Applies only the newest settings from now on.
    pub fn finish_configure(&mut self, budgets: &IndexMap<budget::Id, Budget>, now: u64) {
        self.set(budgets, now);
    }

    pub const fn convergence_time() -> u64 {
        CONVERGENCE_TIME
    }

    /// Counts admitted units. Over any window they may not exceed the burst plus the rate times the
    /// window.
    pub fn admit(&mut self, id: &budget::Id, units: u32, now: u64) {
        let bucket = &mut self.buckets[id];
        bucket.settle(now);
        bucket.level -= i128::from(units) * FEMTOS_PER_UNIT;
        if bucket.level < 0 {
            self.fail(format!("{id} admitted over burst + rate * T at {now}"));
        }
    }

    /// Checks that the parts of each budget in use add up to no more than the budget, and that no slot
    /// has two users.
    pub fn check_shares(&mut self, nodes: &[Node], now: u64) {
        let mut users: IndexMap<Slot, &id::Instance> = IndexMap::new();
        let mut conflict = None;
        for node in nodes {
            let clock = node.clock(now);
            for slot in node
                .engine
                .iter()
                .flat_map(|engine| engine.slots_in_use(clock))
            {
                if let Some(other) = users.insert(slot, &node.name) {
                    conflict = Some(format!(
                        "slot {slot} used by {other} and {} at {now}",
                        node.name
                    ));
                }
            }
        }
        conflict.into_iter().for_each(|message| self.fail(message));
        let mut excess = None;
        for (id, bucket) in &self.buckets {
            let held = nodes.iter().filter_map(|node| {
                let engine = node.engine.as_ref()?;
                Some(engine.held(id, node.clock(now)))
            });
            let (rate, burst) = held.fold((0, 0), |(rate, burst), part| {
                (rate + i128::from(part.rate), burst + i128::from(part.burst))
            });
            if rate > bucket.rate || burst * (FEMTOS_PER_UNIT / 1_000_000) > bucket.burst {
                excess = Some(format!("{id}: parts add up to {rate}, {burst} at {now}"));
            }
        }
        excess.into_iter().for_each(|message| self.fail(message));
    }

    fn fail(&mut self, message: String) {
        self.violation.get_or_insert(message);
    }

    /// Fails the test with the first violation.
    pub fn assert(&self) {
        assert_eq!(self.violation, None);
    }
}

impl Bucket {
    fn settle(&mut self, now: u64) {
        let accrued = self.rate * i128::from(now - self.at);
        self.level = (self.level + accrued).min(self.burst);
        self.at = now;
    }
}
