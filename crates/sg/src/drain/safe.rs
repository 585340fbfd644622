//! Refuses a drain that would move more traffic at once than its cap allows.
//!
//! What regions carry after the drain is checked with every change, by `sg_tree::guarantees`.

use sg_report::status::{Fleet, FleetSplit};
use sg_tree::{Node, View, compile, guarantees, view::Service};
use sg_types::prelude::*;

use super::place::Place;
use crate::{Context, Error};

/// Checks the drain that turns `before` into `after`.
pub(super) async fn check(
    context: &Context,
    place: &Place,
    before: &Node,
    after: &Node,
) -> Result<(), Error> {
    let fleet = match context.knows_fleet() {
        true => Some(context.fleet()?.status().await?),
        false => None,
    };
    let after = compile::compile(after, Revision::new(1))?.view;
    if let Some(entry) = place.as_entry() {
        return check_entry(fleet.as_ref(), &after, entry);
    }
    let before = compile::compile(before, Revision::new(1))?.view;
    let parts = fleet.map(|fleet| fleet.splits());
    for service in after.services.values() {
        for region in after.regions.keys() {
            let left = able(service, region);
            let had = before.services.get(&service.name);
            let had = had.map_or(0, |service| able(service, region));
            if had > 0 && left == 0 {
                check_region(&after, service, region, parts.as_deref())?;
            }
        }
    }
    Ok(())
}

/// Targets that may take work.
fn able(service: &Service, region: &id::Region) -> usize {
    let targets = service.targets.values();
    targets
        .filter(|target| target.region == *region && !target.drain)
        .count()
}

/// Refuses to take the last target of a region that still has a part of the traffic.
fn check_region(
    view: &View,
    service: &Service,
    region: &id::Region,
    parts: Option<&[FleetSplit]>,
) -> Result<(), Error> {
    let weight = guarantees::region_weight(view, service, region);
    let measured = parts.and_then(|parts| {
        let mut parts = parts.iter();
        parts.find(|part| part.service == service.name && part.region == *region)
    });
    let (has, how) = match measured {
        Some(part) => (part.in_force.most, "in force"),
        None => (weight, "in the tree"),
    };
    let running = measured.map_or(0, |part| part.in_flight);
    if has == Percent::ZERO && running == 0 {
        return Ok(());
    }
    let name = &service.name;
    Err(Error::Refused(format!(
        "region '{region}' has {has} of the traffic of service '{name}' ({how}) and would have no \
         target left for it; at most {} may move in {}. Set /services/{name}/split/{region}/weight \
         to 0%, wait until 'sg status' shows 0% in force, then drain. In an emergency 'sg tree set' \
         drains at once; what may not move yet is then refused as 'shift-capped', not run",
        service.shift_cap, service.shift_interval
    )))
}

/// Refuses to drain the last entry that callers can use.
fn check_entry(fleet: Option<&Fleet>, after: &View, entry: &str) -> Result<(), Error> {
    let Some(fleet) = fleet else {
        return Ok(());
    };
    let drained = |name: &id::Instance| after.entries.get(name).is_some_and(|entry| entry.drain);
    let left = fleet
        .instances
        .iter()
        .filter(|one| !drained(&one.instance))
        .count();
    if left > 0 {
        return Ok(());
    }
    Err(Error::Refused(format!(
        "no other entry that answers would take callers if '{entry}' were drained; put another one \
         into service first"
    )))
}
