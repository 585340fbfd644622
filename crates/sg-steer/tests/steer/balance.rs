//! Tests that the split does not oscillate under delayed load reports and is held when measurements
//! stop.

use sg_steer::{
    Split,
    report::{Cause, Phase},
};
use sg_types::prelude::*;

use crate::simulation::{Simulation, region, view};

const REPORT_DELAY: Span = Span::from_secs(5);
/// Requests per second on each instance.
const REQUEST_RATE: f64 = 300.0;

/// Changes of a region's share over time.
#[derive(Debug, Default, Clone, Copy)]
struct Trace {
    reversals: u32,
    min: f64,
    max: f64,
    last: f64,
    rising: Option<bool>,
}

impl Trace {
    fn new(share: f64) -> Self {
        Self {
            min: share,
            max: share,
            last: share,
            ..Self::default()
        }
    }

    fn record(&mut self, share: f64) {
        if (share - self.last).abs() > 0.005 {
            let rising = share > self.last;
            self.reversals += u32::from(self.rising.is_some_and(|previous| previous != rising));
            self.rising = Some(rising);
            self.last = share;
        }
        self.min = self.min.min(share);
        self.max = self.max.max(share);
    }
}

/// Runs for ten minutes and traces the share of region 0. `alter` may replace the split each
/// second.
fn trace(
    simulation: &mut Simulation,
    mut alter: impl FnMut(&mut Simulation, u64, Split) -> Split,
) -> Trace {
    let mut trace = Trace::new(simulation.split().share(&region(0)).as_f64());
    for second in 0..600 {
        simulation.run(Span::from_secs(1), REQUEST_RATE);
        let split = simulation.split();
        let split = alter(simulation, second, split);
        trace.record(split.share(&region(0)).as_f64());
    }
    trace
}

/// Returns a simulated fleet whose tree gives region 0 more traffic than it can serve, and whose
/// load reports are five seconds old.
fn overloaded(seed: u64) -> Simulation {
    let tree = view(1, 5, [70, 15, 15], r#""service-time":"50ms","#);
    Simulation::new(7, seed, REPORT_DELAY, &tree)
}

// A split that follows reported load corrects too far, because each report shows the load before
// the last correction.
#[test]
fn split_does_not_oscillate_with_load_reports_five_seconds_late() {
    let mut simulation = overloaded(11);
    let trace = trace(&mut simulation, |simulation, second, split| {
        if second % 60 == 59 {
            let shares: Vec<_> = split
                .shares()
                .map(|(name, share)| format!("{name} {share}"))
                .collect();
            let demand = simulation.engines[0].report(simulation.now).services["desk"].demand;
            let in_flight: u32 = simulation.targets.values().map(|m| m.in_flight).sum();
            println!("measured demand {demand:.0}, in flight {in_flight}");
            println!(
                "{:>3} s: {} refused {:?}",
                second + 1,
                shares.join(", "),
                simulation.refused
            );
        }
        split
    });
    println!(
        "seed 11: {trace:?}, served {:?}, shed {}",
        simulation.served, simulation.shed_requests
    );
    assert!(trace.reversals <= 2, "{trace:?}");
    assert!(
        trace.min < 0.65,
        "the overloaded region does not give traffic away: {trace:?}"
    );
    assert_eq!(simulation.violations(), 0);
}

// Guards the previous test: its trace must detect a split that does oscillate.
#[test]
fn trace_detects_oscillation_of_split_that_follows_reported_load() {
    let mut simulation = overloaded(11);
    let mut reported = std::collections::VecDeque::from(vec![0.7; 5]);
    let mut share = 0.7_f64;
    let trace = trace(&mut simulation, |_, _, _| {
        reported.push_back(share);
        let old = reported.pop_front().unwrap_or(share);
        share = (share + if old > 0.5 { -0.1 } else { 0.1 }).clamp(0.0, 1.0);
        Split::new([(region(0), share), (region(1), 1.0 - share)])
    });
    assert!(trace.reversals > 2, "{trace:?}");
}

// When all targets of a region fail, its traffic may leave only at the rate of the shift cap.
// Requests beyond that are refused with a reason that tells callers that they did not run.
#[test]
fn dead_region_drains_within_shift_cap_and_excess_is_refused() {
    let mut simulation = Simulation::new(7, 5, REPORT_DELAY, &view(1, 5, [34, 33, 33], ""));
    simulation.run(Span::from_secs(20), 100.0);
    assert!(simulation.refused.is_empty(), "{:?}", simulation.refused);
    simulation.set_dead(1, true);
    simulation.run(Span::from_secs(12), 100.0);
    let early = simulation.split().share(&region(1));
    assert!(early > Percent::ZERO, "the shift cap delays the rest");
    simulation.run(Span::from_secs(60), 100.0);
    assert_eq!(simulation.split().share(&region(1)), Percent::ZERO);
    assert!(
        simulation.refused[&Reason::ShiftCapped] > 0,
        "{:?}",
        simulation.refused
    );
    simulation.refused.clear();
    simulation.run(Span::from_secs(10), 100.0);
    assert!(simulation.refused.is_empty(), "{:?}", simulation.refused);
    simulation.set_dead(1, false);
    simulation.run(Span::from_secs(120), 100.0);
    let back = simulation.split().share(&region(1)).as_f64();
    assert!((back - 0.33).abs() < 0.001, "{back}");
    assert_eq!(simulation.violations(), 0);
}

// Without probes the demand is unknown. The split must neither follow outdated values nor keep them
// forever.
#[test]
fn split_is_held_without_probes_then_returns_to_tree_split() {
    let mut simulation = overloaded(13);
    simulation.run(Span::from_secs(120), REQUEST_RATE);
    let moved = simulation.split();
    assert!(moved.share(&region(0)).as_f64() < 0.65);
    simulation.probes_enabled = false;
    simulation.run(Span::from_secs(28), REQUEST_RATE);
    let report = simulation.engines[0].report(simulation.now);
    assert_eq!(report.services["desk"].phase, Phase::Holding);
    assert!(moved.distance(&simulation.split()).as_f64() < 0.05);
    simulation.run(Span::from_secs(90), REQUEST_RATE);
    assert_eq!(simulation.split().share(&region(0)).as_f64(), 0.7);
    simulation.probes_enabled = true;
    simulation.run(Span::from_secs(60), REQUEST_RATE);
    let report = simulation.engines[0].report(simulation.now);
    assert_eq!(report.services["desk"].cause, Some(Cause::Capacity));
    assert!(simulation.split().share(&region(0)).as_f64() < 0.65);
}

// Targets with cold caches are slow. A shift that does not wait for them fills their slots and
// causes refusals.
#[test]
fn shift_to_region_with_cold_caches_refuses_no_request() {
    let mut simulation = Simulation::new(7, 17, REPORT_DELAY, &view(1, 5, [100, 0, 0], ""));
    simulation.run(Span::from_secs(30), 100.0);
    simulation.warm_up_requests = 1_500;
    let tree = view(2, 5, [0, 100, 0], "");
    let now = simulation.now;
    simulation
        .engines
        .iter()
        .for_each(|engine| engine.configure(&tree, now));
    simulation.refused.clear();
    simulation.run(Span::from_secs(300), 100.0);
    let refused: u64 = simulation.refused.values().sum();
    println!(
        "seed 17: {refused} refused, {} slow of 210000",
        simulation.slow_responses
    );
    assert_eq!(refused, 0, "a step was taken before the caches were warm");
    assert_eq!(simulation.split().share(&region(1)), Percent::FULL);
    assert_eq!(simulation.violations(), 0);
}
