//! Sums for each service and client account, for explaining a change's effect.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// The most pairs that are kept apart.
const MOST: usize = 4_096;

/// What happened to the requests of one client account for one service since this instance's start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The service.
    pub service: id::Service,
    /// The client account; `None` for open routes.
    pub account: Option<id::Account>,
    /// The sums.
    pub sums: Sums,
}

/// Sums.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Sums {
    /// Answers whose request ran.
    pub ran: u64,
    /// Answers whose request did not run.
    pub not_run: u64,
    /// Answers whose request may have run.
    pub unknown: u64,
    /// Requests refused because the account was over its rate or its queue was full.
    pub over_rate: u64,
    /// Attempts.
    pub attempts: u64,
    /// Time from arrival to the first attempt, summed, in microseconds.
    pub waited_micros: u64,
    /// Time from arrival to the answer's head, summed, in microseconds.
    pub took_micros: u64,
}

/// The sums of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// One line for each pair that had a request.
    pub lines: Vec<Line>,
}

/// What is added for one answer.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// The outcome.
    pub outcome: Outcome,
    /// The reason.
    pub reason: Reason,
    /// Attempts made.
    pub attempts: u64,
    /// From arrival to the first attempt.
    pub waited: Span,
    /// From arrival to the answer's head.
    pub took: Span,
}

type Pair = (id::Service, Option<id::Account>);

/// Where the sums are kept.
#[derive(Debug, Default)]
pub struct Ledger {
    tallies: RwLock<IndexMap<Pair, Arc<Tally>>>,
}

#[derive(Debug, Default)]
struct Tally {
    ran: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    over_rate: AtomicU64,
    attempts: AtomicU64,
    waited_micros: AtomicU64,
    took_micros: AtomicU64,
}

impl Ledger {
    /// Adds an answer.
    pub fn add(&self, service: &id::Service, account: Option<&id::Account>, entry: Entry) {
        if let Some(tally) = self.tally((service.clone(), account.cloned())) {
            tally.add(entry);
        }
    }

    /// The sums so far.
    #[must_use]
    pub fn report(&self) -> Report {
        let tallies = self.tallies.read();
        let lines = tallies.iter().map(|((service, account), tally)| Line {
            service: service.clone(),
            account: account.clone(),
            sums: tally.sums(),
        });
        Report {
            lines: lines.collect(),
        }
    }

    fn tally(&self, pair: Pair) -> Option<Arc<Tally>> {
        if let Some(tally) = self.tallies.read().get(&pair) {
            return Some(tally.clone());
        }
        let mut tallies = self.tallies.write();
        if tallies.len() >= MOST && !tallies.contains_key(&pair) {
            return None;
        }
        Some(tallies.entry(pair).or_default().clone())
    }
}

impl Tally {
    fn add(&self, entry: Entry) {
        let outcome = match entry.outcome {
            Outcome::Ran => &self.ran,
            Outcome::NotRun => &self.not_run,
            Outcome::Unknown => &self.unknown,
        };
        outcome.fetch_add(1, Ordering::Relaxed);
        if matches!(entry.reason, Reason::OverRate | Reason::QueueFull) {
            self.over_rate.fetch_add(1, Ordering::Relaxed);
        }
        self.attempts.fetch_add(entry.attempts, Ordering::Relaxed);
        let waited = micros(entry.waited);
        self.waited_micros.fetch_add(waited, Ordering::Relaxed);
        self.took_micros
            .fetch_add(micros(entry.took), Ordering::Relaxed);
    }

    fn sums(&self) -> Sums {
        let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
        Sums {
            ran: read(&self.ran),
            not_run: read(&self.not_run),
            unknown: read(&self.unknown),
            over_rate: read(&self.over_rate),
            attempts: read(&self.attempts),
            waited_micros: read(&self.waited_micros),
            took_micros: read(&self.took_micros),
        }
    }
}

fn micros(span: Span) -> u64 {
    const NANOS: u64 = 1_000;
    span.as_nanos() / NANOS
}
