//! The place where requests wait for a slot, and the simplest such place.

use std::collections::VecDeque;

use sg_types::prelude::*;

use crate::order::Bid;

/// Number of requests that may wait.
const LIMIT: usize = 4_096;

/// A place where requests wait for a slot.
pub trait Room<T> {
    /// Adds a request and returns those that are rejected for it, possibly the request itself, each with
    /// the time after which there may be capacity. `slots` is the number of slots that the waiting
    /// requests compete for.
    fn offer(&mut self, bid: Bid, entry: T, slots: u32, now: Instant) -> Vec<(T, Span)>;

    /// Removes the first request in the order for which `fits` returns true.
    fn take_next(&mut self, fits: impl FnMut(&T) -> bool, now: Instant) -> Option<T>;

    /// Removes the requests that can't be served any more, each with the time after which there may be
    /// capacity.
    fn expire(&mut self, now: Instant) -> Vec<(T, Span)>;

    /// Returns the number of waiting requests.
    fn len(&self) -> usize;

    /// Returns whether no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Serves requests in the order of their arrival.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    entries: VecDeque<(Instant, Bid, T)>,
    work_seconds: f64,
    slots: u32,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: VecDeque::new(),
            work_seconds: 0.0,
            slots: 1,
        }
    }
}

impl<T> Queue<T> {
    fn retry_after(&self) -> Span {
        let wait = self.work_seconds / f64::from(self.slots.max(1));
        Span::from_secs(1).mul_f64(wait)
    }
}

impl<T> Room<T> for Queue<T> {
    fn offer(&mut self, bid: Bid, entry: T, slots: u32, now: Instant) -> Vec<(T, Span)> {
        self.slots = slots;
        if self.entries.len() >= LIMIT || self.retry_after() + bid.work > bid.deadline_left {
            return vec![(entry, self.retry_after())];
        }
        self.work_seconds += bid.work.as_secs_f64();
        self.entries.push_back((now, bid, entry));
        Vec::new()
    }

    fn take_next(&mut self, mut fits: impl FnMut(&T) -> bool, _now: Instant) -> Option<T> {
        let index = self.entries.iter().position(|(_, _, entry)| fits(entry))?;
        let (_, bid, entry) = self.entries.remove(index)?;
        self.work_seconds -= bid.work.as_secs_f64();
        Some(entry)
    }

    fn expire(&mut self, now: Instant) -> Vec<(T, Span)> {
        let retry_after = self.retry_after();
        let mut expired = Vec::new();
        let entries = std::mem::take(&mut self.entries);
        for (since, bid, entry) in entries {
            if now.since(since) + bid.work > bid.deadline_left {
                self.work_seconds -= bid.work.as_secs_f64();
                expired.push((entry, retry_after));
            } else {
                self.entries.push_back((since, bid, entry));
            }
        }
        expired
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}
