//! Runs random schedules of faults and checks the invariants throughout.
//!
//! `SG_SEEDS=FROM..TO` selects other seeds. A failing seed is printed.

use std::ops::Range;

use quickcheck::{Arbitrary, Gen};
use rand::Rng;
use sg_share::{
    Engine,
    engine::{Fault, Options},
};

use crate::{
    budgets,
    scene::Faults,
    world::{MILLI, SEC, World, account},
};

const SEEDS: Range<u64> = 0..16;
/// Seeds that found faults: a slot that was released while in use, and a claim whose voters were
/// released.
const REGRESSION_SEEDS: [u64; 2] = [1518, 1027];
const STEPS: usize = 25;

/// A change to the simulated fleet.
#[derive(Debug, Clone)]
enum Step {
    Crash(usize),
    Start(usize),
    Leave(usize),
    Pause(usize, u64),
    Split(Vec<u8>, Option<u8>),
    Net {
        delay: u64,
        loss: u8,
        duplication: u8,
    },
    Store {
        down: bool,
        answer_loss: u8,
    },
    Heal,
    Settings {
        rate: u64,
        burst: u32,
        slots: u32,
    },
    ApplySettings(usize),
    Callers(usize, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % 7;
        match u8::arbitrary(g) % 14 {
            0 | 1 => Self::Crash(node),
            2 | 3 => Self::Start(node),
            4 => Self::Leave(node),
            5 | 6 => Self::Pause(node, u64::from(u8::arbitrary(g)) % 70 * SEC),
            7 => Self::Split(
                (0..7).map(|_| u8::arbitrary(g) % 2).collect(),
                *g.choose(&[None, Some(0), Some(1)]).unwrap_or(&None),
            ),
            8 => Self::Net {
                delay: u64::from(u8::arbitrary(g)) * 12 * MILLI,
                loss: u8::arbitrary(g) % 30,
                duplication: u8::arbitrary(g) % 100,
            },
            9 => Self::Store {
                down: bool::arbitrary(g),
                answer_loss: u8::arbitrary(g) % 60,
            },
            10 => Self::Heal,
            11 => Self::Settings {
                rate: 10 + u64::from(u8::arbitrary(g)),
                burst: 1 + u32::from(u8::arbitrary(g) % 40),
                slots: 1 + u32::from(u8::arbitrary(g) % 9),
            },
            12 => Self::ApplySettings(node),
            _ => Self::Callers(node, u8::arbitrary(g)),
        }
    }
}

fn apply(world: &mut World, step: Step) {
    match step {
        Step::Crash(node) => world.crash(node),
        Step::Start(node) => {
            if world.nodes[node].engine.is_none() {
                world.start(node);
            }
        }
        Step::Leave(node) => world.run_engine(node, Engine::leave),
        Step::Pause(node, span) => world.pause(node, span),
        Step::Split(sides, store_unreachable_from) => {
            world.faults.sides = sides.into_iter().enumerate().collect();
            world.faults.store_unreachable_from = store_unreachable_from;
        }
        Step::Net {
            delay,
            loss,
            duplication,
        } => {
            world.faults.delay = (0, delay.max(MILLI));
            world.faults.loss = f64::from(loss) / 100.0;
            world.faults.duplication = f64::from(duplication) / 100.0;
        }
        Step::Store { down, answer_loss } => {
            world.faults.store_down = down;
            world.faults.answer_loss = f64::from(answer_loss) / 100.0;
        }
        Step::Heal => world.faults = Faults::default(),
        Step::Settings { rate, burst, slots } => {
            world.configure(slots, budgets(rate, burst));
        }
        Step::ApplySettings(node) => world.apply_settings(node),
        Step::Callers(node, rate) => world.loads[node].per_second = f64::from(rate).max(1.0),
    }
}

/// Runs one schedule and returns the first violation, if any.
pub fn schedule(seed: u64, options: &Options) -> Option<String> {
    let options = Options {
        sole_runs: seed % 2 == 1,
        ..options.clone()
    };
    let mut world = World::new(seed, 7, 7, budgets(50, 20), options);
    for node in 0..7 {
        world.load(node, account("a"), 25.0, 0);
    }
    let mut g = Gen::from_size_and_seed(100, seed);
    for _ in 0..STEPS {
        let span = world.rng.random_range(0..12 * SEC);
        world.run(span);
        apply(&mut world, Step::arbitrary(&mut g));
        if world.check.violation.is_some() {
            return world.check.violation.take();
        }
    }
    settle(&mut world)
}

/// Ends all faults, then checks that the newest settings alone apply and that the whole budget is
/// in use.
fn settle(world: &mut World) -> Option<String> {
    const SETTLE: u64 = 120 * SEC;
    world.faults = Faults::default();
    for node in 0..7 {
        if world.nodes[node].engine.is_none() {
            world.start(node);
        }
        world.pause(node, 0);
        world.apply_settings(node);
    }
    world.run(SETTLE);
    let settings = world.settings.budgets.clone();
    world.check.finish_configure(&settings, world.now);
    world.run(30 * SEC);
    let violations = world
        .nodes
        .iter()
        .filter_map(|node| node.engine.as_ref())
        .map(|engine| engine.report().counters.violations)
        .sum::<u64>();
    let used = world.slots_in_use().len();
    if world.options.sole_runs && used < world.settings.slots as usize {
        return Some(format!(
            "only {used} of {} slots in use",
            world.settings.slots
        ));
    }
    if violations > 0 {
        return Some(format!("{violations} violations counted"));
    }
    world.check.violation.take()
}

fn seeds() -> Range<u64> {
    let read = || {
        let text = std::env::var("SG_SEEDS").ok()?;
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    };
    read().unwrap_or(SEEDS)
}

/// Guards against any violation of the invariants under random crashes, partitions, delays, outages
/// and changes of settings.
#[test]
fn no_schedule_of_faults_admits_over_a_budget() {
    for seed in REGRESSION_SEEDS.into_iter().chain(seeds()) {
        let violation = schedule(seed, &Options::default());
        assert_eq!(violation, None, "SG_SEEDS={seed}..{}", seed + 1);
    }
}

/// Whether the checks detect an injected fault for any of the seeds.
fn is_detected(fault: Fault) -> bool {
    SEEDS.into_iter().any(|seed| {
        let options = Options {
            fault: Some(fault),
            ..Options::default()
        };
        let detected = std::panic::catch_unwind(|| schedule(seed, &options).is_some());
        detected.unwrap_or(true)
    })
}

macro_rules! detected {
    ($($name:ident: $fault:ident;)*) => {
        $(#[test]
        fn $name() {
            assert!(is_detected(Fault::$fault));
        })*
    };
}

detected! {
    skipped_wait_is_detected: SkipWait;
    ignored_validity_is_detected: IgnoreValidity;
    missing_debit_is_detected: LendTwice;
    ignored_expiry_is_detected: IgnoreExpiry;
}
