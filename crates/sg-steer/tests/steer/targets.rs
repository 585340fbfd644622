//! Tests of the choice of targets: leaving, ejection, limits, slow start and the retry budget.

use std::sync::Arc;

use quickcheck::TestResult;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sg_steer::{Attempt, Completion, Engine, Selector, observation, retry};
use sg_types::prelude::*;

use crate::simulation::{SUCCEEDED, Simulation, engine, healthy, service, start_attempt, view};

const FAILED: Completion = Completion::Responded {
    latency: Span::from_millis(50),
    failed: true,
};

fn secs(secs: u64) -> Instant {
    Instant::START + Span::from_secs(secs)
}

fn target(name: &str) -> id::Target {
    id::Target::new(name).expect("valid name")
}

/// A way in which an engine learns that a target leaves.
type Signal<'a> = &'a dyn Fn(&Engine);

/// Returns how many of 2,000 requests start on `target`.
fn starts_on<S: Selector>(selector: &S, target: &id::Target, now: Instant) -> usize {
    let starts = (0..2_000).filter_map(|_| start_attempt(selector, &[], now).ok());
    starts.filter(|attempt| attempt.target() == target).count()
}

// A request that starts on a leaving target may be lost when the target exits.
#[test]
fn leaving_target_gets_no_request_after_any_signal() {
    let leaving = target("t0-1");
    let notice = Notice::Leaving {
        service: service(),
        target: leaving.clone(),
    };
    let leaving_observation = observation::Observation {
        leaving: true,
        ..Default::default()
    };
    let signals: [(&str, Signal<'_>); 4] = [
        ("notice", &|engine| engine.handle_notice(&notice, secs(1))),
        ("probe", &|engine| {
            engine.record_probe(&service(), &leaving, leaving_observation, secs(1));
        }),
        ("answer", &|engine| loop {
            let attempt = start_attempt(engine, &[], secs(1)).expect("an available target");
            if *attempt.target() == leaving {
                return attempt.finish(Completion::Leaving, secs(1));
            }
        }),
        ("tree", &|engine| {
            let mut next = (*view(2, 4, [34, 33, 33], "")).clone();
            let desk = next.services.get_mut("desk").expect("service of the tree");
            desk.targets
                .get_mut("t0-1")
                .expect("target of the tree")
                .drain = true;
            engine.configure(&Arc::new(next), secs(1));
        }),
    ];
    for (name, signal) in signals {
        let engine = engine(0, 7, 1);
        engine.configure(&view(1, 4, [34, 33, 33], ""), secs(0));
        assert!(
            starts_on(&engine, &leaving, secs(1)) > 0,
            "{name}: requests reach the target before the signal"
        );
        signal(&engine);
        assert_eq!(starts_on(&engine, &leaving, secs(1)), 0, "{name}");
        let usable_targets = engine.report(secs(1)).services["desk"].regions["r0"].usable_targets;
        assert_eq!(usable_targets, 7, "{name}");
    }
}

// A target that announces that it leaves and then stays must not be lost for good.
#[test]
fn leaving_target_returns_after_hold_down_with_healthy_probes() {
    let engine = engine(0, 7, 1);
    engine.configure(&view(1, 4, [34, 33, 33], ""), secs(0));
    let notice = Notice::Leaving {
        service: service(),
        target: target("t0-1"),
    };
    engine.handle_notice(&notice, secs(1));
    for second in 1..11 {
        engine.record_probe(&service(), &target("t0-1"), healthy(0), secs(second));
        assert_eq!(starts_on(&engine, &target("t0-1"), secs(second)), 0);
    }
    engine.record_probe(&service(), &target("t0-1"), healthy(0), secs(11));
    assert!(starts_on(&engine, &target("t0-1"), secs(30)) > 0);
}

// A target whose probes succeed although it responds to every request that it is leaving would
// otherwise get a request after each hold-down.
#[test]
fn hold_down_doubles_when_target_keeps_leaving() {
    let engine = engine(0, 7, 1);
    engine.configure(&view(1, 1, [100, 0, 0], ""), secs(0));
    let leaving = target("t0-0");
    let mut request_count = 0;
    for second in 0..300 {
        engine.record_probe(&service(), &leaving, healthy(0), secs(second));
        let attempts: Vec<_> = (0..20)
            .filter_map(|_| start_attempt(&engine, &[], secs(second)).ok())
            .collect();
        for attempt in attempts {
            let is_leaving = *attempt.target() == leaving;
            request_count += u32::from(is_leaving && second > 0);
            attempt.finish(
                if is_leaving {
                    Completion::Leaving
                } else {
                    SUCCEEDED
                },
                secs(second),
            );
        }
    }
    // One request after each of 10, 20, 40 and 80 s, then every 80 s.
    assert!((1..=5).contains(&request_count), "{request_count}");
}

// If drained targets counted as usable, the cap would allow more ejections among the remaining
// ones.
#[test]
fn draining_targets_do_not_raise_ejection_cap() {
    let engine = engine(0, 3, 1);
    let mut tree = (*view(1, 5, [100, 0, 0], "")).clone();
    let desk = tree.services.get_mut("desk").expect("service of the tree");
    for index in 0..5 {
        desk.targets
            .get_mut(&target(&format!("t0-{index}")))
            .expect("target of the tree")
            .drain = true;
    }
    engine.configure(&std::sync::Arc::new(tree), secs(0));
    for step in 0..400 {
        let now = Instant::START + Span::from_millis(step * 10);
        if let Ok(attempt) = start_attempt(&engine, &[], now) {
            attempt.finish(FAILED, now);
        }
    }
    let usable_targets = engine.report(secs(4)).services["desk"].regions["r0"].usable_targets;
    assert_eq!(
        usable_targets, 4,
        "the cap allows one ejection among the five targets that are not drained"
    );
}

/// Ends random attempts with failures. Returns the largest number of targets of a region that were
/// ejected at once and the smallest number that were usable.
fn random_failures(seed: u64, settings: &str) -> (u32, u32) {
    let engine = engine(0, seed, 1);
    engine.configure(&view(1, 5, [34, 33, 33], settings), secs(0));
    let mut rng = SmallRng::seed_from_u64(seed);
    let failure_share = rng.random_range(0.3..1.0);
    let (mut max_ejected, mut min_usable) = (0, u32::MAX);
    for step in 0..3_000_u64 {
        let now = Instant::START + Span::from_millis(step * 20);
        for index in 0..5 {
            let name = target(&format!("t{}-{index}", step % 6));
            engine.record_probe(&service(), &name, healthy(0), now);
        }
        engine.tick(now);
        if let Ok(attempt) = start_attempt(&engine, &[], now) {
            let end = match rng.random_range(0..3) {
                0 => Completion::TimedOut,
                1 => Completion::ConnectionLost,
                _ => FAILED,
            };
            let end = if rng.random_bool(failure_share) {
                end
            } else {
                SUCCEEDED
            };
            attempt.finish(end, now);
        }
        for region in engine.report(now).services["desk"].regions.values() {
            max_ejected = max_ejected.max(region.targets - region.usable_targets);
            min_usable = min_usable.min(region.usable_targets);
        }
    }
    (max_ejected, min_usable)
}

// Ejecting many targets of a region at once overloads the remaining ones.
#[test]
fn ejections_stay_within_cap_and_never_empty_a_region() {
    for seed in 1..6 {
        let (max_ejected, min_usable) = random_failures(seed, "");
        println!("seed {seed}: at most {max_ejected} of 10 ejected, at least {min_usable} usable");
        assert!(max_ejected > 0, "seed {seed}: nothing was ejected");
        assert!(
            max_ejected <= 3,
            "seed {seed}: {max_ejected} of 10 ejected at a cap of 30%"
        );
        assert!(min_usable > 0, "seed {seed}: a region has no usable target");
    }
    let (max_ejected, min_usable) = random_failures(1, r#""ejection-cap":"100%","#);
    assert!(max_ejected > 3, "the check detects a wider cap");
    assert!(
        min_usable > 0,
        "the last target is never ejected, whatever the cap"
    );
}

// A target that has recovered must be used again without a probe.
#[test]
fn ejected_target_returns_after_trial() {
    let engine = engine(0, 3, 1);
    engine.configure(&view(1, 5, [100, 0, 0], ""), secs(0));
    let failing = target("t0-0");
    let mut excluded_at = None;
    for second in 0..60 {
        let now = secs(second);
        engine.tick(now);
        let mut on_failing = 0;
        let attempts: Vec<_> = (0..60)
            .filter_map(|_| start_attempt(&engine, &[], now).ok())
            .collect();
        for attempt in attempts {
            let is_failing = *attempt.target() == failing;
            on_failing += usize::from(is_failing);
            attempt.finish(
                if is_failing && second < 3 {
                    FAILED
                } else {
                    SUCCEEDED
                },
                now,
            );
        }
        let out = &engine.report(now).services["desk"].regions["r0"].out;
        let is_excluded = out
            .iter()
            .any(|out| out.target == failing && on_failing == 0);
        if is_excluded && excluded_at.is_none() {
            excluded_at = Some(second);
        }
    }
    let counts = engine.report(secs(60)).services["desk"].counts;
    assert!(excluded_at.is_some() && counts.ejected >= 1, "{counts:?}");
    assert!(
        engine.report(secs(60)).services["desk"].regions["r0"]
            .out
            .is_empty()
    );
}

// When all targets fail, ejecting them all would leave none to recover.
#[test]
fn failing_service_keeps_available_targets() {
    let engine = engine(0, 3, 1);
    engine.configure(&view(1, 5, [34, 33, 33], ""), secs(0));
    for step in 0..500 {
        let now = Instant::START + Span::from_millis(step * 20);
        if let Ok(attempt) = start_attempt(&engine, &[], now) {
            attempt.finish(FAILED, now);
        }
    }
    assert!(start_attempt(&engine, &[], secs(10)).is_ok());
}

// Without load reports, instances know nothing of each other's requests. Unless they divide the
// slots, they overload a target together.
#[test]
fn instance_limits_sum_to_at_most_the_slots_without_reports() {
    let tree = view(1, 2, [34, 33, 33], "");
    let count_held = |instances: u32| {
        let engines: Vec<_> = (0..7).map(|i| engine(i, 5, instances)).collect();
        let mut held = Vec::new();
        for engine in &engines {
            engine.configure(&tree, secs(0));
            held.extend((0..500).filter_map(|_| start_attempt(engine, &[], secs(0)).ok()));
        }
        held.iter()
            .filter(|attempt| attempt.target().as_str() == "t0-0")
            .count()
    };
    assert!(count_held(7) <= 7, "{}", count_held(7));
    assert!(
        count_held(1) > 7,
        "the check detects instances that do not divide the slots"
    );
}

// A fixed share of the slots would leave slots unused that other instances don't need.
#[test]
fn report_of_free_slots_raises_instance_limit() {
    let engine = engine(0, 5, 7);
    engine.configure(&view(1, 2, [100, 0, 0], ""), secs(0));
    let count = |now| {
        let held: Vec<_> = (0..100)
            .filter_map(|_| start_attempt(&engine, &[], now).ok())
            .collect();
        held.len()
    };
    assert_eq!(count(secs(0)), 4, "one request on each of four targets");
    for name in ["t0-0", "t0-1", "t1-0", "t1-1"] {
        engine.record_probe(&service(), &target(name), healthy(1), secs(1));
    }
    assert_eq!(
        count(secs(1)),
        16,
        "plus half of the six free slots of each target"
    );
    assert_eq!(count(secs(7)), 4, "a stale report does not count");
}

// A target that reports fewer requests than this instance alone has in flight on it sends false
// reports, which would attract more requests.
#[test]
fn report_below_own_in_flight_requests_is_ignored() {
    let engine = engine(0, 5, 1);
    engine.configure(&view(1, 1, [100, 0, 0], r#""connections":"400","#), secs(0));
    let held: Vec<_> = (0..14)
        .filter_map(|_| start_attempt(&engine, &[], secs(0)).ok())
        .collect();
    assert_eq!(held.len(), 14);
    for second in 0..30 {
        for name in ["t0-0", "t1-0"] {
            engine.record_probe(&service(), &target(name), healthy(0), secs(second));
        }
    }
    let free = engine.report(secs(30)).services["desk"].regions["r0"].headroom;
    assert_eq!(
        free,
        Percent::ZERO,
        "reports of idle targets must not count"
    );
}

// A new target has cold caches, and a full share of the traffic would overload it.
#[test]
fn new_target_gets_slow_start() {
    let engine = engine(0, 5, 1);
    engine.configure(&view(1, 4, [100, 0, 0], ""), secs(0));
    engine.configure(&view(2, 5, [100, 0, 0], ""), secs(1));
    let share = |now| {
        let starts = (0..5_000).filter_map(|_| {
            let attempt = start_attempt(&engine, &[], now).ok()?;
            let is_new = attempt.target().as_str() == "t0-4";
            attempt.finish(SUCCEEDED, now);
            Some(u32::from(is_new))
        });
        f64::from(starts.sum::<u32>()) / 5_000.0
    };
    let (first, half, last) = (share(secs(1)), share(secs(6)), share(secs(12)));
    assert!(first < 0.05 && first > 0.0, "{first}");
    assert!(first < half && half < last, "{first} {half} {last}");
    assert!((last - 0.1).abs() < 0.02, "{last}");
}

// A retry in another region would move traffic beyond the shift cap.
#[test]
fn retry_avoids_tried_targets_and_stays_in_region() {
    let engine = engine(0, 5, 1);
    engine.configure(&view(1, 1, [34, 33, 33], ""), secs(0));
    for _ in 0..200 {
        let first = start_attempt(&engine, &[], secs(0)).expect("an available target");
        let tried = [first.target().clone()];
        let second = start_attempt(&engine, &tried, secs(0)).expect("another available target");
        assert_ne!(second.target(), first.target());
        assert_eq!(second.region(), first.region());
        let both = [tried[0].clone(), second.target().clone()];
        assert_eq!(
            start_attempt(&engine, &both, secs(0)).err(),
            Some(Reason::NoTarget)
        );
    }
}

/// Returns the attempts per request in a full outage when every request retries if `allow_retry`
/// permits it.
fn attempts_per_request(requests: u64, mut allow_retry: impl FnMut() -> bool) -> f64 {
    let retries = (0..requests).filter(|_| allow_retry()).count();
    (requests + retries as u64) as f64 / requests as f64
}

// A limit per request instead of a budget multiplies the load when every request fails.
#[test]
fn retries_stay_below_budget_share() {
    fn property(requests: u16, ppm: u32) -> TestResult {
        let share = Percent::from_ppm(ppm % 500_000);
        if requests == 0 || share == Percent::ZERO {
            return TestResult::discard();
        }
        let mut budget = retry::Budget::default();
        let attempts = attempts_per_request(u64::from(requests), || {
            budget.deposit(share);
            budget.try_take()
        });
        TestResult::from_bool(attempts < 1.0 + share.as_f64())
    }
    crate::property::check(property as fn(u16, u32) -> TestResult);
}

// Retries during a full outage add load that delays the recovery.
#[test]
fn full_outage_adds_less_than_ten_percent_attempts() {
    let mut simulation = Simulation::new(1, 9, Span::from_secs(1), &view(1, 5, [34, 33, 33], ""));
    (0..3).for_each(|region| simulation.set_dead(region, true));
    let engine = simulation.engines.remove(0);
    let (mut requests, mut attempts) = (0, 0);
    for step in 0..5_000 {
        let now = Instant::START + Span::from_millis(step * 5);
        engine.tick(now);
        let Ok(attempt) = start_attempt(&engine, &[], now) else {
            continue;
        };
        requests += 1;
        attempts += 1;
        let target = attempt.target().clone();
        attempt.finish(Completion::ConnectFailed, now);
        if engine.take_retry(&service(), now)
            && let Ok(attempt) = start_attempt(&engine, &[target], now)
        {
            attempts += 1;
            attempt.finish(Completion::ConnectFailed, now);
        }
    }
    println!("{attempts} attempts for {requests} requests");
    assert!(f64::from(attempts) < 1.1 * f64::from(requests));
    assert!(
        attempts_per_request(100, || true) >= 1.1,
        "the check detects retries without a budget"
    );
}

/// Returns how many of 2,000 requests start on a target after a successful request and then the
/// probe result `observed`. With `success_after`, another request succeeds after the probe.
fn starts_after_probe(observed: observation::Observation, success_after: bool) -> usize {
    let engine = engine(0, 7, 1);
    let probed = target("t0-1");
    engine.configure(&view(1, 4, [34, 33, 33], ""), secs(0));
    engine.record_probe(&service(), &probed, healthy(0), secs(0));
    succeed_on(&engine, &probed, secs(1));
    engine.record_probe(&service(), &probed, observed, secs(2));
    if success_after {
        succeed_on(&engine, &probed, secs(2));
    }
    starts_on(&engine, &probed, secs(2))
}

/// Completes one request on `target` successfully.
fn succeed_on(engine: &Engine, target: &id::Target, now: Instant) {
    for _ in 0..2_000 {
        match start_attempt(engine, &[], now) {
            Ok(attempt) if attempt.target() == target => return attempt.finish(SUCCEEDED, now),
            _ => {}
        }
    }
}

// A refused connection proves that nothing listens, so the target must get no request even if one
// succeeded shortly before.
#[test]
fn target_with_refused_probe_gets_no_request() {
    let refused = observation::Observation {
        refused: true,
        ..Default::default()
    };
    assert_eq!(starts_after_probe(refused, false), 0);
    // A probe that fails in another way may be a false report, and a request succeeded recently.
    assert!(starts_after_probe(observation::Observation::default(), false) > 0);
}
