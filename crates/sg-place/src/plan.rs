//! Splits a region's requests over the regions that have room.
//!
//! Requests that may run in one region only take its room first. The others stay in their own region
//! while it has room left, and the excess goes to other regions in proportion to their spare room. Every instance that knows the same loads computes the same plan.
//! A plan changes in steps, so that caches in the receiving region warm up and requests shift no
//! faster than the cap allows.

use sg_types::prelude::*;

use crate::hash::Object;

/// Fraction of a region's slots that a plan fills. The rest is kept for bursts and for the loss of
/// a target.
const MAX_UTILIZATION: f64 = 0.8;

/// Part of the difference between [`MAX_UTILIZATION`] and the utilization of all regions together that a plan
/// leaves free while other regions have room. Requests wait the longer the fuller a region is, far beyond the way
/// to another region.
const LEVELING: f64 = 0.5;

/// How far a plan fills the slots of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Filling {
    /// Requests leave their region only beyond the largest utilization that a plan allows.
    Home,
    /// Requests also leave a region that is much fuller than the others.
    Leveled,
}

impl Filling {
    /// Returns the fraction of a region's slots that a plan fills.
    fn fraction(self, regions: &[RegionLoad]) -> f64 {
        let demand: f64 = regions.iter().map(|r| r.demand + r.bound).sum();
        let slots: f64 = regions.iter().map(|r| r.slots).sum();
        if self == Self::Home || slots <= 0.0 {
            return MAX_UTILIZATION;
        }
        let free = (MAX_UTILIZATION - demand / slots).max(0.0);
        MAX_UTILIZATION - free * LEVELING
    }
}

/// Demand and capacity of a region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionLoad {
    /// Name of the region.
    pub name: id::Region,
    /// Slots that the requests arriving in the region keep busy, in whichever region they run, without
    /// those that may run in one region only.
    pub demand: f64,
    /// Slots that requests which may run in this region only keep busy, wherever they arrive.
    pub bound: f64,
    /// Slots of the usable targets in the region.
    pub slots: f64,
}

/// A region's share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionShare {
    /// Region that runs the requests.
    pub region: id::Region,
    /// Share of the requests, from 0 to 1.
    pub weight: f64,
}

/// Where the requests that arrive in one region run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Shares of the regions. The weights add up to 1, or there are no shares if there is no target
    /// at all.
    pub shares: Vec<RegionShare>,
}

/// Splits the demand of all regions and returns the plan of the region `home`, which fills regions as
/// [`Filling::Home`] does.
#[must_use]
pub fn plan_for(regions: &[RegionLoad], home: &id::Region) -> Plan {
    plan_with(regions, home, Filling::Home)
}

/// Splits the demand of all regions and returns the plan of the region `home`. Demand beyond the
/// room of all regions stays where it arrives.
#[must_use]
pub fn plan_with(regions: &[RegionLoad], home: &id::Region, filling: Filling) -> Plan {
    let fraction = filling.fraction(regions);
    let room = |region: &RegionLoad| (region.slots * fraction - region.bound).max(0.0);
    let excess = |region: &RegionLoad| (region.demand - room(region)).max(0.0);
    let spare = |region: &RegionLoad| (room(region) - region.demand).max(0.0);
    let Some(own) = regions.iter().find(|region| region.name == *home) else {
        return Plan::from_weights(regions, |region| region.slots);
    };
    if own.slots <= 0.0 {
        return Plan::from_weights(regions, |region| {
            spare(region).max(region.slots * (1.0 - MAX_UTILIZATION))
        });
    }
    let total_excess: f64 = regions.iter().map(excess).sum();
    let total_spare: f64 = regions.iter().map(spare).sum();
    if own.demand <= 0.0 || excess(own) <= 0.0 {
        return Plan::from_weights(regions, |region| f64::from(region.name == *home));
    }
    let moved = excess(own) * (total_spare / total_excess).min(1.0);
    Plan::from_weights(regions, |region| {
        if region.name == *home {
            own.demand - moved
        } else {
            moved * spare(region) / total_spare.max(f64::MIN_POSITIVE)
        }
    })
}

/// Returns whether the demand of all regions exceeds the room that plans fill.
#[must_use]
pub fn is_overloaded(regions: &[RegionLoad]) -> bool {
    let demand: f64 = regions.iter().map(|r| r.demand + r.bound).sum();
    let slots: f64 = regions.iter().map(|r| r.slots).sum();
    demand > slots * MAX_UTILIZATION
}

impl Plan {
    fn from_weights(regions: &[RegionLoad], weight: impl Fn(&RegionLoad) -> f64) -> Self {
        let total: f64 = regions.iter().map(&weight).sum();
        if total <= 0.0 {
            return Self::default();
        }
        let shares = regions.iter().map(|region| RegionShare {
            region: region.name.clone(),
            weight: weight(region) / total,
        });
        Self {
            shares: shares.collect(),
        }
    }

    /// Returns the region that runs requests about `object`. A change of weights moves only as many
    /// objects as the weights change.
    #[must_use]
    pub fn region(&self, object: Object) -> Option<&id::Region> {
        let cost =
            |share: &RegionShare| -object.fraction(share.region.as_str()).ln() / share.weight;
        self.shares
            .iter()
            .filter(|share| share.weight > 0.0)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .map(|share| &share.region)
    }

    /// Returns the share of the requests that runs in `region`.
    #[must_use]
    pub fn weight(&self, region: &id::Region) -> f64 {
        let mut shares = self.shares.iter();
        shares
            .find(|share| share.region == *region)
            .map_or(0.0, |share| share.weight)
    }

    /// Returns a plan between this plan and `next` that moves at most the fraction `step` of the
    /// requests.
    #[must_use]
    pub fn step_toward(&self, next: &Self, step: f64) -> Self {
        if self.shares.is_empty() || next.shares.is_empty() {
            return next.clone();
        }
        let names: IndexSet<&id::Region> = self
            .shares
            .iter()
            .chain(&next.shares)
            .map(|share| &share.region)
            .collect();
        let change = |region| next.weight(region) - self.weight(region);
        let moved: f64 = names.iter().map(|region| change(region).max(0.0)).sum();
        let scale = if moved > step { step / moved } else { 1.0 };
        let shares = names.iter().map(|region| RegionShare {
            region: (*region).clone(),
            weight: self.weight(region) + change(region) * scale,
        });
        Self {
            shares: shares.collect(),
        }
    }
}
