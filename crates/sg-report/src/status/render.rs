//! Formats the state of the fleet as text.

use std::fmt;

use sg_types::prelude::*;

use super::{Action, Fleet, FleetSplit, Instance, Summary};
use crate::table::{self, fraction};

/// Columns of the table of instances.
const INSTANCE_COLUMNS: [&str; 7] = [
    "instance", "domain", "state", "revision", "slot", "in hand", "alive",
];
/// Columns of the table of splits.
const SPLIT_COLUMNS: [&str; 6] = [
    "service",
    "region",
    "wanted",
    "in force",
    "headroom",
    "in flight",
];

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n", self.summary())?;
        table::write_text(
            f,
            INSTANCE_COLUMNS,
            self.instances.iter().map(instance_cells),
        )?;
        for missing in &self.missing {
            writeln!(f, "{missing} does not answer")?;
        }
        let splits = self.splits();
        if !splits.is_empty() {
            writeln!(f)?;
            table::write_text(f, SPLIT_COLUMNS, splits.iter().map(split_cells))?;
        }
        self.write_actions(f)?;
        self.write_faults(f)
    }
}

impl Fleet {
    /// Writes the automatic actions, with one heading for each kind.
    fn write_actions(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut kinds: IndexMap<&str, Vec<(&Action, Vec<&id::Instance>)>> = IndexMap::new();
        for (action, names) in self.actions() {
            let kind = kinds.entry(action.what.as_ref()).or_default();
            kind.push((action, names));
        }
        for (kind, actions) in kinds {
            writeln!(f, "\n{kind}:")?;
            for (action, names) in actions {
                let names = join_names(&names, self.instances.len());
                writeln!(f, "  {}: {} ({names})", action.about, action.why)?;
            }
        }
        Ok(())
    }

    fn write_faults(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for instance in &self.instances {
            if let Some(fault) = &instance.fault {
                let name = &instance.instance;
                writeln!(f, "\n{name}: a later tree was refused: {fault}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} serving", self.serving, self.listed)?;
        match &self.revisions {
            Some(range) if range.least == range.most => write!(f, "; revision {range}")?,
            Some(range) => write!(f, "; revisions {range}")?,
            None => {}
        }
        write!(f, "; {} slots held", self.slots)?;
        if self.confirmed != self.slots {
            write!(f, ", {} confirmed", self.confirmed)?;
        }
        write!(f, "; {} requests in hand", self.in_hand)?;
        write_names(f, "fenced", &self.fenced)?;
        write_names(f, "leaving", &self.leaving)
    }
}

fn write_names(f: &mut fmt::Formatter<'_>, label: &str, names: &[id::Instance]) -> fmt::Result {
    if names.is_empty() {
        return Ok(());
    }
    let names: Vec<&str> = names.iter().map(id::Instance::as_str).collect();
    write!(f, "; {label}: {}", names.join(", "))
}

fn instance_cells(instance: &Instance) -> [String; 7] {
    [
        instance.instance.to_string(),
        instance.domain.to_string(),
        instance.state.to_string(),
        instance.revision.to_string(),
        instance
            .slot
            .map_or(table::UNKNOWN.into(), |slot| slot.to_string()),
        instance.in_hand.to_string(),
        instance.alive.to_string(),
    ]
}

fn split_cells(split: &FleetSplit) -> [String; 6] {
    [
        split.service.to_string(),
        split.region.to_string(),
        split.wanted.to_string(),
        split.in_force.to_string(),
        fraction(split.headroom),
        split.in_flight.to_string(),
    ]
}

/// Returns the names separated by commas, or `all` if there are `fleet_size` of them.
fn join_names(names: &[&id::Instance], fleet_size: usize) -> String {
    if names.len() == fleet_size {
        return "all".to_owned();
    }
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    names.join(", ")
}
