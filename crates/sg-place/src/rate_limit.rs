//! The requests per second that a target states it takes from all instances together.

use sg_types::prelude::*;

/// A change of the rate that a target states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The target states this rate, which it did not state before.
    Stated(Rate),
    /// The target no longer states a rate.
    Lifted,
}

/// The rate that a target stated last.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateLimit {
    stated: Option<Rate>,
    stated_at: Instant,
}

impl RateLimit {
    /// Returns the rate in force, if the target states one.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.stated
    }

    /// Records what a response to a request of this instance states; `sent_at` is when the request was
    /// sent. A response without a rate lifts the limit only if its request was sent after the rate became
    /// known, because responses overtake each other.
    pub fn record(
        &mut self,
        stated: Option<Rate>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if stated.is_none() && (self.stated.is_none() || sent_at < self.stated_at) {
            return None;
        }
        let previous = std::mem::replace(&mut self.stated, stated);
        self.stated_at = now;
        if previous == stated {
            return None;
        }
        Some(stated.map_or(Change::Lifted, Change::Stated))
    }
}
