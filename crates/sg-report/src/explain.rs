//! What a revision did: the evidence of each instance, added up and printed.

mod render;
mod served;

use serde::{Deserialize, Serialize};
use sg_tree::{diff::Difference, predict::Prediction};
use sg_types::prelude::*;

pub use self::served::{Account, Refusal, Served, Worst};
use crate::{
    Counts,
    counts::Place,
    status::{Fleet, Part},
};

/// Counters over a span of time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Window {
    /// How long the span was.
    pub span: Span,
    /// What was counted in it.
    pub counts: Counts,
    /// How many other changes of revision fell into it.
    #[serde(default)]
    pub others: u32,
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
    /// Before it came into force, while the one before was in force or longer; `None` if this run
    /// did not see it.
    pub before: Option<Window>,
    /// Since it came into force, while it was or longer.
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
    /// Requests before.
    pub requests_before: u64,
    /// Requests after.
    pub requests_after: u64,
    /// The region's part before.
    pub before: Option<f64>,
    /// The region's part after.
    pub after: Option<f64>,
}

/// Traffic of a service that went to another region than before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shift {
    /// The service.
    pub service: id::Service,
    /// The part of its traffic, in percentage points.
    pub points: f64,
}

/// Unused capacity of a region for a service, worked out from the trees and the rates that were
/// sold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Headroom {
    /// The service and the region.
    #[serde(flatten)]
    pub place: Place,
    /// Under the tree before.
    pub before: f64,
    /// Under the revision's tree.
    pub after: f64,
    /// What the instances measure now.
    pub now: Option<f64>,
}

/// From when to when a revision came into force, and on how many instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// Instances that gave evidence.
    pub instances: usize,
    /// How long ago the first instance had it.
    pub first: Span,
    /// How long ago the last instance had it.
    pub last: Span,
    /// From the first instance to the last. Instances that started later are left out.
    pub took: Span,
}

/// How long was counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Windows {
    /// Before the revision came into force; zero if no instance saw it.
    pub before: Span,
    /// Since it came into force.
    pub after: Span,
    /// Other changes of revision in the time before, the most of any instance.
    #[serde(default)]
    pub others_before: u32,
    /// Other changes of revision in the time after, the most of any instance.
    #[serde(default)]
    pub others_after: u32,
}

/// What a revision changed and did, for the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The revision.
    pub revision: Revision,
    /// Who made it.
    pub author: Arc<str>,
    /// When it was accepted, by the author's clock, in UTC.
    pub accepted: Arc<str>,
    /// What for.
    pub note: Arc<str>,
    /// What changed.
    pub difference: Difference,
    /// Where it came into force.
    pub adopted: Vec<Adoption>,
    /// From when to when it came into force.
    pub spread: Option<Spread>,
    /// Instances that gave no evidence: not reached, or replaced since.
    pub silent: Vec<id::Instance>,
    /// How long the counters before and after it ran, the longest of any instance.
    pub windows: Windows,
    /// Traffic moved between regions, by service.
    pub shifts: Vec<Shift>,
    /// Traffic of each service in each region.
    pub moves: Vec<Move>,
    /// Headroom of the regions that the revision changed.
    pub headroom: Vec<Headroom>,
    /// Each client account.
    pub accounts: Vec<Account>,
    /// The worst-served client account.
    pub worst: Worst,
    /// Refusals by reason, over all client accounts.
    pub refusals: Vec<Refusal>,
}

/// What is known of a revision apart from the instances' evidence.
#[derive(Debug, Clone)]
pub struct Subject {
    /// The revision.
    pub revision: Revision,
    /// Who made it.
    pub author: Arc<str>,
    /// When it was accepted, by the author's clock, in UTC.
    pub accepted: Arc<str>,
    /// What for.
    pub note: Arc<str>,
    /// What changed.
    pub difference: Difference,
    /// What the trees predicted of it.
    pub prediction: Prediction,
}

/// Adds up the evidence of all instances. `fleet` is their state now.
#[must_use]
pub fn report(
    subject: Subject,
    evidence: &[Evidence],
    silent: Vec<id::Instance>,
    fleet: &Fleet,
) -> Report {
    let mut before = Counts::default();
    let mut after = Counts::default();
    for evidence in evidence {
        if let Some(window) = &evidence.before {
            before.add(&window.counts);
        }
        after.add(&evidence.after.counts);
    }
    let accounts = served::accounts(&before, &after);
    let moves = moves(&before, &after);
    let adopted = evidence.iter().map(|evidence| Adoption {
        instance: evidence.instance.clone(),
        age: evidence.age,
    });
    Report {
        revision: subject.revision,
        author: subject.author,
        accepted: subject.accepted,
        note: subject.note,
        difference: subject.difference,
        adopted: adopted.collect(),
        spread: spread(evidence),
        silent,
        windows: windows(evidence),
        shifts: shifts(&moves),
        moves,
        headroom: headroom(&subject.prediction, &fleet.parts()),
        worst: Worst::of(&accounts),
        accounts,
        refusals: served::refusals(&before, &after),
    }
}

fn moves(before: &Counts, after: &Counts) -> Vec<Move> {
    let places: IndexSet<&Place> = before.traffic.keys().chain(after.traffic.keys()).collect();
    let requests = |counts: &Counts, place| counts.traffic.get(place).copied().unwrap_or_default();
    let moves = places.into_iter().map(|place| Move {
        place: place.clone(),
        requests_before: requests(before, place),
        requests_after: requests(after, place),
        before: before.part(place),
        after: after.part(place),
    });
    moves.collect()
}

/// What the regions of each service lost together, which others gained.
fn shifts(moves: &[Move]) -> Vec<Shift> {
    let mut lost: IndexMap<&id::Service, f64> = IndexMap::new();
    for row in moves {
        if let (Some(before), Some(after)) = (row.before, row.after) {
            let points = (before - after).max(0.0) * 100.0;
            *lost.entry(&row.place.service).or_default() += points;
        }
    }
    let shifts = lost.into_iter().map(|(service, points)| Shift {
        service: service.clone(),
        points,
    });
    shifts.collect()
}

/// An instance that did not see the revision before took this one at its start.
fn spread(evidence: &[Evidence]) -> Option<Spread> {
    let ages = evidence.iter().map(|one| one.age);
    let changed: Vec<Span> = evidence
        .iter()
        .filter(|one| one.before.is_some())
        .map(|one| one.age)
        .collect();
    let last_change = changed.iter().copied().min().unwrap_or_default();
    let first_change = changed.iter().copied().max().unwrap_or_default();
    Some(Spread {
        instances: evidence.len(),
        first: ages.clone().max()?,
        last: ages.min()?,
        took: first_change.saturating_sub(last_change),
    })
}

fn windows(evidence: &[Evidence]) -> Windows {
    let before = evidence.iter().filter_map(|one| one.before.as_ref());
    let after = evidence.iter().map(|one| &one.after);
    let span = |one: &Window| one.span;
    let others = |one: &Window| one.others;
    Windows {
        before: before.clone().map(span).max().unwrap_or_default(),
        after: after.clone().map(span).max().unwrap_or_default(),
        others_before: before.map(others).max().unwrap_or_default(),
        others_after: after.map(others).max().unwrap_or_default(),
    }
}

fn headroom(prediction: &Prediction, parts: &[Part]) -> Vec<Headroom> {
    let now = |region: &sg_tree::predict::Region| {
        let mut parts = parts.iter();
        let part =
            parts.find(|part| part.service == region.service && part.region == region.region);
        part.and_then(|part| part.headroom)
    };
    let rows = prediction.regions.iter().map(|region| Headroom {
        place: Place {
            service: region.service.clone(),
            region: region.region.clone(),
        },
        before: region.headroom_before,
        after: region.headroom_after,
        now: now(region),
    });
    rows.collect()
}
