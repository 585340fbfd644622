//! The limit on concurrent work in one instance, with a fair queue for waiting requests.

use std::sync::Arc;

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::prelude::*;
use tokio::sync::oneshot;

use crate::fair_queue::{Queue, QueueParams};

/// The class of a waiter: a client account, or all callers of open routes together.
pub type Class = Option<id::Account>;

/// Limits the requests in progress and queues the excess.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    state: Arc<Mutex<State>>,
    timer: Timer,
}

#[derive(Debug, Default)]
struct State {
    max: u32,
    running: u32,
    queue: Queue<Class, oneshot::Sender<Permit>>,
}

/// A permit to work on a request. Dropping the permit makes room for the next waiter.
#[derive(Debug)]
pub struct Permit {
    limit: Option<ConcurrencyLimit>,
}

impl ConcurrencyLimit {
    /// Creates a limit that grants no permit until [`ConcurrencyLimit::resize`] is called.
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        Self {
            state: Arc::default(),
            timer,
        }
    }

    /// Sets the largest number of permits in use at once.
    pub fn resize(&self, max: u32) {
        let max = max.max(1);
        let before = std::mem::replace(&mut self.state.lock().max, max);
        if before < max {
            self.dispatch();
        }
    }

    /// Waits for a permit.
    ///
    /// # Errors
    /// [`Reason::QueueFull`] or [`Reason::Deadline`].
    pub async fn acquire(&self, class: Class, params: QueueParams) -> Result<Permit, Reason> {
        let receiver = match self.try_acquire(class, params)? {
            Acquisition::Granted(permit) => return Ok(permit),
            Acquisition::Queued(receiver) => receiver,
        };
        match self.timer.until(params.deadline, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(Reason::Deadline),
        }
    }

    fn try_acquire(&self, class: Class, params: QueueParams) -> Result<Acquisition, Reason> {
        let mut state = self.state.lock();
        if state.running < state.max && state.queue.is_empty() {
            state.running += 1;
            return Ok(Acquisition::Granted(self.permit()));
        }
        let (sender, receiver) = oneshot::channel();
        let now = self.timer.now();
        match state.queue.push(class, params, now, sender) {
            Ok(()) => Ok(Acquisition::Queued(receiver)),
            Err(_) => Err(Reason::QueueFull),
        }
    }

    fn permit(&self) -> Permit {
        Permit {
            limit: Some(self.clone()),
        }
    }

    /// Returns one permit.
    fn release(&self) {
        self.state.lock().running -= 1;
        self.dispatch();
    }

    /// Hands free permits to waiters.
    fn dispatch(&self) {
        while let Some(waiter) = self.next_waiter() {
            if let Err(mut unused) = waiter.send(self.permit()) {
                // Without its limit, the unused permit is not released a second time on drop.
                unused.limit = None;
                self.state.lock().running -= 1;
            }
        }
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Permit>> {
        let mut state = self.state.lock();
        if state.running >= state.max {
            return None;
        }
        let waiter = state.queue.pop(self.timer.now())?;
        state.running += 1;
        Some(waiter)
    }
}

enum Acquisition {
    Granted(Permit),
    Queued(oneshot::Receiver<Permit>),
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limit) = self.limit.take() {
            limit.release();
        }
    }
}
