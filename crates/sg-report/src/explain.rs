//! What a revision did: the evidence of each instance, added up and printed.

mod render;

use serde::{Deserialize, Serialize};
use sg_tree::diff::Difference;
use sg_types::prelude::*;

use crate::{
    Counts,
    counts::{self, Place},
};

/// Counters over a span of time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Window {
    /// How long the span was.
    pub span: Span,
    /// What was counted in it.
    pub counts: Counts,
}

/// What one instance knows of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The instance.
    pub instance: id::Instance,
    /// This run of it.
    pub incarnation: Incarnation,
    /// How long ago the revision came into force here.
    pub age: Span,
    /// While the revision before was in force; `None` if this run did not see it.
    pub before: Option<Window>,
    /// While the revision was in force.
    pub after: Window,
}

/// Where a revision came into force, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adoption {
    /// The instance.
    pub instance: id::Instance,
    /// How long ago.
    pub age: Span,
}

/// Traffic of a service in a region, before and after.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// The service and the region.
    #[serde(flatten)]
    pub place: Place,
    /// The region's part before.
    pub before: Option<f64>,
    /// The region's part after.
    pub after: Option<f64>,
}

/// What a client account got in one window.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
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
    pub before: Service,
    /// After.
    pub after: Service,
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

/// What a revision changed and did, for the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The revision.
    pub revision: Revision,
    /// Who made it.
    pub author: Arc<str>,
    /// What for.
    pub note: Arc<str>,
    /// What changed.
    pub difference: Difference,
    /// Where it came into force.
    pub adopted: Vec<Adoption>,
    /// Instances that gave no evidence: not reached, or replaced since.
    pub silent: Vec<id::Instance>,
    /// Traffic moved between regions.
    pub moves: Vec<Move>,
    /// Each client account.
    pub accounts: Vec<Account>,
    /// The client account with the least part that ran after the change.
    pub worst: Option<Arc<str>>,
    /// Refusals by reason.
    pub refusals: Vec<Refusal>,
}

/// What is known of a revision apart from the instances' evidence.
#[derive(Debug, Clone)]
pub struct Subject {
    /// The revision.
    pub revision: Revision,
    /// Who made it.
    pub author: Arc<str>,
    /// What for.
    pub note: Arc<str>,
    /// What changed.
    pub difference: Difference,
}

/// Adds up the evidence of all instances.
#[must_use]
pub fn report(subject: Subject, evidence: &[Evidence], silent: Vec<id::Instance>) -> Report {
    let mut before = Counts::default();
    let mut after = Counts::default();
    for evidence in evidence {
        if let Some(window) = &evidence.before {
            before.add(&window.counts);
        }
        after.add(&evidence.after.counts);
    }
    let accounts = accounts(&before, &after);
    let adopted = evidence.iter().map(|evidence| Adoption {
        instance: evidence.instance.clone(),
        age: evidence.age,
    });
    Report {
        revision: subject.revision,
        author: subject.author,
        note: subject.note,
        difference: subject.difference,
        adopted: adopted.collect(),
        silent,
        moves: moves(&before, &after),
        worst: worst(&accounts),
        accounts,
        refusals: refusals(&before, &after),
    }
}

fn moves(before: &Counts, after: &Counts) -> Vec<Move> {
    let places: IndexSet<&Place> = before.traffic.keys().chain(after.traffic.keys()).collect();
    let moves = places.into_iter().map(|place| Move {
        place: place.clone(),
        before: before.part(place),
        after: after.part(place),
    });
    moves.collect()
}

fn accounts(before: &Counts, after: &Counts) -> Vec<Account> {
    let names: IndexSet<&Arc<str>> = before
        .accounts
        .keys()
        .chain(after.accounts.keys())
        .collect();
    let accounts = names.into_iter().map(|name| Account {
        account: name.clone(),
        before: service(before.accounts.get(name)),
        after: service(after.accounts.get(name)),
    });
    accounts.collect()
}

fn service(account: Option<&counts::Account>) -> Service {
    let Some(account) = account else {
        return Service::default();
    };
    Service {
        requests: account.total(),
        goodput: account.goodput(),
        p50: account.latency.quantile(0.5),
        p99: account.latency.quantile(0.99),
    }
}

fn worst(accounts: &[Account]) -> Option<Arc<str>> {
    accounts
        .iter()
        .filter_map(|account| account.after.goodput.map(|part| (part, &account.account)))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name.clone())
}

fn refusals(before: &Counts, after: &Counts) -> Vec<Refusal> {
    let (old, new) = (before.refusals(), after.refusals());
    let reasons: IndexSet<Reason> = old.keys().chain(new.keys()).copied().collect();
    let part = |refusals: &IndexMap<Reason, u64>, reason, counts: &Counts| {
        let all: u64 = counts.accounts.values().map(counts::Account::total).sum();
        refusals.get(reason).copied().unwrap_or_default() as f64 / all.max(1) as f64
    };
    let refusals = reasons.iter().map(|reason| Refusal {
        reason: *reason,
        before: part(&old, reason, before),
        after: part(&new, reason, after),
    });
    refusals.collect()
}
