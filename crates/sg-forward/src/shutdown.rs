//! Counts the requests in flight, so that a graceful stop can wait for them.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use tokio::sync::Notify;

/// The number of requests in flight, and whether new work is refused. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    leaving: AtomicBool,
    in_flight: AtomicU64,
    changed: Notify,
}

/// Counts as one request in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    state: Arc<State>,
}

impl Shutdown {
    /// Refuses new work from now on.
    pub fn refuse_new_work(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether new work is refused.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state.leaving.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight.
    #[must_use]
    pub fn begin_request(&self) -> InFlightGuard {
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            state: self.state.clone(),
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.state.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let changed = self.state.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.state.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.state.changed.notify_waiters();
        }
    }
}
