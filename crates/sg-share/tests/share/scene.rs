//! Inputs and results of the simulation: faults, callers, settings and counts.

use sg_share::{Budget, Message, budget};
use sg_types::prelude::*;

use crate::world::{Job, MILLI};

/// The faults of the network and the store, in force until changed.
#[derive(Debug, Clone)]
pub struct Faults {
    pub delay: (u64, u64),
    pub loss: f64,
    pub duplication: f64,
    /// Side of each node. Nodes on different sides do not receive each other's messages.
    pub sides: IndexMap<usize, u8>,
    pub store_down: bool,
    /// Side whose calls do not reach the store.
    pub store_unreachable_from: Option<u8>,
    pub answer_loss: f64,
    pub extra_delay: Option<ExtraDelay>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay: (MILLI, 35 * MILLI),
            loss: 0.0,
            duplication: 0.0,
            sides: IndexMap::new(),
            store_down: false,
            store_unreachable_from: None,
            answer_loss: 0.0,
            extra_delay: None,
        }
    }
}

/// An additional delay for messages of one kind.
#[derive(Debug, Clone, Copy)]
pub struct ExtraDelay {
    pub kind: fn(&Message) -> bool,
    pub span: u64,
}

/// The messages that a node sent.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub to: IndexSet<id::Instance>,
}

/// The settings in force.
#[derive(Debug, Clone)]
pub struct Settings {
    pub revision: Revision,
    pub slots: u32,
    pub budgets: IndexMap<budget::Id, Budget>,
}

/// The callers of one budget at one node.
#[derive(Debug, Clone)]
pub struct Load {
    pub node: usize,
    pub id: budget::Id,
    pub per_second: f64,
    /// Time for which a refused caller retries, in nanoseconds.
    pub patience: u64,
}

/// The numbers of callers that arrived and that were finally refused.
#[derive(Debug, Default, Clone, Copy)]
pub struct CallerCounts {
    pub asked: u64,
    pub refused: u64,
}

/// A job with its time and its sequence number, by which jobs are ordered.
pub struct ScheduledJob(pub u64, pub u64, pub Job);

impl PartialEq for ScheduledJob {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledJob {}
impl PartialOrd for ScheduledJob {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledJob {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
