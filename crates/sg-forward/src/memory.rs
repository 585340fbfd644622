//! A limit on the bytes of bodies held in memory at once.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// A memory budget. Clones share the usage.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    used: Arc<AtomicU64>,
    limit: u64,
}

/// Bytes reserved in a [`MemoryBudget`]. Dropping the reservation releases them.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: u64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Creates an empty reservation.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Reserves `bytes` more; returns whether there was room.
    #[must_use]
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let limit = self.budget.limit;
        let grown = self
            .budget
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                let sum = used.checked_add(bytes)?;
                (sum <= limit).then_some(sum)
            });
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
