//! Simulates load surges in a small region that sends part of its requests to another region. Such
//! a surge fills the small region, and without the shift limiter too many requests would shift at
//! once.

use sg_place::{
    Pool,
    hash::Object,
    member::{LoadReport, TargetOutcome},
    plan::{RegionLoad, plan_for},
    pool::Query,
    shift_limit::ShiftLimiter,
};
use sg_types::prelude::*;

use crate::{at, location, target};

/// Maximum part of a region's requests that may change their region from one window to the next.
const CAP: f64 = 0.15;
const WINDOW_MILLIS: u64 = 2_000;
const SLOTS: u32 = 9;
/// Interval at which the plan changes, and the largest part of the requests that one change moves.
const PLAN_INTERVAL_MILLIS: u64 = 200;
const MAX_PLAN_STEP: f64 = 0.0095;
const WORK_MILLIS: u64 = 260;
/// Maximum number of requests that a target runs or queues.
const MAX_PER_TARGET: usize = 36;

fn region(name: &str, demand: f64, slots: f64) -> RegionLoad {
    RegionLoad {
        name: name.parse().expect("a name"),
        demand,
        bound: 0.0,
        slots,
    }
}

/// Returns the part of the requests that ran in the home region, for each window. `per_second`
/// returns, for a time in milliseconds, the number of requests a second and the percentage of them
/// from an account that may only run in the region `account_home`. The targets `banned` are excluded,
/// which lifts the shift limiter.
fn home_shares(
    per_second: impl Fn(u64) -> (u64, u64),
    account_home: &str,
    banned: &[&str],
    windows: u64,
) -> Vec<f64> {
    let home: id::Region = "west".parse().expect("a name");
    let account_home_regions: [id::Region; 1] = [account_home.parse().expect("a name")];
    let mut pool = Pool::default();
    let mut shift_limiter = ShiftLimiter::default();
    for (name, region) in (0..2)
        .map(|i| (format!("w{i}"), "west"))
        .chain((0..12).map(|i| (format!("e{i}"), "east")))
    {
        pool.upsert_target(target(&name, region, SLOTS), at(0));
    }
    for name in banned {
        let member = pool.member_mut(&name.parse().expect("a name"));
        member.expect("a target").ban(at(0));
    }
    let plan = |pool: &Pool, now| {
        let slots = |name: &str, slots| match pool.is_scarce(&name.parse().expect("a name"), now) {
            true => 0.0,
            false => slots,
        };
        let west = region("west", 30.0, slots("west", 18.0));
        plan_for(&[west, region("east", 30.0, slots("east", 108.0))], &home)
    };
    pool.set_plan(plan(&pool, at(0)));
    let mut in_flight: IndexMap<id::Target, Vec<u64>> = IndexMap::new();
    let mut ran = vec![(0.0, 0.0); windows as usize];
    let mut index = 0u64;
    let mut next = 0u64;
    for now in 0..windows * WINDOW_MILLIS {
        if now.is_multiple_of(PLAN_INTERVAL_MILLIS) {
            let next = plan(&pool, at(now));
            let step = pool.plan().step_toward(&next, MAX_PLAN_STEP);
            pool.set_plan(step);
        }
        for (target, ends) in &mut in_flight {
            let before = ends.len();
            ends.retain(|end| *end > now);
            for _ in ends.len()..before {
                pool.record_end(target, TargetOutcome::Answered, 1, at(now));
            }
        }
        while next <= now * 1_000 {
            let (all, restricted_percent) = per_second(now);
            next += 1_000_000 / all;
            index += 1;
            let is_restricted = index.wrapping_mul(37) % 100 < restricted_percent;
            let object = Object::new("route", index.wrapping_mul(2_654_435_761) % 80);
            let query = Query {
                object: Some(object),
                placement_key: object,
                may_leave_region: false,
                warm_work_seconds: WORK_MILLIS as f64 / 1e3,
                cold_work_seconds: 0.88,
                cold_fraction: 0.1,
                typical_work_seconds: 0.3,
                tried: &[],
                home_regions: &[],
                account_home_regions: if is_restricted {
                    &account_home_regions
                } else {
                    &[]
                },
                cold_rate: 0.0,
                remaining_seconds: 1.0,
                shift_limiter: &shift_limiter,
                now: at(now),
            };
            let choice = pool.choose(&query, &location("west"), &IndexSet::new());
            let Ok(choice) = choice else {
                shift_limiter.record_refusal(at(now));
                if is_restricted {
                    pool.record_restricted_refusal(&account_home_regions, at(now));
                }
                continue;
            };
            let region = &choice.target.region;
            shift_limiter.record(region, choice.expected_start(), at(now));
            let ends = in_flight.entry(choice.target.id.clone()).or_default();
            if ends.len() >= MAX_PER_TARGET {
                shift_limiter.retract(region, choice.expected_start(), at(now));
                shift_limiter.record_refusal(at(now));
                if is_restricted {
                    pool.record_restricted_refusal(&account_home_regions, at(now));
                }
                continue;
            }
            ends.sort_unstable();
            let waits = ends.len() >= SLOTS as usize;
            let start = if waits {
                ends[ends.len() - SLOTS as usize]
            } else {
                now
            };
            ends.push(start + WORK_MILLIS);
            pool.record_send(&choice.target.id, Some(object), at(now));
            let running = ends.len().min(SLOTS as usize) as u32;
            let report = LoadReport {
                running,
                waiting: ends.len() as u32 - running,
                slots: SLOTS,
                pace: None,
            };
            pool.record_report(&choice.target.id, report, at(now));
            if let Some(window) = ran.get_mut((start / WINDOW_MILLIS) as usize) {
                let at_home = choice.target.region == home;
                window.0 += f64::from(u8::from(at_home));
                window.1 += 1.0;
            }
        }
    }
    ran.into_iter().map(|(home, all)| home / all).collect()
}

fn largest_change(shares: &[f64]) -> f64 {
    let changes = shares.windows(2).map(|pair| (pair[1] - pair[0]).abs());
    changes.fold(0.0, f64::max)
}

#[test]
fn a_steady_load_stays_in_its_regions() {
    let shares = home_shares(|_| (115, 0), "east", &[], 6);
    assert!(largest_change(&shares) <= CAP, "{shares:?}");
}

#[test]
fn a_sudden_surge_shifts_no_more_than_the_cap() {
    let load = |now| if now < 3 * WINDOW_MILLIS { 115 } else { 400 };
    let shares = home_shares(|now| (load(now), 0), "east", &[], 6);
    assert!(largest_change(&shares) <= CAP, "{shares:?}");
}

#[test]
fn surge_of_an_account_restricted_to_another_region_shifts_no_more_than_the_cap() {
    let load = |now| match now {
        now if now < 3 * WINDOW_MILLIS => (80, 30),
        _ => (250, 75),
    };
    let shares = home_shares(load, "east", &[], 6);
    assert!(largest_change(&shares) <= CAP, "{shares:?}");
}

/// Requests that may run anywhere leave the region's room to an account that may run nowhere else, no
/// faster than the cap.
#[test]
fn scarce_room_is_left_to_a_restricted_account_no_faster_than_the_cap() {
    let load = |now| match now {
        now if now < 3 * WINDOW_MILLIS => (60, 30),
        _ => (190, 30),
    };
    let shares = home_shares(load, "west", &["e0"], 12);
    assert!(largest_change(&shares) <= CAP, "{shares:?}");
}
