//! Takes a revision of the tree into force.

use sg_tree::{View, view};
use sg_types::prelude::*;

use crate::{
    member::Member,
    region::Region,
    settings::Settings,
    split::{Position, Split},
};

use super::{Pool, State};

impl Pool {
    /// Takes the service's settings into force. What is known of targets that stay is kept; the
    /// split in force stays too, and moves to the new one by capped steps.
    pub(crate) fn configure(&self, view: &View, service: &view::Service, now: Instant) {
        let state = &mut *self.state.lock();
        let is_first = state.revision == Revision::default() && state.regions.is_empty();
        state.revision = view.revision;
        state.settings = Settings::new(service, state.settings.entries);
        state.set_regions(view, service);
        state.set_members(service, is_first, now);
        state.plan.want(wanted(service, &self.home));
        state.plan.set_wheel(&state.regions);
        state.plan.on_configure(now);
        state.refresh_all(now);
        state.rebuild_timers(now);
    }

    /// Takes over the mean of what other instances have in force, unless this one has served.
    pub(crate) fn adopt(&self, splits: &[&Split], now: Instant) {
        let state = &mut *self.state.lock();
        if state.counts.started > 0 || splits.is_empty() {
            return;
        }
        let mean = Split::mean(splits.iter().copied());
        let known = mean
            .parts()
            .filter(|(name, _)| state.regions.contains_key(*name));
        let known = Split::new(known.map(|(name, part)| (name.clone(), part.as_f64())));
        if !known.is_empty() {
            state.plan.adopt(known, now);
            state.plan.set_wheel(&state.regions);
        }
    }

    /// The split in force, for other instances.
    pub(crate) fn position(&self) -> Position {
        Position {
            service: self.service.clone(),
            split: self.state.lock().plan.in_force().clone(),
        }
    }
}

impl State {
    /// Lists the regions that have targets, are wanted or still have traffic.
    fn set_regions(&mut self, view: &View, service: &view::Service) {
        let mut before = std::mem::take(&mut self.regions);
        let mut names: IndexSet<id::Region> = IndexSet::new();
        names.extend(view.regions.keys().cloned());
        names.extend(before.keys().cloned());
        let in_force = self.plan.in_force();
        let has_part = |name: &id::Region| in_force.part(name) > Percent::ZERO;
        let has_target = |name: &id::Region| service.targets.values().any(|t| t.region == *name);
        let mut regions = IndexMap::new();
        for name in names {
            if has_part(&name) || has_target(&name) || service.split.contains_key(&name) {
                let kept = before.swap_remove(&name);
                let region = kept.map_or_else(|| Region::new(name.clone()), Region::emptied);
                regions.insert(name, region);
            }
        }
        self.regions = regions;
    }

    fn set_members(&mut self, service: &view::Service, is_first: bool, now: Instant) {
        let mut before = std::mem::take(&mut self.members);
        for (name, target) in &service.targets {
            let Some(region) = self.regions.get_index_of(&target.region) else {
                continue;
            };
            self.regions[region].members += 1;
            let is_same = |member: &Member| {
                member.place.address == target.address && member.place.region == target.region
            };
            let member = match before.swap_remove(name).filter(is_same) {
                Some(kept) => kept.reconfigured(target, region),
                None => {
                    let mut member = Member::new(name, target, region);
                    member.cold_since = (!is_first).then_some(now);
                    member
                }
            };
            self.members.insert(name.clone(), member);
        }
    }

    /// Sets a timer for every target that waits for something, under its new index.
    fn rebuild_timers(&mut self, now: Instant) {
        self.timers.clear();
        for (index, member) in self.members.values().enumerate() {
            let waits = member.health.out().map(|out| out.until);
            let is_cold = member.cold_since.is_some();
            let backs_off = member.health.backoff() > now;
            let due = waits.or(is_cold.then_some(now));
            let due = due.or(backs_off.then_some(member.health.backoff()));
            self.timers
                .extend(due.map(|due| std::cmp::Reverse((due, index))));
        }
    }
}

/// The split that the tree wants. Without one: the own region if it has targets, else equal parts.
fn wanted(service: &view::Service, home: &id::Region) -> Split {
    if !service.split.is_empty() {
        let parts = service.split.iter();
        return Split::new(parts.map(|(name, part)| (name.clone(), part.as_f64())));
    }
    let regions: IndexSet<_> = service.targets.values().map(|t| t.region.clone()).collect();
    if regions.contains(home) {
        return Split::new([(home.clone(), 1.0)]);
    }
    Split::new(regions.into_iter().map(|name| (name, 1.0)))
}
