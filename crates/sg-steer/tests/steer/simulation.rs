//! Simulation of targets, callers and probes in virtual time.

use std::{collections::VecDeque, fmt::Write as _};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use sg_steer::{Attempt, Completion, Engine, Query, Selector, engine::Options, observation};
use sg_tree::{Node, View, compile::compile};
use sg_types::prelude::*;

pub const STEP: Span = Span::from_millis(10);
pub const SERVICE_TIME: Span = Span::from_millis(50);
/// Additional latency of a target with cold caches, as a multiple of the service time.
const COLD_SLOWDOWN: f64 = 9.0;

/// Returns a tree of three regions with two failure domains each and `per_domain` targets in each
/// domain.
pub fn view(revision: u64, per_domain: usize, split: [u32; 3], settings: &str) -> Arc<View> {
    let mut targets = String::new();
    for domain in 0..6 {
        for target in 0..per_domain {
            let port = 10_000 + domain * 2_000 + target;
            let comma = if targets.is_empty() { "" } else { "," };
            write!(
                targets,
                r#"{comma}"t{domain}-{target}":{{"address":"127.0.0.1:{port}","domain":"d{domain}"}}"#
            )
            .expect("writing to a string");
        }
    }
    let [a, b, c] = split;
    let text = format!(
        r#"{{"fleet":{{"slots":7}},
        "regions":{{"r0":{{"domains":{{"d0":{{}},"d1":{{}}}}}},"r1":{{"domains":{{"d2":{{}},"d3":{{}}}}}},
                    "r2":{{"domains":{{"d4":{{}},"d5":{{}}}}}}}},
        "services":{{"desk":{{{settings}
          "split":{{"r0":{{"weight":"{a}%"}},"r1":{{"weight":"{b}%"}},"r2":{{"weight":"{c}%"}}}},
          "routes":{{"all":{{"path":"/"}}}},
          "targets":{{"slots":7,{targets}}}}}}}}}"#
    );
    let node = Node::from_json(&text).expect("valid JSON");
    Arc::new(
        compile(&node, Revision::new(revision))
            .expect("valid tree")
            .view,
    )
}

pub fn service() -> id::Service {
    id::Service::new("desk").expect("valid name")
}

pub fn region(index: usize) -> id::Region {
    id::Region::new(format!("r{index}")).expect("valid name")
}

/// Returns the engine of the instance at `index` of a fleet of `instances`.
pub fn engine(index: usize, seed: u64, instances: u32) -> Engine {
    Engine::new(Options {
        region: region(index % 3),
        domain: id::Domain::new(format!("d{}", index % 6)).expect("valid name"),
        seed: seed + index as u64,
        instances,
    })
}

/// Starts an attempt on a target that `steer` chooses.
pub fn start_attempt<S: Selector>(
    selector: &S,
    tried: &[id::Target],
    now: Instant,
) -> Result<S::Attempt, Reason> {
    selector.start_attempt(Query {
        service: &service(),
        tried,
        now,
        fingerprint: Fingerprint::new(1),
    })
}

pub const SUCCEEDED: Completion = Completion::Responded {
    latency: SERVICE_TIME,
    failed: false,
};

/// Returns the observation of a healthy target with `in_flight` requests.
pub fn healthy(in_flight: u32) -> observation::Observation {
    observation::Observation {
        healthy: true,
        in_flight: Some(in_flight),
        slots: Some(7),
        ..Default::default()
    }
}

/// A simulated target.
#[derive(Debug, Default)]
pub struct TargetModel {
    pub dead: bool,
    pub in_flight: u32,
    served: u32,
    /// Requests in flight at the last probes, which delayed load reports are taken from.
    history: VecDeque<u32>,
}

/// A fleet of instances with its targets, callers and probes.
pub struct Simulation {
    pub engines: Vec<Engine>,
    pub targets: IndexMap<id::Target, TargetModel>,
    pub now: Instant,
    pub probes_enabled: bool,
    /// Number of requests after which a target's caches are warm.
    pub warm_up_requests: u32,
    /// Number of responses that took more than twice the service time.
    pub slow_responses: u64,
    /// Number of requests that a target refused for load.
    pub shed_requests: u64,
    /// Number of requests that an instance refused, by reason.
    pub refused: IndexMap<Reason, u64>,
    /// Number of requests that targets accepted, by region.
    pub served: IndexMap<id::Region, u64>,
    report_delay: Span,
    /// Time of the end, latency and attempt of each request in flight.
    running: Vec<(Instant, Span, <Engine as Selector>::Attempt)>,
    rng: SmallRng,
}

impl Simulation {
    pub fn new(instances: usize, seed: u64, report_delay: Span, view: &Arc<View>) -> Self {
        let engines: Vec<_> = (0..instances)
            .map(|i| engine(i, seed, instances as u32))
            .collect();
        for engine in &engines {
            engine.configure(view, Instant::START);
        }
        let names = view.services["desk"].targets.keys();
        Self {
            engines,
            targets: names
                .map(|name| (name.clone(), TargetModel::default()))
                .collect(),
            now: Instant::START,
            probes_enabled: true,
            warm_up_requests: 0,
            slow_responses: 0,
            shed_requests: 0,
            refused: IndexMap::new(),
            served: IndexMap::new(),
            report_delay,
            running: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Runs for `span` with `rate` requests per second on each instance.
    pub fn run(&mut self, span: Span, rate: f64) {
        let end = self.now + span;
        while self.now < end {
            self.step(rate);
        }
    }

    /// Advances the time by one [`STEP`].
    pub fn step(&mut self, rate: f64) {
        self.now += STEP;
        self.finish_due_requests();
        for index in 0..self.engines.len() {
            let mut due = rate * STEP.as_secs_f64();
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    self.start_request(index);
                }
                due -= 1.0;
            }
        }
        let every = |span: Span| self.now.as_nanos().is_multiple_of(span.as_nanos());
        let (probe, tick) = (every(Span::from_secs(1)), every(Span::from_millis(250)));
        if probe {
            self.probe();
        }
        if tick {
            self.engines.iter().for_each(|engine| engine.tick(self.now));
        }
    }

    fn start_request(&mut self, index: usize) {
        match start_attempt(&self.engines[index], &[], self.now) {
            Err(reason) => *self.refused.entry(reason).or_default() += 1,
            Ok(attempt) => {
                let model = &mut self.targets[attempt.target()];
                if model.dead {
                    return attempt.finish(Completion::ConnectFailed, self.now);
                }
                if model.in_flight >= 7 {
                    self.shed_requests += 1;
                    return attempt.finish(Completion::Shed, self.now);
                }
                model.in_flight += 1;
                *self.served.entry(attempt.region().clone()).or_default() += 1;
                let coldness = f64::from(self.warm_up_requests.saturating_sub(model.served));
                let slowdown =
                    1.0 + COLD_SLOWDOWN * coldness / f64::from(self.warm_up_requests.max(1));
                model.served += 1;
                let time = SERVICE_TIME.mul_f64(slowdown * self.rng.random_range(0.5..1.5));
                self.slow_responses += u64::from(time > SERVICE_TIME.mul_f64(2.0));
                self.running.push((self.now + time, time, attempt));
            }
        }
    }

    fn finish_due_requests(&mut self) {
        let now = self.now;
        let (done, rest) = self.running.drain(..).partition(|(at, _, _)| *at <= now);
        self.running = rest;
        let done: Vec<_> = done;
        for (_, latency, attempt) in done {
            self.targets[attempt.target()].in_flight -= 1;
            let end = Completion::Responded {
                latency,
                failed: false,
            };
            attempt.finish(end, now);
        }
    }

    fn probe(&mut self) {
        let seconds = (self.report_delay.as_secs_f64() as usize) + 1;
        for (name, model) in &mut self.targets {
            model.history.push_back(model.in_flight);
            if model.history.len() > seconds {
                model.history.pop_front();
            }
            let old = model.history.front().copied().unwrap_or(0);
            let observed = if model.dead {
                observation::Observation::default()
            } else {
                healthy(old)
            };
            if self.probes_enabled {
                let target = name;
                for engine in &self.engines {
                    engine.record_probe(&service(), target, observed, self.now);
                }
            }
        }
    }

    /// Stops or restarts all targets of a region.
    pub fn set_dead(&mut self, region: usize, dead: bool) {
        let domains = [format!("t{}-", region * 2), format!("t{}-", region * 2 + 1)];
        for (name, model) in &mut self.targets {
            if domains
                .iter()
                .any(|domain| name.as_str().starts_with(domain))
            {
                model.dead = dead;
            }
        }
    }

    /// Returns the mean of the current splits of all instances.
    pub fn split(&self) -> sg_steer::Split {
        let splits = self.engines.iter().flat_map(Engine::service_splits);
        let splits: Vec<_> = splits.map(|service_split| service_split.split).collect();
        sg_steer::Split::mean(&splits)
    }

    /// Returns the number of violated invariants on all instances.
    pub fn violations(&self) -> u64 {
        let reports = self.engines.iter().map(|engine| engine.report(self.now));
        reports
            .map(|report| report.services["desk"].counts.violations)
            .sum()
    }
}
