//! Snapshots of an engine's state, for status pages and metrics.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{budget, claim::Claim};

/// A snapshot of one instance's engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Whether at least one claim is held and all active claims are confirmed.
    pub confirmed: bool,
    /// Revision of the settings that define the budgets.
    pub revision: Revision,
    /// Claims of this instance, including those that are not in use yet.
    pub claims: Vec<Claim>,
    /// State of each budget.
    pub budgets: Vec<Budget>,
    /// Counters since the start of the engine.
    pub counters: Counters,
}

/// The state of one budget at this instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Budget that the state describes.
    pub id: budget::Id,
    /// Rate that this instance may use now.
    pub rate: Rate,
    /// Burst that this instance may use now, in millionths of a unit.
    pub burst_micros: u64,
    /// Remaining tokens, in millionths of a unit.
    pub tokens_micros: u64,
    /// Rate lent to peers.
    pub lent: Rate,
    /// Rate borrowed from peers.
    pub borrowed: Rate,
}

/// Counters since the start of the engine. They never decrease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Units admitted.
    pub admitted: u64,
    /// Takes refused because the share of this instance was exhausted.
    pub refused_exhausted: u64,
    /// Takes refused because no claim was confirmed and nothing was borrowed.
    pub refused_unconfirmed: u64,
    /// Takes refused because the budget is not configured.
    pub refused_unknown: u64,
    /// Takes refused because they requested more units than the burst of the whole budget.
    pub refused_oversized: u64,
    /// Slots taken over from another holder that had not released them.
    pub takeovers: u64,
    /// Claims lost to another holder.
    pub claims_lost: u64,
    /// Claims released deliberately.
    pub releases: u64,
    /// Incoming loans that expired instead of being returned.
    pub loans_expired: u64,
    /// Messages ignored as duplicated, late or out of order.
    pub stale_messages: u64,
    /// Violated invariants. A value other than zero indicates a bug in this crate.
    pub violations: u64,
}
