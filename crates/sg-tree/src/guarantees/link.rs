//! Checks that two regions with weight in the same service have a link.

use sg_types::prelude::*;

use super::region_weight;
use crate::{Fault, Path, View};

/// Returns a fault for each pair of regions that have weight in the same service but no link.
pub(super) fn check(view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    let regions: Vec<&id::Region> = view.regions.keys().collect();
    for (index, a) in regions.iter().enumerate() {
        for b in &regions[index + 1..] {
            if have_common_service(view, a, b) && !are_linked(view, a, b) {
                faults.push(missing_link(a, b));
            }
        }
    }
    faults
}

/// Returns whether some service has weight in both regions.
fn have_common_service(view: &View, a: &id::Region, b: &id::Region) -> bool {
    view.services.values().any(|service| {
        region_weight(view, service, a) > Percent::ZERO
            && region_weight(view, service, b) > Percent::ZERO
    })
}

fn are_linked(view: &View, a: &id::Region, b: &id::Region) -> bool {
    view.links
        .iter()
        .any(|link| (link.a == *a && link.b == *b) || (link.a == *b && link.b == *a))
}

fn missing_link(a: &id::Region, b: &id::Region) -> Fault {
    Fault::warning(
        Path::root().join("links").join(format!("{a}--{b}")),
        format!("no link between '{a}' and '{b}' is set, but a service has weight in both"),
        "set the link's bandwidth, so that steering stays below it",
    )
}
