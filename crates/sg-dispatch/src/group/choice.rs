//! The choice of a target for a request.

use sg_place::{hash::Object, pace::Persistence};
use sg_types::prelude::*;

use super::{Place, table::Table};
use crate::{message::Ask, placement::Entry};

/// Number of the least utilised targets that are compared for a request. Several are compared because the
/// paces of their machines differ.
const LEAST_UTILIZED: usize = 4;

/// What a request needs of a target.
#[derive(Debug, Clone)]
pub(crate) struct Need {
    pub object: Option<Object>,
    pub warm_seconds: f64,
    pub cold_seconds: f64,
    pub excluded: Vec<Place>,
}

impl Need {
    pub fn new(ask: &Ask, table: &Table) -> Self {
        let excluded = ask.excluded.iter();
        Self {
            object: ask.object,
            warm_seconds: ask.warm_work.as_secs_f64(),
            cold_seconds: ask.cold_work.as_secs_f64(),
            excluded: excluded.filter_map(|id| table.place(id)).collect(),
        }
    }
}

/// Whether a request finds its object warm at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Warmth {
    /// The object is warm, or will be once a waiting request begins there.
    Warm,
    /// The object is cold here, and this is the target where it should become warm.
    Home,
    /// The object is cold here.
    Cold,
}

/// A target for a request, with estimates in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Candidate {
    pub place: Place,
    pub warmth: Warmth,
    pub wait_seconds: f64,
    /// Work at the expected pace.
    pub work_seconds: f64,
    /// Time until the response, with the charge for extra work; the least wins.
    pub cost: f64,
}

/// What targets are evaluated against.
pub(crate) struct Evaluation<'a> {
    pub table: &'a Table,
    pub persistence: &'a Persistence,
    pub typical_seconds: f64,
    pub now: Instant,
}

impl Evaluation<'_> {
    /// Chooses the target with the least expected completion for a request about an object of which `entry`
    /// is known. Only targets that can be the best are evaluated: those where the object is warm, the home
    /// of the object, and the least utilised ones.
    pub fn choose(&self, need: &Need, entry: Option<&Entry>) -> Option<Candidate> {
        let may_use = |place: &Place| {
            self.table.get(*place).is_usable(self.now) && !need.excluded.contains(place)
        };
        let known = entry.into_iter();
        let known = known.flat_map(|entry| entry.warm.iter().chain(&entry.planned));
        let warm = known.copied().filter(&may_use);
        let warm: Vec<Place> = warm
            .filter(|place| self.is_warm(*place, need) || is_planned(entry, *place))
            .collect();
        let ranks = entry.into_iter().flat_map(|entry| entry.ranks.iter());
        let home = ranks.copied().filter(&may_use);
        let home = { home }.find(|place| !self.table.exceeds_fair_share(*place));
        let least = self.table.by_load().filter(&may_use).take(LEAST_UTILIZED);
        let places = warm.iter().copied().chain(home).chain(least);
        let candidates = places.map(|place| {
            let warmth = if warm.contains(&place) || self.is_warm(place, need) {
                Warmth::Warm
            } else if warm.is_empty() && home == Some(place) {
                Warmth::Home
            } else {
                Warmth::Cold
            };
            self.evaluate(place, need, warmth)
        });
        candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns whether the object is warm at the target now.
    pub fn is_warm(&self, place: Place, need: &Need) -> bool {
        let target = self.table.get(place);
        need.object
            .is_some_and(|object| target.depth(object).is_some())
    }

    /// Estimates when the target would respond.
    pub fn evaluate(&self, place: Place, need: &Need, warmth: Warmth) -> Candidate {
        let target = self.table.get(place);
        let work_seconds = match warmth {
            Warmth::Warm => need.warm_seconds,
            Warmth::Home | Warmth::Cold => need.cold_seconds,
        };
        let usual_seconds = work_seconds * target.work_factor(self.typical_seconds, self.now);
        let wait_seconds = target.wait_seconds(self.typical_seconds, self.now);
        let work_seconds =
            self.persistence
                .expected_seconds(target.pace, usual_seconds, wait_seconds, self.now);
        Candidate {
            place,
            warmth,
            wait_seconds,
            work_seconds,
            cost: wait_seconds + work_seconds + self.charge_seconds(need, warmth),
        }
    }

    /// Returns the delay of other requests by a cold run that could have been avoided. While slots are free,
    /// nobody pays for one; if requests wait, each second of a slot delays as many as wait per slot.
    fn charge_seconds(&self, need: &Need, warmth: Warmth) -> f64 {
        if need.object.is_none() || warmth != Warmth::Cold {
            return 0.0;
        }
        let extra_seconds = (need.cold_seconds - need.warm_seconds).max(0.0);
        extra_seconds * self.table.waiting_per_slot()
    }
}

fn is_planned(entry: Option<&Entry>, place: Place) -> bool {
    entry.is_some_and(|entry| entry.planned == Some(place))
}
