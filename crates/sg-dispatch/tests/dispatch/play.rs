//! Simulation of one group of slots under load, with callers that retry once.

use std::{cmp::Reverse, collections::BinaryHeap};

use sg_dispatch::Bid;
use sg_types::prelude::*;

/// Worth of a late response, as a part of that of one within the objective.
const LATE_WORTH: f64 = 0.2;
/// Fraction of the time left for which a caller honours a pause.
const HONOURED: f64 = 1.0 / 3.0;
const PERIOD_SECONDS: f64 = 36.0;
const SWING: f64 = 0.55;

/// One kind of requests, each a route of its own. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub per_second: f64,
    pub work: f64,
    pub objective: f64,
    pub time: f64,
    pub priority: u32,
    /// Worth of a request to its caller, which no policy knows.
    pub worth: f64,
    /// Fraction of requests that take seven times the expected work.
    pub tail: f64,
    /// Whether the work is known; the estimate is twice the objective if not.
    pub is_known: bool,
}

/// A load on one group.
#[derive(Debug, Clone)]
pub struct Load {
    pub kinds: Vec<Kind>,
    pub slots: usize,
    pub seconds: f64,
    /// Objects of each kind, of which the group keeps `warm` in all.
    pub objects: usize,
    pub warm: usize,
    /// Time from which the first account asks for six times its usual.
    pub hot_from: Option<f64>,
    /// Time from which work takes half as long again, unnoticed by the estimates.
    pub slow_from: Option<f64>,
    /// Time from which half of the slots are gone.
    pub halved_from: Option<f64>,
    /// Part of its pause after which a caller comes back.
    pub pause_factor: f64,
    pub seed: u64,
}

/// Decides about the requests of a load.
pub trait Policy {
    fn set_slots(&mut self, slots: usize);
    /// Offers a request; rejected requests are returned with their pause.
    fn offer(&mut self, bid: Bid, request: usize, now: Instant) -> Vec<(usize, Span)>;
    fn take_next(&mut self, now: Instant) -> Option<usize>;
    fn expire(&mut self, now: Instant) -> Vec<(usize, Span)>;
}

#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub kind: usize,
    pub account: usize,
    object: usize,
    pub arrived: f64,
    retried: bool,
    /// Work relative to the usual work of its kind.
    size: f64,
    /// Time of the response, if any.
    pub response: Option<f64>,
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    pub asked: f64,
    pub served: f64,
    pub worth: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Ask(usize),
    Done(usize),
    Tick,
}

/// Deterministic random numbers in 0..1.
pub struct Random(pub u64);

impl Random {
    pub fn unit(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

struct World<'a> {
    load: &'a Load,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    requests: Vec<Request>,
    warm: IndexSet<(usize, usize)>,
    busy: usize,
    random: Random,
}

pub fn at(seconds: f64) -> Instant {
    Instant::START + span(seconds)
}

pub fn span(seconds: f64) -> Span {
    Span::from_secs(1).mul_f64(seconds)
}

impl World<'_> {
    fn push(&mut self, seconds: f64, event: Event) {
        self.events.push(Reverse((at(seconds).as_nanos(), event)));
    }

    fn schedule_arrival(&mut self, kind: usize, now: f64) {
        let phase = now / PERIOD_SECONDS * std::f64::consts::TAU;
        let per_second = self.load.kinds[kind].per_second * (1.0 + SWING * phase.sin());
        let hot = self.load.hot_from.is_some_and(|from| now >= from);
        // One of six accounts asks for six times its usual.
        let factor = if hot { 11.0 / 6.0 } else { 1.0 };
        let wait = -(1.0 - self.random.unit()).ln() / (per_second * factor);
        self.push(now + wait, Event::Arrival(kind));
    }

    fn arrive(&mut self, kind: usize, now: f64) -> usize {
        let is_hot = self.load.hot_from.is_some_and(|from| now >= from);
        let accounts = if is_hot { 11.0 } else { 6.0 };
        let account = (self.random.unit() * accounts) as usize;
        let object = (self.random.unit().powi(2) * self.load.objects as f64) as usize;
        let is_tail = self.random.unit() < self.load.kinds[kind].tail;
        let size = if is_tail {
            7.0
        } else {
            0.5 + self.random.unit()
        };
        self.requests.push(Request {
            kind,
            account: account % 6 * usize::from(account < 6),
            object,
            arrived: now,
            retried: false,
            size,
            response: None,
        });
        self.requests.len() - 1
    }

    fn bid(&self, request: usize, now: f64) -> Bid {
        let request = &self.requests[request];
        let kind = &self.load.kinds[request.kind];
        let is_warm = self.warm.contains(&(request.kind, request.object));
        let work = kind.work * if is_warm { 0.3 } else { 1.0 };
        let age = now - request.arrived;
        Bid {
            priority: kind.priority,
            objective_left: span(kind.objective - age),
            deadline_left: span(kind.time - age),
            work: span(if kind.is_known {
                work
            } else {
                2.0 * kind.objective
            }),
            waited: Span::ZERO,
            account: id::Account::new(format!("account-{}", request.account)).ok(),
            route: id::Route::new(kind.name).expect("valid name"),
        }
    }

    fn start(&mut self, index: usize, now: f64) {
        let request = self.requests[index];
        let object = (request.kind, request.object);
        let is_warm = self.warm.shift_remove(&object);
        self.warm.insert(object);
        if self.warm.len() > self.load.warm {
            self.warm.shift_remove_index(0);
        }
        let pace = match self.load.slow_from {
            Some(from) if now >= from => 1.5,
            _ => 1.0,
        };
        let work = self.load.kinds[request.kind].work * request.size * pace;
        self.busy += 1;
        self.push(
            now + work * if is_warm { 0.3 } else { 1.0 },
            Event::Done(index),
        );
    }

    fn reject(&mut self, rejected: Vec<(usize, Span)>, now: f64) {
        for (index, pause) in rejected {
            let request = &mut self.requests[index];
            let left = self.load.kinds[request.kind].time - (now - request.arrived);
            if !std::mem::replace(&mut request.retried, true) && left > 0.0 {
                let pause = pause.as_secs_f64().min(left * HONOURED) * self.load.pause_factor;
                self.push(now + pause + 0.01, Event::Ask(index));
            }
        }
    }

    fn slots(&self, now: f64) -> usize {
        match self.load.halved_from {
            Some(from) if now >= from => self.load.slots / 2,
            _ => self.load.slots,
        }
    }
}

/// Plays `load` against `policy` and returns all requests.
pub fn play(load: &Load, policy: &mut impl Policy) -> Vec<Request> {
    let mut world = World {
        load,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        warm: IndexSet::new(),
        busy: 0,
        random: Random(load.seed),
    };
    (0..load.kinds.len()).for_each(|kind| world.schedule_arrival(kind, 0.0));
    world.push(0.0, Event::Tick);
    while let Some(Reverse((nanos, event))) = world.events.pop() {
        let now = Instant::from_nanos(nanos).as_nanos() as f64 / 1e9;
        match event {
            Event::Arrival(kind) if now < load.seconds => {
                world.schedule_arrival(kind, now);
                let index = world.arrive(kind, now);
                world.push(now, Event::Ask(index));
            }
            Event::Arrival(_) => {}
            Event::Ask(index) => {
                let rejected = policy.offer(world.bid(index, now), index, at(now));
                world.reject(rejected, now);
            }
            Event::Done(index) => {
                world.busy -= 1;
                world.requests[index].response = Some(now);
            }
            Event::Tick => {
                policy.set_slots(world.slots(now));
                let rejected = policy.expire(at(now));
                world.reject(rejected, now);
                if now < load.seconds + 30.0 {
                    world.push(now + 0.05, Event::Tick);
                }
            }
        }
        while world.busy < world.slots(now)
            && let Some(index) = policy.take_next(at(now))
        {
            world.start(index, now);
        }
    }
    world.requests
}

/// Returns what the callers of the requests that `is_counted` got. A caller that waited longer than its
/// time got nothing.
pub fn share(load: &Load, requests: &[Request], is_counted: impl Fn(&Request) -> bool) -> Share {
    let mut share = Share::default();
    for request in requests.iter().filter(|request| is_counted(request)) {
        let kind = &load.kinds[request.kind];
        share.asked += 1.0;
        let elapsed = request.response.map(|response| response - request.arrived);
        if elapsed.is_some_and(|elapsed| elapsed <= kind.time) {
            let is_late = elapsed.is_some_and(|elapsed| elapsed > kind.objective);
            share.served += 1.0;
            share.worth += if is_late { LATE_WORTH } else { 1.0 };
        }
    }
    share.served /= share.asked.max(1.0);
    share.worth /= share.asked.max(1.0);
    share
}
