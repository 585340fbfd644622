//! A limit on the bytes of bodies held in memory at once.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// A memory budget. Clones share the usage.
#[derive(Debug, Clone)]
pub struct Budget {
    used: Arc<AtomicU64>,
    most: u64,
}

/// Bytes reserved in a [`Budget`]. Dropping the reservation releases them.
#[derive(Debug)]
pub struct Held {
    budget: Budget,
    bytes: u64,
}

impl Budget {
    /// Creates a budget of `most` bytes.
    #[must_use]
    pub fn new(most: u64) -> Self {
        Self {
            used: Arc::default(),
            most,
        }
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Creates an empty reservation.
    #[must_use]
    pub fn hold(&self) -> Held {
        Held {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Held {
    /// Reserves `bytes` more; returns whether there was room.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        let most = self.budget.most;
        let grown = self
            .budget
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                let sum = used.checked_add(bytes)?;
                (sum <= most).then_some(sum)
            });
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
