//! The limit of concurrent work in one instance, with a fair queue before it.

use std::sync::Arc;

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::prelude::*;
use tokio::sync::oneshot;

use crate::fair::{Place, Queue};

/// Who waits: a client account, or all callers of open routes together.
pub type Class = Option<id::Account>;

/// Counts work in hand and queues what is over the limit.
#[derive(Debug, Clone)]
pub struct Limit {
    state: Arc<Mutex<State>>,
    timer: Timer,
}

#[derive(Debug, Default)]
struct State {
    most: u32,
    running: u32,
    queue: Queue<Class, oneshot::Sender<Permit>>,
}

/// The right to work. Dropping it passes it to the next waiter.
#[derive(Debug)]
pub struct Permit {
    limit: Option<Limit>,
}

impl Limit {
    /// A limit that allows nothing until [`Limit::resize`].
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        Self {
            state: Arc::default(),
            timer,
        }
    }

    /// Sets how much work may be in hand at once.
    pub fn resize(&self, most: u32) {
        let most = most.max(1);
        let before = std::mem::replace(&mut self.state.lock().most, most);
        if before < most {
            self.dispatch();
        }
    }

    /// Waits for a permit.
    ///
    /// # Errors
    /// [`Reason::QueueFull`] or [`Reason::Deadline`].
    pub async fn enter(&self, class: Class, place: Place) -> Result<Permit, Reason> {
        let waiting = match self.try_enter(class, place)? {
            Entered::Now(permit) => return Ok(permit),
            Entered::Later(waiting) => waiting,
        };
        match self.timer.until(place.deadline, waiting).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(Reason::Deadline),
        }
    }

    fn try_enter(&self, class: Class, place: Place) -> Result<Entered, Reason> {
        let mut state = self.state.lock();
        if state.running < state.most && state.queue.is_empty() {
            state.running += 1;
            return Ok(Entered::Now(self.permit()));
        }
        let (sender, receiver) = oneshot::channel();
        let now = self.timer.now();
        match state.queue.push(class, place, now, sender) {
            Ok(()) => Ok(Entered::Later(receiver)),
            Err(_) => Err(Reason::QueueFull),
        }
    }

    fn permit(&self) -> Permit {
        Permit {
            limit: Some(self.clone()),
        }
    }

    /// Gives one permit back.
    fn leave(&self) {
        self.state.lock().running -= 1;
        self.dispatch();
    }

    /// Gives free permits to waiters.
    fn dispatch(&self) {
        while let Some(waiter) = self.next_waiter() {
            if let Err(mut unused) = waiter.send(self.permit()) {
                unused.limit = None;
                self.state.lock().running -= 1;
            }
        }
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Permit>> {
        let mut state = self.state.lock();
        if state.running >= state.most {
            return None;
        }
        let waiter = state.queue.pop(self.timer.now())?;
        state.running += 1;
        Some(waiter)
    }
}

enum Entered {
    Now(Permit),
    Later(oneshot::Receiver<Permit>),
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limit) = self.limit.take() {
            limit.leave();
        }
    }
}
