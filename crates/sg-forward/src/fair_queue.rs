//! A queue that serves classes of waiters by weight, with a limit for each class and a deadline for
//! each waiter. The current time is an argument.

use std::{collections::VecDeque, hash::Hash};

use sg_types::prelude::*;

/// The parameters with which a waiter is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueParams {
    /// The number of waiters of the class that are served in a round.
    pub weight: u32,
    /// The largest number of waiters of the class.
    pub limit: u32,
    /// The time after which the waiter is dropped.
    pub deadline: Instant,
}

/// The class has reached its limit of waiters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// A queue of waiters `W` in classes `C`, served by deficit round robin.
#[derive(Debug)]
pub struct Queue<C, W> {
    classes: IndexMap<C, Class<W>>,
    rotation: VecDeque<C>,
    len: usize,
}

#[derive(Debug)]
struct Class<W> {
    waiters: VecDeque<(Instant, W)>,
    weight: u32,
    credit: u32,
}

impl<C, W> Default for Queue<C, W> {
    fn default() -> Self {
        Self {
            classes: IndexMap::new(),
            rotation: VecDeque::new(),
            len: 0,
        }
    }
}

impl<C: Clone + Eq + Hash, W> Queue<C, W> {
    /// Adds a waiter at the end of its class.
    ///
    /// # Errors
    /// [`Full`] if the class has `params.limit` waiters whose deadlines have not passed.
    pub fn push(
        &mut self,
        class: C,
        params: QueueParams,
        now: Instant,
        waiter: W,
    ) -> Result<(), Full> {
        self.remove_expired(&class, params.limit, now);
        let entry = self.classes.entry(class.clone()).or_insert_with(|| Class {
            waiters: VecDeque::new(),
            weight: 1,
            credit: 0,
        });
        entry.weight = params.weight.max(1);
        if entry.waiters.len() >= params.limit as usize {
            return Err(Full);
        }
        if entry.waiters.is_empty() {
            entry.credit = 0;
            self.rotation.push_back(class);
        }
        entry.waiters.push_back((params.deadline, waiter));
        self.len += 1;
        Ok(())
    }

    /// Removes and returns the next waiter whose deadline has not passed.
    pub fn pop(&mut self, now: Instant) -> Option<W> {
        while let Some(class) = self.rotation.front().cloned() {
            let Some(entry) = self.classes.get_mut(&class) else {
                self.rotation.pop_front();
                continue;
            };
            if entry.credit == 0 {
                entry.credit = entry.weight;
            }
            let next = entry.waiters.pop_front();
            self.len -= usize::from(next.is_some());
            let live = next.filter(|(deadline, _)| *deadline > now);
            entry.credit -= u32::from(live.is_some());
            if entry.waiters.is_empty() {
                self.rotation.pop_front();
                self.classes.swap_remove(&class);
            } else if entry.credit == 0 {
                self.rotation.rotate_left(1);
            }
            if let Some((_, waiter)) = live {
                return Some(waiter);
            }
        }
        None
    }

    /// Returns the number of waiters, including those past their deadline.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes the waiters past their deadline from a full class.
    fn remove_expired(&mut self, class: &C, limit: u32, now: Instant) {
        let Some(entry) = self.classes.get_mut(class) else {
            return;
        };
        if entry.waiters.len() < limit as usize {
            return;
        }
        let before = entry.waiters.len();
        entry.waiters.retain(|(deadline, _)| *deadline > now);
        self.len -= before - entry.waiters.len();
        if entry.waiters.is_empty() {
            self.classes.swap_remove(class);
            self.rotation.retain(|other| other != class);
        }
    }
}
