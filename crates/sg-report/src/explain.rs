//! Reports on the effect of a revision, merged from the evidence of each instance.

mod render;
mod served;

use serde::{Deserialize, Serialize};
use sg_tree::{diff::Difference, predict::Prediction};
use sg_types::prelude::*;

pub use self::served::{Account, Refusal, ServiceLevel, WorstServed};
use crate::{
    Counts,
    counts::Place,
    status::{Fleet, FleetSplit},
};

/// Counters over a period of time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Window {
    /// Length of the period.
    pub span: Span,
    /// Counters over the period.
    pub counts: Counts,
    /// Number of other changes of revision during the period.
    #[serde(default)]
    pub others: u32,
}

/// Evidence of one instance on the effect of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The instance.
    pub instance: id::Instance,
    /// Incarnation, which differs for each run of the instance.
    pub incarnation: Incarnation,
    /// Time since the revision came into force on the instance.
    pub age: Span,
    /// Window before the revision came into force, which covers at least the time that the
    /// previous revision was in force. `None` if this incarnation has no record of that time.
    pub before: Option<Window>,
    /// Window after the revision came into force, which covers at least the time that the revision
    /// was in force.
    pub after: Window,
}

/// Time at which a revision came into force on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adoption {
    /// The instance.
    pub instance: id::Instance,
    /// Time since the revision came into force.
    pub age: Span,
}

/// Change of the traffic of a service in a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrafficChange {
    /// The service and the region.
    #[serde(flatten)]
    pub place: Place,
    /// Number of requests before the change of revision.
    pub requests_before: u64,
    /// Number of requests after the change of revision.
    pub requests_after: u64,
    /// Fraction of the service's traffic in the region before the change of revision, or `None` if
    /// the service had no traffic.
    pub before: Option<f64>,
    /// Fraction of the service's traffic in the region after the change of revision, or `None` if
    /// the service had no traffic.
    pub after: Option<f64>,
}

/// Traffic of a service that moved between regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shift {
    /// The service.
    pub service: id::Service,
    /// Moved traffic in percentage points.
    pub points: f64,
}

/// Unused capacity of a region for a service, as a fraction of the total capacity. The values
/// before and after the change are computed from the trees and the rates that were sold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Headroom {
    /// The service and the region.
    #[serde(flatten)]
    pub place: Place,
    /// Headroom under the previous tree.
    pub before: f64,
    /// Headroom under the tree of the revision.
    pub after: f64,
    /// Headroom that the instances currently measure, if known.
    pub now: Option<f64>,
}

/// Period over which a revision came into force on the instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Number of instances that gave evidence.
    pub instances: usize,
    /// Time since the revision came into force on the first instance.
    pub first: Span,
    /// Time since the revision came into force on the last instance.
    pub last: Span,
    /// Time between the first and the last instance. Instances that started later are excluded.
    pub took: Span,
}

/// Lengths of the windows, and numbers of other changes of revision in the windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WindowSummary {
    /// Length of the longest window before the revision came into force; zero if no instance has
    /// such a window.
    pub before: Span,
    /// Length of the longest window after the revision came into force.
    pub after: Span,
    /// Largest number of other changes of revision that an instance had in the window before.
    #[serde(default)]
    pub others_before: u32,
    /// Largest number of other changes of revision that an instance had in the window after.
    #[serde(default)]
    pub others_after: u32,
}

/// Changes and effect of a revision over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The revision.
    pub revision: Revision,
    /// Author of the revision.
    pub author: Arc<str>,
    /// Time at which the revision was accepted, in UTC by the author's clock.
    pub accepted: Arc<str>,
    /// Note of the author on the purpose of the revision.
    pub note: Arc<str>,
    /// Difference from the previous tree.
    pub difference: Difference,
    /// Instances on which the revision came into force.
    pub adopted: Vec<Adoption>,
    /// Period over which the revision came into force, or `None` without evidence.
    pub spread: Option<Rollout>,
    /// Instances that gave no evidence because they were not reached or have been replaced.
    pub silent: Vec<id::Instance>,
    /// Lengths of the windows before and after the revision came into force.
    pub windows: WindowSummary,
    /// Traffic that moved between regions, by service.
    pub shifts: Vec<Shift>,
    /// Change of traffic for each service and region.
    pub moves: Vec<TrafficChange>,
    /// Headroom of the regions that the revision changed.
    pub headroom: Vec<Headroom>,
    /// Service level of each client account.
    pub accounts: Vec<Account>,
    /// Client accounts with the lowest goodput before and after the revision.
    pub worst: WorstServed,
    /// Refusals by reason, over all client accounts.
    pub refusals: Vec<Refusal>,
}

/// Data on a revision that does not come from the evidence of instances.
#[derive(Debug, Clone)]
pub struct RevisionInfo {
    /// The revision.
    pub revision: Revision,
    /// Author of the revision.
    pub author: Arc<str>,
    /// Time at which the revision was accepted, in UTC by the author's clock.
    pub accepted: Arc<str>,
    /// Note of the author on the purpose of the revision.
    pub note: Arc<str>,
    /// Difference from the previous tree.
    pub difference: Difference,
    /// Effect predicted from the trees.
    pub prediction: Prediction,
}

/// Creates a report from the evidence of all instances. `silent` are the instances that gave no
/// evidence, `fleet` is the current state of the fleet.
#[must_use]
pub fn report(
    info: RevisionInfo,
    evidence: &[Evidence],
    silent: Vec<id::Instance>,
    fleet: &Fleet,
) -> Report {
    let mut before = Counts::default();
    let mut after = Counts::default();
    for one in evidence {
        if let Some(window) = &one.before {
            before.merge(&window.counts);
        }
        after.merge(&one.after.counts);
    }
    let accounts = served::accounts(&before, &after);
    let moves = traffic_changes(&before, &after);
    let adopted = evidence.iter().map(|one| Adoption {
        instance: one.instance.clone(),
        age: one.age,
    });
    Report {
        revision: info.revision,
        author: info.author,
        accepted: info.accepted,
        note: info.note,
        difference: info.difference,
        adopted: adopted.collect(),
        spread: rollout(evidence),
        silent,
        windows: windows(evidence),
        shifts: shifts(&moves),
        moves,
        headroom: headroom(&info.prediction, &fleet.splits()),
        worst: WorstServed::of(&accounts),
        accounts,
        refusals: served::refusals(&before, &after),
    }
}

fn traffic_changes(before: &Counts, after: &Counts) -> Vec<TrafficChange> {
    let places: IndexSet<&Place> = before.traffic.keys().chain(after.traffic.keys()).collect();
    let requests = |counts: &Counts, place| counts.traffic.get(place).copied().unwrap_or_default();
    let changes = places.into_iter().map(|place| TrafficChange {
        place: place.clone(),
        requests_before: requests(before, place),
        requests_after: requests(after, place),
        before: before.traffic_fraction(place),
        after: after.traffic_fraction(place),
    });
    changes.collect()
}

/// Returns the traffic that moved between regions for each service: the sum of the losses of the
/// regions that lost traffic.
fn shifts(changes: &[TrafficChange]) -> Vec<Shift> {
    let mut lost: IndexMap<&id::Service, f64> = IndexMap::new();
    for change in changes {
        if let (Some(before), Some(after)) = (change.before, change.after) {
            let points = (before - after).max(0.0) * 100.0;
            *lost.entry(&change.place.service).or_default() += points;
        }
    }
    let shifts = lost.into_iter().map(|(service, points)| Shift {
        service: service.clone(),
        points,
    });
    shifts.collect()
}

/// Returns the period over which the revision came into force. An instance without a window before
/// the revision loaded the revision when it started, so its age does not count in the duration.
fn rollout(evidence: &[Evidence]) -> Option<Rollout> {
    let ages = evidence.iter().map(|one| one.age);
    let change_ages: Vec<Span> = evidence
        .iter()
        .filter(|one| one.before.is_some())
        .map(|one| one.age)
        .collect();
    let last_change = change_ages.iter().copied().min().unwrap_or_default();
    let first_change = change_ages.iter().copied().max().unwrap_or_default();
    Some(Rollout {
        instances: evidence.len(),
        first: ages.clone().max()?,
        last: ages.min()?,
        took: first_change.saturating_sub(last_change),
    })
}

fn windows(evidence: &[Evidence]) -> WindowSummary {
    let before = evidence.iter().filter_map(|one| one.before.as_ref());
    let after = evidence.iter().map(|one| &one.after);
    let span = |one: &Window| one.span;
    let others = |one: &Window| one.others;
    WindowSummary {
        before: before.clone().map(span).max().unwrap_or_default(),
        after: after.clone().map(span).max().unwrap_or_default(),
        others_before: before.map(others).max().unwrap_or_default(),
        others_after: after.map(others).max().unwrap_or_default(),
    }
}

fn headroom(prediction: &Prediction, splits: &[FleetSplit]) -> Vec<Headroom> {
    let now = |region: &sg_tree::predict::Region| {
        let mut splits = splits.iter();
        let split =
            splits.find(|split| split.service == region.service && split.region == region.region);
        split.and_then(|split| split.headroom)
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
