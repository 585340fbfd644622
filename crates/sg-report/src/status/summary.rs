//! The fleet in a few figures.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use super::{Fleet, Instance, Split, State};

/// The least and the greatest of several values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range<T> {
    /// The least.
    pub least: T,
    /// The greatest.
    pub most: T,
}

impl<T: Ord + Copy> Range<T> {
    /// The range of `values`; `None` if there are none.
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

/// The fleet in a few figures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Instances of the list, whether they answered or not.
    pub listed: usize,
    /// Instances that serve every route.
    pub serving: usize,
    /// Instances that serve open routes only.
    pub fenced: Vec<id::Instance>,
    /// Instances that are about to stop.
    pub leaving: Vec<id::Instance>,
    /// The revisions in force.
    pub revisions: Option<Range<Revision>>,
    /// Slots that are held.
    pub slots: usize,
    /// Slots whose shares are confirmed.
    pub confirmed: usize,
    /// Requests in work.
    pub in_hand: u64,
}

/// A region's part of a service over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
    /// The part that the newest tree wants.
    pub wanted: Percent,
    /// The parts in force, over the instances.
    pub in_force: Range<Percent>,
    /// Unused capacity as a fraction of the whole: the mean of what the instances know.
    pub headroom: Option<f64>,
    /// Requests in flight, over all instances.
    pub in_flight: u64,
}

impl Fleet {
    /// The fleet in a few figures.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let revisions = self.instances.iter().map(|instance| instance.revision);
        let holders = self.instances.iter().filter(|one| one.slot.is_some());
        Summary {
            listed: self.instances.len() + self.missing.len(),
            serving: self.in_state(State::Serving).len(),
            fenced: self.in_state(State::Fenced),
            leaving: self.in_state(State::Leaving),
            revisions: Range::of(revisions),
            slots: holders.clone().count(),
            confirmed: holders.filter(|one| one.confirmed).count(),
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

    /// Each region's part of each service, in the order of the reports.
    #[must_use]
    pub fn parts(&self) -> Vec<Part> {
        let mut splits: IndexMap<(&id::Service, &id::Region), Vec<(&Instance, &Split)>> =
            IndexMap::new();
        for instance in &self.instances {
            for split in &instance.splits {
                let place = (&split.service, &split.region);
                splits.entry(place).or_default().push((instance, split));
            }
        }
        splits.values().filter_map(|splits| part(splits)).collect()
    }
}

fn part(splits: &[(&Instance, &Split)]) -> Option<Part> {
    let (_, newest) = splits.iter().max_by_key(|(one, _)| one.revision)?;
    let known: Vec<f64> = splits.iter().filter_map(|(_, s)| s.headroom).collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    Some(Part {
        service: newest.service.clone(),
        region: newest.region.clone(),
        wanted: newest.wanted,
        in_force: Range::of(splits.iter().map(|(_, split)| split.in_force))?,
        headroom: (!known.is_empty()).then_some(mean),
        in_flight: splits.iter().map(|(_, s)| u64::from(s.in_flight)).sum(),
    })
}
