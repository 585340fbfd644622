//! Counts the pending sends of each ticket, so that no send is reported as "not run" while another
//! send of the same ticket may run.

use std::sync::Arc;

use parking_lot::Mutex;
use sg_types::prelude::*;

use crate::ticket::Sequence;

type Counts = Arc<Mutex<IndexMap<Sequence, u32>>>;

/// The number of pending sends by ticket. Clones share the map.
#[derive(Debug, Clone, Default)]
pub struct PendingSends {
    counts: Counts,
}

/// Counts as one pending send until dropped.
#[derive(Debug)]
pub struct SendGuard {
    counts: Counts,
    sequence: Sequence,
}

impl PendingSends {
    /// Counts one more send of a ticket.
    #[must_use]
    pub fn begin(&self, sequence: Sequence) -> SendGuard {
        *self.counts.lock().entry(sequence).or_insert(0) += 1;
        SendGuard {
            counts: self.counts.clone(),
            sequence,
        }
    }
}

impl SendGuard {
    /// Returns whether another send of the same ticket is pending.
    #[must_use]
    pub fn has_others(&self) -> bool {
        let counts = self.counts.lock();
        counts.get(&self.sequence).is_some_and(|count| *count > 1)
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        let Some(count) = counts.get_mut(&self.sequence) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.swap_remove(&self.sequence);
        }
    }
}
