//! Crashes, pauses, partitions, late and doubled messages, replaced instances.

use sg_share::{
    Message,
    engine::{Fault, Options},
};
use sg_types::prelude::*;

use crate::{
    budgets,
    scene::Hold,
    world::{MILLI, SEC, World, account},
};

/// The time in which a crashed holder's share must be in use again, with the store up.
const RECLAIM: u64 = 30 * SEC;
const PATIENCE: u64 = 250 * MILLI;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 7, 7, budgets(50, 20), Options::default());
    world.run(10 * SEC);
    world
}

/// Callers at every node, together far over the rate.
fn flood(world: &mut World) {
    for node in 0..world.nodes.len() {
        world.load(node, account("a"), 40.0, 0);
    }
}

fn slots(world: &World) -> IndexSet<Slot> {
    world.slots_in_use()
}

#[test]
fn a_crashed_holders_share_is_back_in_time() {
    for seed in 0..10 {
        let mut world = world(seed);
        flood(&mut world);
        assert_eq!(slots(&world).len(), 7);
        world.crash(2);
        let crashed = world.now;
        while slots(&world).len() < 7 && world.now < crashed + RECLAIM {
            world.run(SEC / 10);
        }
        let millis = (world.now - crashed) / MILLI;
        println!("seed {seed}: back in use after {millis} ms");
        assert_eq!(slots(&world).len(), 7, "seed {seed}");
        world.check.assert();
    }
}

#[test]
fn a_crash_in_an_outage_costs_only_the_dead_holders_share() {
    let mut world = world(1);
    world.faults.store_down = true;
    world.run(60 * SEC);
    world.crash(2);
    world.run(600 * SEC);
    assert_eq!(slots(&world).len(), 6);
    world.load(0, account("a"), 32.0, PATIENCE);
    world.run(2 * SEC);
    world.refusals();
    world.run(60 * SEC);
    let refused = world.refusals();
    assert!(refused < 0.01, "{refused}");
    world.faults.store_down = false;
    world.run(RECLAIM);
    assert_eq!(slots(&world).len(), 7);
    world.check.assert();
}

#[test]
fn a_paused_holder_wakes_and_refuses_until_confirmed() {
    for seed in 0..10 {
        let mut world = world(seed);
        flood(&mut world);
        world.pause(4, 60 * SEC);
        world.run(60 * SEC - MILLI);
        let clock = world.nodes[4].clock(world.now);
        let engine = world.nodes[4].engine.as_mut().unwrap();
        assert!(engine.take(&account("a"), 1, clock).is_err());
        world.run(RECLAIM);
        assert_eq!(slots(&world).len(), 7, "seed {seed}");
        world.check.assert();
    }
}

#[test]
fn holder_and_claimant_on_two_sides_of_a_partition() {
    for (seed, minority) in [(0, vec![2]), (1, vec![0, 5]), (2, vec![1, 3, 6])] {
        for store_side in [0, 1] {
            let mut world = world(seed);
            flood(&mut world);
            world.faults.sides = minority.iter().map(|node| (*node, 1)).collect();
            world.faults.store_cut = Some(1 - store_side);
            world.run(120 * SEC);
            let now = world.nodes[minority[0]].clock(world.now);
            let cut_off = world.nodes[minority[0]].engine.as_ref().unwrap();
            assert_eq!(cut_off.is_confirmed(now), store_side == 1);
            world.faults.sides.clear();
            world.faults.store_cut = None;
            world.run(2 * RECLAIM);
            assert_eq!(slots(&world).len(), 7, "seed {seed}");
            world.check.assert();
        }
    }
}

/// One claimant keeps the store, all holders keep each other.
fn cut_off_with_the_store(fault: Option<Fault>) -> World {
    let options = Options {
        fault,
        ..Options::default()
    };
    let mut world = World::new(5, 7, 7, budgets(50, 20), options);
    flood(&mut world);
    world.run(10 * SEC);
    world.faults.sides = [(2, 1)].into_iter().collect();
    world.faults.store_cut = Some(0);
    world.run(60 * SEC);
    world
}

#[test]
fn a_claimant_needs_a_majority_of_voters() {
    cut_off_with_the_store(None).check.assert();
    let world = cut_off_with_the_store(Some(Fault::SkipMajority));
    assert!(world.check.broken.is_some());
}

/// A voter promises to a claimant, restarts on the old holders' side and is asked to vouch.
fn voter_restarts(fault: Option<Fault>) -> World {
    let options = Options {
        silence: Span::from_secs(2),
        ..Options::default()
    };
    let mut world = World::new(5, 7, 7, budgets(50, 20), options);
    world.run(10 * SEC);
    let voter = 3;
    let now = world.nodes[voter].clock(world.now);
    let slot = world.nodes[voter]
        .engine
        .as_ref()
        .expect("it runs")
        .slots_in_use(now)
        .next();
    world.faults.sides = [0, 1, 2].into_iter().map(|node| (node, 1)).collect();
    world.faults.store_cut = Some(1);
    world.run(3_500 * MILLI);
    assert!(world.store.values().any(|standing| standing.claim.term > 1));
    world.crash(voter);
    world.faults.sides.insert(voter, 1);
    world.options.fault = fault.and(slot).map(Fault::VouchAs);
    world.start(voter);
    world.run(60 * SEC);
    world
}

#[test]
fn a_restarted_voter_does_not_vouch() {
    voter_restarts(None).check.assert();
    let world = voter_restarts(Some(Fault::VouchAs(Slot::new(0))));
    assert!(world.check.broken.is_some());
}

/// All clocks run fast by the greatest error.
fn fast_clocks(fault: Option<Fault>) -> World {
    let options = Options {
        fault,
        ..Options::default()
    };
    let mut world = World::new(5, 7, 7, budgets(50, 20), options);
    for node in &mut world.nodes {
        node.rate_ppm = 10_000;
    }
    flood(&mut world);
    world.run(120 * SEC);
    world
}

#[test]
fn fast_clocks_bring_no_more() {
    fast_clocks(None).check.assert();
    let world = fast_clocks(Some(Fault::IgnoreDrift));
    assert!(world.check.broken.is_some());
}

#[test]
fn three_regions_that_lose_each_other_recover() {
    let mut world = world(3);
    world.faults.sides = (0..7).map(|node| (node, node as u8 % 3)).collect();
    world.run(120 * SEC);
    assert_eq!(slots(&world).len(), 7, "the store confirms all");
    world.faults.store_down = true;
    world.run(60 * SEC);
    assert_eq!(slots(&world).len(), 0, "no side has a majority");
    world.faults = crate::scene::Faults::default();
    world.run(RECLAIM);
    assert_eq!(slots(&world).len(), 7);
    world.check.assert();
}

/// Answers to requests for loans arrive after the loans have ended.
fn late_loans(seed: u64, fault: Option<Fault>) -> World {
    let options = Options {
        fault,
        ..Options::default()
    };
    let mut world = World::new(seed, 7, 7, budgets(50, 20), options);
    world.run(10 * SEC);
    world.load(3, account("a"), 80.0, 0);
    world.run(5 * SEC);
    world.faults.hold = Some(Hold {
        kind: |message| matches!(message, Message::Lend { .. }),
        span: 9 * SEC,
    });
    world.run(30 * SEC);
    world.loads[0].node = 5;
    world.faults.hold = None;
    world.run(30 * SEC);
    world
}

#[test]
fn loans_that_arrive_past_their_end_are_not_used() {
    for seed in 0..10 {
        late_loans(seed, None).check.assert();
    }
    let world = late_loans(0, Some(Fault::AcceptStale));
    assert!(world.check.broken.is_some());
}

#[test]
fn doubled_and_reordered_loans_count_once() {
    for seed in 0..10 {
        let mut world = world(seed);
        flood(&mut world);
        world.faults.twice = 1.0;
        world.faults.delay = (0, 900 * MILLI);
        world.run(60 * SEC);
        world.check.assert();
    }
}

#[test]
fn a_restarted_instance_takes_part_again() {
    for seed in 0..10 {
        let mut world = world(seed);
        flood(&mut world);
        world.crash(1);
        world.start(1);
        world.run(RECLAIM + 10 * SEC);
        assert_eq!(slots(&world).len(), 7, "seed {seed}");
        let now = world.nodes[1].clock(world.now);
        let engine = world.nodes[1].engine.as_ref().unwrap();
        assert!(engine.is_confirmed(now), "seed {seed}");
        world.check.assert();
    }
}

#[test]
fn an_instance_replaced_twice_in_a_row() {
    for seed in 0..10 {
        let mut world = world(seed);
        flood(&mut world);
        for _ in 0..2 {
            world.crash(6);
            world.start(6);
            world.run(7 * SEC);
        }
        world.run(2 * RECLAIM);
        assert_eq!(slots(&world).len(), 7, "seed {seed}");
        world.check.assert();
    }
}

#[test]
fn lost_answers_of_the_store_do_no_harm() {
    for seed in 0..10 {
        let mut world = World::new(seed, 7, 7, budgets(50, 20), Options::default());
        world.faults.answer_loss = 0.5;
        flood(&mut world);
        world.run(60 * SEC);
        assert_eq!(slots(&world).len(), 7, "seed {seed}");
        world.crash(0);
        world.run(2 * RECLAIM);
        assert_eq!(slots(&world).len(), 7, "seed {seed}");
        world.check.assert();
    }
}

#[test]
fn a_planned_stop_hands_the_share_on() {
    for seed in 0..10 {
        let mut world = world(seed);
        flood(&mut world);
        world.run(5 * SEC);
        world.loads[2].per_second = 0.0;
        world.with(2, sg_share::Engine::leave);
        world.run(3 * SEC);
        assert!(
            world.nodes[2].engine.as_ref().unwrap().has_left(),
            "seed {seed}"
        );
        world.crash(2);
        world.run(7 * SEC);
        assert_eq!(slots(&world).len(), 7, "seed {seed}");
        world.check.assert();
    }
}

fn all_crash(sole_runs: bool) -> World {
    let options = Options {
        sole_runs,
        ..Options::default()
    };
    let mut world = World::new(9, 7, 7, budgets(50, 20), options);
    flood(&mut world);
    world.run(10 * SEC);
    for node in 0..7 {
        world.crash(node);
    }
    for node in 0..7 {
        world.start(node);
    }
    world.run(2 * RECLAIM);
    world
}

#[test]
fn a_fleet_that_crashed_whole_comes_back_where_runs_are_sole() {
    let world = all_crash(true);
    assert_eq!(slots(&world).len(), 7);
    world.check.assert();
}

#[test]
fn a_fleet_that_crashed_whole_waits_for_an_operator_otherwise() {
    let mut world = all_crash(false);
    assert_eq!(slots(&world).len(), 0);
    world.store.clear();
    world.run(RECLAIM);
    assert_eq!(slots(&world).len(), 7);
    world.check.assert();
}

#[test]
fn few_slots_stay_with_their_holders() {
    for count in [1, 2] {
        let mut world = World::new(11, 7, count, budgets(50, 20), Options::default());
        flood(&mut world);
        world.run(60 * SEC);
        assert_eq!(slots(&world).len(), count as usize);
        let terms = world.store.values().map(|standing| standing.claim.term);
        assert_eq!(terms.max(), Some(1), "no slot changed hands");
        world.check.assert();
    }
}

#[test]
fn a_slot_that_is_given_up_votes_no_more() {
    let mut world = world(4);
    let holder = world.nodes[0].engine.as_ref().unwrap().report().claims[0].clone();
    let node = &mut world.nodes[2];
    let now = node.clock(world.now);
    let engine = node.engine.as_mut().unwrap();
    let votes = |engine: &mut sg_share::Engine| {
        let confirm = Message::Confirm {
            n: 1,
            s: vec![sg_share::message::Term {
                slot: holder.slot,
                term: holder.term,
            }],
        };
        let event = sg_share::Event::Message {
            from: holder.instance.clone(),
            incarnation: holder.incarnation,
            message: confirm,
        };
        engine.handle(event, now).len()
    };
    assert_eq!(votes(engine), 1);
    engine.leave(now);
    assert_eq!(votes(engine), 0, "the answer to the release may be lost");
}

#[test]
fn a_read_from_the_future_confirms_nothing() {
    let mut world = world(3);
    let claims: Vec<_> = world.store.values().cloned().collect();
    let node = &mut world.nodes[0];
    let now = node.clock(world.now);
    let engine = node.engine.as_mut().unwrap();
    let sent = now + Span::from_secs(60);
    engine.handle(sg_share::Event::Claims { sent, claims }, now);
    assert!(!engine.is_confirmed(now + Span::from_secs(10)));
    assert_eq!(engine.report().counters.violations, 1);
}
