//! Tests that shifts stay under the cap over any interval and any mix of revisions, and that no
//! region is assigned more than it can serve.

use std::collections::VecDeque;

use quickcheck::TestResult;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sg_steer::{
    Completion, Engine, Split,
    report::Phase,
    shift::{Region, goal},
};
use sg_types::prelude::*;

use crate::simulation::{
    SUCCEEDED, Simulation, engine, healthy, region, service, start_attempt, view,
};

/// Default shift cap of a service.
const SHIFT_CAP: f64 = 0.1;
/// Number of samples, one per second, from the start of a shift interval to its end.
const SAMPLES: usize = 11;
/// Tolerance for rounding shares to millionths on several instances.
const ROUNDING: f64 = 1e-5;

fn random_split(rng: &mut SmallRng) -> [u32; 3] {
    let a = rng.random_range(0..=100);
    let b = rng.random_range(0..=100 - a);
    [a, b, 100 - a - b]
}

/// How a replacement instance starts.
#[derive(Clone, Copy, PartialEq)]
enum Replacement {
    Adopting,
    Isolated,
}

/// Runs instances at random revisions with random faults and restarts. Returns the largest share of
/// the traffic that the fleet's split moved within any interval.
fn max_moved(seed: u64, settings: &str, start: Replacement) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tree = view(1, 2, random_split(&mut rng), settings);
    let mut simulation = Simulation::new(5, seed, Span::from_secs(2), &tree);
    let mut recent: VecDeque<Split> = VecDeque::new();
    let mut max = 0.0_f64;
    let mut outdated = Vec::new();
    for second in 0..300_u64 {
        if rng.random_bool(0.05) {
            tree = view(second + 2, 2, random_split(&mut rng), settings);
            outdated = (0..5).collect();
        }
        outdated.retain(|index: &usize| {
            let applies = rng.random_bool(0.2);
            if applies {
                simulation.engines[*index].configure(&tree, simulation.now);
            }
            !applies
        });
        if rng.random_bool(0.02) {
            let dead = rng.random_bool(0.5);
            simulation.set_dead(rng.random_range(0..3), dead);
        }
        if rng.random_bool(0.02) {
            replace(&mut simulation, rng.random_range(0..5), &tree, start);
        }
        simulation.run(Span::from_secs(1), 20.0);
        let now = simulation.split();
        recent.push_back(now.clone());
        if recent.len() > SAMPLES {
            recent.pop_front();
        }
        for before in &recent {
            max = max.max(before.distance(&now).as_f64());
        }
    }
    assert_eq!(simulation.violations(), 0, "seed {seed}");
    max
}

fn replace(
    simulation: &mut Simulation,
    index: usize,
    tree: &std::sync::Arc<sg_tree::View>,
    start: Replacement,
) {
    let new = engine(index, simulation.now.as_nanos(), 5);
    new.configure(tree, simulation.now);
    if start == Replacement::Adopting {
        // In a real fleet the replaced instance is gone and the new one asks the other instances.
        // The test applies the replaced instance's own split instead of their mean, so that the
        // fleet's mean does not move. This is the worst case.
        let splits = simulation.engines[index].service_splits();
        new.adopt_splits(&splits, simulation.now);
    }
    simulation.engines[index] = new;
}

// Revisions, faults and restarts that reach the instances at different times must not add up to a
// larger move than the cap allows.
#[test]
fn fleet_moves_at_most_the_shift_cap_in_any_interval() {
    for seed in 1..9 {
        let max = max_moved(seed, "", Replacement::Adopting);
        println!("seed {seed}: at most {:.2}% in an interval", max * 100.0);
        assert!(max <= SHIFT_CAP + ROUNDING, "seed {seed}: {max}");
        assert!(
            max > SHIFT_CAP / 2.0,
            "seed {seed}: too little traffic moved for a valid check"
        );
    }
}

// Guards the previous test, which must detect a wider cap, a shorter interval and a replacement
// instance that starts with the split of the tree.
#[test]
fn cap_check_detects_wider_cap_shorter_interval_and_missing_adoption() {
    let mutations = [
        (r#""shift-cap":"12%","#, Replacement::Adopting),
        (r#""shift-interval":"9s","#, Replacement::Adopting),
        ("", Replacement::Isolated),
    ];
    for (settings, start) in mutations {
        let max = (1..9).map(|seed| max_moved(seed, settings, start));
        let max = max.fold(0.0, f64::max);
        assert!(max > SHIFT_CAP + ROUNDING, "{settings}: {max}");
    }
}

/// Counts the requests of one instance by region during a shift. Returns the largest share that
/// moved within any interval.
fn max_requests_moved(settings: &str) -> f64 {
    let engine = engine(0, 3, 1);
    engine.configure(&view(1, 2, [100, 0, 0], settings), Instant::START);
    engine.configure(&view(2, 2, [0, 50, 50], settings), Instant::START);
    let mut splits: VecDeque<Split> = VecDeque::new();
    let mut max = 0.0_f64;
    for second in 1..100_u64 {
        let now = Instant::START + Span::from_secs(second);
        let mut counts: IndexMap<id::Region, f64> = IndexMap::new();
        for domain in 0..6 {
            for target in 0..2 {
                let name = id::Target::new(format!("t{domain}-{target}")).expect("valid name");
                engine.record_probe(&service(), &name, healthy(0), now);
            }
        }
        engine.tick(now);
        for _ in 0..1_000 {
            use sg_steer::Attempt as _;
            let attempt = start_attempt(&engine, &[], now).expect("an available target");
            *counts.entry(attempt.region().clone()).or_default() += 1.0;
            attempt.finish(SUCCEEDED, now);
        }
        let split = Split::new(counts);
        splits.push_back(split.clone());
        if splits.len() > SAMPLES {
            splits.pop_front();
        }
        max = splits
            .iter()
            .map(|earlier| earlier.distance(&split).as_f64())
            .fold(max, f64::max);
    }
    max
}

// Counts the requests instead of reading the split: if the selection of regions did not follow the
// split, requests could move at once.
#[test]
fn requests_move_within_shift_cap() {
    let max = max_requests_moved("");
    // The number of requests of a region is exact to within the number of regions, here 3 of 1,000,
    // at both ends of the interval.
    assert!(max <= SHIFT_CAP + 0.006, "{max}");
    assert!(max_requests_moved(r#""shift-cap":"15%","#) > SHIFT_CAP + 0.006);
}

// A queued request for which a new region is selected on each try ends in a region with free slots,
// and so moves traffic beyond the shift cap.
#[test]
fn queued_request_stays_with_its_full_region() {
    use sg_steer::{Query, Selector};
    let count_moved = |try_start: fn(&Engine, Query<'_>) -> bool| {
        let engine = engine(0, 3, 1);
        engine.configure(&view(1, 1, [34, 33, 33], ""), Instant::START);
        let name = service();
        let now = Instant::START;
        let query = Query {
            service: &name,
            tried: &[],
            now,
            fingerprint: Fingerprint::new(1),
        };
        let mut held = Vec::new();
        while let Ok(attempt) = engine.start_attempt(query) {
            held.push(attempt);
        }
        use sg_steer::Attempt as _;
        let (full, rest): (Vec<_>, Vec<_>) = held
            .into_iter()
            .partition(|attempt| *attempt.region() == region(0));
        drop(rest);
        let moved = (0..100).filter(|_| try_start(&engine, query)).count();
        drop(full);
        moved
    };
    assert_eq!(
        count_moved(|engine, query| engine.start_queued(query).is_ok()),
        0
    );
    assert!(
        count_moved(|engine, query| engine.start_attempt(query).is_ok()) > 0,
        "a request with a newly selected region moves"
    );
}

/// Builds regions from random numbers.
fn regions(numbers: &[(u8, u8, u8)]) -> IndexMap<id::Region, Region> {
    let sum: u32 = numbers
        .iter()
        .map(|(weight, _, _)| u32::from(*weight))
        .sum();
    let regions = numbers
        .iter()
        .enumerate()
        .map(|(index, (weight, usable, remaining))| {
            let tree_share = Percent::from_ppm(u32::from(*weight) * 1_000_000 / sum.max(1));
            let capacity = Region {
                tree_share,
                usable_slots: f64::from(*usable),
                slots_after_loss: f64::from(*usable) * f64::from(*remaining) / 255.0,
                link_share: Percent::FULL,
            };
            (region(index), capacity)
        });
    regions.collect()
}

/// Returns whether a region is assigned more than its share in the tree and more than its slots
/// after the loss of a failure domain.
fn overloads(split: &Split, regions: &IndexMap<id::Region, Region>, demand: f64) -> bool {
    regions.iter().any(|(name, region)| {
        let share = split.share(name).as_f64();
        let gained = share > region.tree_share.as_f64() + ROUNDING;
        gained
            && share * demand
                > region.usable_slots.min(region.slots_after_loss) * 0.9 + ROUNDING * demand
    })
}

// A region that takes over traffic up to all its slots is overloaded when a failure domain is lost.
#[test]
fn goal_respects_capacity_after_domain_loss() {
    fn property(numbers: Vec<(u8, u8, u8)>, demand: u16) -> TestResult {
        let numbers: Vec<_> = numbers.into_iter().take(6).collect();
        if numbers.iter().all(|(weight, _, _)| *weight == 0) || demand == 0 {
            return TestResult::discard();
        }
        let regions = regions(&numbers);
        let demand = f64::from(demand);
        let goal = goal(&regions, demand, Percent::from_ppm(100_000));
        TestResult::from_bool(!overloads(&goal.split, &regions, demand))
    }
    crate::property::check(property as fn(Vec<(u8, u8, u8)>, u16) -> TestResult);
}

// Rounding could move more traffic than allowed, or lose part of the split.
#[test]
fn step_moves_up_to_its_limit_and_shares_sum_to_one() {
    fn property(from: Vec<u16>, to: Vec<u16>, max: u32) -> TestResult {
        let split = |weights: Vec<u16>| {
            let weights = weights.into_iter().take(6).enumerate();
            Split::new(weights.map(|(index, weight)| (region(index), f64::from(weight))))
        };
        let (from, to) = (split(from), split(to));
        if from.is_empty() || to.is_empty() {
            return TestResult::discard();
        }
        let max = Percent::from_ppm(max % 1_000_001);
        let next = from.toward(&to, max);
        let sum: u32 = next.shares().map(|(_, share)| share.as_ppm()).sum();
        let moved = from.distance(&next);
        let wanted = from.distance(&to).as_ppm().min(max.as_ppm());
        TestResult::from_bool(sum == 1_000_000 && moved <= max && wanted - moved.as_ppm() <= 6)
    }
    crate::property::check(property as fn(Vec<u16>, Vec<u16>, u32) -> TestResult);
}

// Guards the property above, whose check must detect a goal that fills a region to its last slot.
#[test]
fn overload_check_detects_goal_that_ignores_domain_loss() {
    let regions = regions(&[(200, 0, 0), (55, 100, 100)]);
    let ignoring_loss = Split::new([(region(1), 1.0)]);
    assert!(overloads(&ignoring_loss, &regions, 80.0));
    let respecting_loss = goal(&regions, 80.0, Percent::from_ppm(100_000));
    assert!(!overloads(&respecting_loss.split, &regions, 80.0));
    assert!(respecting_loss.unplaced > 0.3, "{respecting_loss:?}");
}

/// Runs a shift from region 0 to region 1 for `seconds`, with attempts in region 1 that end with
/// `completion`. Returns the share of region 1 and the phase.
fn share_after_shift(seconds: u64, completion: sg_steer::Completion) -> (f64, Phase) {
    use sg_steer::Attempt as _;
    let engine = engine(0, 3, 1);
    engine.configure(&view(1, 4, [100, 0, 0], ""), Instant::START);
    engine.configure(&view(2, 4, [0, 100, 0], ""), Instant::START);
    for step in 0..seconds * 20 {
        let now = Instant::START + Span::from_millis(step * 50);
        for index in 0..8 {
            let domain = 2 + index / 4;
            let name = id::Target::new(format!("t{domain}-{}", index % 4)).expect("valid name");
            engine.record_probe(&service(), &name, healthy(0), now);
        }
        engine.tick(now);
        let attempts: Vec<_> = (0..4)
            .filter_map(|_| start_attempt(&engine, &[], now).ok())
            .collect();
        for attempt in attempts {
            let in_receiving_region = *attempt.region() == region(1);
            attempt.finish(
                if in_receiving_region {
                    completion
                } else {
                    SUCCEEDED
                },
                now,
            );
        }
    }
    let now = Instant::START + Span::from_secs(seconds);
    let share = engine.service_splits()[0].split.share(&region(1)).as_f64();
    (share, engine.report(now).services["desk"].phase)
}

// A shift that goes on while the receiving region refuses requests or is slow overloads that
// region.
#[test]
fn next_stage_waits_until_receiving_region_is_warm() {
    let slow = Completion::Responded {
        latency: Span::from_millis(400),
        failed: false,
    };
    let (share, _) = share_after_shift(55, SUCCEEDED);
    assert!(share > 0.5, "at least five steps: {share}");
    let (share, phase) = share_after_shift(55, Completion::Shed);
    assert!(
        share <= SHIFT_CAP,
        "no step while the receivers refuse requests: {share}"
    );
    assert_eq!(phase, Phase::WaitingForWarmth);
    let (share, phase) = share_after_shift(55, slow);
    assert!(
        share <= SHIFT_CAP,
        "no step for a while when the receivers are slow: {share}"
    );
    assert_eq!(phase, Phase::WaitingForWarmth);
    assert!(
        share_after_shift(90, slow).0 > SHIFT_CAP,
        "slow receivers delay the shift, but do not stop it"
    );
}

/// Returns the bits that four instances of region 0 transfer over the link to region 1 in ten
/// seconds of unlimited demand, when each assumes that `instances` instances share the link.
fn bits_over_link(instances: u32) -> u64 {
    use sg_steer::Attempt as _;
    let mut tree = (*view(1, 20, [0, 100, 0], "")).clone();
    tree.links.push(sg_tree::view::Link {
        a: region(0),
        b: region(1),
        bandwidth: Bandwidth::from_bits(LINK_BITS_PER_SECOND),
    });
    let tree = std::sync::Arc::new(tree);
    let engines: Vec<_> = (0..4).map(|n| engine(n * 3, 5, instances)).collect();
    let mut responses = 0;
    for engine in &engines {
        engine.configure(&tree, Instant::START);
        for millis in 0..10_000_u64 {
            let now = Instant::START + Span::from_millis(millis);
            if let Ok(attempt) = start_attempt(engine, &[], now) {
                attempt.finish(SUCCEEDED, now);
                responses += 1;
            }
        }
    }
    responses * 16 * 1_024 * 8
}

/// Bandwidth of the link in [`bits_over_link`].
const LINK_BITS_PER_SECOND: u64 = 20_000_000;

// Each instance limits itself to its share of a link. Instances that do not divide the bandwidth
// overload the link together.
#[test]
fn instances_together_stay_within_link_bandwidth() {
    // Ten seconds, a burst of one second, and rounding by one response per instance.
    let max = LINK_BITS_PER_SECOND * 11 + 4 * 16 * 1_024 * 8;
    let used = bits_over_link(4);
    assert!(used <= max, "{used}");
    assert!(
        used > LINK_BITS_PER_SECOND * 8,
        "too little of the link is used: {used}"
    );
    assert!(
        bits_over_link(1) > max,
        "the check detects instances that do not share the link"
    );
}
