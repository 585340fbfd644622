//! Without deaths: share reaches the callers, with the store and without it.

use sg_share::engine::Options;

use crate::world::{MILLI, SEC, World, account, budgets};

/// Wrongful refusals that the users bear.
const BEARABLE: f64 = 0.01;
const PATIENCE: u64 = 250 * MILLI;

fn skewed(seed: u64) -> World {
    let mut world = World::new(seed, 7, 7, budgets(50, 20), Options::default());
    world.run(10 * SEC);
    world.load(3, account("a"), 40.0, PATIENCE);
    world.run(2 * SEC);
    world.refusals();
    world
}

#[test]
fn skewed_callers_get_their_rate() {
    for seed in 0..5 {
        let mut world = skewed(seed);
        world.run(120 * SEC);
        let refused = world.refusals();
        println!("seed {seed}: refused {refused}");
        assert!(refused < BEARABLE, "seed {seed}: {refused}");
        world.check.assert();
    }
}

#[test]
fn an_outage_of_an_hour_costs_nothing() {
    let mut world = skewed(1);
    world.faults.store_down = true;
    world.run(3_600 * SEC);
    let refused = world.refusals();
    println!("refused {refused}");
    assert!(refused < BEARABLE, "{refused}");
    world.check.assert();
}
