//! What the exchange of share costs on the wire, and who is in contact with whom.

use sg_share::{Budget, engine::Options};
use sg_types::prelude::*;

use crate::world::{MILLI, SEC, World, account};

/// The most bytes a second that a steady entry may send to each peer in contact.
const MOST_BYTES: f64 = 200.0;
/// The most peers in contact, whatever the size of the fleet: six of each slot's panel, and six
/// lenders.
const MOST_CONTACTS: usize = 12;
const ACCOUNTS: u64 = 8;

fn fleet(nodes: usize, skewed: bool) -> World {
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
    world.refusals();
    world
}

struct Cost {
    bytes: f64,
    messages: f64,
    contacts: usize,
    refused: f64,
}

/// The costliest node over a minute, per contact and second.
fn cost(world: &mut World, secs: u64) -> Cost {
    world.run(secs * SEC);
    let secs = secs as f64;
    let per_contact =
        |sent: &crate::scene::Traffic| sent.bytes as f64 / sent.to.len().max(1) as f64;
    Cost {
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
        refused: world.refusals(),
    }
}

/// `SG_NODES=343` measures a fleet of that size besides.
fn more_nodes() -> Option<usize> {
    std::env::var("SG_NODES").ok()?.parse().ok()
}

#[test]
fn steady_entries_send_little_to_a_fixed_number_of_peers() {
    let mut fleets = vec![(7, false, 60), (7, true, 60), (49, false, 20)];
    fleets.extend(more_nodes().map(|nodes| (nodes, false, 20)));
    for (nodes, skewed, secs) in fleets {
        let mut world = fleet(nodes, skewed);
        let cost = cost(&mut world, secs);
        println!(
            "{nodes} instances, skewed {skewed}: at most {:.0} B/s per contact, {:.1} messages/s, \
             {} contacts, {:.4} refused",
            cost.bytes, cost.messages, cost.contacts, cost.refused,
        );
        assert!(cost.bytes < MOST_BYTES, "{}", cost.bytes);
        assert!(cost.contacts <= MOST_CONTACTS, "{}", cost.contacts);
        assert!(cost.refused < 0.01, "{}", cost.refused);
        world.check.assert();
    }
}
