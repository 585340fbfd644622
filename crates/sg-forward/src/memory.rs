//! A bound on the bytes of bodies that are held at once.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// A bound that clones share.
#[derive(Debug, Clone)]
pub struct Budget {
    used: Arc<AtomicU64>,
    most: u64,
}

/// Bytes taken from a [`Budget`]. Dropping it gives them back.
#[derive(Debug)]
pub struct Held {
    budget: Budget,
    bytes: u64,
}

impl Budget {
    /// A budget of `most` bytes.
    #[must_use]
    pub fn new(most: u64) -> Self {
        Self {
            used: Arc::default(),
            most,
        }
    }

    /// The bytes in use.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Starts with no bytes.
    #[must_use]
    pub fn hold(&self) -> Held {
        Held {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Held {
    /// Takes `bytes` more; tells whether there was room for them.
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
