//! The targets of a group, with their order by load.

use std::collections::BTreeSet;

use sg_types::prelude::*;

use super::{Place, target::Target};
use crate::message::TargetView;

/// Load units of a full target in the order by load.
const KEY_SCALE: f64 = 1024.0;
/// Ratio of the load of an object's home to the fair share above which the next rank is used instead.
/// Arrivals vary by more than half around their mean within a period, and a fair share is counted up to
/// the next whole request, so that a quarter leaves most objects at their home.
const FAIR_RATIO: f64 = 1.25;

/// The targets of a group.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    places: IndexMap<id::Target, Place>,
    targets: Vec<Target>,
    /// Places of targets that are gone.
    free: Vec<Place>,
    /// Usable targets by their utilisation.
    by_load: BTreeSet<(u64, Place)>,
    /// Slots and load of the usable targets.
    slots: u64,
    load: u64,
}

impl Table {
    pub fn get(&self, place: Place) -> &Target {
        &self.targets[place.index()]
    }

    /// Returns the number of places, including those of targets that are gone.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    pub fn place(&self, id: &id::Target) -> Option<Place> {
        self.places.get(id).copied()
    }

    /// Returns the listed targets.
    pub fn places(&self) -> impl Iterator<Item = (&id::Target, Place)> {
        let places = self.places.iter();
        places.filter_map(|(id, place)| self.get(*place).is_listed.then_some((id, *place)))
    }

    /// Returns the usable targets, the least utilised first.
    pub fn by_load(&self) -> impl Iterator<Item = Place> {
        self.by_load.iter().map(|(_, place)| *place)
    }

    /// Returns the slots of the usable targets.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Returns the requests beyond the slots of the usable targets, per slot.
    pub fn waiting_per_slot(&self) -> f64 {
        let waiting = self.load.saturating_sub(self.slots);
        waiting as f64 / self.slots.max(1) as f64
    }

    /// Returns whether the target has more than a fair share of the load with one more request.
    pub fn exceeds_fair_share(&self, place: Place) -> bool {
        let target = self.get(place);
        let mean = (self.load + 1) as f64 / self.slots.max(1) as f64;
        let fair = mean * FAIR_RATIO * f64::from(target.slots());
        f64::from(target.load_with_queue()) + 1.0 > fair.ceil()
    }

    /// Changes a target and keeps the order by load.
    pub fn change<T>(
        &mut self,
        place: Place,
        now: Instant,
        change: impl FnOnce(&mut Target) -> T,
    ) -> T {
        let target = &mut self.targets[place.index()];
        if let Some(key) = target.load_key.take() {
            self.by_load.remove(&(key, place));
            self.slots -= u64::from(target.slots());
            self.load -= u64::from(target.load_with_queue());
        }
        let result = change(target);
        if target.is_usable(now) {
            let key = (target.utilization() * KEY_SCALE) as u64;
            target.load_key = Some(key);
            self.by_load.insert((key, place));
            self.slots += u64::from(target.slots());
            self.load += u64::from(target.load_with_queue());
        }
        result
    }

    /// Replaces the list of targets. Returns whether targets were added or removed.
    pub fn replace(&mut self, views: impl IntoIterator<Item = TargetView>, now: Instant) -> bool {
        let mut gone: IndexSet<Place> = self.places().map(|(_, place)| place).collect();
        let mut is_changed = false;
        for view in views {
            if let Some(place) = self.place(&view.id) {
                is_changed |= !gone.swap_remove(&place);
                self.change(place, now, |target| target.update(&view));
                continue;
            }
            is_changed = true;
            let place = self.insert(&view);
            self.change(place, now, |_| ());
        }
        for place in &gone {
            self.change(*place, now, |target| target.is_listed = false);
        }
        is_changed || !gone.is_empty()
    }

    fn insert(&mut self, view: &TargetView) -> Place {
        let target = Target::new(view);
        let place = match self.free.pop() {
            Some(place) => {
                self.targets[place.index()] = target;
                place
            }
            None => {
                self.targets.push(target);
                Place::new(self.targets.len() - 1)
            }
        };
        self.places.insert(view.id.clone(), place);
        place
    }

    /// Removes the targets that are no longer listed and at which nothing runs or waits. Returns their
    /// places, which other targets may get.
    pub fn remove_idle(&mut self) -> Vec<Place> {
        let targets = &self.targets;
        let is_idle = |target: &Target| target.leases == 0 && target.queued == 0;
        let mut removed = Vec::new();
        self.places.retain(|_, place| {
            let target = &targets[place.index()];
            let stays = target.is_listed || !is_idle(target);
            if !stays {
                removed.push(*place);
            }
            stays
        });
        self.free.extend(&removed);
        removed
    }

    /// Forgets the objects that are warm at a removed target and returns them.
    pub fn take_objects(&mut self, place: Place) -> Vec<sg_place::hash::Object> {
        self.targets[place.index()].take_objects()
    }
}
