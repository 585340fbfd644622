//! What a pool reports, and what it counts of a region's slots.

use sg_types::{percent::WHOLE, prelude::*};

use crate::{
    member::Member,
    report::{self, Target},
    shift,
};

use super::{Pool, State};

/// A region's slots.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Slots {
    /// Of targets that the tree does not drain.
    pub(super) whole: u32,
    /// Of targets that may take work.
    pub(super) able: shift::Slots,
    /// Of targets that the tree does not drain, less the largest failure domain.
    pub(super) after_loss: shift::Slots,
}

impl Pool {
    /// Requests a second that each region may be given by all instances together. Follows from the
    /// tree alone, so that it is the same on all instances.
    pub(crate) fn capacity(&self) -> IndexMap<id::Region, Rate> {
        let state = self.state.lock();
        let names = state.regions.keys().enumerate();
        let capacity = names.map(|(index, name)| {
            let slots = state.slots(index, Instant::START).whole;
            (name.clone(), state.settings.capacity(slots))
        });
        capacity.collect()
    }

    /// What the pool is doing and why.
    pub(crate) fn report(&self, now: Instant) -> report::Service {
        let state = self.state.lock();
        let unplaced = (state.plan.goal().unplaced * f64::from(WHOLE)) as u32;
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
    /// Counts the slots of a region.
    pub(super) fn slots(&self, region: usize, now: Instant) -> Slots {
        let mut slots = Slots::default();
        let mut domains: IndexMap<&id::Domain, u32> = IndexMap::new();
        for member in self.members_of(region).filter(|member| !member.drain) {
            slots.whole += member.slots;
            *domains.entry(&member.domain).or_default() += member.slots;
            if member.is_able(self.settings.stale, now) {
                slots.able += f64::from(member.load.slots(member.slots));
            }
        }
        // A region of one failure domain is lost with it: that is a failover, not a loss to plan.
        let largest = match domains.len() {
            0 | 1 => 0,
            _ => domains.values().copied().max().unwrap_or(0),
        };
        slots.after_loss = f64::from(slots.whole - largest);
        slots
    }

    fn members_of(&self, region: usize) -> impl Iterator<Item = &Member> {
        let members = self.members.values();
        members.filter(move |member| member.region == region)
    }

    fn region_report(&self, index: usize, now: Instant) -> report::Region {
        let region = &self.regions[index];
        let slots = self.slots(index, now);
        let members = || self.members_of(index);
        let busy: f64 = members().map(|m| m.busy(&self.settings, now)).sum();
        let free = (1.0 - busy / slots.able.max(1.0)).clamp(0.0, 1.0);
        let out = members().filter_map(|member| {
            let why = member.why(now)?;
            Some(Target {
                target: member.place.target.clone(),
                why,
                in_flight: member.in_flight,
            })
        });
        report::Region {
            wanted: self.plan.wanted().part(&region.name),
            goal: self.plan.goal().split.part(&region.name),
            in_force: self.plan.in_force().part(&region.name),
            capacity: self.settings.capacity(slots.whole),
            headroom: Percent::from_ppm((free * f64::from(WHOLE)) as u32),
            in_flight: members().map(|member| member.in_flight).sum(),
            targets: region.members,
            able: region.able,
            out: out.collect(),
        }
    }
}
