//! Links between regions that traffic may move between.

use sg_types::prelude::*;

use super::weight;
use crate::{Fault, Path, View};

/// The pairs of regions that a service gives weight and that no link joins.
pub(super) fn check(view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    let regions: Vec<&id::Region> = view.regions.keys().collect();
    for (index, a) in regions.iter().enumerate() {
        for b in &regions[index + 1..] {
            if used(view, a, b) && !linked(view, a, b) {
                faults.push(missing(a, b));
            }
        }
    }
    faults
}

/// Whether a service splits its traffic over both regions.
fn used(view: &View, a: &id::Region, b: &id::Region) -> bool {
    view.services.values().any(|service| {
        weight(view, service, a) > Percent::ZERO && weight(view, service, b) > Percent::ZERO
    })
}

fn linked(view: &View, a: &id::Region, b: &id::Region) -> bool {
    view.links
        .iter()
        .any(|link| (link.a == *a && link.b == *b) || (link.a == *b && link.b == *a))
}

fn missing(a: &id::Region, b: &id::Region) -> Fault {
    Fault::warning(
        Path::root().join("links").join(format!("{a}--{b}")),
        format!("no link between '{a}' and '{b}' is set, and a service gives both weight"),
        "set the link's bandwidth, so that steering keeps under it",
    )
}
