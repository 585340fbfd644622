//! Tests the traffic between engines and the number of contacts of each.

use sg_share::{Budget, engine::Options};
use sg_types::prelude::*;

use crate::world::{MILLI, SEC, World, account};

/// The maximum traffic from a steady instance to each contact, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 200.0;
/// The maximum number of contacts, regardless of the size of the fleet: six voters for each slot and
/// six lenders.
const MAX_CONTACTS: usize = 12;
const ACCOUNTS: u64 = 8;

fn loaded_fleet(nodes: usize, skewed: bool) -> World {
    let budget = Budget {
        rate: Rate::per_second(10 * nodes as u64),
        burst: 10 * nodes as u32,
    };
    let ids = (0..ACCOUNTS).map(|n| account(&format!("account-{n}")));
    let budgets: IndexMap<_, _> = ids.map(|id| (id, budget)).collect();
    let mut world = World::new(7, nodes, nodes as u32, budgets.clone(), Options::default());
    world.run(30 * SEC);
    let per_second = budget.rate.as_f64() * 0.6;
    for id in budgets.keys() {
        if skewed {
            world.load(0, id.clone(), per_second, 250 * MILLI);
        } else {
            for node in 0..nodes {
                world.load(node, id.clone(), per_second / nodes as f64, 250 * MILLI);
            }
        }
    }
    world.run(10 * SEC);
    world.sent.fill_with(Default::default);
    world.take_refused_fraction();
    world
}

struct Measurement {
    bytes: f64,
    messages: f64,
    contacts: usize,
    refused: f64,
}

/// Returns the traffic of the busiest node per contact and second, measured over `secs` seconds.
fn measure(world: &mut World, secs: u64) -> Measurement {
    world.run(secs * SEC);
    let secs = secs as f64;
    let per_contact =
        |sent: &crate::scene::Traffic| sent.bytes as f64 / sent.to.len().max(1) as f64;
    Measurement {
        bytes: world.sent.iter().map(per_contact).fold(0.0, f64::max) / secs,
        messages: world
            .sent
            .iter()
            .map(|sent| sent.messages)
            .max()
            .unwrap_or(0) as f64
            / secs,
        contacts: world
            .sent
            .iter()
            .map(|sent| sent.to.len())
            .max()
            .unwrap_or(0),
        refused: world.take_refused_fraction(),
    }
}

/// Returns the size of an additional fleet to measure, for example from `SG_NODES=343`.
fn additional_fleet_size() -> Option<usize> {
    std::env::var("SG_NODES").ok()?.parse().ok()
}

/// Guards against traffic or contacts that grow with the size of the fleet.
#[test]
fn traffic_and_contacts_per_instance_are_bounded() {
    let mut fleets = vec![(7, false, 60), (7, true, 60), (49, false, 20)];
    fleets.extend(additional_fleet_size().map(|nodes| (nodes, false, 20)));
    for (nodes, skewed, secs) in fleets {
        let mut world = loaded_fleet(nodes, skewed);
        let measured = measure(&mut world, secs);
        println!(
            "{nodes} instances, skewed {skewed}: at most {:.0} B/s per contact, {:.1} messages/s, \
             {} contacts, {:.4} refused",
            measured.bytes, measured.messages, measured.contacts, measured.refused,
        );
        assert!(measured.bytes < MAX_BYTES_PER_SECOND, "{}", measured.bytes);
        assert!(measured.contacts <= MAX_CONTACTS, "{}", measured.contacts);
        assert!(measured.refused < 0.01, "{}", measured.refused);
        world.check.assert();
    }
}
