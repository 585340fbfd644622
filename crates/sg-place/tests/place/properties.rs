//! Decisions do not depend on the scale of a deployment's times and sizes, or on its names.

use quickcheck::quickcheck;
use sg_place::{
    Pool, Target,
    hash::Object,
    location::{Location, RoundTrips},
    member::LoadReport,
    plan::{RegionLoad, plan_for},
    pool::Query,
};
use sg_types::prelude::*;

use crate::{NO_SURGE, at};

/// Times of a workload, in seconds.
#[derive(Debug, Clone, Copy)]
struct Times {
    warm: f64,
    cold: f64,
    typical: f64,
    remaining: f64,
    round_trips: [f64; 3],
}

impl Times {
    fn scaled(self, factor: f64) -> Self {
        Self {
            warm: self.warm * factor,
            cold: self.cold * factor,
            typical: self.typical * factor,
            remaining: self.remaining * factor,
            round_trips: self.round_trips.map(|seconds| seconds * factor),
        }
    }
}

/// Names of a deployment's three regions.
type Names = [&'static str; 3];

fn location(names: Names, times: &Times) -> Location {
    let instance: id::Instance = "front-1".parse().expect("a name");
    let [domain, region, remote] = times.round_trips;
    Location {
        domain: format!("{}-0", names[0]).parse().expect("a name"),
        region: names[0].parse().expect("a name"),
        instances: Arc::from([instance.clone()]),
        instance,
        instance_regions: IndexMap::new(),
        round_trips: RoundTrips::assumed(domain, region, remote),
    }
}

/// Returns targets in two domains of each region, with the loads that they report.
fn pool(names: Names, loads: &[(u8, u8)]) -> Pool {
    let mut pool = Pool::default();
    for (index, (running, waiting)) in loads.iter().enumerate() {
        let region = names[index % 3];
        let target = Target {
            id: format!("t{index}").parse().expect("a name"),
            service: "portal".parse().expect("a name"),
            address: "127.0.0.1:80".parse().expect("an address"),
            domain: format!("{region}-{}", index % 2).parse().expect("a name"),
            region: region.parse().expect("a name"),
            slots: 8,
            draining: false,
            started_at_millis: 1,
            sequence: 1,
            cold_for: Span::ZERO,
        };
        let report = LoadReport {
            running: u32::from(running % 9),
            waiting: u32::from(waiting % 20),
            slots: 8,
            pace: None,
        };
        let id = target.id.clone();
        pool.upsert_target(target, at(0));
        pool.record_report(&id, report, at(0));
    }
    pool
}

/// Returns the choices for 40 objects, and the expected times as multiples of the warm work.
fn choices(names: Names, loads: &[(u8, u8)], times: &Times) -> Vec<Option<(id::Target, i64)>> {
    let pool = pool(names, loads);
    let location = location(names, times);
    let choose = |index: u64| {
        let object = Object::new("route", index);
        let query = Query {
            object: Some(object),
            placement_key: object,
            may_leave_region: true,
            warm_work_seconds: times.warm,
            cold_work_seconds: times.cold,
            cold_fraction: 0.2,
            typical_work_seconds: times.typical,
            tried: &[],
            home_regions: &[],
            account_home_regions: &[],
            cold_rate: 0.0,
            remaining_seconds: times.remaining,
            shift_limiter: &NO_SURGE,
            now: at(0),
        };
        let choice = pool.choose(&query, &location, &IndexSet::new()).ok()?;
        let expected = (choice.expected_seconds / times.warm * 1e6).round() as i64;
        Some((choice.target.id, expected))
    };
    (0..40).map(choose).collect()
}

fn times(work: u16, saved: u16, trip: u16, remaining: u16) -> Times {
    let warm = (f64::from(work) + 1.0) / 1e3;
    let trip = f64::from(trip % 200) / 1e3;
    Times {
        warm,
        cold: warm + f64::from(saved) / 1e3,
        typical: warm * 1.5,
        remaining: warm + f64::from(remaining) / 1e3,
        round_trips: [trip / 64.0, trip / 16.0, trip],
    }
}

quickcheck! {
    /// All times of a query multiplied by a factor give the same choice. Powers of two keep the
    /// arithmetic exact.
    fn the_scale_of_times_does_not_matter(
        loads: Vec<(u8, u8)>, work: u16, saved: u16, trip: u16, remaining: u16
    ) -> bool {
        let times = times(work, saved, trip, remaining);
        let names = ["west", "east", "north"];
        let plain = choices(names, &loads, &times);
        [0.0625, 0.5, 8.0]
            .into_iter()
            .all(|factor| choices(names, &loads, &times.scaled(factor)) == plain)
    }

    /// Names of regions and domains do not matter as long as the ranks of the targets stay.
    fn names_of_places_do_not_matter(
        loads: Vec<(u8, u8)>, work: u16, saved: u16, trip: u16, remaining: u16
    ) -> bool {
        let times = times(work, saved, trip, remaining);
        choices(["west", "east", "north"], &loads, &times)
            == choices(["p", "quite-another-place", "z9"], &loads, &times)
    }

    /// As many times the slots and the demand give the same plan.
    fn the_size_of_a_deployment_does_not_matter(loads: Vec<(u8, u8, u8)>, factor: u8) -> bool {
        let factor = f64::from(factor) + 1.0;
        let regions = |factor: f64| -> Vec<RegionLoad> {
            let loads = loads.iter().take(8).enumerate();
            let loads = loads.map(|(index, (demand, bound, slots))| RegionLoad {
                name: format!("r{index}").parse().expect("a name"),
                demand: f64::from(*demand) * factor,
                bound: f64::from(*bound) / 8.0 * factor,
                slots: f64::from(*slots) * factor,
            });
            loads.collect()
        };
        let (one, many) = (regions(1.0), regions(factor));
        one.iter().all(|home| {
            let (plan, scaled) = (plan_for(&one, &home.name), plan_for(&many, &home.name));
            one.iter().all(|region| {
                (plan.weight(&region.name) - scaled.weight(&region.name)).abs() < 1e-6
            })
        })
    }
}
