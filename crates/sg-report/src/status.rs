//! The state of one instance, and of the fleet at a glance.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_tree::Digest;
use sg_types::prelude::*;

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

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:<12} {:<9} {:>8} {:>6} {:>8} {:>6}",
            "instance", "domain", "state", "revision", "slot", "in hand", "alive"
        )?;
        for instance in &self.instances {
            let slot = instance.slot.map_or("-".into(), |slot| slot.to_string());
            writeln!(
                f,
                "{:<14} {:<12} {:<9} {:>8} {:>6} {:>8} {:>6}",
                instance.instance,
                instance.domain,
                instance.state,
                instance.revision,
                slot,
                instance.in_hand,
                instance.alive
            )?;
        }
        for missing in &self.missing {
            writeln!(f, "{missing:<14} does not answer")?;
        }
        for instance in &self.instances {
            if let Some(fault) = &instance.fault {
                writeln!(
                    f,
                    "{}: a later tree was refused: {fault}",
                    instance.instance
                )?;
            }
        }
        for (act, names) in self.acts() {
            let names = shorten(&names, self.instances.len());
            writeln!(f, "{} {}: {} ({names})", act.what, act.about, act.why)?;
        }
        Ok(())
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

/// Names, or `all` if all instances are meant.
fn shorten(names: &[&id::Instance], all: usize) -> String {
    if names.len() == all {
        return "all".to_owned();
    }
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    names.join(", ")
}
