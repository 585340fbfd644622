//! What a simulated fleet is made of: faults, callers, settings and counts.

use sg_share::{Budget, Message, budget};
use sg_types::prelude::*;

use crate::world::{Job, MILLI};

/// Faults of the network and the store, in force until changed.
#[derive(Debug, Clone)]
pub struct Faults {
    pub delay: (u64, u64),
    pub loss: f64,
    pub twice: f64,
    /// Side of each node; nodes on different sides don't hear each other.
    pub sides: IndexMap<usize, u8>,
    pub store_down: bool,
    /// Sides whose calls the store doesn't get.
    pub store_cut: Option<u8>,
    pub answer_loss: f64,
    pub hold: Option<Hold>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay: (MILLI, 35 * MILLI),
            loss: 0.0,
            twice: 0.0,
            sides: IndexMap::new(),
            store_down: false,
            store_cut: None,
            answer_loss: 0.0,
            hold: None,
        }
    }
}

/// Messages of the given kind are held back.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    pub kind: fn(&Message) -> bool,
    pub span: u64,
}

/// What a node sent.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub to: IndexSet<id::Instance>,
}

/// What is in force.
#[derive(Debug, Clone)]
pub struct Settings {
    pub revision: Revision,
    pub slots: u32,
    pub budgets: IndexMap<budget::Id, Budget>,
}

/// Callers of one budget at one node.
#[derive(Debug, Clone)]
pub struct Load {
    pub node: usize,
    pub id: budget::Id,
    pub per_second: f64,
    /// How long a caller waits for share.
    pub patience: u64,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub asked: u64,
    pub refused: u64,
}

/// A job, by its time and its order.
pub struct Due(pub u64, pub u64, pub Job);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
