//! What an engine holds, for status and metrics.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{budget, claim::Claim};

/// A snapshot of one instance's engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Whether at least one claim is held and each is confirmed.
    pub confirmed: bool,
    /// The revision that the budgets were taken from.
    pub revision: Revision,
    /// The claims held, with those that still wait to be used.
    pub claims: Vec<Claim>,
    /// The budgets.
    pub budgets: Vec<Budget>,
    /// The counters since the start.
    pub counters: Counters,
}

/// One budget as this instance holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// The budget.
    pub id: budget::Id,
    /// The rate that this instance may use now.
    pub rate: Rate,
    /// The burst that this instance may use now, in millionths of a unit.
    pub burst_micros: u64,
    /// The tokens left, in millionths of a unit.
    pub tokens_micros: u64,
    /// The rate lent to peers.
    pub lent: Rate,
    /// The rate borrowed from peers.
    pub borrowed: Rate,
}

/// Counters since the engine's start. They only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Units admitted.
    pub admitted: u64,
    /// Takes refused because the share held here was used up.
    pub refused_exhausted: u64,
    /// Takes refused because no claim was confirmed and nothing was borrowed.
    pub refused_unconfirmed: u64,
    /// Takes refused because the budget is not configured.
    pub refused_unknown: u64,
    /// Takes refused because more units were asked for than the whole burst.
    pub refused_oversized: u64,
    /// Claims taken from another holder.
    pub takeovers: u64,
    /// Claims lost to another holder.
    pub claims_lost: u64,
    /// Claims given up on purpose.
    pub releases: u64,
    /// Loans that ended by their expiry, not by a return.
    pub loans_expired: u64,
    /// Messages ignored as duplicated, late or out of order.
    pub stale_messages: u64,
    /// Invariants found violated. Anything but zero is a fault of the program.
    pub violations: u64,
}
