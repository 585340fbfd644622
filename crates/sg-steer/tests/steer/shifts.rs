//! Shows that shifts stay under their cap over any interval, at any mix of revisions, and that no
//! region is given more than it can serve.

use std::collections::VecDeque;

use quickcheck::TestResult;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sg_steer::{
    End, Engine, Split,
    report::Phase,
    shift::{Region, goal},
};
use sg_types::prelude::*;

use crate::world::{FINE, World, ask, engine, healthy, region, service, view};

const CAP: f64 = 0.1;
/// Samples, one a second, from the start of a shift interval to its end.
const SAMPLES: usize = 11;
/// Rounding of parts to millionths, over several instances.
const ROUNDING: f64 = 1e-5;

fn random_split(rng: &mut SmallRng) -> [u32; 3] {
    let a = rng.random_range(0..=100);
    let b = rng.random_range(0..=100 - a);
    [a, b, 100 - a - b]
}

/// What the fleet does when an instance is replaced.
#[derive(Clone, Copy, PartialEq)]
enum Start {
    Adopting,
    Alone,
}

/// Runs instances at random revisions with random faults and restarts. Returns the most traffic
/// that the fleet's split moved within any interval.
fn most_moved(seed: u64, settings: &str, start: Start) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tree = view(1, 2, random_split(&mut rng), settings);
    let mut world = World::new(5, seed, Span::from_secs(2), &tree);
    let mut past: VecDeque<Split> = VecDeque::new();
    let mut most = 0.0_f64;
    let mut behind = Vec::new();
    for second in 0..300_u64 {
        if rng.random_bool(0.05) {
            tree = view(second + 2, 2, random_split(&mut rng), settings);
            behind = (0..5).collect();
        }
        behind.retain(|index: &usize| {
            let takes = rng.random_bool(0.2);
            if takes {
                world.engines[*index].configure(&tree, world.now);
            }
            !takes
        });
        if rng.random_bool(0.02) {
            let dead = rng.random_bool(0.5);
            world.set_dead(rng.random_range(0..3), dead);
        }
        if rng.random_bool(0.02) {
            replace(&mut world, rng.random_range(0..5), &tree, start);
        }
        world.run(Span::from_secs(1), 20.0);
        let now = world.split();
        past.push_back(now.clone());
        if past.len() > SAMPLES {
            past.pop_front();
        }
        for before in &past {
            most = most.max(before.distance(&now).as_f64());
        }
    }
    assert_eq!(world.violations(), 0, "seed {seed}");
    most
}

fn replace(world: &mut World, index: usize, tree: &std::sync::Arc<sg_tree::View>, start: Start) {
    let new = engine(index, world.now.as_nanos(), 5);
    new.configure(tree, world.now);
    if start == Start::Adopting {
        // The one that is replaced answers no more; its neighbours do. Its own position is the
        // worst case's stand-in for their mean, so that the fleet's mean does not move.
        let positions = world.engines[index].positions();
        new.adopt(&positions, world.now);
    }
    world.engines[index] = new;
}

#[test]
fn the_fleet_moves_no_more_than_the_cap_in_any_interval() {
    for seed in 1..9 {
        let most = most_moved(seed, "", Start::Adopting);
        println!("seed {seed}: at most {:.2}% in an interval", most * 100.0);
        assert!(most <= CAP + ROUNDING, "seed {seed}: {most}");
        assert!(most > CAP / 2.0, "seed {seed}: hardly anything moved");
    }
}

#[test]
fn the_check_sees_a_wider_cap_a_shorter_interval_and_a_start_that_adopts_nothing() {
    let mutants = [
        (r#""shift-cap":"12%","#, Start::Adopting),
        (r#""shift-interval":"9s","#, Start::Adopting),
        ("", Start::Alone),
    ];
    for (settings, start) in mutants {
        let most = (1..9).map(|seed| most_moved(seed, settings, start));
        let most = most.fold(0.0, f64::max);
        assert!(most > CAP + ROUNDING, "{settings}: {most}");
    }
}

/// Requests of one instance by region over each interval of a shift.
fn most_of_traffic_moved(settings: &str) -> f64 {
    let engine = engine(0, 3, 1);
    engine.configure(&view(1, 2, [100, 0, 0], settings), Instant::START);
    engine.configure(&view(2, 2, [0, 50, 50], settings), Instant::START);
    let mut parts: VecDeque<Split> = VecDeque::new();
    let mut most = 0.0_f64;
    for second in 1..100_u64 {
        let now = Instant::START + Span::from_secs(second);
        let mut counts: IndexMap<id::Region, f64> = IndexMap::new();
        for domain in 0..6 {
            for target in 0..2 {
                let name = id::Target::new(format!("t{domain}-{target}")).expect("a name");
                engine.observe(&service(), &name, healthy(0), now);
            }
        }
        engine.tick(now);
        for _ in 0..1_000 {
            use sg_steer::Attempt as _;
            let attempt = ask(&engine, &[], now).expect("a target");
            *counts.entry(attempt.region().clone()).or_default() += 1.0;
            attempt.end(FINE, now);
        }
        let split = Split::new(counts);
        parts.push_back(split.clone());
        if parts.len() > SAMPLES {
            parts.pop_front();
        }
        most = parts
            .iter()
            .map(|part| part.distance(&split).as_f64())
            .fold(most, f64::max);
    }
    most
}

#[test]
fn the_requests_themselves_move_under_the_cap() {
    let most = most_of_traffic_moved("");
    // A region's draws are exact to within the number of regions, here 3 of 1,000, at both ends.
    assert!(most <= CAP + 0.006, "{most}");
    assert!(most_of_traffic_moved(r#""shift-cap":"15%","#) > CAP + 0.006);
}

#[test]
fn what_waits_for_a_full_region_does_not_end_in_another() {
    use sg_steer::{Ask, Steer};
    let share = |again: fn(&Engine, Ask<'_>) -> bool| {
        let engine = engine(0, 3, 1);
        engine.configure(&view(1, 1, [34, 33, 33], ""), Instant::START);
        let name = service();
        let now = Instant::START;
        let ask = Ask {
            service: &name,
            tried: &[],
            now,
            fingerprint: Fingerprint::new(1),
        };
        let mut held = Vec::new();
        while let Ok(attempt) = engine.start(ask) {
            held.push(attempt);
        }
        use sg_steer::Attempt as _;
        let (full, rest): (Vec<_>, Vec<_>) = held
            .into_iter()
            .partition(|attempt| *attempt.region() == region(0));
        drop(rest);
        let moved = (0..100).filter(|_| again(&engine, ask)).count();
        drop(full);
        moved
    };
    assert_eq!(share(|engine, ask| engine.start_again(ask).is_ok()), 0);
    assert!(
        share(|engine, ask| engine.start(ask).is_ok()) > 0,
        "drawn anew, it moves"
    );
}

/// Regions from random numbers, and a demand.
fn regions(numbers: &[(u8, u8, u8)]) -> IndexMap<id::Region, Region> {
    let sum: u32 = numbers
        .iter()
        .map(|(weight, _, _)| u32::from(*weight))
        .sum();
    let regions = numbers
        .iter()
        .enumerate()
        .map(|(index, (weight, alive, loss))| {
            let wanted = Percent::from_ppm(u32::from(*weight) * 1_000_000 / sum.max(1));
            let known = Region {
                wanted,
                alive: f64::from(*alive),
                after_loss: f64::from(*alive) * f64::from(*loss) / 255.0,
                link: Percent::FULL,
            };
            (region(index), known)
        });
    regions.collect()
}

/// Whether no region is given, beyond what the tree wants, more than is left after a loss.
fn overloads(split: &Split, regions: &IndexMap<id::Region, Region>, demand: f64) -> bool {
    regions.iter().any(|(name, known)| {
        let part = split.part(name).as_f64();
        let gained = part > known.wanted.as_f64() + ROUNDING;
        gained && part * demand > known.alive.min(known.after_loss) * 0.9 + ROUNDING * demand
    })
}

#[test]
fn no_region_gains_more_than_it_holds_after_a_loss() {
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
    crate::property::holds(property as fn(Vec<(u8, u8, u8)>, u16) -> TestResult);
}

#[test]
fn a_step_moves_what_it_may_and_keeps_the_whole() {
    fn property(from: Vec<u16>, to: Vec<u16>, most: u32) -> TestResult {
        let split = |weights: Vec<u16>| {
            let weights = weights.into_iter().take(6).enumerate();
            Split::new(weights.map(|(index, weight)| (region(index), f64::from(weight))))
        };
        let (from, to) = (split(from), split(to));
        if from.is_empty() || to.is_empty() {
            return TestResult::discard();
        }
        let most = Percent::from_ppm(most % 1_000_001);
        let next = from.toward(&to, most);
        let sum: u32 = next.parts().map(|(_, part)| part.as_ppm()).sum();
        let moved = from.distance(&next);
        let wanted = from.distance(&to).as_ppm().min(most.as_ppm());
        TestResult::from_bool(sum == 1_000_000 && moved <= most && wanted - moved.as_ppm() <= 6)
    }
    crate::property::holds(property as fn(Vec<u16>, Vec<u16>, u32) -> TestResult);
}

#[test]
fn the_check_of_overload_sees_a_goal_without_regard_to_a_loss() {
    let regions = regions(&[(200, 0, 0), (55, 100, 100)]);
    let careless = Split::new([(region(1), 1.0)]);
    assert!(overloads(&careless, &regions, 80.0));
    let careful = goal(&regions, 80.0, Percent::from_ppm(100_000));
    assert!(!overloads(&careful.split, &regions, 80.0));
    assert!(careful.unplaced > 0.3, "{careful:?}");
}

/// The split of a one-way shift after `seconds` in which the receivers answer by `end`.
fn shifted_after(seconds: u64, end: sg_steer::End) -> (f64, Phase) {
    use sg_steer::Attempt as _;
    let engine = engine(0, 3, 1);
    engine.configure(&view(1, 4, [100, 0, 0], ""), Instant::START);
    engine.configure(&view(2, 4, [0, 100, 0], ""), Instant::START);
    for step in 0..seconds * 20 {
        let now = Instant::START + Span::from_millis(step * 50);
        for index in 0..8 {
            let domain = 2 + index / 4;
            let name = id::Target::new(format!("t{domain}-{}", index % 4)).expect("a name");
            engine.observe(&service(), &name, healthy(0), now);
        }
        engine.tick(now);
        let attempts: Vec<_> = (0..4).filter_map(|_| ask(&engine, &[], now).ok()).collect();
        for attempt in attempts {
            let receives = *attempt.region() == region(1);
            attempt.end(if receives { end } else { FINE }, now);
        }
    }
    let now = Instant::START + Span::from_secs(seconds);
    let part = engine.positions()[0].split.part(&region(1)).as_f64();
    (part, engine.report(now).services["desk"].phase)
}

#[test]
fn the_next_step_waits_until_the_receivers_are_seen_to_do_well() {
    let slow = End::Answered {
        latency: Span::from_millis(400),
        failed: false,
    };
    let (well, _) = shifted_after(55, FINE);
    assert!(well > 0.5, "five steps and more: {well}");
    let (part, phase) = shifted_after(55, End::Shed);
    assert!(part <= CAP, "no step while they refuse: {part}");
    assert_eq!(phase, Phase::WaitingForWarmth);
    let (part, phase) = shifted_after(55, slow);
    assert!(
        part <= CAP,
        "no step for a while when they are slow: {part}"
    );
    assert_eq!(phase, Phase::WaitingForWarmth);
    assert!(shifted_after(90, slow).0 > CAP, "but not for ever");
}

/// Bits that instances of region 0 send for over a link to the others in ten seconds of demand
/// without end.
fn bits_over_link(entries: u32) -> u64 {
    use sg_steer::Attempt as _;
    let mut tree = (*view(1, 20, [0, 100, 0], "")).clone();
    tree.links.push(sg_tree::view::Link {
        a: region(0),
        b: region(1),
        bandwidth: Bandwidth::from_bits(LINK),
    });
    let tree = std::sync::Arc::new(tree);
    let engines: Vec<_> = (0..4).map(|n| engine(n * 3, 5, entries)).collect();
    let mut answers = 0;
    for engine in &engines {
        engine.configure(&tree, Instant::START);
        for millis in 0..10_000_u64 {
            let now = Instant::START + Span::from_millis(millis);
            if let Ok(attempt) = ask(engine, &[], now) {
                attempt.end(FINE, now);
                answers += 1;
            }
        }
    }
    answers * 16 * 1_024 * 8
}

/// Bits a second of the link in [`bits_over_link`].
const LINK: u64 = 20_000_000;

#[test]
fn instances_together_stay_within_a_link() {
    // Ten seconds, one second saved up, and rounding of one answer an instance.
    let most = LINK * 11 + 4 * 16 * 1_024 * 8;
    let used = bits_over_link(4);
    assert!(used <= most, "{used}");
    assert!(used > LINK * 8, "the link is used: {used}");
    assert!(
        bits_over_link(1) > most,
        "the check sees instances that don't share"
    );
}
