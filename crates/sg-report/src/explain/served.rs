//! Service levels of client accounts before and after a revision.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{Counts, counts};

/// Service level of a client account in one window.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Number of requests.
    pub requests: u64,
    /// Fraction of the requests that ran, or `None` without requests.
    pub goodput: Option<f64>,
    /// Median latency.
    pub p50: Option<Span>,
    /// Latency that one request in a hundred exceeds.
    pub p99: Option<Span>,
}

/// Service level of a client account before and after a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Client account, or `open` for callers on open routes without a key.
    pub account: Arc<str>,
    /// Service level before the revision.
    pub before: ServiceLevel,
    /// Service level after the revision.
    pub after: ServiceLevel,
    /// Refusals by reason, as fractions of the requests of the account.
    pub refusals: Vec<Refusal>,
}

/// Refusals for one reason before and after a revision, as fractions of all requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusals.
    pub reason: Reason,
    /// Fraction before the revision.
    pub before: f64,
    /// Fraction after the revision.
    pub after: f64,
}

/// Client accounts with the lowest goodput before and after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorstServed {
    /// Client account with the lowest goodput before, or `None` without requests.
    pub before: Option<Arc<str>>,
    /// Client account with the lowest goodput after, or `None` without requests.
    pub after: Option<Arc<str>>,
}

impl WorstServed {
    pub(super) fn of(accounts: &[Account]) -> Self {
        Self {
            before: worst_served(accounts, |account| &account.before),
            after: worst_served(accounts, |account| &account.after),
        }
    }
}

/// Returns the account with the lowest goodput. If several are equal, chooses the one with the
/// most requests.
fn worst_served(
    accounts: &[Account],
    level_of: impl Fn(&Account) -> &ServiceLevel,
) -> Option<Arc<str>> {
    let mut worst: Option<(f64, u64, &Arc<str>)> = None;
    for account in accounts {
        let level = level_of(account);
        let Some(goodput) = level.goodput else {
            continue;
        };
        let is_worse = worst.is_none_or(|(lowest, most, _)| {
            goodput < lowest || (goodput == lowest && level.requests > most)
        });
        if is_worse {
            worst = Some((goodput, level.requests, &account.account));
        }
    }
    worst.map(|(_, _, name)| name.clone())
}

pub(super) fn accounts(before: &Counts, after: &Counts) -> Vec<Account> {
    let names: IndexSet<&Arc<str>> = before
        .accounts
        .keys()
        .chain(after.accounts.keys())
        .collect();
    let none = counts::Account::default();
    let accounts = names.into_iter().map(|name| {
        let old = before.accounts.get(name).unwrap_or(&none);
        let new = after.accounts.get(name).unwrap_or(&none);
        Account {
            account: name.clone(),
            before: service_level(old),
            after: service_level(new),
            refusals: refusal_fractions(&old.refused, old.total(), &new.refused, new.total()),
        }
    });
    accounts.collect()
}

fn service_level(account: &counts::Account) -> ServiceLevel {
    ServiceLevel {
        requests: account.total(),
        goodput: account.goodput(),
        p50: account.latency.quantile(0.5),
        p99: account.latency.quantile(0.99),
    }
}

pub(super) fn refusals(before: &Counts, after: &Counts) -> Vec<Refusal> {
    let total = |counts: &Counts| counts.accounts.values().map(counts::Account::total).sum();
    refusal_fractions(
        &before.refusals(),
        total(before),
        &after.refusals(),
        total(after),
    )
}

fn refusal_fractions(
    before: &IndexMap<Reason, u64>,
    total_before: u64,
    after: &IndexMap<Reason, u64>,
    total_after: u64,
) -> Vec<Refusal> {
    // `TicketMissing` is counted for a request that only fetches a ticket. Such a request is not
    // refused and does not count in the total.
    let reasons: IndexSet<Reason> = before
        .keys()
        .chain(after.keys())
        .copied()
        .filter(|reason| *reason != Reason::TicketMissing)
        .collect();
    let fraction = |refused: &IndexMap<Reason, u64>, reason, total: u64| {
        refused.get(reason).copied().unwrap_or_default() as f64 / total.max(1) as f64
    };
    let refusals = reasons.iter().map(|reason| Refusal {
        reason: *reason,
        before: fraction(before, reason, total_before),
        after: fraction(after, reason, total_after),
    });
    refusals.collect()
}
