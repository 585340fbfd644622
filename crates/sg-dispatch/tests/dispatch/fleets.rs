//! What callers get with and without a dispatcher.

use crate::{
    service::{Counts, Kind, Policy, Service, Totals},
    simulation::Simulation,
};

const fn kind(per_second: f64, cold: f64, objective: f64, deadline: f64, priority: u32) -> Kind {
    Kind {
        per_second,
        cold_seconds: cold,
        objective_seconds: objective,
        deadline_seconds: deadline,
        priority,
        tail: 0.0,
    }
}

/// Returns the services of the two fleets, in a region with a third of the instances and targets.
fn services() -> Vec<(&'static str, Service)> {
    let service = |instances, targets, slots, kinds: &[Kind]| Service {
        instances,
        targets,
        slots,
        kinds: kinds.to_vec(),
    };
    let board = kind(130.0, 0.88, 0.5, 4.0, 0);
    let status = Kind {
        tail: 0.03,
        ..kind(216.0, 0.75, 0.6, 4.0, 2)
    };
    vec![
        (
            "pack",
            service(11, 68, 8, &[kind(334.0, 2.24, 1.5, 12.0, 1)]),
        ),
        (
            "submit",
            service(11, 41, 8, &[kind(155.0, 2.92, 4.0, 15.0, 2)]),
        ),
        (
            "media, board",
            service(11, 19, 8, &[kind(47.0, 1.8, 1.2, 10.0, 1), board]),
        ),
        ("status", service(33, 35, 4, &[status])),
        (
            "signing",
            service(33, 21, 4, &[kind(99.0, 0.99, 0.8, 6.0, 1)]),
        ),
        ("image", service(33, 4, 4, &[kind(29.0, 0.61, 0.5, 4.0, 2)])),
        (
            "report",
            service(33, 31, 4, &[kind(47.0, 3.0, 2.5, 20.0, 2)]),
        ),
    ]
}

const SECONDS: u64 = 24;
const SEED: u64 = 7;
const TODAY: Policy = Policy::Alone { uses_pace: false };

fn run(service: &Service, policy: Policy) -> Totals {
    Simulation::new(service.clone(), policy, SEED).run(SECONDS)
}

/// Returns the share within the objective of each kind in the first 8 s and later.
fn shares(totals: &Totals) -> Vec<f64> {
    let counts = totals.start.iter().chain(&totals.later);
    counts.map(Counts::share).collect()
}

fn print(name: &str, policy: Policy, totals: &Totals) {
    let shares: Vec<String> = shares(totals).iter().map(|s| format!("{s:.3}")).collect();
    println!(
        "{name:12} {policy:?}: within objective {}, cold runs {:.3}, busiest {:.2} (utilisation {:.2}), refused by targets {}, \
         messages {:.2}, decision {:.1} us",
        shares.join(" "),
        f64::from(totals.cold_runs) / f64::from(totals.runs),
        totals.busiest,
        totals.busiest_utilization,
        totals.refused_by_targets,
        f64::from(totals.messages) / f64::from(totals.runs),
        totals.decision_micros / f64::from(totals.runs),
    );
}

/// Instances that choose alone fill some targets while others are free, and run objects cold at many.
#[test]
fn dispatcher_serves_more_in_time_than_instances_that_choose_alone() {
    for (name, service) in services() {
        let [today, dispatched] = [TODAY, Policy::Dispatcher].map(|policy| {
            let totals = run(&service, policy);
            print(name, policy, &totals);
            totals
        });
        for (today, dispatched) in shares(&today).iter().zip(shares(&dispatched)) {
            assert!(dispatched > *today, "{name}: {dispatched} against {today}");
        }
        for (today, dispatched) in today.later.iter().zip(&dispatched.later) {
            let missed = |counts: &Counts| 1.0 - counts.share();
            assert!(missed(dispatched) < missed(today) * 0.5, "{name}");
        }
        assert!(
            dispatched.busiest_utilization < today.busiest_utilization,
            "{name}"
        );
        assert_eq!(dispatched.refused_by_targets, 0, "{name}");
    }
}

/// Instances that choose alone hear seldom of a machine. If they left the targets where objects are warm for
/// the pace, they would run more objects cold.
#[test]
fn pace_does_no_harm_to_instances_that_choose_alone() {
    const SEEDS: [u64; 4] = [7, 8_888, 424_242, 987_654_321];
    let mean = |service: &Service, uses_pace: bool| -> f64 {
        let later = SEEDS.map(|seed| {
            let policy = Policy::Alone { uses_pace };
            let totals = Simulation::new(service.clone(), policy, seed).run(SECONDS);
            totals.later[0].share()
        });
        later.iter().sum::<f64>() / SEEDS.len() as f64
    };
    for (name, service) in &services()[3..] {
        let (today, paced) = (mean(service, false), mean(service, true));
        println!("{name:12} {today:.3} today, {paced:.3} with the pace");
        assert!(paced > today - 0.03, "{name}: {paced} against {today}");
    }
}

/// The alternatives that docs/design/slots.md weighs; printed for its table.
#[test]
fn alternatives_serve_less_in_time_than_the_dispatcher() {
    let all = services();
    let (name, service) = &all[4];
    let dispatched = shares(&run(service, Policy::Dispatcher));
    for policy in [Policy::Beacons, Policy::Senders { per_target: 3 }] {
        let totals = run(service, policy);
        print(name, policy, &totals);
        let pairs = shares(&totals).into_iter().zip(&dispatched);
        assert!(
            pairs
                .into_iter()
                .all(|(other, dispatched)| other < *dispatched)
        );
    }
}

/// A dispatcher that dies takes its knowledge of slots, warm objects and waiting requests with it, and
/// lost messages leave slots in use that are free.
#[test]
fn replaced_dispatchers_and_lost_ends_cost_little() {
    let all = services();
    let (name, service) = &all[4];
    let calm = run(service, Policy::Dispatcher);
    let mut replaced = Simulation::new(service.clone(), Policy::Dispatcher, SEED);
    replaced.replaced_at = vec![3, 10, 17];
    let mut lossy = Simulation::new(service.clone(), Policy::Dispatcher, SEED);
    lossy.lost_ends = 0.03;
    for totals in [replaced.run(SECONDS), lossy.run(SECONDS)] {
        print(name, Policy::Dispatcher, &totals);
        for (calm, faulty) in shares(&calm).iter().zip(shares(&totals)) {
            assert!(faulty > calm - 0.05, "{faulty} against {calm}");
        }
    }
}
