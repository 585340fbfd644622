//! Summary of the fleet, and the fleet's splits of traffic between regions.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use super::{Fleet, Instance, Split, State};

/// Minimum and maximum of several values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range<T> {
    /// Minimum.
    pub least: T,
    /// Maximum.
    pub most: T,
}

impl<T: Ord + Copy> Range<T> {
    /// Returns the range of `values`, or `None` if `values` is empty.
    pub fn of(values: impl Iterator<Item = T> + Clone) -> Option<Self> {
        let least = values.clone().min()?;
        let most = values.max()?;
        Some(Self { least, most })
    }
}

impl<T: fmt::Display + PartialEq> fmt::Display for Range<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.least == self.most {
            return self.most.fmt(f);
        }
        write!(f, "{} to {}", self.least, self.most)
    }
}

/// Summary of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of listed instances, including those that did not respond.
    pub listed: usize,
    /// Number of instances that serve every route.
    pub serving: usize,
    /// Instances that serve open routes only.
    pub fenced: Vec<id::Instance>,
    /// Instances that are about to stop.
    pub leaving: Vec<id::Instance>,
    /// Range of the revisions in force, or `None` if no instance responded.
    pub revisions: Option<Range<Revision>>,
    /// Number of slots held.
    pub slots: usize,
    /// Number of slots whose shares are confirmed.
    pub confirmed: usize,
    /// Number of requests that the instances are processing.
    pub in_hand: u64,
}

/// Percentage of a service's traffic that the fleet sends to one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetSplit {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
    /// Percentage configured in the newest tree.
    pub wanted: Percent,
    /// Range of the percentages in force on the instances.
    pub in_force: Range<Percent>,
    /// Unused capacity as a fraction of the total capacity: the mean over the instances that
    /// report a value.
    pub headroom: Option<f64>,
    /// Number of requests in flight from all instances.
    pub in_flight: u64,
}

impl Fleet {
    /// Returns the summary of the fleet.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let revisions = self.instances.iter().map(|instance| instance.revision);
        let slot_holders = self.instances.iter().filter(|one| one.slot.is_some());
        Summary {
            listed: self.instances.len() + self.missing.len(),
            serving: self.in_state(State::Serving).len(),
            fenced: self.in_state(State::Fenced),
            leaving: self.in_state(State::Leaving),
            revisions: Range::of(revisions),
            slots: slot_holders.clone().count(),
            confirmed: slot_holders.filter(|one| one.confirmed).count(),
            in_hand: self.instances.iter().map(|one| one.in_hand).sum(),
        }
    }

    fn in_state(&self, state: State) -> Vec<id::Instance> {
        let instances = self.instances.iter();
        instances
            .filter(|instance| instance.state == state)
            .map(|instance| instance.instance.clone())
            .collect()
    }

    /// Returns the split for each service and region, in the order in which the instances report
    /// them.
    #[must_use]
    pub fn splits(&self) -> Vec<FleetSplit> {
        let mut splits: IndexMap<(&id::Service, &id::Region), Vec<(&Instance, &Split)>> =
            IndexMap::new();
        for instance in &self.instances {
            for split in &instance.splits {
                let key = (&split.service, &split.region);
                splits.entry(key).or_default().push((instance, split));
            }
        }
        splits
            .values()
            .filter_map(|splits| merge_splits(splits))
            .collect()
    }
}

fn merge_splits(splits: &[(&Instance, &Split)]) -> Option<FleetSplit> {
    let (_, newest) = splits.iter().max_by_key(|(one, _)| one.revision)?;
    let known: Vec<f64> = splits.iter().filter_map(|(_, s)| s.headroom).collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    Some(FleetSplit {
        service: newest.service.clone(),
        region: newest.region.clone(),
        wanted: newest.wanted,
        in_force: Range::of(splits.iter().map(|(_, split)| split.in_force))?,
        headroom: (!known.is_empty()).then_some(mean),
        in_flight: splits.iter().map(|(_, s)| u64::from(s.in_flight)).sum(),
    })
}
