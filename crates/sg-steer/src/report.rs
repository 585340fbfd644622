//! State of the engine and the reasons for its decisions, for operators.

use serde::Serialize;
use sg_types::prelude::*;

/// Reason why a target gets no requests or fewer than its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Restriction {
    /// The tree drains the target.
    Drain,
    /// The target announced that it leaves.
    Leaving,
    /// Too many consecutive requests failed.
    Failures,
    /// Too large a share of requests failed.
    FailureShare,
    /// The probe fails and no request succeeded recently.
    Probe,
    /// Connections to the target fail and no probe contradicts that.
    Down,
    /// The target is on trial: it gets one request at a time.
    Trial,
    /// The target refused a request for load and is in back-off.
    Shed,
    /// The target is cold and in slow start.
    Cold,
}

/// State of a service's split.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The current split is the goal, or so close to it that no step is worthwhile.
    #[default]
    Steady,
    /// Traffic moves, in steps that stay within the shift cap in any shift interval.
    Shifting,
    /// The next step waits until the regions that gain traffic are warm.
    WaitingForWarmth,
    /// Measurements stopped a short time ago; the last decision is kept.
    Holding,
    /// Measurements have been missing for long; the split moves to that of the tree.
    Returning,
}

/// Reason for the goal of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The goal is the split of the tree.
    Tree,
    /// A region has no target that can take work.
    RegionDown,
    /// A region has too little capacity for its share.
    Capacity,
}

/// A target that gets no requests or fewer than its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// The target.
    pub target: id::Target,
    /// The reason.
    pub why: Restriction,
    /// Requests of this instance that are in flight on the target.
    pub in_flight: u32,
}

/// State of a region within a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Region {
    /// Share of the traffic in the split of the tree.
    pub wanted: Percent,
    /// Share of the traffic in the goal.
    pub goal: Percent,
    /// Share of the traffic in the current split.
    pub in_force: Percent,
    /// Requests per second that all instances together may send to the region.
    pub capacity: Rate,
    /// Free share of the region's slots, by the trusted load reports.
    pub headroom: Percent,
    /// Requests of this instance that are in flight.
    pub in_flight: u32,
    /// Number of targets in the tree.
    pub targets: u32,
    /// Number of targets that can take work.
    #[serde(rename = "able")]
    pub usable_targets: u32,
    /// Targets that get no requests or fewer than their share.
    pub out: Vec<Target>,
}

/// Counters since the start of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counts {
    /// Attempts that were started.
    pub started: u64,
    /// Retries and hedges that the budget allowed.
    pub retries: u64,
    /// Retries and hedges that the budget refused.
    pub retries_refused: u64,
    /// Requests refused because the shift to another region is limited by the shift cap.
    pub shift_capped: u64,
    /// Requests refused because the region or the link to it is full.
    pub region_full: u64,
    /// Requests refused because no target can take work now.
    pub no_target: u64,
    /// Ejections of targets for failed requests or probes.
    pub ejected: u64,
    /// Ejections that the ejection cap prevented.
    pub ejections_held: u64,
    /// Exclusions of targets that were considered down.
    pub down: u64,
    /// Steps taken to shift traffic between regions.
    pub steps: u64,
    /// Violated invariants. A value other than zero is a bug.
    pub violations: u64,
}

/// State of a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// The revision of the tree that the engine applies.
    pub revision: Revision,
    /// State of the split.
    pub phase: Phase,
    /// Reason why the split moves or differs from that of the tree, if it does.
    pub cause: Option<Cause>,
    /// Average number of requests in flight in all regions, by the trusted load reports.
    pub demand: f64,
    /// Share of the traffic that no region has capacity for.
    pub unplaced: Percent,
    /// The regions.
    pub regions: IndexMap<id::Region, Region>,
    /// Counters since the start of this process.
    pub counts: Counts,
}

/// State of the engine.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Engine {
    /// The services.
    pub services: IndexMap<id::Service, Service>,
}
