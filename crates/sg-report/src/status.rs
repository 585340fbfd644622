//! The state of one instance, and of the fleet at a glance.

mod render;
mod summary;

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_tree::Digest;
use sg_types::prelude::*;

pub use self::summary::{Part, Range, Summary};

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It waits for its first tree.
    Starting,
    /// It serves every route.
    Serving,
    /// It serves open routes only, since it can't know whether keys were withdrawn.
    Fenced,
    /// It takes no new work and is about to stop.
    Leaving,
}

/// A part of a service's traffic in one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
    /// The part that the tree wants.
    pub wanted: Percent,
    /// The part in force here.
    pub in_force: Percent,
    /// Unused capacity as a fraction of the whole, as far as it is known.
    pub headroom: Option<f64>,
    /// Requests of this instance in flight in the region.
    #[serde(default)]
    pub in_flight: u32,
}

/// A target that an instance does not use like the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The service.
    pub service: id::Service,
    /// The target.
    pub target: id::Target,
    /// Why, as `drain`, `leaving`, `failures` and the like.
    pub why: Arc<str>,
    /// Requests of this instance that are still in flight on it.
    pub in_flight: u32,
}

/// Something that an instance does by itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Act {
    /// What it does: `ejected`, `draining`, `shifting`, `reclaiming` and the like.
    pub what: Arc<str>,
    /// What it concerns.
    pub about: Arc<str>,
    /// Why.
    pub why: Arc<str>,
}

/// The state of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub instance: id::Instance,
    /// This run of it.
    pub incarnation: Incarnation,
    /// The region it is in.
    pub region: id::Region,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// How long it has run.
    pub uptime: Span,
    /// Whether it takes new work.
    pub state: State,
    /// The revision in force.
    pub revision: Revision,
    /// The digest of the tree in force.
    pub digest: Digest,
    /// How long that revision has been in force here.
    pub in_force: Span,
    /// Why a later tree was refused here.
    pub fault: Option<Arc<str>>,
    /// The slot whose shares it holds.
    pub slot: Option<Slot>,
    /// Whether its shares are confirmed.
    pub confirmed: bool,
    /// Requests in work.
    pub in_hand: u64,
    /// The other instances that it believes to be alive.
    pub alive: u32,
    /// Splits between regions.
    pub splits: Vec<Split>,
    /// The targets that are not used like the others.
    #[serde(default)]
    pub held: Vec<Held>,
    /// What it does by itself, and why.
    pub acts: Vec<Act>,
}

/// The fleet at a glance.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fleet {
    /// Instances that answered.
    pub instances: Vec<Instance>,
    /// Instances of the list that did not answer.
    pub missing: Vec<id::Instance>,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Fenced => "fenced",
            Self::Leaving => "leaving",
        })
    }
}

impl Fleet {
    /// What instances do by themselves, each with the instances that do it.
    #[must_use]
    pub fn acts(&self) -> IndexMap<&Act, Vec<&id::Instance>> {
        let mut acts: IndexMap<&Act, Vec<&id::Instance>> = IndexMap::new();
        for instance in &self.instances {
            for act in &instance.acts {
                acts.entry(act).or_default().push(&instance.instance);
            }
        }
        acts
    }
}
