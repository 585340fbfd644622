//! What the engine is doing and why, for operators.

use serde::Serialize;
use sg_types::prelude::*;

/// Why a target gets no work, or less than its part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// The tree drains it.
    Drain,
    /// It said that it leaves.
    Leaving,
    /// Requests failed in a row.
    Failures,
    /// Too large a share of requests failed.
    FailureShare,
    /// Its probe fails and no request succeeded lately.
    Probe,
    /// Connections to it fail and no probe says otherwise.
    Down,
    /// It is tried by one request at a time.
    Trial,
    /// It refused a request for load and is left alone for a moment.
    Shed,
    /// It is cold and its part grows.
    Cold,
}

/// What a service's split is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The split in force is the one to reach.
    #[default]
    Steady,
    /// Traffic moves, a step each shift interval.
    Shifting,
    /// The next step waits until the regions that gain are seen to be warm.
    WaitingForWarmth,
    /// No measurement came for a while: the last decision stays.
    Holding,
    /// No measurement came for long: the split moves to the tree's.
    Returning,
}

/// Why a shift goes elsewhere than the tree says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The tree's split is to be reached.
    Tree,
    /// A region has no target that may take work.
    RegionDown,
    /// A region has too little capacity for its part.
    Capacity,
}

/// A target that is not used like the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// The target.
    pub target: id::Target,
    /// Why.
    pub why: Why,
    /// Requests of this instance that are still in flight on it.
    pub in_flight: u32,
}

/// A region's part in a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Region {
    /// The part of the traffic that the tree wants.
    pub wanted: Percent,
    /// The part that the engine is moving to.
    pub goal: Percent,
    /// The part in force.
    pub in_force: Percent,
    /// Requests a second that the region may be given.
    pub capacity: Rate,
    /// The part of the region's slots that is free, by the reports that are believed.
    pub headroom: Percent,
    /// Requests of this instance in flight.
    pub in_flight: u32,
    /// Targets in the tree.
    pub targets: u32,
    /// Targets that may take work.
    pub able: u32,
    /// The targets that are not used like the others.
    pub out: Vec<Target>,
}

/// Counts since the start of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counts {
    /// Attempts that were started.
    pub started: u64,
    /// Retries and hedges that the budget allowed.
    pub retries: u64,
    /// Retries and hedges that the budget refused.
    pub retries_refused: u64,
    /// Requests refused because the shift to another region is at its cap.
    pub shift_capped: u64,
    /// Requests refused because the region or the link to it is full.
    pub region_full: u64,
    /// Requests refused because no target may take work now.
    pub no_target: u64,
    /// Targets ejected for failures.
    pub ejected: u64,
    /// Ejections that the cap held back.
    pub ejections_held: u64,
    /// Targets taken for down.
    pub down: u64,
    /// Steps of shifts.
    pub steps: u64,
    /// Invariants that did not hold. Anything but zero is a fault of the program.
    pub violations: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// The revision of the tree that the engine works by.
    pub revision: Revision,
    /// What the split is doing.
    pub phase: Phase,
    /// Why it moves, if it does.
    pub cause: Option<Cause>,
    /// Requests in work at once in all regions, averaged, by the reports that are believed.
    pub demand: f64,
    /// The part of the traffic that no region has room for.
    pub unplaced: Percent,
    /// The regions.
    pub regions: IndexMap<id::Region, Region>,
    /// Counts since the start of this process.
    pub counts: Counts,
}

/// The whole engine.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Engine {
    /// The services.
    pub services: IndexMap<id::Service, Service>,
}
