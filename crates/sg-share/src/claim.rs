//! The record that assigns a slot to an instance in the store.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// Assigns a slot to its holder. A claim is stored under the slot's key without a lease, replaced
/// only by compare-and-swap and never removed, so the term never decreases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Slot that is claimed.
    pub slot: Slot,
    /// Instance that holds the slot.
    pub instance: id::Instance,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Term of the claim. Each new holder of the slot and each release increases the term by one.
    pub term: u64,
    /// Number of slots into which the holder divides budgets. The number also determines the slots
    /// whose holders vote on this claim.
    pub slots: u32,
    /// Whether all earlier holders are known to have stopped using the slot.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub settled: bool,
    /// Whether the holder released the slot and uses none of its share.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released: bool,
}
