//! Asks targets for their health and load, and tells the steering engine what it saw.

use reqwest::{StatusCode, redirect};
use serde::Deserialize;
use sg_clock::Timer;
use sg_steer::{
    Engine,
    observation::{self, Probe},
};
use sg_types::prelude::*;
use tokio::task::JoinSet;

/// The header by which a target says that it takes no new work.
const LEAVING: &str = "sg-leaving";
/// The largest load report that is read, in bytes.
const MAX_REPORT: u64 = 16 << 10;

/// A load report in the JSON form of ORCA.
#[derive(Debug, Default, Deserialize)]
struct Load {
    application_utilization: Option<f64>,
    #[serde(default)]
    named_metrics: Named,
}

#[derive(Debug, Default, Deserialize)]
struct Named {
    in_flight: Option<f64>,
    slots: Option<f64>,
    cold: Option<f64>,
}

/// Probes every target of the tree, each at its own pace.
#[derive(Debug, Clone)]
pub struct Prober {
    http: reqwest::Client,
    engine: Engine,
    timer: Timer,
}

impl Prober {
    /// A prober that feeds `engine`.
    ///
    /// # Errors
    /// That of the HTTP library.
    pub fn new(engine: Engine, timer: Timer) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .redirect(redirect::Policy::none())
            .no_proxy()
            .http1_only()
            .build()?;
        Ok(Self {
            http,
            engine,
            timer,
        })
    }

    /// Probes until dropped.
    pub async fn run(self) {
        /// How often to look which probes are due.
        const STEP: Span = Span::from_millis(100);
        let mut due: IndexMap<(id::Service, id::Target), Instant> = IndexMap::new();
        let mut running = JoinSet::new();
        let mut ticks = self.timer.every(STEP);
        loop {
            let now = ticks.tick().await.now;
            let probes = self.engine.probes();
            let mut next = IndexMap::with_capacity(probes.len());
            for probe in probes {
                let key = (probe.service.clone(), probe.target.clone());
                let at = due.get(&key).copied().unwrap_or(now);
                let later = if at <= now { now + probe.interval } else { at };
                next.insert(key, later);
                if at <= now {
                    running.spawn(self.clone().probe(probe));
                }
            }
            due = next;
            while running.try_join_next().is_some() {}
        }
    }

    async fn probe(self, probe: Probe) {
        let deadline = self.timer.now() + probe.timeout;
        let seen = self.timer.until(deadline, self.ask(&probe)).await;
        let seen = seen.unwrap_or_default();
        let now = self.timer.now();
        self.engine
            .observe(&probe.service, &probe.target, seen, now);
    }

    async fn ask(&self, probe: &Probe) -> observation::Target {
        let health = match self.get(probe, "/health").await {
            Ok(health) => health,
            Err(error) => return unanswered(&error),
        };
        let load = match self.get(probe, "/load").await {
            Ok(answer) => read(answer).await.unwrap_or_default(),
            Err(_) => Load::default(),
        };
        observation::Target {
            healthy: health.status() == StatusCode::OK,
            refused: false,
            leaving: health.headers().contains_key(LEAVING),
            cold: load.named_metrics.cold.is_some_and(|cold| cold > 0.0),
            in_flight: load.named_metrics.in_flight.map(|count| count as u32),
            slots: load.named_metrics.slots.map(|count| count as u32),
            utilization: load.application_utilization,
        }
    }

    async fn get(&self, probe: &Probe, path: &str) -> reqwest::Result<reqwest::Response> {
        let url = format!("http://{}{path}", probe.address);
        self.http.get(url).send().await
    }
}

/// What a probe without an answer saw.
fn unanswered(error: &reqwest::Error) -> observation::Target {
    observation::Target {
        refused: error.is_connect() && is_refused(error),
        ..observation::Target::default()
    }
}

/// Whether the system's own word at the bottom of the error is that the connection was refused.
fn is_refused(error: &reqwest::Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(current) = cause {
        if let Some(system) = current.downcast_ref::<std::io::Error>() {
            return system.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = current.source();
    }
    false
}

async fn read(answer: reqwest::Response) -> Option<Load> {
    let small = answer.content_length().is_some_and(|len| len <= MAX_REPORT);
    if answer.status() != StatusCode::OK || !small {
        return None;
    }
    serde_json::from_slice(&answer.bytes().await.ok()?).ok()
}
