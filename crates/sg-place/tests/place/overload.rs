//! Simulates many instances that together send far more requests to a few targets than these can
//! run. Without a limit on the requests in flight, most requests would end after their callers have
//! left.

use sg_place::{
    Pool,
    hash::Object,
    member::{LoadReport, TargetOutcome},
    pool::Query,
};
use sg_types::prelude::*;

use crate::{at, location, target};

const INSTANCES: usize = 7;
const TARGETS: usize = 2;
const SLOTS: usize = 6;
const WORK_MILLIS: u64 = 260;
/// Capacity of a target's queue.
const MAX_WAITING: usize = 24;
/// One-way trip time to the targets.
const TRIP_MILLIS: u64 = 35;
/// How long a caller waits for a response.
const TIMEOUT_MILLIS: u64 = 800;
const REQUESTS_PER_SECOND: u64 = 450;
const SECONDS: u64 = 20;

#[derive(Default)]
struct SimulatedTarget {
    /// Send times of the requests that run.
    running: Vec<u64>,
    /// Instances and send times of the requests that wait.
    waiting: Vec<(usize, u64)>,
}

impl SimulatedTarget {
    fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            pace: None,
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    sent: u32,
    shed: u32,
    in_time: u32,
    late: u32,
}

#[derive(Clone, Copy)]
enum Event {
    /// A request arrives at a target. The fields are the instance, the target and the send time.
    Arrives(usize, usize, u64),
    /// A request ends at a target. The fields are those of `Arrives`.
    Ends(usize, usize, u64),
    /// An instance receives a response from a target, or the caller's timeout passes.
    Responds(usize, usize, TargetOutcome, Option<LoadReport>),
}

struct Simulation {
    pools: Vec<Pool>,
    targets: Vec<SimulatedTarget>,
    events: std::collections::BTreeMap<(u64, u64), Event>,
    count: u64,
    totals: Totals,
}

impl Simulation {
    fn new() -> Self {
        let mut pool = Pool::default();
        for index in 0..TARGETS {
            pool.upsert_target(target(&format!("t{index}"), "west", SLOTS as u32), at(0));
        }
        Self {
            pools: vec![pool; INSTANCES],
            targets: (0..TARGETS).map(|_| SimulatedTarget::default()).collect(),
            events: std::collections::BTreeMap::new(),
            count: 0,
            totals: Totals::default(),
        }
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.count += 1;
        self.events.insert((millis, self.count), event);
    }

    fn send(&mut self, index: u64, now: u64) {
        let from = (index % INSTANCES as u64) as usize;
        let object = Object::new("route", index.wrapping_mul(2_654_435_761) % 20);
        let query = Query {
            object: Some(object),
            placement_key: object,
            may_leave_region: false,
            warm_work_seconds: WORK_MILLIS as f64 / 1e3,
            cold_work_seconds: WORK_MILLIS as f64 / 1e3,
            cold_fraction: 0.1,
            typical_work_seconds: 0.3,
            tried: &[],
            home_regions: &[],
            account_home_regions: &[],
            cold_rate: 0.0,
            remaining_seconds: TIMEOUT_MILLIS as f64 / 1e3,
            shift_limiter: &crate::NO_SURGE,
            now: at(now),
        };
        let pool = &mut self.pools[from];
        let Ok(choice) = pool.choose(&query, &location("west"), &IndexSet::new()) else {
            return;
        };
        pool.record_send(&choice.target.id, Some(object), at(now));
        self.totals.sent += 1;
        let target = usize::from(choice.target.id.as_str() == "t1");
        self.schedule(now + TRIP_MILLIS, Event::Arrives(from, target, now));
        self.schedule(
            now + TIMEOUT_MILLIS,
            Event::Responds(from, target, TargetOutcome::Late, None),
        );
    }

    fn start(&mut self, target: usize, from: usize, sent: u64, now: u64) {
        self.targets[target].running.push(sent);
        self.schedule(now + WORK_MILLIS, Event::Ends(from, target, sent));
    }

    /// Removes the timeout event of a request and returns whether it was still pending.
    fn cancel_timeout(&mut self, from: usize, target: usize, sent: u64) -> bool {
        let timeout_keys = (sent + TIMEOUT_MILLIS, 0)..(sent + TIMEOUT_MILLIS + 1, 0);
        let found = self
            .events
            .range(timeout_keys)
            .find_map(|(key, event)| match event {
                Event::Responds(f, t, TargetOutcome::Late, _) if (*f, *t) == (from, target) => {
                    Some(*key)
                }
                _ => None,
            });
        found.is_some_and(|key| self.events.remove(&key).is_some())
    }

    fn run(mut self) -> Totals {
        for index in 0..REQUESTS_PER_SECOND * SECONDS {
            let now = index * 1_000 / REQUESTS_PER_SECOND;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                let ((time, _), event) = entry.remove_entry();
                self.handle(event, time);
            }
            self.send(index, now);
        }
        self.totals
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrives(from, target, sent) => {
                if self.targets[target].running.len() < SLOTS {
                    self.start(target, from, sent, now);
                } else if self.targets[target].waiting.len() < MAX_WAITING {
                    self.targets[target].waiting.push((from, sent));
                } else if self.cancel_timeout(from, target, sent) {
                    self.totals.shed += 1;
                    let report = self.targets[target].report();
                    let response = Event::Responds(from, target, TargetOutcome::Shed, Some(report));
                    self.schedule(now + TRIP_MILLIS, response);
                }
            }
            Event::Ends(from, target, sent) => {
                let simulated = &mut self.targets[target];
                simulated.running.pop();
                // Requests whose callers have left are skipped.
                while let Some((waiter, waiter_sent)) =
                    (!simulated.waiting.is_empty()).then(|| simulated.waiting.remove(0))
                {
                    if waiter_sent + TIMEOUT_MILLIS > now {
                        self.start(target, waiter, waiter_sent, now);
                        break;
                    }
                }
                let report = self.targets[target].report();
                if now + TRIP_MILLIS < sent + TIMEOUT_MILLIS
                    && self.cancel_timeout(from, target, sent)
                {
                    self.totals.in_time += 1;
                    let response =
                        Event::Responds(from, target, TargetOutcome::Answered, Some(report));
                    self.schedule(now + TRIP_MILLIS, response);
                }
            }
            Event::Responds(from, target, outcome, report) => {
                let id = format!("t{target}").parse().expect("a name");
                self.totals.late += u32::from(outcome == TargetOutcome::Late);
                if let Some(report) = report {
                    self.pools[from].record_report(&id, report, at(now));
                }
                self.pools[from].record_end(&id, outcome, INSTANCES, at(now));
            }
        }
    }
}

#[test]
fn targets_overloaded_by_many_instances_use_most_of_their_capacity() {
    let totals = Simulation::new().run();
    let capacity = SECONDS * 1_000 / WORK_MILLIS * (TARGETS * SLOTS) as u64;
    assert!(
        f64::from(totals.in_time) >= 0.7 * capacity as f64,
        "{totals:?} of {capacity}"
    );
    // An instance learns that a request is late only when the caller's whole timeout has passed.
    assert!(totals.late * 2 <= totals.in_time, "{totals:?}");
    assert!(totals.shed * 5 <= totals.sent, "{totals:?}");
}
