//! What a target saw: the judge of every promise about requests.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sg_types::time::Instant;

/// The most runs that are kept.
const MOST_RUNS: usize = 200_000;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It goes on.
    Running,
    /// Its answer was handed to the connection.
    Answered,
    /// Its caller went away, or the target crashed.
    Dropped,
}

/// A header as the target saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value; bytes that are no text are replaced.
    pub value: String,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request, from `Sg-Request-Id`; empty if it had none.
    pub request: String,
    /// The ticket, from `Idempotency-Key`.
    pub ticket: Option<String>,
    /// The client account, from `Sg-Account`.
    pub account: Option<String>,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Every header.
    pub headers: Vec<Header>,
    /// When it began, in microseconds of the target's clock.
    pub start_us: u64,
    /// When it ended, in microseconds of the target's clock.
    pub end_us: u64,
    /// How it ended.
    pub end: End,
}

/// All that a target saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// The target.
    pub target: String,
    /// The runs in the order of their beginnings.
    pub runs: Vec<Run>,
    /// Requests that were refused as not run, by cause.
    pub refused: IndexMap<String, u64>,
    /// Runs that were not kept because there were too many.
    pub forgotten: u64,
    /// When the target last began to leave, if it is leaving, in microseconds of its clock.
    pub leaving_us: Option<u64>,
    /// When requests were offered to it while it was leaving, in microseconds of its clock.
    pub leaving_offers_us: Vec<u64>,
    /// How often it crashed.
    pub crashes: u64,
    /// The most requests that ran at once.
    pub most_in_flight: u64,
}

/// The time of a target's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clock {
    /// Now, in microseconds.
    pub now_us: u64,
}

/// Microseconds since the clock's start.
pub(super) fn micros(now: Instant) -> u64 {
    now.as_nanos() / 1_000
}

impl Records {
    /// Notes the beginning of a run; returns its place, if it is kept.
    pub(super) fn begin(&mut self, run: Run) -> Option<usize> {
        if self.runs.len() >= MOST_RUNS {
            self.forgotten += 1;
            return None;
        }
        self.runs.push(run);
        Some(self.runs.len() - 1)
    }

    /// Notes the end of a run.
    pub(super) fn end(&mut self, place: Option<usize>, end: End, now: Instant) {
        if let Some(run) = place.and_then(|place| self.runs.get_mut(place)) {
            run.end = end;
            run.end_us = micros(now);
        }
    }

    /// Counts a refusal.
    pub(super) fn refuse(&mut self, cause: &str) {
        *self.refused.entry(cause.to_owned()).or_default() += 1;
    }
}
