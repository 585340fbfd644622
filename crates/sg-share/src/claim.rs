//! The claim of a slot, as the store holds it.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// Who holds a slot. Stored under the slot's key; replaced only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The slot.
    pub slot: Slot,
    /// The holder.
    pub instance: id::Instance,
    /// The holder's run.
    pub incarnation: Incarnation,
    /// Grows by one with each new holder of the slot.
    pub term: u64,
}
