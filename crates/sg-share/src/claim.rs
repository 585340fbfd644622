//! The claim of a slot, as the store holds it.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// Who holds a slot. Stored under the slot's key without a lease, replaced only by compare-and-swap
/// and never removed, so that the term only grows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The slot.
    pub slot: Slot,
    /// The holder.
    pub instance: id::Instance,
    /// The holder's run.
    pub incarnation: Incarnation,
    /// Grows by one with each new holder of the slot, and with a release.
    pub term: u64,
    /// The number of slots that the holder cuts budgets into, and whose holders vouch for it.
    pub slots: u32,
    /// Whether all earlier holders are certainly out.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub settled: bool,
    /// Whether the holder gave the slot up: nothing of it is in use.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released: bool,
}
