//! What client accounts got, before and after.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{Counts, counts};

/// What a client account got in one window.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Served {
    /// All requests.
    pub requests: u64,
    /// The part that ran.
    pub goodput: Option<f64>,
    /// The median latency.
    pub p50: Option<Span>,
    /// The latency that one in a hundred exceeds.
    pub p99: Option<Span>,
}

/// What a client account got, before and after.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The client account, or `open`.
    pub account: Arc<str>,
    /// Before.
    pub before: Served,
    /// After.
    pub after: Served,
    /// Its refusals by reason, as parts of its requests.
    pub refusals: Vec<Refusal>,
}

/// Refusals for one reason, before and after, as a part of all requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The part before.
    pub before: f64,
    /// The part after.
    pub after: f64,
}

/// The client account with the least part that ran, before and after.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Worst {
    /// Before; `None` if nobody sent anything.
    pub before: Option<Arc<str>>,
    /// After.
    pub after: Option<Arc<str>>,
}

impl Worst {
    pub(super) fn of(accounts: &[Account]) -> Self {
        Self {
            before: worst(accounts, |account| &account.before),
            after: worst(accounts, |account| &account.after),
        }
    }
}

/// The account with the least part that ran; of equal ones the one that sent most.
fn worst(accounts: &[Account], of: impl Fn(&Account) -> &Served) -> Option<Arc<str>> {
    let mut worst: Option<(f64, u64, &Arc<str>)> = None;
    for account in accounts {
        let served = of(account);
        let Some(goodput) = served.goodput else {
            continue;
        };
        let worse = worst.is_none_or(|(least, most, _)| {
            goodput < least || (goodput == least && served.requests > most)
        });
        if worse {
            worst = Some((goodput, served.requests, &account.account));
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
            before: served(old),
            after: served(new),
            refusals: parts(&old.refused, old.total(), &new.refused, new.total()),
        }
    });
    accounts.collect()
}

fn served(account: &counts::Account) -> Served {
    Served {
        requests: account.total(),
        goodput: account.goodput(),
        p50: account.latency.quantile(0.5),
        p99: account.latency.quantile(0.99),
    }
}

pub(super) fn refusals(before: &Counts, after: &Counts) -> Vec<Refusal> {
    let all = |counts: &Counts| counts.accounts.values().map(counts::Account::total).sum();
    parts(
        &before.refusals(),
        all(before),
        &after.refusals(),
        all(after),
    )
}

fn parts(
    before: &IndexMap<Reason, u64>,
    all_before: u64,
    after: &IndexMap<Reason, u64>,
    all_after: u64,
) -> Vec<Refusal> {
    // A request that only fetches its ticket is no refusal, and no part of the total.
    let reasons: IndexSet<Reason> = before
        .keys()
        .chain(after.keys())
        .copied()
        .filter(|reason| *reason != Reason::TicketMissing)
        .collect();
    let part = |refused: &IndexMap<Reason, u64>, reason, all: u64| {
        refused.get(reason).copied().unwrap_or_default() as f64 / all.max(1) as f64
    };
    let refusals = reasons.iter().map(|reason| Refusal {
        reason: *reason,
        before: part(before, reason, all_before),
        after: part(after, reason, all_after),
    });
    refusals.collect()
}
