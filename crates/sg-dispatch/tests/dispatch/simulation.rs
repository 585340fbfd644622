//! Simulates the instances and the targets of one service in one region.

mod alone;
mod dispatched;

use std::collections::BTreeMap;

use sg_dispatch::{Decision, Group, Ticket, message, room::Bounds};
use sg_place::{
    Pool, Target,
    hash::Object,
    location::{Location, RoundTrips},
    member::{LoadReport, TargetOutcome},
    pace::Pace,
    shift_limit::ShiftLimiter,
    work_estimate::WorkEstimate,
};
use sg_types::prelude::*;

use crate::service::{
    Counts, Policy, SLOW_EVERY_MICROS, SLOW_MICROS, Server, Service, TAIL_FACTOR, Totals,
    WARM_FRACTION,
};

/// One-way time between two machines of the region.
const TRIP_MICROS: u64 = 1_000;
/// Period of the arrivals, and how far they vary around their mean.
const PERIOD_MICROS: f64 = 36e6;
const VARIATION: f64 = 0.55;
/// Requests that wait at a target at most, per slot.
const QUEUE_PER_SLOT: usize = 1;
const OBJECTS_PER_TARGET: usize = 10;
const POPULARITY_EXPONENT: f64 = 0.8;
const TICK_MICROS: u64 = 50_000;
const BEACON_MICROS: u64 = 250_000;

/// Slots that were used last, of which each instance tells a new dispatcher.
const TOLD: usize = 32;
const BOUNDS: Bounds = Bounds {
    requests: 4_096,
    bytes: Bytes::new(4 << 20),
    time: Span::from_secs(20),
};

#[derive(Clone)]
struct Request {
    kind: usize,
    object: u64,
    instance: usize,
    arrived: u64,
    sent: u64,
    started: u64,
    target: usize,
    is_retry: bool,
    tried: Vec<id::Target>,
    /// Whether the deciding party believed the object warm, and the target to be its home.
    is_warm: bool,
    is_home: bool,
    is_granted: bool,
    is_tail: bool,
    /// Whether an ask awaits its grant or rejection.
    is_asking: bool,
    /// Whether a granted slot is in use.
    is_running: bool,
}

enum Event {
    Arrive(usize),
    Ask(usize),
    /// An ask at a new dispatcher, unless the old one has answered.
    AskAgain(usize),
    Decided(Decision),
    Reach(usize),
    Done(usize),
    Respond(usize, message::Outcome, LoadReport),
    End(usize, message::End),
    Tick,
    Beacon,
    /// Another instance takes over as the dispatcher.
    Replace,
}

pub struct Simulation {
    service: Service,
    policy: Policy,
    group: Group,
    pools: Vec<Pool>,
    locations: Vec<Location>,
    work: Vec<Vec<WorkEstimate>>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    popularity: Vec<f64>,
    random: u64,
    limiter: ShiftLimiter,
    totals: Totals,
    /// Time that the dispatcher's decisions took.
    decision_time: std::time::Duration,
    /// Fraction of the ends of leases that get lost.
    pub lost_ends: f64,
    /// Times at which the dispatcher dies and is replaced, in seconds.
    pub replaced_at: Vec<u64>,
}

fn at(micros: u64) -> Instant {
    Instant::START + Span::from_micros(micros)
}

fn span(seconds: f64) -> Span {
    Span::from_secs(1).mul_f64(seconds.max(0.0))
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn target(index: usize, slots: usize) -> Target {
    Target {
        id: name(&format!("t{index}")),
        service: name("portal"),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: name("west-a"),
        region: name("west"),
        slots: slots as u32,
        draining: false,
        started_at_millis: 1,
        sequence: 1,
        cold_for: Span::ZERO,
    }
}

fn location(index: usize, instances: usize) -> Location {
    let names = (0..instances).map(|index| name(&format!("front-{index}")));
    Location {
        domain: name("west-a"),
        region: name("west"),
        instance: name(&format!("front-{index}")),
        instances: names.collect(),
        instance_regions: IndexMap::new(),
        round_trips: RoundTrips::assumed(0.002, 0.002, 0.072),
    }
}

impl Simulation {
    pub fn new(service: Service, policy: Policy, seed: u64) -> Self {
        let objects = service.targets * OBJECTS_PER_TARGET;
        let mut sum = 0.0;
        let popularity = (0..objects).map(|rank| {
            sum += ((rank + 1) as f64).powf(-POPULARITY_EXPONENT);
            sum
        });
        let estimates = service.kinds.iter();
        let estimates = estimates.map(|kind| WorkEstimate::new(span(kind.objective_seconds), 1.0));
        let estimates: Vec<WorkEstimate> = estimates.collect();
        let mut simulation = Self {
            policy,
            group: Group::new(BOUNDS, at(0)),
            pools: vec![Pool::default(); service.instances],
            locations: (0..service.instances)
                .map(|index| location(index, service.instances))
                .collect(),
            work: vec![estimates; service.instances],
            servers: Vec::new(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            popularity: popularity.collect(),
            random: seed | 1,
            limiter: ShiftLimiter::default(),
            totals: Totals {
                start: vec![Counts::default(); service.kinds.len()],
                later: vec![Counts::default(); service.kinds.len()],
                ..Totals::default()
            },
            decision_time: std::time::Duration::ZERO,
            lost_ends: 0.0,
            replaced_at: Vec::new(),
            service,
        };
        simulation.add_targets();
        simulation
    }

    fn add_targets(&mut self) {
        let targets = 0..self.service.targets;
        let targets: Vec<Target> = targets.map(|i| target(i, self.service.slots)).collect();
        for target in &targets {
            let mut senders: Vec<usize> = (0..self.service.instances).collect();
            if let Policy::Senders { per_target } = self.policy {
                let scope = Object::new("senders", target.id.as_str());
                senders.sort_by_key(|index| scope.score(index));
                senders.truncate(per_target);
            }
            for index in senders {
                self.pools[index].upsert_target(target.clone(), at(0));
            }
            let capacity = 8 + (self.next_random() * 22.0) as usize;
            self.servers.push(Server {
                capacity,
                ..Server::default()
            });
        }
        let ratio = match self.policy {
            Policy::Senders { per_target } => per_target,
            _ => self.service.instances,
        };
        for pool in &mut self.pools {
            pool.set_sender_ratio(ratio as f64);
        }
        self.list_targets(0);
    }

    /// Returns a random number below 1.
    fn next_random(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn schedule(&mut self, micros: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((micros, self.scheduled), event);
    }

    /// Runs the load for `seconds` and returns what the callers got.
    pub fn run(mut self, seconds: u64) -> Totals {
        let end = seconds * 1_000_000;
        self.schedule_load(end);
        while let Some(((now, _), event)) = self.events.pop_first() {
            self.handle(event, now);
        }
        let busy = self.servers.iter().map(|server| server.busy_micros as f64);
        let mean = busy.clone().sum::<f64>() / self.servers.len() as f64;
        let most = busy.fold(0.0, f64::max);
        self.totals.busiest = most / mean;
        self.totals.busiest_utilization = most / (end as f64 * self.service.slots as f64);
        self.totals.decision_micros = self.decision_time.as_micros() as f64;
        self.totals
    }

    fn schedule_load(&mut self, end: u64) {
        for index in 0..self.servers.len() {
            let mut from = 0;
            while from < end * 2 {
                let gap = -(1.0 - self.next_random()).ln() * SLOW_EVERY_MICROS;
                from += gap as u64 + SLOW_MICROS;
                self.servers[index].slow.push(from);
            }
        }
        for kind in 0..self.service.kinds.len() {
            let mut now = 0.0;
            while now < end as f64 {
                let phase = (now / PERIOD_MICROS * std::f64::consts::TAU).sin();
                let rate = self.service.kinds[kind].per_second * (1.0 + VARIATION * phase);
                now += -(1.0 - self.next_random()).ln() / rate * 1e6;
                self.add_request(kind, now as u64);
            }
        }
        for micros in (0..end * 2).step_by(TICK_MICROS as usize) {
            self.schedule(micros, Event::Tick);
        }
        for micros in (0..end).step_by(BEACON_MICROS as usize) {
            self.schedule(micros, Event::Beacon);
        }
        for seconds in self.replaced_at.clone() {
            self.schedule(seconds * 1_000_000, Event::Replace);
        }
    }

    fn add_request(&mut self, kind: usize, arrived: u64) {
        let total = self.popularity.last().copied().unwrap_or_default();
        let drawn = self.next_random() * total;
        let object = self.popularity.partition_point(|sum| *sum < drawn) as u64;
        let instance = (self.next_random() * self.service.instances as f64) as usize;
        let is_tail = self.next_random() < self.service.kinds[kind].tail;
        self.requests.push(Request {
            kind,
            object,
            instance,
            arrived,
            sent: 0,
            started: 0,
            target: 0,
            is_retry: false,
            tried: Vec::new(),
            is_warm: false,
            is_home: false,
            is_granted: false,
            is_tail,
            is_asking: false,
            is_running: false,
        });
        self.counts(self.requests.len() - 1).sent += 1;
        self.schedule(arrived, Event::Arrive(self.requests.len() - 1));
    }

    fn counts(&mut self, index: usize) -> &mut Counts {
        let request = &self.requests[index];
        match request.arrived < 8_000_000 {
            true => &mut self.totals.start[request.kind],
            false => &mut self.totals.later[request.kind],
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive(index) if self.policy == Policy::Dispatcher => {
                self.schedule(now + TRIP_MICROS, Event::Ask(index));
            }
            Event::Arrive(index) => self.choose(index, now),
            Event::AskAgain(index) if !self.requests[index].is_asking => {}
            Event::Ask(index) | Event::AskAgain(index) => {
                let ask = self.ask(index, now);
                self.decide(now, |group| group.ask(ask, at(now)));
            }
            Event::Decided(decision) => self.follow(decision, now),
            Event::Reach(index) => self.reach(index, now),
            Event::Done(index) => self.done(index, now),
            Event::Respond(index, outcome, report) => self.respond(index, outcome, report, now),
            Event::End(index, end) => {
                self.decide(now, |group| group.end(ticket(index), end, at(now)));
            }
            Event::Tick if self.policy == Policy::Dispatcher => {
                self.decide(now, |group| group.tick(at(now)));
            }
            Event::Beacon if self.policy == Policy::Beacons => self.share_loads(now),
            Event::Replace => self.replace_dispatcher(now),
            Event::Tick | Event::Beacon => {}
        }
    }

    fn object(&self, index: usize) -> Object {
        Object::new("objects", self.requests[index].object)
    }

    fn send(&mut self, index: usize, target: &id::Target, warm: bool, home: bool, now: u64) {
        let request = &mut self.requests[index];
        request.target = target.as_str()[1..].parse().expect("a number");
        (request.is_warm, request.is_home, request.sent) = (warm, home, now);
        self.schedule(now + TRIP_MICROS, Event::Reach(index));
    }

    fn reach(&mut self, index: usize, now: u64) {
        let request = &self.requests[index];
        let server = &mut self.servers[request.target];
        if server.running < self.service.slots {
            self.start(index, now);
        } else if server.waiting.len() < QUEUE_PER_SLOT * self.service.slots {
            server.waiting.push_back(index);
        } else {
            self.totals.refused_by_targets += 1;
            let report = self.report(request.target, now);
            let event = Event::Respond(index, message::Outcome::NotRun, report);
            self.schedule(now + TRIP_MICROS, event);
        }
    }

    fn start(&mut self, index: usize, now: u64) {
        let request = &mut self.requests[index];
        request.started = now;
        let server = &mut self.servers[request.target];
        server.running += 1;
        let is_warm = server.warm.contains(&request.object);
        server.warm.retain(|known| *known != request.object);
        server.warm.push(request.object);
        if server.warm.len() > server.capacity {
            server.warm.remove(0);
        }
        self.totals.runs += 1;
        self.totals.cold_runs += u32::from(!is_warm);
        let cold_seconds = self.service.kinds[request.kind].cold_seconds;
        let fraction = if is_warm { WARM_FRACTION } else { 1.0 };
        let tail = if request.is_tail { TAIL_FACTOR } else { 1.0 };
        let end = server.end_of(now, cold_seconds * fraction * tail);
        self.servers[self.requests[index].target].busy_micros += end - now;
        self.schedule(end, Event::Done(index));
    }

    fn report(&self, target: usize, now: u64) -> LoadReport {
        let server = &self.servers[target];
        // The usual pace varies a little.
        let percent = match server.is_slow(now) {
            true => 300,
            false => 97 + now / 77 % 7,
        };
        let is_told = self.policy != Policy::Alone { uses_pace: false };
        LoadReport {
            running: server.running as u32,
            waiting: server.waiting.len() as u32,
            slots: self.service.slots as u32,
            pace: is_told.then(|| Pace::from_percent(percent as u32)),
        }
    }

    fn done(&mut self, index: usize, now: u64) {
        let target = self.requests[index].target;
        self.servers[target].running -= 1;
        if let Some(next) = self.servers[target].waiting.pop_front() {
            self.start(next, now);
        }
        let report = self.report(target, now);
        let event = Event::Respond(index, message::Outcome::Answered, report);
        self.schedule(now + TRIP_MICROS, event);
    }

    fn respond(&mut self, index: usize, outcome: message::Outcome, report: LoadReport, now: u64) {
        let request = self.requests[index].clone();
        let is_answered = outcome == message::Outcome::Answered;
        let waited = request.started.saturating_sub(request.sent + TRIP_MICROS);
        let seconds = (now - request.started.max(request.sent)) as f64 / 1e6;
        let is_measured = is_answered && waited == 0;
        let id = name(&format!("t{}", request.target));
        if is_measured {
            let pool = &mut self.pools[request.instance];
            let work = &mut self.work[request.instance][request.kind];
            let expected_seconds = work.expected_work_seconds(request.is_warm);
            if !request.is_warm && request.is_home {
                work.record_highest_ranked(seconds);
            }
            work.record(seconds, request.is_warm);
            pool.record_work(seconds);
            if let Some(member) = pool.member_mut(&id) {
                member.record_speed(seconds, expected_seconds, at(now));
            }
        }
        if request.is_granted {
            let end = message::End {
                outcome,
                report: Some(report),
                work: is_measured.then(|| span(seconds)),
            };
            self.totals.messages += 1;
            self.requests[index].is_running = false;
            if self.lost_ends == 0.0 || self.next_random() >= self.lost_ends {
                self.schedule(now + TRIP_MICROS, Event::End(index, end));
            }
        } else {
            let pool = &mut self.pools[request.instance];
            pool.record_report(&id, report, at(now));
            let ended = match is_answered {
                true => TargetOutcome::Answered,
                false => TargetOutcome::Shed,
            };
            let senders = self.service.instances;
            pool.record_end(&id, ended, senders, at(now));
        }
        match is_answered {
            true => self.count_answer(index, now),
            false => self.try_next(index, id, now),
        }
    }

    fn count_answer(&mut self, index: usize, now: u64) {
        let request = &self.requests[index];
        let kind = self.service.kinds[request.kind];
        let seconds = (now - request.arrived) as f64 / 1e6;
        let counts = self.counts(index);
        counts.served += u32::from(seconds <= kind.deadline_seconds);
        counts.within_objective += u32::from(seconds <= kind.objective_seconds);
    }
}

fn ticket(index: usize) -> Ticket {
    Ticket {
        sender: Incarnation::new(1),
        number: index as u64,
    }
}
