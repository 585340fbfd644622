//! Shows that steering stays calm under lagging load and holds when measurements stop.

use sg_steer::{
    Split,
    report::{Cause, Phase},
};
use sg_types::prelude::*;

use crate::world::{World, region, view};

const LAG: Span = Span::from_secs(5);
const RATE: f64 = 300.0;

/// What a trace of a region's part shows.
#[derive(Debug, Default, Clone, Copy)]
struct Trace {
    turns: u32,
    least: f64,
    most: f64,
    last: f64,
    rising: Option<bool>,
}

impl Trace {
    fn new(part: f64) -> Self {
        Self {
            least: part,
            most: part,
            last: part,
            ..Self::default()
        }
    }

    fn add(&mut self, part: f64) {
        if (part - self.last).abs() > 0.005 {
            let rising = part > self.last;
            self.turns += u32::from(self.rising.is_some_and(|before| before != rising));
            self.rising = Some(rising);
            self.last = part;
        }
        self.least = self.least.min(part);
        self.most = self.most.max(part);
    }
}

/// Runs ten minutes and traces the part of region 0. `alter` may change the split each second.
fn trace(world: &mut World, mut alter: impl FnMut(&mut World, u64, Split) -> Split) -> Trace {
    let mut trace = Trace::new(world.split().part(&region(0)).as_f64());
    for second in 0..600 {
        world.run(Span::from_secs(1), RATE);
        let split = world.split();
        let split = alter(world, second, split);
        trace.add(split.part(&region(0)).as_f64());
    }
    trace
}

/// A region that asks for more than it can serve, with load reports five seconds old.
fn crowded(seed: u64) -> World {
    let tree = view(1, 5, [70, 15, 15], r#""service-time":"50ms","#);
    World::new(7, seed, LAG, &tree)
}

#[test]
fn ten_minutes_at_a_lag_of_five_seconds_do_not_swing() {
    let mut world = crowded(11);
    let trace = trace(&mut world, |world, second, split| {
        if second % 60 == 59 {
            let parts: Vec<_> = split
                .parts()
                .map(|(name, part)| format!("{name} {part}"))
                .collect();
            let demand = world.engines[0].report(world.now).services["desk"].demand;
            let busy: u32 = world.targets.values().map(|m| m.in_flight).sum();
            println!("demand measured {demand:.0}, in work now {busy}");
            println!(
                "{:>3} s: {} refused {:?}",
                second + 1,
                parts.join(", "),
                world.refused
            );
        }
        split
    });
    println!(
        "seed 11: {trace:?}, served {:?}, shed {}",
        world.served, world.shed
    );
    assert!(trace.turns <= 2, "{trace:?}");
    assert!(
        trace.least < 0.65,
        "the crowded region gives traffic away: {trace:?}"
    );
    assert_eq!(world.violations(), 0);
}

#[test]
fn the_trace_sees_a_split_that_chases_reported_load() {
    let mut world = crowded(11);
    let mut reported = std::collections::VecDeque::from(vec![0.7; 5]);
    let mut part = 0.7_f64;
    let trace = trace(&mut world, |_, _, _| {
        reported.push_back(part);
        let old = reported.pop_front().unwrap_or(part);
        part = (part + if old > 0.5 { -0.1 } else { 0.1 }).clamp(0.0, 1.0);
        Split::new([(region(0), part), (region(1), 1.0 - part)])
    });
    assert!(trace.turns > 2, "{trace:?}");
}

#[test]
fn a_dead_region_is_left_within_the_cap_and_what_waits_is_refused_as_not_run() {
    let mut world = World::new(7, 5, LAG, &view(1, 5, [34, 33, 33], ""));
    world.run(Span::from_secs(20), 100.0);
    assert!(world.refused.is_empty(), "{:?}", world.refused);
    world.set_dead(1, true);
    world.run(Span::from_secs(12), 100.0);
    let early = world.split().part(&region(1));
    assert!(early > Percent::ZERO, "the cap holds the rest back");
    world.run(Span::from_secs(60), 100.0);
    assert_eq!(world.split().part(&region(1)), Percent::ZERO);
    assert!(
        world.refused[&Reason::ShiftCapped] > 0,
        "{:?}",
        world.refused
    );
    world.refused.clear();
    world.run(Span::from_secs(10), 100.0);
    assert!(world.refused.is_empty(), "{:?}", world.refused);
    world.set_dead(1, false);
    world.run(Span::from_secs(120), 100.0);
    let back = world.split().part(&region(1)).as_f64();
    assert!((back - 0.33).abs() < 0.001, "{back}");
    assert_eq!(world.violations(), 0);
}

#[test]
fn no_probes_hold_the_split_and_then_lead_back_to_the_trees() {
    let mut world = crowded(13);
    world.run(Span::from_secs(120), RATE);
    let moved = world.split();
    assert!(moved.part(&region(0)).as_f64() < 0.65);
    world.probes = false;
    world.run(Span::from_secs(28), RATE);
    let report = world.engines[0].report(world.now);
    assert_eq!(report.services["desk"].phase, Phase::Holding);
    assert!(moved.distance(&world.split()).as_f64() < 0.05);
    world.run(Span::from_secs(90), RATE);
    assert_eq!(world.split().part(&region(0)).as_f64(), 0.7);
    world.probes = true;
    world.run(Span::from_secs(60), RATE);
    let report = world.engines[0].report(world.now);
    assert_eq!(report.services["desk"].cause, Some(Cause::Capacity));
    assert!(world.split().part(&region(0)).as_f64() < 0.65);
}

#[test]
fn a_move_to_cold_caches_refuses_nothing() {
    let mut world = World::new(7, 17, LAG, &view(1, 5, [100, 0, 0], ""));
    world.run(Span::from_secs(30), 100.0);
    world.cold = 1_500;
    let tree = view(2, 5, [0, 100, 0], "");
    let now = world.now;
    world
        .engines
        .iter()
        .for_each(|engine| engine.configure(&tree, now));
    world.refused.clear();
    world.run(Span::from_secs(300), 100.0);
    let refused: u64 = world.refused.values().sum();
    println!("seed 17: {refused} refused, {} slow of 210000", world.slow);
    assert_eq!(refused, 0, "the next step waits for the caches");
    assert_eq!(world.split().part(&region(1)), Percent::FULL);
    assert_eq!(world.violations(), 0);
}
