//! Counts the requests of each client account that wait for budget.

use std::sync::Arc;

use parking_lot::Mutex;
use sg_types::prelude::*;

/// The number of waiting requests by account. Clones share the map.
#[derive(Debug, Clone, Default)]
pub struct BudgetWaiters {
    counts: Arc<Mutex<IndexMap<id::Account, u32>>>,
}

/// Counts as one waiting request until dropped.
#[derive(Debug)]
pub struct WaitGuard {
    counts: Arc<Mutex<IndexMap<id::Account, u32>>>,
    account: id::Account,
}

impl BudgetWaiters {
    /// Counts one more request of `account`; `None` if `limit` of them already wait.
    #[must_use]
    pub fn begin(&self, account: &id::Account, limit: u32) -> Option<WaitGuard> {
        let mut counts = self.counts.lock();
        let count = counts.entry(account.clone()).or_insert(0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(WaitGuard {
            counts: self.counts.clone(),
            account: account.clone(),
        })
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        let Some(count) = counts.get_mut(&self.account) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.swap_remove(&self.account);
        }
    }
}
