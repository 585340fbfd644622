//! The records of the requests that a target received. sg-load checks the guarantees about requests
//! against them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sg_types::time::Instant;

/// The maximum number of runs that are kept.
const MAX_RUNS: usize = 200_000;

/// The state of a run, or how the run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The run is still in progress.
    Running,
    /// The response was handed to the connection.
    Answered,
    /// The caller disconnected, or the target crashed.
    Dropped,
}

/// A header of a received request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The header's name.
    pub name: String,
    /// The header's value; bytes that are not UTF-8 are replaced.
    pub value: String,
}

/// The execution of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request id, from `Sg-Request-Id`; empty if the header is absent.
    pub request: String,
    /// The ticket, from `Idempotency-Key`.
    pub ticket: Option<String>,
    /// The client account, from `Sg-Account`.
    pub account: Option<String>,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// All headers of the request.
    pub headers: Vec<Header>,
    /// The start time, in microseconds of the target's clock.
    pub start_us: u64,
    /// The end time, in microseconds of the target's clock.
    pub end_us: u64,
    /// How the run ended.
    pub end: End,
}

/// All requests that a target received.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// The name of the target.
    pub target: String,
    /// The runs in order of their start.
    pub runs: Vec<Run>,
    /// The number of requests that were refused as not run, by cause.
    pub refused: IndexMap<String, u64>,
    /// The number of runs that were not kept because the records were full.
    pub forgotten: u64,
    /// The time at which the target began to leave, if it is leaving, in microseconds of its clock.
    pub leaving_us: Option<u64>,
    /// The times at which requests arrived while the target was leaving, in microseconds of its
    /// clock.
    pub leaving_offers_us: Vec<u64>,
    /// The number of crashes.
    pub crashes: u64,
    /// The maximum number of requests in flight.
    pub most_in_flight: u64,
}

/// A reading of a target's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clock {
    /// The current time, in microseconds.
    pub now_us: u64,
}

/// Returns the microseconds since the clock's start.
pub(super) fn micros(now: Instant) -> u64 {
    now.as_nanos() / 1_000
}

impl Records {
    /// Records the start of a run and returns the run's index, if the run is kept.
    pub(super) fn record_start(&mut self, run: Run) -> Option<usize> {
        if self.runs.len() >= MAX_RUNS {
            self.forgotten += 1;
            return None;
        }
        self.runs.push(run);
        Some(self.runs.len() - 1)
    }

    /// Records the end of a run.
    pub(super) fn record_end(&mut self, index: Option<usize>, end: End, now: Instant) {
        if let Some(run) = index.and_then(|index| self.runs.get_mut(index)) {
            run.end = end;
            run.end_us = micros(now);
        }
    }

    /// Counts a refusal.
    pub(super) fn record_refusal(&mut self, cause: &str) {
        *self.refused.entry(cause.to_owned()).or_default() += 1;
    }
}
