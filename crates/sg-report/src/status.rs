//! States of single instances and of the fleet.

mod render;
mod summary;

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_tree::Digest;
use sg_types::prelude::*;

pub use self::summary::{FleetSplit, Range, Summary};

/// State of an instance with regard to new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance waits for its first tree.
    Starting,
    /// The instance serves every route.
    Serving,
    /// The instance serves open routes only, because it can't know whether keys were withdrawn.
    Fenced,
    /// The instance takes no new requests and is about to stop.
    Leaving,
}

/// Percentage of a service's traffic that an instance sends to one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
    /// Percentage configured in the tree.
    pub wanted: Percent,
    /// Percentage in force on the instance.
    pub in_force: Percent,
    /// Unused capacity as a fraction of the total capacity, if known.
    pub headroom: Option<f64>,
    /// Number of requests in flight from the instance to the region.
    #[serde(default)]
    pub in_flight: u32,
}

/// A target that gets no requests or fewer requests from an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTarget {
    /// The service.
    pub service: id::Service,
    /// The target.
    pub target: id::Target,
    /// Reason, such as `drain`, `leaving` or `failures`.
    pub why: Arc<str>,
    /// Number of requests still in flight from the instance to the target.
    pub in_flight: u32,
}

/// An automatic action of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Action {
    /// Kind of action, such as `ejected`, `draining`, `shifting` or `reclaiming`.
    pub what: Arc<str>,
    /// Object of the action.
    pub about: Arc<str>,
    /// Reason for the action.
    pub why: Arc<str>,
}

/// State of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Incarnation, which differs for each run of the instance.
    pub incarnation: Incarnation,
    /// Region of the instance.
    pub region: id::Region,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Time since the instance started.
    pub uptime: Span,
    /// State with regard to new requests.
    pub state: State,
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the tree in force.
    pub digest: Digest,
    /// Time since the revision came into force on the instance.
    pub in_force: Span,
    /// Reason why the instance rejected a later tree, if it did.
    pub fault: Option<Arc<str>>,
    /// Slot whose shares the instance holds.
    pub slot: Option<Slot>,
    /// Whether the shares of the slot are confirmed.
    pub confirmed: bool,
    /// Number of requests that the instance is processing.
    pub in_hand: u64,
    /// Number of other instances that the instance considers alive.
    pub alive: u32,
    /// Splits of traffic between regions.
    pub splits: Vec<Split>,
    /// Targets that get no requests or fewer requests from the instance.
    #[serde(default)]
    pub held: Vec<HeldTarget>,
    /// Automatic actions of the instance.
    pub acts: Vec<Action>,
}

/// State of the fleet.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fleet {
    /// States of the instances that responded.
    pub instances: Vec<Instance>,
    /// Listed instances that did not respond.
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
    /// Returns the automatic actions, each with the names of the instances that report the action.
    #[must_use]
    pub fn actions(&self) -> IndexMap<&Action, Vec<&id::Instance>> {
        let mut actions: IndexMap<&Action, Vec<&id::Instance>> = IndexMap::new();
        for instance in &self.instances {
            for action in &instance.acts {
                actions.entry(action).or_default().push(&instance.instance);
            }
        }
        actions
    }
}
