//! The report of one run, as JSON and as a table.

use std::fmt;

use serde::Serialize;
use sg_types::prelude::*;

use crate::check::Violation;

/// Latency in milliseconds from when a call should have been made to its good answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latency {
    /// How many calls.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// 99 of 100.
    pub p99: f64,
    /// 999 of 1,000.
    pub p999: f64,
}

/// Latency over all calls and for each client account.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Latencies {
    /// Over all calls.
    pub all: Latency,
    /// For each client account.
    pub accounts: IndexMap<id::Account, Latency>,
}

/// How one client account fared.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fare {
    /// The client account.
    pub account: id::Account,
    /// Calls a second that it got good answers to.
    pub goodput: f64,
    /// Calls a second that it made, but no more than it pays for.
    pub due: f64,
    /// The part of what was due that it got, from 0 to 1.
    pub share: f64,
}

/// Refusals of calls that were inside their account's rate and burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Wrongful {
    /// How many calls.
    pub count: u64,
    /// Their share of all calls inside rate and burst.
    pub share: f64,
}

/// How many calls ended in which way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcomes {
    /// Their callers have what they asked for.
    pub good: u64,
    /// Their callers were told that they ran.
    pub ran: u64,
    /// Their callers were told that they did not run.
    pub not_run: u64,
    /// Their callers were told that they may have run.
    pub unknown: u64,
    /// Their callers were told nothing.
    pub silent: u64,
}

/// How the calls of one route ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Way {
    /// How many calls were made.
    pub calls: u64,
    /// How many callers have what they asked for.
    pub good: u64,
    /// The others, by the last reason that their callers were told.
    pub refusals: IndexMap<Arc<str>, u64>,
}

/// The report of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// How many calls were made.
    pub calls: u64,
    /// Latency.
    pub latency_ms: Latencies,
    /// The part of capacity that was unused in the busiest second of the busiest service and region.
    pub headroom: f64,
    /// From the order to drain to the end of the last request in hand, the longest of all targets.
    pub drain_ms: Option<f64>,
    /// The client account that got the least of what was due to it.
    pub worst_account: Option<Fare>,
    /// Refusals of calls inside their account's rate.
    pub wrongful_refusals: Wrongful,
    /// Refusals of sends by reason.
    pub refusals: IndexMap<Arc<str>, u64>,
    /// Calls by outcome.
    pub outcomes: Outcomes,
    /// Calls by route.
    pub routes: IndexMap<id::Route, Way>,
    /// How often targets refused a request because all their slots were taken.
    pub target_sheds: u64,
    /// How often targets crashed.
    pub target_crashes: u64,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} calls", self.seed, self.calls)?;
        writeln!(
            f,
            "\n{:<20} {:>8} {:>9} {:>9} {:>9}",
            "latency, ms", "calls", "p50", "p99", "p999"
        )?;
        row(f, "all", &self.latency_ms.all)?;
        for (account, latency) in &self.latency_ms.accounts {
            row(f, account.as_str(), latency)?;
        }
        writeln!(f, "\nheadroom            {:>8.1}%", self.headroom * 100.0)?;
        if let Some(drain) = self.drain_ms {
            writeln!(f, "drain               {drain:>8.0} ms")?;
        }
        if let Some(worst) = &self.worst_account {
            let share = worst.share * 100.0;
            writeln!(
                f,
                "worst account       {share:>8.1}% of what was due, {}",
                worst.account
            )?;
        }
        let wrongful = &self.wrongful_refusals;
        let share = wrongful.share * 100.0;
        writeln!(
            f,
            "wrongful refusals   {:>8}, {share:.2}% of calls inside rate",
            wrongful.count
        )?;
        let outcomes = &self.outcomes;
        writeln!(
            f,
            "outcomes            good {}, ran {}, not-run {}, unknown {}, silent {}",
            outcomes.good, outcomes.ran, outcomes.not_run, outcomes.unknown, outcomes.silent
        )?;
        writeln!(f, "target sheds        {:>8}", self.target_sheds)?;
        if self.target_crashes > 0 {
            writeln!(f, "target crashes      {:>8}", self.target_crashes)?;
        }
        for (reason, count) in &self.refusals {
            writeln!(f, "refused             {count:>8} {reason}")?;
        }
        for violation in &self.violations {
            let Violation {
                promise,
                subject,
                seen,
            } = violation;
            writeln!(f, "BROKEN {promise:?}: {subject}: {seen}")?;
        }
        Ok(())
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, latency: &Latency) -> fmt::Result {
    let Latency {
        count,
        p50,
        p99,
        p999,
    } = latency;
    writeln!(f, "{name:<20} {count:>8} {p50:>9.1} {p99:>9.1} {p999:>9.1}")
}
