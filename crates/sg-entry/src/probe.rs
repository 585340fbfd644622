//! Probes the health and load of targets and records the observations in the steering engine.

use reqwest::{StatusCode, redirect};
use serde::Deserialize;
use sg_clock::Timer;
use sg_steer::{
    Engine,
    observation::{self, Probe},
};
use sg_types::prelude::*;
use tokio::task::JoinSet;

/// Header that a target sets when it accepts no new requests.
const LEAVING_HEADER: &str = "sg-leaving";
/// Maximum size of a load report, in bytes.
const MAX_REPORT_BYTES: u64 = 16 << 10;

/// Load report in the JSON form of ORCA (Open Request Cost Aggregation).
#[derive(Debug, Default, Deserialize)]
struct LoadReport {
    application_utilization: Option<f64>,
    #[serde(default)]
    named_metrics: NamedMetrics,
}

#[derive(Debug, Default, Deserialize)]
struct NamedMetrics {
    in_flight: Option<f64>,
    slots: Option<f64>,
    cold: Option<f64>,
}

/// Probes every target of the tree at the interval of its service.
#[derive(Debug, Clone)]
pub struct Prober {
    http: reqwest::Client,
    engine: Engine,
    timer: Timer,
}

impl Prober {
    /// Creates a prober that records its observations in `engine`.
    ///
    /// # Errors
    /// Returns the error of the HTTP library if the client can't be created.
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

    /// Probes until the future is dropped.
    pub async fn run(self) {
        /// Interval between checks for due probes.
        const POLL_INTERVAL: Span = Span::from_millis(100);
        let mut due: IndexMap<(id::Service, id::Target), Instant> = IndexMap::new();
        let mut running = JoinSet::new();
        let mut ticks = self.timer.every(POLL_INTERVAL);
        loop {
            let now = ticks.tick().await.now;
            let probes = self.engine.probes();
            let mut next = IndexMap::with_capacity(probes.len());
            for probe in probes {
                let key = (probe.service.clone(), probe.target.clone());
                let due_at = due.get(&key).copied().unwrap_or(now);
                let next_at = if due_at <= now {
                    now + probe.interval
                } else {
                    due_at
                };
                next.insert(key, next_at);
                if due_at <= now {
                    running.spawn(self.clone().probe(probe));
                }
            }
            due = next;
            while running.try_join_next().is_some() {}
        }
    }

    /// Runs one probe and records its observation. A probe without a result before the timeout
    /// counts as failed.
    async fn probe(self, probe: Probe) {
        let deadline = self.timer.now() + probe.timeout;
        let observed = self.timer.until(deadline, self.observe(&probe)).await;
        let observed = observed.unwrap_or_default();
        let now = self.timer.now();
        self.engine
            .record_probe(&probe.service, &probe.target, observed, now);
    }

    async fn observe(&self, probe: &Probe) -> observation::Observation {
        let health = match self.get(probe, "/health").await {
            Ok(health) => health,
            Err(error) => return observe_failure(&error),
        };
        let load = match self.get(probe, "/load").await {
            Ok(response) => read_report(response).await.unwrap_or_default(),
            Err(_) => LoadReport::default(),
        };
        observation::Observation {
            healthy: health.status() == StatusCode::OK,
            refused: false,
            leaving: health.headers().contains_key(LEAVING_HEADER),
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

/// Returns the observation of a probe without a response.
fn observe_failure(error: &reqwest::Error) -> observation::Observation {
    observation::Observation {
        refused: error.is_connect() && is_connection_refused(error),
        ..observation::Observation::default()
    }
}

/// Returns whether the innermost I/O error is a refused connection.
fn is_connection_refused(error: &reqwest::Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(current) = cause {
        if let Some(system) = current.downcast_ref::<std::io::Error>() {
            return system.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = current.source();
    }
    false
}

/// Reads a load report. Returns `None` if the response is not successful, has no or too long a
/// content length, or is not valid JSON.
async fn read_report(response: reqwest::Response) -> Option<LoadReport> {
    let is_bounded = response
        .content_length()
        .is_some_and(|len| len <= MAX_REPORT_BYTES);
    if response.status() != StatusCode::OK || !is_bounded {
        return None;
    }
    serde_json::from_slice(&response.bytes().await.ok()?).ok()
}
