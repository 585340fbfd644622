//! Application of a revision of the tree and of splits from other instances.

use sg_tree::{View, view};
use sg_types::prelude::*;

use crate::{
    member::Member,
    region::Region,
    settings::Settings,
    split::{ServiceSplit, Split},
};

use super::{Pool, State};

impl Pool {
    /// Applies the settings of the service. The state of targets that remain is kept. The current
    /// split is kept too, and moves to the new one in steps limited by the shift cap.
    pub(crate) fn configure(&self, view: &View, service: &view::Service, now: Instant) {
        let state = &mut *self.state.lock();
        let is_first_revision = state.revision == Revision::default() && state.regions.is_empty();
        state.revision = view.revision;
        state.settings = Settings::new(service, state.settings.instances);
        state.set_regions(view, service);
        state.set_members(service, is_first_revision, now);
        state.plan.set_tree_split(tree_split(service, &self.home));
        state.plan.update_weights(&state.regions);
        state.plan.init_last_measurement(now);
        state.update_all_availability(now);
        state.rebuild_timers(now);
    }

    /// Adopts the mean of the current splits of other instances, unless this instance has already
    /// started requests.
    pub(crate) fn adopt(&self, splits: &[&Split], now: Instant) {
        let state = &mut *self.state.lock();
        if state.counts.started > 0 || splits.is_empty() {
            return;
        }
        let mean = Split::mean(splits.iter().copied());
        let known = mean
            .shares()
            .filter(|(name, _)| state.regions.contains_key(*name));
        let known = Split::new(known.map(|(name, share)| (name.clone(), share.as_f64())));
        if !known.is_empty() {
            state.plan.adopt(known, now);
            state.plan.update_weights(&state.regions);
        }
    }

    /// Returns the current split of the service, for other instances.
    pub(crate) fn service_split(&self) -> ServiceSplit {
        ServiceSplit {
            service: self.service.clone(),
            split: self.state.lock().plan.current_split().clone(),
        }
    }
}

impl State {
    /// Sets the regions to those that have targets, a share in the tree or current traffic.
    fn set_regions(&mut self, view: &View, service: &view::Service) {
        let mut previous = std::mem::take(&mut self.regions);
        let mut names: IndexSet<id::Region> = IndexSet::new();
        names.extend(view.regions.keys().cloned());
        names.extend(previous.keys().cloned());
        let current_split = self.plan.current_split();
        let has_traffic = |name: &id::Region| current_split.share(name) > Percent::ZERO;
        let has_target = |name: &id::Region| service.targets.values().any(|t| t.region == *name);
        let mut regions = IndexMap::new();
        for name in names {
            if has_traffic(&name) || has_target(&name) || service.split.contains_key(&name) {
                let kept = previous.swap_remove(&name);
                let region =
                    kept.map_or_else(|| Region::new(name.clone()), Region::without_targets);
                regions.insert(name, region);
            }
        }
        self.regions = regions;
    }

    fn set_members(&mut self, service: &view::Service, is_first_revision: bool, now: Instant) {
        let mut previous = std::mem::take(&mut self.members);
        for (name, target) in &service.targets {
            let Some(region) = self.regions.get_index_of(&target.region) else {
                continue;
            };
            self.regions[region].target_count += 1;
            let is_same = |member: &Member| {
                member.endpoint.address == target.address && member.endpoint.region == target.region
            };
            let member = match previous.swap_remove(name).filter(is_same) {
                Some(kept) => kept.reconfigured(target, region),
                None => {
                    let mut member = Member::new(name, target, region);
                    member.cold_since = (!is_first_revision).then_some(now);
                    member
                }
            };
            self.members.insert(name.clone(), member);
        }
    }

    /// Sets a timer under the new index for every target that is excluded, cold or in back-off.
    fn rebuild_timers(&mut self, now: Instant) {
        self.timers.clear();
        for (index, member) in self.members.values().enumerate() {
            let excluded_until = member.health.exclusion().map(|exclusion| exclusion.until);
            let is_cold = member.cold_since.is_some();
            let is_backing_off = member.health.backoff_until() > now;
            let due = excluded_until.or(is_cold.then_some(now));
            let due = due.or(is_backing_off.then_some(member.health.backoff_until()));
            self.timers
                .extend(due.map(|due| std::cmp::Reverse((due, index))));
        }
    }
}

/// Returns the split of the tree. Without one, the instance's own region gets all traffic if it has
/// targets; otherwise all regions with targets get equal shares.
fn tree_split(service: &view::Service, home: &id::Region) -> Split {
    if !service.split.is_empty() {
        let shares = service.split.iter();
        return Split::new(shares.map(|(name, share)| (name.clone(), share.as_f64())));
    }
    let regions: IndexSet<_> = service.targets.values().map(|t| t.region.clone()).collect();
    if regions.contains(home) {
        return Split::new([(home.clone(), 1.0)]);
    }
    Split::new(regions.into_iter().map(|name| (name, 1.0)))
}
