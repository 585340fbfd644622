//! How far a drain is.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{
    status::{Fleet, Instance, Part},
    table,
};

/// The reason that instances report for a target that the tree drains.
const DRAIN: &str = "drain";

/// What is drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// Targets: one, or all of a failure domain or region. Each by its service and name.
    Targets(IndexSet<(id::Service, id::Target)>),
    /// An instance of the system.
    Entry(id::Instance),
}

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Instances that answered.
    pub answered: usize,
    /// Instances of the list that did not answer: what they still do is not known.
    pub silent: Vec<id::Instance>,
    /// Instances that may still give it new work, since they don't have the drain in force.
    pub behind: Vec<id::Instance>,
    /// Requests in flight on what is drained, over all instances that answered.
    pub in_flight: u64,
    /// Whether nothing runs there any more and nothing new will.
    pub done: bool,
    /// How long was waited for it.
    pub waited: Span,
    /// What the regions have left.
    pub regions: Vec<Part>,
}

/// How far the drain of `scope` is, which `revision` holds.
#[must_use]
pub fn progress(fleet: &Fleet, scope: &Scope, revision: Revision) -> Progress {
    let mut progress = match scope {
        Scope::Targets(targets) => of_targets(fleet, targets, revision),
        Scope::Entry(entry) => of_entry(fleet, entry, revision),
    };
    let known = progress.behind.is_empty() && progress.silent.is_empty();
    progress.done = known && progress.in_flight == 0;
    progress
}

fn of_targets(
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
                drained += usize::from(held.why.as_ref() == DRAIN);
            }
        }
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
        regions: fleet.parts(),
    }
}

fn of_entry(fleet: &Fleet, entry: &id::Instance, revision: Revision) -> Progress {
    let stale = |one: &&Instance| one.revision < revision;
    let found = fleet.instances.iter().find(|one| one.instance == *entry);
    let silent = fleet.missing.iter().filter(|name| *name == entry);
    let behind = fleet.instances.iter().filter(stale);
    Progress {
        answered: fleet.instances.len(),
        silent: silent.cloned().collect(),
        behind: behind.map(|one| one.instance.clone()).collect(),
        in_flight: found.map_or(0, |one| one.in_hand),
        done: false,
        waited: Span::ZERO,
        regions: fleet.parts(),
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
            let names = names(&self.behind);
            writeln!(f, "not yet in force on {names}: these may still send work")?;
        }
        if !self.silent.is_empty() {
            let names = names(&self.silent);
            writeln!(f, "not known of {names}: no answer")?;
        }
        for part in &self.regions {
            writeln!(
                f,
                "{} in {}: {} of the traffic in force, headroom {}",
                part.service,
                part.region,
                part.in_force,
                table::fraction(part.headroom)
            )?;
        }
        Ok(())
    }
}

fn names(names: &[id::Instance]) -> String {
    let names: Vec<&str> = names.iter().map(id::Instance::as_str).collect();
    names.join(", ")
}
