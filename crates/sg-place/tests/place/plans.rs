//! Tests of the plans that split requests between regions.

use quickcheck::quickcheck;
use sg_place::{
    hash::Object,
    plan::{Filling, Plan, RegionLoad, plan_for, plan_with},
};
use sg_types::prelude::*;

fn region(name: &str, demand: f64, slots: f64) -> RegionLoad {
    RegionLoad {
        name: name.parse().expect("a name"),
        demand,
        bound: 0.0,
        slots,
    }
}

fn name(text: &str) -> id::Region {
    text.parse().expect("a name")
}

#[test]
fn requests_stay_in_their_region_while_it_has_room() {
    let regions = [region("big", 30.0, 100.0), region("small", 5.0, 18.0)];
    for home in ["big", "small"] {
        assert!((plan_for(&regions, &name(home)).weight(&name(home)) - 1.0).abs() < 1e-9);
    }
}

#[test]
fn small_region_sends_its_excess_in_proportion_to_spare_room() {
    let regions = [
        region("a", 30.0, 100.0),
        region("b", 70.0, 100.0),
        region("small", 36.0, 18.0),
    ];
    let plan = plan_for(&regions, &name("small"));
    assert!((plan.weight(&name("small")) - 0.4).abs() < 1e-9);
    // The spare room is 50 and 10 slots.
    let ratio = plan.weight(&name("a")) / plan.weight(&name("b"));
    assert!((ratio - 5.0).abs() < 1e-9);
}

/// Accounts that may run only in a small region take its room first, wherever they call, and the
/// region's other requests leave.
#[test]
fn requests_bound_to_a_region_take_its_room_first() {
    let mut regions = [region("big", 30.0, 100.0), region("small", 10.0, 18.0)];
    let small = name("small");
    assert!((plan_for(&regions, &small).weight(&small) - 1.0).abs() < 1e-9);
    regions[1].bound = 9.4;
    // Of the 14.4 slots that a plan fills, 5 are left.
    assert!((plan_for(&regions, &small).weight(&small) - 0.5).abs() < 1e-9);
    regions[1].bound = 40.0;
    assert!(plan_for(&regions, &small).weight(&small) < 1e-9);
    let big = name("big");
    assert!((plan_for(&regions, &big).weight(&big) - 1.0).abs() < 1e-9);
}

#[test]
fn region_without_targets_sends_all_requests_elsewhere() {
    let regions = [region("a", 30.0, 100.0), region("dark", 20.0, 0.0)];
    let plan = plan_for(&regions, &name("dark"));
    assert!((plan.weight(&name("a")) - 1.0).abs() < 1e-9);
}

quickcheck! {
    fn no_region_is_planned_over_its_room(demands: Vec<u8>, slots: Vec<u8>) -> bool {
        let regions: Vec<RegionLoad> = demands
            .iter()
            .zip(&slots)
            .take(6)
            .enumerate()
            .map(|(i, (d, s))| region(&format!("r{i}"), f64::from(*d), f64::from(*s)))
            .collect();
        let plans: Vec<Plan> = regions.iter().map(|r| plan_for(&regions, &r.name)).collect();
        regions.iter().all(|to| {
            let foreign: f64 = regions
                .iter()
                .zip(&plans)
                .filter(|(from, _)| from.name != to.name && from.slots > 0.0)
                .map(|(from, plan)| from.demand * plan.weight(&to.name))
                .sum();
            foreign <= (to.slots * 0.8 - to.demand).max(0.0) + 1e-6
        })
    }

    fn a_step_never_moves_more_than_its_cap(from: (u8, u8, u8), to: (u8, u8, u8)) -> bool {
        let plan = |(a, b, c): (u8, u8, u8)| {
            let regions = [
                region("a", 1.0, f64::from(a)),
                region("b", 0.0, f64::from(b)),
                region("c", 0.0, f64::from(c)),
            ];
            plan_for(&regions, &name("a"))
        };
        let (old, new) = (plan(from), plan(to));
        if old.shares.is_empty() || new.shares.is_empty() {
            return true;
        }
        let step = old.step_toward(&new, 0.02);
        let total: f64 = step.shares.iter().map(|share| share.weight).sum();
        let moved: f64 = step
            .shares
            .iter()
            .map(|share| (share.weight - old.weight(&share.region)).max(0.0))
            .sum();
        moved <= 0.02 + 1e-9 && (total - 1.0).abs() < 1e-6
    }
}

#[test]
fn a_change_of_weights_moves_only_the_objects_whose_share_changed() {
    let plan = |small: f64| {
        plan_for(
            &[region("a", 10.0, 1_000.0), region("small", 100.0, small)],
            &name("small"),
        )
    };
    let (before, after) = (plan(50.0), plan(62.5));
    let moved_share = after.weight(&name("small")) - before.weight(&name("small"));
    let objects = 4_000u32;
    let moved = (0..objects)
        .map(|i| Object::new("route", i))
        .filter(|object| before.region(*object) != after.region(*object))
        .count();
    let expected = moved_share * f64::from(objects);
    assert!((moved as f64) < expected * 1.3, "{moved} of {expected}");
    assert!((moved as f64) > expected * 0.7, "{moved} of {expected}");
}

#[test]
fn fleet_is_overloaded_beyond_the_room_that_plans_fill() {
    let mut regions = [region("a", 60.0, 100.0), region("small", 30.0, 18.0)];
    assert!(!sg_place::plan::is_overloaded(&regions));
    regions[1].bound = 5.0;
    assert!(sg_place::plan::is_overloaded(&regions));
}

/// Guards against a region with few targets whose requests wait while targets of other regions are idle: the load
/// is a third of the callers at a tenth of the targets.
#[test]
fn leveled_plan_leaves_a_region_that_is_much_fuller_than_the_others() {
    let small = name("small");
    let regions = [region("small", 75.0, 100.0), region("big", 150.0, 500.0)];
    assert!((plan_for(&regions, &small).weight(&small) - 1.0).abs() < 1e-9);
    let leveled = plan_with(&regions, &small, Filling::Leveled);
    // All slots together are used by 0.375, so that half of the way from there to 0.8 is filled.
    assert!((leveled.weight(&small) - 0.5875 / 0.75).abs() < 1e-9);
    let full = [region("small", 100.0, 100.0), region("big", 450.0, 500.0)];
    let (home, leveled) = (
        plan_for(&full, &small),
        plan_with(&full, &small, Filling::Leveled),
    );
    assert_eq!(home, leveled);
}
