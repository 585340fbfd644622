//! Tests of placement and budget decisions on simulated loads, without a network.

mod budgets;
mod choice;
mod contended;
mod crowd;
mod load;
mod plans;

use std::sync::LazyLock;

use sg_place::{Target, pool::Here, shift::Guard};
use sg_types::prelude::*;

/// A guard that has seen no load surge.
static NO_SURGE: LazyLock<Guard> = LazyLock::new(Guard::default);

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

/// Returns a target with `slots` slots in the domain `{region}-a`.
fn target(name: &str, region: &str, slots: u32) -> Target {
    Target {
        id: name.parse().expect("a name"),
        service: "portal".parse().expect("a name"),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: format!("{region}-a").parse().expect("a name"),
        region: region.parse().expect("a name"),
        slots,
        draining: false,
        born: 1,
        sequence: 1,
        cold: Span::ZERO,
    }
}

fn here(region: &str) -> Here {
    let instance: id::Instance = "front-1".parse().expect("a name");
    Here {
        domain: format!("{region}-a").parse().expect("a name"),
        region: region.parse().expect("a name"),
        instances: Arc::from([instance.clone()]),
        instance,
        near: 0.001,
        region_trip: 0.003,
        far: 0.072,
    }
}
