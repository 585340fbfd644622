//! Progress of the drain of targets or of an instance.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{
    status::{Fleet, FleetSplit, Instance},
    table,
};

/// Reason that instances report for a target that the tree drains.
const DRAIN_REASON: &str = "drain";

/// Targets or instance that a drain applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// One target, or all targets of a failure domain or region, each with its service.
    Targets(IndexSet<(id::Service, id::Target)>),
    /// One instance.
    Instance(id::Instance),
}

/// Progress of a drain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of instances that responded.
    pub answered: usize,
    /// Listed instances that did not respond: whether they still send or run requests is not
    /// known. For the drain of an instance, this list contains at most that instance.
    pub silent: Vec<id::Instance>,
    /// Instances that may still send new requests to the scope, because the drain is not in force
    /// on these instances.
    pub behind: Vec<id::Instance>,
    /// Number of requests in flight in the scope, from all instances that responded.
    pub in_flight: u64,
    /// Whether no request is in flight in the scope and no new request can be sent there.
    pub done: bool,
    /// Time spent waiting for the drain.
    pub waited: Span,
    /// Remaining traffic and headroom of the regions.
    pub regions: Vec<FleetSplit>,
}

/// Returns the progress of the drain of `scope`, which the tree of `revision` configures.
#[must_use]
pub fn progress(fleet: &Fleet, scope: &Scope, revision: Revision) -> Progress {
    let mut progress = match scope {
        Scope::Targets(targets) => target_progress(fleet, targets, revision),
        Scope::Instance(name) => instance_progress(fleet, name, revision),
    };
    let complete = progress.behind.is_empty() && progress.silent.is_empty();
    progress.done = complete && progress.in_flight == 0;
    progress
}

fn target_progress(
    fleet: &Fleet,
    targets: &IndexSet<(id::Service, id::Target)>,
    revision: Revision,
) -> Progress {
    let mut in_flight = 0;
    let mut behind = Vec::new();
    for instance in &fleet.instances {
        let mut drained = 0;
        for held in &instance.held {
            if targets.contains(&(held.service.clone(), held.target.clone())) {
                in_flight += u64::from(held.in_flight);
                drained += usize::from(held.why.as_ref() == DRAIN_REASON);
            }
        }
        // The tree of an earlier revision may drain all targets already.
        if instance.revision < revision && drained < targets.len() {
            behind.push(instance.instance.clone());
        }
    }
    Progress {
        answered: fleet.instances.len(),
        silent: fleet.missing.clone(),
        behind,
        in_flight,
        done: false,
        waited: Span::ZERO,
        regions: fleet.splits(),
    }
}

fn instance_progress(fleet: &Fleet, drained: &id::Instance, revision: Revision) -> Progress {
    let stale = |one: &&Instance| one.revision < revision;
    let found = fleet.instances.iter().find(|one| one.instance == *drained);
    let silent = fleet.missing.iter().filter(|name| *name == drained);
    let behind = fleet.instances.iter().filter(stale);
    Progress {
        answered: fleet.instances.len(),
        silent: silent.cloned().collect(),
        behind: behind.map(|one| one.instance.clone()).collect(),
        in_flight: found.map_or(0, |one| one.in_hand),
        done: false,
        waited: Span::ZERO,
        regions: fleet.splits(),
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waited = self.waited.as_secs_f64();
        if self.done {
            writeln!(f, "drained: nothing runs there, after {waited:.1} s")?;
        } else {
            writeln!(
                f,
                "{} requests in flight there after {waited:.1} s",
                self.in_flight
            )?;
        }
        if !self.behind.is_empty() {
            let names = join_names(&self.behind);
            writeln!(f, "not yet in force on {names}: these may still send work")?;
        }
        if !self.silent.is_empty() {
            let names = join_names(&self.silent);
            writeln!(f, "not known of {names}: no answer")?;
        }
        for split in &self.regions {
            writeln!(
                f,
                "{} in {}: {} of the traffic in force, headroom {}",
                split.service,
                split.region,
                split.in_force,
                table::fraction(split.headroom)
            )?;
        }
        Ok(())
    }
}

fn join_names(names: &[id::Instance]) -> String {
    let names: Vec<&str> = names.iter().map(id::Instance::as_str).collect();
    names.join(", ")
}
