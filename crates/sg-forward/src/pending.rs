//! Counts the sends in hand of each ticket, so that none is called "not run" while another may run.

use std::sync::Arc;

use parking_lot::Mutex;
use sg_types::prelude::*;

use crate::ticket::Sequence;

type Counts = Arc<Mutex<IndexMap<Sequence, u32>>>;

/// The counts. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Pending {
    counts: Counts,
}

/// A send in hand. Dropping it ends it.
#[derive(Debug)]
pub struct Send {
    counts: Counts,
    sequence: Sequence,
}

impl Pending {
    /// Counts one more send of a ticket.
    #[must_use]
    pub fn begin(&self, sequence: Sequence) -> Send {
        *self.counts.lock().entry(sequence).or_insert(0) += 1;
        Send {
            counts: self.counts.clone(),
            sequence,
        }
    }
}

impl Send {
    /// Whether another send of the same ticket is in hand.
    #[must_use]
    pub fn has_others(&self) -> bool {
        let counts = self.counts.lock();
        counts.get(&self.sequence).is_some_and(|count| *count > 1)
    }
}

impl Drop for Send {
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
