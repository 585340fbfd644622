//! The report of one run, as JSON and as a table.

use std::fmt;

use serde::Serialize;
use sg_types::prelude::*;

use crate::check::Violation;

/// Latency in milliseconds of successful calls, from the scheduled time to the response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latency {
    /// The number of calls.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
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

/// The goodput of a client account.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountGoodput {
    /// The client account.
    pub account: id::Account,
    /// Successful calls per second.
    pub goodput: f64,
    /// Calls made per second, limited to the rate and burst that the account pays for.
    pub due: f64,
    /// The ratio of goodput to `due`, from 0 to 1.
    pub share: f64,
}

/// Refusals of calls inside the rate and burst of their account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct WrongfulRefusals {
    /// The number of refused calls.
    pub count: u64,
    /// The share of refused calls among all calls inside rate and burst.
    pub share: f64,
}

/// The number of calls by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcomes {
    /// Calls whose caller got the complete response.
    pub good: u64,
    /// Calls reported as run.
    pub ran: u64,
    /// Calls reported as not run.
    pub not_run: u64,
    /// Calls reported as possibly run.
    pub unknown: u64,
    /// Calls without a reported outcome.
    pub silent: u64,
}

/// The results of the calls of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RouteOutcomes {
    /// The number of calls made.
    pub calls: u64,
    /// The number of successful calls.
    pub good: u64,
    /// The other calls by the last reason reported to the caller.
    pub refusals: IndexMap<Arc<str>, u64>,
}

/// The report of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The number of calls made.
    pub calls: u64,
    /// The latency of successful calls.
    pub latency_ms: Latencies,
    /// The share of unused capacity in the busiest second of the busiest service and region.
    pub headroom: f64,
    /// The longest time of a target from the drain request to the end of its last request in flight, in ms.
    pub drain_ms: Option<f64>,
    /// The client account with the lowest ratio of goodput to due calls.
    pub worst_account: Option<AccountGoodput>,
    /// Refusals of calls inside their account's rate.
    pub wrongful_refusals: WrongfulRefusals,
    /// Failed attempts by reason.
    pub refusals: IndexMap<Arc<str>, u64>,
    /// Calls by outcome.
    pub outcomes: Outcomes,
    /// Calls by route.
    pub routes: IndexMap<id::Route, RouteOutcomes>,
    /// Requests that targets refused because all their slots were taken.
    pub target_sheds: u64,
    /// The number of target crashes.
    pub target_crashes: u64,
    /// Faults of the schedule that were not carried out.
    pub failed_faults: Vec<String>,
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
        for fault in &self.failed_faults {
            writeln!(f, "NOT CARRIED OUT {fault}")?;
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
