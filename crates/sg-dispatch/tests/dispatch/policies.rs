//! Alternatives for the order of refusal, on the interface of the simulation.

use sg_dispatch::{
    Bid, Price, Room,
    room::{Bounds, Rejected},
};
use sg_types::prelude::*;

use crate::play::Policy;

/// Number of requests that may wait, as a multiple of the slots.
const ROOM_FACTOR: usize = 4;

/// The order of the library.
pub struct Ordered(pub Room<usize>, usize);

impl Ordered {
    pub fn new(slots: usize) -> Self {
        let bounds = Bounds {
            requests: slots * ROOM_FACTOR,
            bytes: Bytes::new(64 << 20),
            time: Span::from_secs(10),
        };
        Self(Room::new(bounds, Instant::START), slots)
    }
}

fn pauses(rejected: Vec<Rejected<usize>>) -> Vec<(usize, Span)> {
    let rejected = rejected.into_iter();
    rejected
        .map(|rejected| (rejected.item, rejected.retry_after))
        .collect()
}

impl Policy for Ordered {
    fn set_slots(&mut self, slots: usize) {
        self.0.set_slots(slots as u32);
    }

    fn offer(&mut self, bid: Bid, request: usize, now: Instant) -> Vec<(usize, Span)> {
        pauses(
            self.0
                .offer(bid, Bytes::new(1 << 10), request, now)
                .rejected,
        )
    }

    fn take_next(&mut self, now: Instant) -> Option<usize> {
        Some(self.0.take_next(|_, _| true, now)?.item)
    }

    fn expire(&mut self, now: Instant) -> Vec<(usize, Span)> {
        pauses(self.0.expire(now))
    }
}

/// The order of the library, whose owner doesn't learn that slots are lost.
pub struct Untold(pub Ordered);

impl Policy for Untold {
    fn set_slots(&mut self, slots: usize) {
        self.0.set_slots(slots.max(self.0.1));
    }

    fn offer(&mut self, bid: Bid, request: usize, now: Instant) -> Vec<(usize, Span)> {
        self.0.offer(bid, request, now)
    }

    fn take_next(&mut self, now: Instant) -> Option<usize> {
        self.0.take_next(now)
    }

    fn expire(&mut self, now: Instant) -> Vec<(usize, Span)> {
        self.0.expire(now)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// Today's decision: in order of arrival, refused by a wait that is known with a delay and a margin of a
    /// tenth of the remaining time per priority level. It queues at the targets and withdraws nothing.
    Margin,
    /// As `Margin`, with the price of the library instead of the margin.
    Alone,
    /// Priority, then arrival.
    Strict,
    /// Priority, then the least work.
    Shortest,
    /// Worth per second of slot above a price, then arrival.
    Price,
    /// Most worth per second of slot.
    Density,
    /// The earliest deadline among those that can be in time.
    Earliest,
}

/// A plain queue in the order of a rule.
pub struct Queue {
    rule: Rule,
    slots: usize,
    waiting: Vec<(Bid, usize, Instant)>,
    /// Wait for the queue as it was at the last report.
    reported_wait: Span,
    reported_at: Instant,
    price: f64,
    misses: f64,
    learned: Price,
}

impl Queue {
    pub fn new(rule: Rule, slots: usize) -> Self {
        Self {
            rule,
            slots,
            waiting: Vec::new(),
            reported_wait: Span::ZERO,
            reported_at: Instant::START,
            price: 0.0,
            misses: 0.0,
            learned: Price::new(Span::from_secs(10)),
        }
    }

    /// Returns what precedes in the order of the rule.
    fn key(&self, (bid, _, offered_at): &(Bid, usize, Instant)) -> (u32, Span, Instant) {
        match self.rule {
            Rule::Margin | Rule::Alone | Rule::Price => (0, Span::ZERO, *offered_at),
            Rule::Density => {
                let cost = 1.0 / Self::density(bid, Span::ZERO);
                (0, Span::from_secs(1).mul_f64(cost), *offered_at)
            }
            Rule::Strict => (bid.priority, Span::ZERO, *offered_at),
            Rule::Shortest => (bid.priority, bid.work, *offered_at),
            Rule::Earliest => (0, Span::ZERO, *offered_at + bid.deadline_left),
        }
    }

    /// Whether the requests wait at the targets.
    fn withdraws_nothing(&self) -> bool {
        matches!(self.rule, Rule::Margin | Rule::Alone)
    }

    fn wait_before(&self, entry: &(Bid, usize, Instant)) -> Span {
        let key = self.key(entry);
        let preceding = self.waiting.iter().filter(|other| self.key(other) <= key);
        let work = preceding.fold(Span::ZERO, |sum, (bid, ..)| sum + bid.work);
        work.mul_f64(1.0 / self.slots.max(1) as f64)
    }

    /// Returns the worth of a request for each second of slot, after `wait`.
    fn density(bid: &Bid, wait: Span) -> f64 {
        let is_late = wait + bid.work > bid.objective_left;
        let worth = if is_late { 0.2 } else { 1.0 };
        worth * 0.5f64.powi(bid.priority as i32) / bid.work.as_secs_f64()
    }
}

impl Policy for Queue {
    fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    fn offer(&mut self, bid: Bid, request: usize, now: Instant) -> Vec<(usize, Span)> {
        let entry = (bid, request, now);
        let bid = &entry.0;
        let wait = self.wait_before(&entry);
        let is_admitted = match self.rule {
            Rule::Margin => {
                let margin = 1.0 - 0.1 * f64::from(bid.priority);
                self.reported_wait + bid.work <= bid.deadline_left.mul_f64(margin)
            }
            Rule::Alone => {
                self.learned.admits(bid, self.reported_wait, now)
                    && bid.is_servable_after(self.reported_wait)
            }
            Rule::Price => bid.is_servable_after(wait) && Self::density(bid, wait) >= self.price,
            _ => bid.is_servable_after(wait),
        };
        if !is_admitted {
            return vec![(request, bid.deadline_left.mul_f64(0.12))];
        }
        self.waiting.push(entry);
        Vec::new()
    }

    fn take_next(&mut self, now: Instant) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        let is_usable = |(bid, _, offered_at): &(Bid, usize, Instant)| {
            self.withdraws_nothing() || bid.is_servable_after(now.since(*offered_at))
        };
        let usable = waiting.filter(|(_, entry)| is_usable(entry));
        let (index, _) = usable.min_by_key(|(_, entry)| self.key(entry))?;
        let (bid, request, offered_at) = self.waiting.swap_remove(index);
        let could_meet = bid.work <= bid.objective_left;
        let missed = could_meet && now.since(offered_at) + bid.work > bid.objective_left;
        self.misses += (f64::from(u8::from(missed)) - self.misses) * 0.02;
        Some(request)
    }

    fn expire(&mut self, now: Instant) -> Vec<(usize, Span)> {
        if now.since(self.reported_at) >= Span::from_secs(1) {
            self.reported_at = now;
            let work = self
                .waiting
                .iter()
                .fold(Span::ZERO, |sum, (bid, ..)| sum + bid.work);
            self.reported_wait = work.mul_f64(1.0 / self.slots.max(1) as f64);
        }
        // Rises while more than one in twenty of those that could meet their objective miss it.
        let step = if self.misses > 0.05 { 1.01 } else { 0.99 };
        self.price = (self.price * step).max(0.01);
        self.misses *= 0.98;
        if self.withdraws_nothing() {
            return Vec::new();
        }
        let is_over = |(bid, _, offered_at): &mut (Bid, usize, Instant)| {
            !bid.is_servable_after(now.since(*offered_at))
        };
        let over = self.waiting.extract_if(.., is_over);
        over.map(|(bid, request, _)| (request, bid.deadline_left.mul_f64(0.12)))
            .collect()
    }
}
