//! Price of a slot for an instance that decides alone and has no waiting room.

use std::{cmp::Ordering, collections::VecDeque};

use sg_types::prelude::*;

use crate::{
    fairness::Fairness,
    order::{Bid, Rank},
};

/// Number of recent requests whose bids are compared. One in a hundred of their work can be told apart.
const RECENT: usize = 128;
/// Least time that a request is taken to have, against a division by zero.
const LEAST_SECONDS: f64 = 1e-9;
/// Weight of a request in the averages of waits and times left.
const SMOOTHING: f64 = 1.0 / 32.0;
/// Fraction of the time left that a wait may take where the work alone exceeds the objective. Such requests
/// gain little from a queue, but with a shorter wait the order of the requests would hardly matter: those
/// that find a free slot by chance would get it. At a tenth, callers get less of the worth in simulation.
const FALLBACK_FRACTION: f64 = 0.03;
/// Fractional part of the golden ratio. Its multiples modulo 1 are evenly spread for any number of them.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// A change of whether requests are refused by price.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The first requests are refused by price.
    Started,
    /// No request was refused by price for the whole horizon.
    Stopped,
}

/// Price of a slot: the fraction of the recent demand, last in the order, that is refused. The fraction is a
/// half when the expected wait is what the objectives leave, and rises and falls with the wait. It depends on
/// nothing but the recent requests, so it doesn't overshoot when waits are known late.
#[derive(Debug, Clone)]
pub struct Price {
    fairness: Fairness,
    recent: VecDeque<(Rank, f64)>,
    /// Average expected wait, in seconds.
    wait: f64,
    /// Average of the inverse of the time that each request can wait. Requests share one queue, so those that
    /// can wait least count most.
    urgency: f64,
    refused_fraction: f64,
    judged: u64,
    /// Time of the last refusal, while requests are refused.
    refused_at: Option<Instant>,
    horizon: Span,
    change: Option<Change>,
}

impl Price {
    /// Creates a price of zero. Shares of accounts and routes are observed over multiples of `horizon`.
    #[must_use]
    pub fn new(horizon: Span) -> Self {
        Self {
            fairness: Fairness::new(horizon),
            recent: VecDeque::with_capacity(RECENT),
            wait: 0.0,
            urgency: 0.0,
            refused_fraction: 0.0,
            judged: 0,
            refused_at: None,
            horizon,
            change: None,
        }
    }

    /// Returns the fraction of the recent demand that is refused.
    #[must_use]
    pub fn refused_fraction(&self) -> f64 {
        self.refused_fraction
    }

    /// Returns the latest change of whether requests are refused, once. Changes to refusing are at least a
    /// horizon apart.
    pub fn take_change(&mut self) -> Option<Change> {
        self.change.take()
    }

    /// Returns whether a request is admitted that is expected to wait for `wait` at the best target. A
    /// request that need not wait is always admitted, because a free slot serves no other request.
    pub fn admits(&mut self, bid: &Bid, wait: Span, now: Instant) -> bool {
        self.fairness.record_offer(bid, now);
        self.observe(bid, wait);
        let rank = bid.rank(self.fairness.standing(bid, now));
        let is_admitted = self.is_affordable(rank, wait);
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        if self.judged.is_multiple_of(RECENT as u64) {
            self.fairness.prune(now);
        }
        self.recent.push_back((rank, bid.work.as_secs_f64()));
        if is_admitted {
            self.fairness.record_taken(bid, now);
        }
        self.record_change(is_admitted, now);
        is_admitted
    }

    /// Returns whether [`Self::admits`] would admit the request now. Records nothing.
    #[must_use]
    pub fn would_admit(&self, bid: &Bid, wait: Span, now: Instant) -> bool {
        let rank = bid.rank(self.fairness.standing(bid, now));
        self.is_affordable(rank, wait)
    }

    fn is_affordable(&self, rank: Rank, wait: Span) -> bool {
        wait == Span::ZERO || self.position(rank) <= 1.0 - self.refused_fraction
    }

    /// Records a request that no target can serve in time, whatever the price.
    pub fn record_late(&mut self, bid: &Bid, now: Instant) {
        self.fairness.record_offer(bid, now);
    }

    /// Moves the price by the expected wait of a request.
    fn observe(&mut self, bid: &Bid, wait: Span) {
        let work = bid.work.as_secs_f64();
        let time_left = bid.deadline_left.as_secs_f64();
        let objective_room = bid.objective_left.as_secs_f64() - work;
        let room = objective_room.max(time_left * FALLBACK_FRACTION);
        let weight = if self.judged == 0 { 1.0 } else { SMOOTHING };
        self.judged += 1;
        self.wait += (wait.as_secs_f64() - self.wait) * weight;
        self.urgency += (1.0 / room.max(LEAST_SECONDS) - self.urgency) * weight;
        let ratio = self.wait * self.urgency;
        self.refused_fraction = ratio / (ratio + 1.0);
    }

    /// Returns the part of the recent demand that precedes a request of this rank. Among requests of equal
    /// rank, the place of each differs.
    fn position(&self, rank: Rank) -> f64 {
        let (mut preceding, mut equal, mut all) = (0.0, 0.0, 0.0);
        for (other, work) in &self.recent {
            all += work;
            match other.cmp(&rank) {
                Ordering::Less => preceding += work,
                Ordering::Equal => equal += work,
                Ordering::Greater => {}
            }
        }
        let spread = (self.judged as f64 * SPREAD_STEP).fract();
        if all > 0.0 {
            (preceding + equal * spread) / all
        } else {
            0.0
        }
    }

    fn record_change(&mut self, is_admitted: bool, now: Instant) {
        if !is_admitted {
            if self.refused_at.replace(now).is_none() {
                self.change = Some(Change::Started);
            }
        } else if self
            .refused_at
            .is_some_and(|at| now.since(at) > self.horizon)
        {
            self.refused_at = None;
            self.change = Some(Change::Stopped);
        }
    }
}
