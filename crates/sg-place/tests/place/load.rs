//! Simulates a load on a fleet of targets and checks how many requests end in time.

use sg_place::{
    Pool,
    hash::Object,
    member::{LoadReport, TargetOutcome},
    pool::Query,
    work_estimate::WorkEstimate,
};
use sg_types::prelude::*;

use crate::{at, location, target};

const TARGETS: usize = 12;
const SLOTS: usize = 9;
/// Number of objects that a target keeps warm.
const WARM_OBJECTS: usize = 35;
const WARM_MILLIS: u64 = 264;
const COLD_MILLIS: u64 = 880;
const OBJECTIVE: Span = Span::from_millis(600);
const TIMEOUT_MILLIS: u64 = 1_200;

/// A simulated target that runs requests in its slots and queues the others.
#[derive(Default)]
struct SimulatedTarget {
    /// End times of the requests that run or wait.
    ends: Vec<u64>,
    /// Warm objects, the least recently used one first.
    warm: Vec<u64>,
}

impl SimulatedTarget {
    /// Runs a request about `object` and returns its end time.
    fn run(&mut self, object: u64, now: u64) -> u64 {
        self.ends.retain(|end| *end > now);
        self.ends.sort_unstable();
        let waits = self.ends.len() >= SLOTS;
        let start = if waits {
            self.ends[self.ends.len() - SLOTS]
        } else {
            now
        };
        let warm = self.warm.contains(&object);
        self.warm.retain(|known| *known != object);
        self.warm.push(object);
        if self.warm.len() > WARM_OBJECTS {
            self.warm.remove(0);
        }
        let end = start + if warm { WARM_MILLIS } else { COLD_MILLIS };
        self.ends.push(end);
        end
    }

    fn report(&self, now: u64) -> LoadReport {
        let in_flight = self.ends.iter().filter(|end| **end > now).count();
        LoadReport {
            running: in_flight.min(SLOTS) as u32,
            waiting: in_flight.saturating_sub(SLOTS) as u32,
            slots: SLOTS as u32,
            pace: None,
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Requests that ended after their callers had left.
    wasted: u32,
}

struct Simulation {
    pool: Pool,
    work: WorkEstimate,
    targets: IndexMap<id::Target, SimulatedTarget>,
    /// End, target and start of each request in flight, whether its object was believed to be warm,
    /// and whether the target was the highest-ranked one.
    ends: Vec<(u64, id::Target, u64, bool, bool)>,
    totals: Totals,
}

impl Simulation {
    fn new() -> Self {
        let mut pool = Pool::default();
        let mut targets = IndexMap::new();
        for index in 0..TARGETS {
            let target = target(&format!("t{index}"), "west", SLOTS as u32);
            targets.insert(target.id.clone(), SimulatedTarget::default());
            pool.upsert_target(target, at(0));
        }
        Self {
            pool,
            work: WorkEstimate::new(OBJECTIVE, 1.0),
            targets,
            ends: Vec::new(),
            totals: Totals::default(),
        }
    }

    fn finish(&mut self, now: u64) {
        let ended: Vec<_> = self.ends.extract_if(.., |end| end.0 <= now).collect();
        for (end, target, began, warm, first) in ended {
            let report = self.targets[&target].report(end);
            self.pool.record_report(&target, report, at(end));
            let seconds = (end - began) as f64 / 1e3;
            if end - began > TIMEOUT_MILLIS {
                self.totals.wasted += 1;
                self.pool
                    .record_end(&target, TargetOutcome::Failed, 1, at(end));
                continue;
            }
            if !warm && first {
                self.work.record_highest_ranked(seconds);
            }
            self.work.record(seconds, warm);
            self.pool
                .record_end(&target, TargetOutcome::Answered, 1, at(end));
            let in_time = Span::from_millis(end - began) <= OBJECTIVE;
            self.totals.in_time += u32::from(in_time);
            self.totals.late += u32::from(!in_time);
        }
    }

    fn arrive(&mut self, object: u64, affinity: bool, now: u64) {
        self.finish(now);
        let shared = Object::new("route", object);
        let unique = Object::new("request", now);
        let query = Query {
            object: affinity.then_some(shared),
            placement_key: if affinity { shared } else { unique },
            may_leave_region: false,
            warm_work_seconds: self.work.expected_work_seconds(true),
            cold_work_seconds: self.work.expected_work_seconds(!affinity),
            cold_fraction: self.work.cold_fraction(),
            typical_work_seconds: self.work.typical_work_seconds(),
            tried: &[],
            home_regions: &[],
            account_home_regions: &[],
            cold_rate: 0.0,
            remaining_seconds: TIMEOUT_MILLIS as f64 / 1e3,
            shift_limiter: &crate::NO_SURGE,
            now: at(now),
        };
        let Ok(choice) = self
            .pool
            .choose(&query, &location("west"), &IndexSet::new())
        else {
            self.totals.refused += 1;
            return;
        };
        self.pool
            .record_send(&choice.target.id, query.object, at(now));
        let simulated = self.targets.get_mut(&choice.target.id).expect("a target");
        let end = simulated.run(object, now);
        self.ends.push((
            end,
            choice.target.id,
            now,
            choice.warm,
            choice.is_highest_ranked,
        ));
    }
}

/// Simulates `per_second` requests about 80 objects for `seconds`.
fn simulate(per_second: u64, seconds: u64, affinity: bool) -> Totals {
    let mut simulation = Simulation::new();
    let count = per_second * seconds;
    for index in 0..count {
        let object = index.wrapping_mul(2_654_435_761) >> 7;
        simulation.arrive(object % 80, affinity, index * 1_000 / per_second);
    }
    simulation.finish(u64::MAX);
    simulation.totals
}

#[test]
fn affinity_serves_a_normal_load_in_time() {
    let with_affinity = simulate(135, 30, true);
    let total =
        with_affinity.in_time + with_affinity.late + with_affinity.refused + with_affinity.wasted;
    assert!(
        f64::from(with_affinity.in_time) > 0.9 * f64::from(total),
        "{with_affinity:?}"
    );
    let without_affinity = simulate(135, 30, false);
    assert!(
        without_affinity.in_time * 3 < with_affinity.in_time * 2,
        "{without_affinity:?}"
    );
}

/// Queues that grow until all requests time out would waste the work of the targets.
#[test]
fn overload_is_refused_at_arrival_instead_of_timing_out() {
    // With warm objects, the targets can run 409 requests a second.
    let totals = simulate(700, 20, true);
    let total = totals.in_time + totals.late + totals.refused + totals.wasted;
    assert!(totals.wasted * 20 < total, "{totals:?}");
    assert!(totals.refused * 4 > total, "{totals:?}");
    // The targets complete at least three quarters of the requests that they can run, each before
    // its timeout.
    assert!(
        f64::from(totals.in_time + totals.late) > 0.75 * 409.0 * 20.0,
        "{totals:?}"
    );
}
