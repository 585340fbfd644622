//! Reports of a pool and the slots of its regions.

use sg_types::{percent::PPM_PER_WHOLE, prelude::*};

use crate::{
    member::Member,
    report::{self, Target},
    shift,
};

use super::{Pool, State};

/// Numbers of slots of a region.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RegionSlots {
    /// Slots of targets that the tree does not drain.
    pub(super) total: u32,
    /// Slots of targets that can take work.
    pub(super) usable: shift::Slots,
    /// Slots of targets that the tree does not drain, less those of the largest failure domain.
    pub(super) after_loss: shift::Slots,
}

impl Pool {
    /// Returns the requests per second that all instances together may send to each region. The
    /// result depends on the tree alone, so that it is the same on all instances.
    pub(crate) fn capacity(&self) -> IndexMap<id::Region, Rate> {
        let state = self.state.lock();
        let names = state.regions.keys().enumerate();
        let capacity = names.map(|(index, name)| {
            let slots = state.region_slots(index, Instant::START).total;
            (name.clone(), state.settings.capacity(slots))
        });
        capacity.collect()
    }

    /// Returns the state of the service for operators.
    pub(crate) fn report(&self, now: Instant) -> report::Service {
        let state = self.state.lock();
        let unplaced = (state.plan.goal().unplaced * f64::from(PPM_PER_WHOLE)) as u32;
        let names = state.regions.keys().enumerate();
        report::Service {
            revision: state.revision,
            phase: state.plan.phase(),
            cause: state.plan.cause(),
            demand: state.plan.demand(),
            unplaced: Percent::from_ppm(unplaced),
            regions: names
                .map(|(index, name)| (name.clone(), state.region_report(index, now)))
                .collect(),
            counts: state.counts,
        }
    }
}

impl State {
    /// Sums up the slots of a region.
    pub(super) fn region_slots(&self, region: usize, now: Instant) -> RegionSlots {
        let mut slots = RegionSlots::default();
        let mut domains: IndexMap<&id::Domain, u32> = IndexMap::new();
        for member in self.members_of(region).filter(|member| !member.drain) {
            slots.total += member.slots;
            *domains.entry(&member.domain).or_default() += member.slots;
            if member.is_usable(self.settings.stale_after, now) {
                slots.usable += f64::from(member.load.effective_slots(member.slots));
            }
        }
        // A region with a single failure domain is lost together with that domain. That is a
        // failover, not a loss to keep capacity for.
        let largest = match domains.len() {
            0 | 1 => 0,
            _ => domains.values().copied().max().unwrap_or(0),
        };
        slots.after_loss = f64::from(slots.total - largest);
        slots
    }

    fn members_of(&self, region: usize) -> impl Iterator<Item = &Member> {
        let members = self.members.values();
        members.filter(move |member| member.region == region)
    }

    fn region_report(&self, index: usize, now: Instant) -> report::Region {
        let region = &self.regions[index];
        let slots = self.region_slots(index, now);
        let members = || self.members_of(index);
        let in_flight: f64 = members()
            .map(|m| m.total_in_flight(&self.settings, now))
            .sum();
        let free = (1.0 - in_flight / slots.usable.max(1.0)).clamp(0.0, 1.0);
        let out = members().filter_map(|member| {
            let why = member.restriction(now)?;
            Some(Target {
                target: member.endpoint.target.clone(),
                why,
                in_flight: member.in_flight,
            })
        });
        report::Region {
            wanted: self.plan.tree_split().share(&region.name),
            goal: self.plan.goal().split.share(&region.name),
            in_force: self.plan.current_split().share(&region.name),
            capacity: self.settings.capacity(slots.total),
            headroom: Percent::from_ppm((free * f64::from(PPM_PER_WHOLE)) as u32),
            in_flight: members().map(|member| member.in_flight).sum(),
            targets: region.target_count,
            usable_targets: region.usable_count,
            out: out.collect(),
        }
    }
}
