//! Choices by the pace that targets report of their machines.

use quickcheck::quickcheck;
use sg_place::{
    Pool,
    hash::Object,
    member::{LoadReport, Member},
    pace::{Pace, Persistence, Sample},
    pool::Query,
};
use sg_types::prelude::*;

use crate::{NO_SURGE, at, location, target};

fn sample(percent: u32, millis: u64) -> Sample {
    Sample {
        pace: Pace::from_percent(percent),
        at: at(millis),
    }
}

/// Returns what is observed of machines that turn slow for 600 ms every 3 s, with a report each `every`.
fn observed(every: u64) -> Persistence {
    let mut persistence = Persistence::default();
    let pace = |millis: u64| if millis % 3_000 < 600 { 300 } else { 100 };
    let times = (0..300_000).step_by(every as usize);
    for millis in times {
        let later = millis + every;
        persistence.record(sample(pace(millis), millis), sample(pace(later), later));
    }
    persistence
}

fn report(pace: Option<u32>) -> LoadReport {
    LoadReport {
        running: 0,
        waiting: 0,
        slots: 4,
        pace: pace.map(Pace::from_percent),
    }
}

/// Reports that lie farther apart than a pace lasts must not make a pace count as lasting.
#[test]
fn persistence_is_learned_from_reports_that_are_close_enough() {
    let close = observed(97).seconds();
    assert!((0.3..1.2).contains(&close), "{close}");
    assert!(observed(1_700).seconds() < 0.3);
    assert_eq!(Persistence::default().seconds(), 0.0);
}

/// A fresh pace slows short work wholly and long work in part; a stale one says nothing.
#[test]
fn pace_counts_by_its_age_and_the_length_of_the_work() {
    let persistence = observed(97);
    let slowed = |work: f64, wait: f64, now: u64| {
        let seconds = persistence.expected_seconds(Some(sample(300, 0)), work, wait, at(now));
        seconds / work
    };
    assert!(slowed(0.01, 0.0, 0) > 2.8);
    assert!((1.05..1.5).contains(&slowed(4.0, 0.0, 0)));
    assert!(slowed(0.01, 0.0, 300) < slowed(0.01, 0.0, 100));
    assert!(slowed(0.01, 0.3, 0) < slowed(0.01, 0.1, 0));
    assert_eq!(slowed(0.01, 0.0, 10_000), 1.0);
    // Differences below those of the work itself do not count.
    let near = persistence.expected_seconds(Some(sample(120, 0)), 1.0, 0.0, at(0));
    assert_eq!(near, 1.0);
}

/// A target must not count as slow for a pace that its machine explains.
#[test]
fn work_at_a_slow_pace_is_no_sign_of_a_slow_target() {
    let slowness = |pace: Option<u32>| {
        let mut member = Member::new(target("t0", "west", 4), at(0));
        for millis in [0, 100, 200, 300] {
            member.record_report(report(pace), at(millis));
            member.record_speed(0.3, 0.1, at(millis));
        }
        member.slowness(at(300))
    };
    assert!(slowness(None) > 2.9);
    assert!(slowness(Some(100)) > 2.9);
    assert_eq!(slowness(Some(300)), 1.0);
}

fn chosen(paces: [Option<u32>; 3], now: u64) -> id::Target {
    let mut pool = Pool::default();
    for (index, pace) in paces.into_iter().enumerate() {
        let target = target(&format!("t{index}"), "west", 4);
        let id = target.id.clone();
        pool.upsert_target(target, at(0));
        // The slow pace held between two reports.
        pool.record_report(&id, report(pace), at(0));
        pool.record_report(&id, report(pace), at(100));
    }
    let query = Query {
        object: None,
        placement_key: Object::new("request", 1),
        may_leave_region: false,
        warm_work_seconds: 0.1,
        cold_work_seconds: 0.1,
        cold_fraction: 0.0,
        typical_work_seconds: 0.1,
        tried: &[],
        home_regions: &[],
        account_home_regions: &[],
        cold_rate: 0.0,
        remaining_seconds: 2.0,
        shift_limiter: &NO_SURGE,
        now: at(now),
    };
    let choice = pool.choose(&query, &location("west"), &IndexSet::new());
    choice.expect("a target").target.id
}

/// An instance that decides alone avoids a machine that is slow at the moment.
#[test]
fn instances_avoid_a_machine_that_is_slow_now() {
    let usual = chosen([None; 3], 100);
    assert_eq!(chosen([Some(100); 3], 100), usual);
    assert_eq!(chosen([Some(120), Some(90), Some(100)], 100), usual);
    let index: usize = usual.as_str()[1..].parse().expect("a number");
    let mut paces = [Some(100); 3];
    paces[index] = Some(300);
    assert_ne!(chosen(paces, 100), usual);
}

quickcheck! {
    /// All times multiplied by a factor give the same persistence and expected times, multiplied.
    fn the_scale_of_times_does_not_matter(reports: Vec<(u16, u8)>, work: u16, factor: u8) -> bool {
        let factor = u64::from(factor) + 2;
        let learned = |scale: u64| {
            let (mut persistence, mut last, mut millis) = (Persistence::default(), None, 0);
            for (gap, percent) in &reports {
                millis += u64::from(*gap);
                let next = sample(u32::from(*percent) * 4, millis * scale);
                if let Some(last) = last.replace(next) {
                    persistence.record(last, next);
                }
            }
            let work_seconds = f64::from(work) / 1e3 * scale as f64;
            let now = at((millis + 50) * scale);
            persistence.expected_seconds(last, work_seconds, 0.0, now) / scale as f64
        };
        let (plain, scaled) = (learned(1), learned(factor));
        (plain - scaled).abs() <= plain * 1e-6
    }
}
