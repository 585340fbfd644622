//! What callers get with and without a dispatcher.

use crate::simulation::{Kind, Policy, Service, Simulation};

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

#[test]
fn trial() {
    let policies = [
        Policy::Alone { uses_pace: false },
        Policy::Alone { uses_pace: true },
        Policy::Beacons,
        Policy::Senders { per_target: 3 },
        Policy::Dispatcher,
    ];
    for (name, service) in services()
        .into_iter()
        .filter(|s| std::env::var("ONLY").is_err() || std::env::var("ONLY").unwrap() == s.0)
    {
        for policy in policies
            .into_iter()
            .filter(|p| std::env::var("ONLYD").is_err() || *p == Policy::Dispatcher)
        {
            let totals = Simulation::new(service.clone(), policy, 7).run(44);
            let shares = |counts: &[crate::simulation::Counts]| {
                counts
                    .iter()
                    .map(|c| {
                        format!(
                            "{:.3}/{:.3}",
                            c.share(),
                            f64::from(c.served) / f64::from(c.sent)
                        )
                    })
                    .collect::<Vec<_>>()
                    .join(" ")
            };
            println!(
                "{name:14} {:32} start {} later {} cold {:.3} busiest {:.2} refused {} msgs/req {:.2} us/req {:.1}",
                format!("{policy:?}"),
                shares(&totals.start),
                shares(&totals.later),
                f64::from(totals.cold_runs) / f64::from(totals.runs),
                totals.busiest,
                totals.refused_by_targets,
                f64::from(totals.messages) / f64::from(totals.runs),
                totals.decision_micros / f64::from(totals.runs),
            );
        }
    }
}
