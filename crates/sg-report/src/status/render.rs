//! Prints the fleet for people.

use std::fmt;

use sg_types::prelude::*;

use super::{Act, Fleet, Instance, Part, Summary};
use crate::table::{self, fraction};

/// The columns of the instances.
const INSTANCE: [&str; 7] = [
    "instance", "domain", "state", "revision", "slot", "in hand", "alive",
];
/// The columns of the regions' parts.
const PART: [&str; 6] = [
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
        table::write(f, INSTANCE, self.instances.iter().map(cells_of_instance))?;
        for missing in &self.missing {
            writeln!(f, "{missing} does not answer")?;
        }
        let parts = self.parts();
        if !parts.is_empty() {
            writeln!(f)?;
            table::write(f, PART, parts.iter().map(cells_of_part))?;
        }
        self.write_acts(f)?;
        self.write_faults(f)
    }
}

impl Fleet {
    /// What instances do by themselves, under one heading for each kind.
    fn write_acts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut kinds: IndexMap<&str, Vec<(&Act, Vec<&id::Instance>)>> = IndexMap::new();
        for (act, names) in self.acts() {
            let kind = kinds.entry(act.what.as_ref()).or_default();
            kind.push((act, names));
        }
        for (kind, acts) in kinds {
            writeln!(f, "\n{kind}:")?;
            for (act, names) in acts {
                let names = shorten(&names, self.instances.len());
                writeln!(f, "  {}: {} ({names})", act.about, act.why)?;
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

fn write_names(f: &mut fmt::Formatter<'_>, what: &str, names: &[id::Instance]) -> fmt::Result {
    if names.is_empty() {
        return Ok(());
    }
    let names: Vec<&str> = names.iter().map(id::Instance::as_str).collect();
    write!(f, "; {what}: {}", names.join(", "))
}

fn cells_of_instance(instance: &Instance) -> [String; 7] {
    [
        instance.instance.to_string(),
        instance.domain.to_string(),
        instance.state.to_string(),
        instance.revision.to_string(),
        instance
            .slot
            .map_or(table::NONE.into(), |slot| slot.to_string()),
        instance.in_hand.to_string(),
        instance.alive.to_string(),
    ]
}

fn cells_of_part(part: &Part) -> [String; 6] {
    [
        part.service.to_string(),
        part.region.to_string(),
        part.wanted.to_string(),
        part.in_force.to_string(),
        fraction(part.headroom),
        part.in_flight.to_string(),
    ]
}

/// Names, or `all` if all instances are meant.
fn shorten(names: &[&id::Instance], all: usize) -> String {
    if names.len() == all {
        return "all".to_owned();
    }
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    names.join(", ")
}
