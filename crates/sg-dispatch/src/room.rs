//! Waiting room of the requests that find no free slot, bounded in requests, bytes and time.

mod drain;

use sg_types::prelude::*;

use crate::{
    fairness::Fairness,
    order::{Bid, Rank, Standing},
};
use drain::Drain;

/// Largest part of a rejected caller's remaining time that its pause may take. Callers honour a pause of up
/// to a third of their remaining time; the spread adds up to a third to the pause.
const MAX_PAUSE_FRACTION: f64 = 0.25;
/// Least part of a rejected caller's remaining time that its pause takes. Shorter pauses bring the caller
/// back before any capacity has freed up.
const MIN_PAUSE_FRACTION: f64 = 0.1;
/// Fraction of a pause by which pauses of callers rejected at the same time differ at most.
const PAUSE_SPREAD: f64 = 1.0 / 3.0;
/// Fractional part of the golden ratio. Its multiples modulo 1 are evenly spread for any number of them.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;
/// Largest part of the time until its latest start that a request waits once it can't meet its objective. A
/// longer queue serves no more requests but all of them later, and leaves a rejected caller no time to retry.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Time for which the standings of the waiting classes are reused, as a fraction of the time over which they
/// are observed. They can't change much within this time.
const STANDING_FRACTION: f64 = 0.01;

/// Bounds of a waiting room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest number of waiting requests.
    pub requests: usize,
    /// Largest size of all waiting requests.
    pub bytes: Bytes,
    /// Longest time that a request may wait. Rates and shares are observed over multiples of this time.
    pub time: Span,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The room is full, and the waiting requests precede this one.
    Outbid,
    /// A request that precedes this one took its place.
    Displaced,
    /// The request can't be served in time, or no slot is expected within a useful wait.
    Hopeless,
    /// The room closed.
    Closed,
}

impl Cause {
    /// Returns the cause as a label of metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Outbid => "outbid",
            Self::Displaced => "displaced",
            Self::Hopeless => "hopeless",
            Self::Closed => "closed",
        }
    }
}

/// A request that gets no slot. No target has run the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejected<T> {
    /// What the owner attached to the request.
    pub item: T,
    /// The bid at the time of the rejection.
    pub bid: Bid,
    /// Why the request is rejected.
    pub cause: Cause,
    /// Time after which the caller may expect capacity. The times of callers that are rejected together differ.
    pub retry_after: Span,
}

/// Result of an offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer<T> {
    /// Expected time until a slot is free for the request, or `None` if the request is rejected.
    pub expected: Option<Span>,
    /// The requests rejected by this offer, possibly including the offered one.
    pub rejected: Vec<Rejected<T>>,
}

/// A request that gets a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Taken<T> {
    /// What the owner attached to the request.
    pub item: T,
    /// The bid at the time when the request was taken.
    pub bid: Bid,
}

/// A request that waits.
#[derive(Debug, Clone)]
struct Entry<T> {
    /// The bid at the time of the offer.
    bid: Bid,
    offered_at: Instant,
    size: Bytes,
    number: u64,
    item: T,
}

impl<T> Entry<T> {
    /// Returns the end of the request's longest useful wait.
    fn wait_ends(&self) -> Instant {
        self.offered_at + longest_wait(&self.bid)
    }

    fn is_late(&self, now: Instant) -> bool {
        let waited = now.since(self.offered_at);
        waited + self.bid.work > self.bid.objective_left
    }

    fn is_servable(&self, now: Instant) -> bool {
        self.bid.work <= self.bid.deadline_left && now <= self.wait_ends()
    }
}

/// Waiting requests whose ranks differ only by time and work.
#[derive(Debug, Clone)]
struct Class<T> {
    standing: Standing,
    entries: Vec<Entry<T>>,
}

/// What the requests of a class have in common.
type ClassKey = (u32, id::Route, Option<id::Account>);

/// Returns the longest useful wait of a request: until it misses its objective, or for a part of its slack.
fn longest_wait(bid: &Bid) -> Span {
    let slack = bid.deadline_left.saturating_sub(bid.work);
    let slack = slack.mul_f64(MAX_WAIT_FRACTION);
    let to_objective = bid.objective_left.saturating_sub(bid.work);
    let to_deadline = bid.deadline_left.saturating_sub(bid.work);
    slack.max(to_objective).min(to_deadline)
}

fn class_key(bid: &Bid) -> ClassKey {
    (bid.priority, bid.route.clone(), bid.account.clone())
}

/// Order among waiting requests: by rank, then by the end of the wait, then by arrival.
type Place = (Rank, Instant, u64);

/// The waiting requests of one group of slots.
#[derive(Debug, Clone)]
pub struct Room<T> {
    bounds: Bounds,
    classes: IndexMap<ClassKey, Class<T>>,
    requests: usize,
    bytes: u64,
    drain: Drain,
    fairness: Fairness,
    standings_at: Instant,
    offers: u64,
    rejections: u64,
}

impl<T> Room<T> {
    /// Creates an empty room.
    #[must_use]
    pub fn new(bounds: Bounds, now: Instant) -> Self {
        Self {
            bounds,
            classes: IndexMap::new(),
            requests: 0,
            bytes: 0,
            drain: Drain::new(bounds.time, now),
            fairness: Fairness::new(bounds.time),
            standings_at: now,
            offers: 0,
            rejections: 0,
        }
    }

    /// Sets the number of slots that free up for the waiting requests. The room corrects the number by the
    /// work of the requests that are taken while others wait.
    pub fn set_slots(&mut self, slots: u32) {
        self.drain.set_slots(slots);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }

    /// Returns the size of the waiting requests.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        Bytes::new(self.bytes)
    }

    /// Offers a request that holds `size` bytes while it waits. A request that would wait longer than is useful
    /// is rejected at once; if the room is full, the requests of the greatest rank are.
    pub fn offer(&mut self, bid: Bid, size: Bytes, item: T, now: Instant) -> Offer<T> {
        self.advance(now);
        self.fairness.record_offer(&bid, now);
        self.offers += 1;
        let entry = Entry {
            bid,
            offered_at: now,
            size,
            number: self.offers,
            item,
        };
        let key = class_key(&entry.bid);
        let standing = match self.classes.get(&key) {
            Some(class) => class.standing,
            None => self.fairness.standing(&entry.bid, now),
        };
        let expected = self.expected_wait(entry.bid.rank(standing), now);
        if expected > self.bounds.time
            || expected > longest_wait(&entry.bid)
            || entry.bid.work > entry.bid.deadline_left
        {
            let rejected = self.reject(entry, Cause::Hopeless, expected, now);
            return Offer {
                expected: None,
                rejected: vec![rejected],
            };
        }
        let number = entry.number;
        self.insert(key, standing, entry);
        let mut offer = Offer {
            expected: Some(expected),
            rejected: Vec::new(),
        };
        while self.requests > self.bounds.requests || self.bytes > self.bounds.bytes.get() {
            let Some(entry) = self.remove_last(now) else {
                break;
            };
            let cause = if entry.number == number {
                offer.expected = None;
                Cause::Outbid
            } else {
                Cause::Displaced
            };
            let rejected = self.reject(entry, cause, expected, now);
            offer.rejected.push(rejected);
        }
        offer
    }

    /// Records a request that gets a slot without an offer. Shares and usual demand then cover all requests, and
    /// not only those of an overload.
    pub fn record_grant(&mut self, bid: &Bid, now: Instant) {
        self.fairness.record_offer(bid, now);
        self.fairness.record_taken(bid, now);
    }

    /// Takes the first request in the order for which `fits` returns true, for a slot that is free now.
    pub fn take_next(
        &mut self,
        mut fits: impl FnMut(&T, &Bid) -> bool,
        now: Instant,
    ) -> Option<Taken<T>> {
        self.advance(now);
        let (class, index) = self.first_fitting(|entry| fits(&entry.item, &entry.bid), now)?;
        let entry = self.remove_at(class, index);
        self.drain.record_taken(entry.bid.work);
        self.fairness.record_taken(&entry.bid, now);
        let waited = now.since(entry.offered_at);
        Some(Taken {
            bid: entry.bid.after(waited),
            item: entry.item,
        })
    }

    /// Removes the requests whose longest useful wait is over. To
    /// be called at least several times in the shortest time that a caller has left.
    pub fn expire(&mut self, now: Instant) -> Vec<Rejected<T>> {
        self.advance(now);
        self.fairness.prune(now);
        let longest = self.bounds.time;
        let is_over =
            |entry: &Entry<T>| !entry.is_servable(now) || now.since(entry.offered_at) > longest;
        let mut over = Vec::new();
        for class in self.classes.values_mut() {
            over.extend(class.entries.extract_if(.., |entry| is_over(entry)));
        }
        self.classes.retain(|_, class| !class.entries.is_empty());
        let wait = self.drain.time_for(self.waiting_work());
        let over = over.into_iter();
        over.map(|entry| {
            self.requests -= 1;
            self.bytes -= entry.size.get();
            self.reject(entry, Cause::Hopeless, wait, now)
        })
        .collect()
    }

    /// Removes the first request for which `matches` returns true, because its caller left.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Option<T> {
        let classes = self.classes.values().enumerate();
        let (class, index) = classes.into_iter().find_map(|(class, waiting)| {
            let index = waiting.entries.iter().position(|e| matches(&e.item))?;
            Some((class, index))
        })?;
        Some(self.remove_at(class, index).item)
    }

    /// Removes all requests, because no slot will be free any more.
    pub fn close(&mut self, now: Instant) -> Vec<Rejected<T>> {
        let classes = std::mem::take(&mut self.classes);
        self.requests = 0;
        self.bytes = 0;
        let entries = classes.into_values().flat_map(|class| class.entries);
        entries
            .map(|entry| self.reject(entry, Cause::Closed, Span::ZERO, now))
            .collect()
    }

    /// Returns the rank of the last request that would be taken while callers wait, or `None` while the
    /// room has free places: a request of a greater rank would be rejected now.
    #[must_use]
    pub fn price(&self, now: Instant) -> Option<Rank> {
        if self.requests < self.bounds.requests && self.bytes < self.bounds.bytes.get() {
            return None;
        }
        let last = self.places(now).max_by_key(|(place, ..)| *place);
        last.map(|((rank, ..), ..)| rank)
    }

    /// Returns the places of all waiting requests, with their class and index.
    fn places(&self, now: Instant) -> impl Iterator<Item = (Place, usize, usize)> + '_ {
        let classes = 0..self.classes.len();
        classes.flat_map(move |class| self.places_in(class, now))
    }

    /// Returns the places of the waiting requests of one class.
    fn places_in(
        &self,
        class: usize,
        now: Instant,
    ) -> impl Iterator<Item = (Place, usize, usize)> + '_ {
        let waiting = &self.classes[class];
        let entries = waiting.entries.iter().enumerate();
        entries.map(move |(index, entry)| {
            let rank = entry.bid.rank_with(waiting.standing, entry.is_late(now));
            ((rank, entry.wait_ends(), entry.number), class, index)
        })
    }

    /// Returns the first servable request. Classes are passed over if all of their requests come later.
    fn first(&self, now: Instant) -> Option<(Place, usize, usize)> {
        let mut first: Option<(Place, usize, usize)> = None;
        for (class, waiting) in self.classes.values().enumerate() {
            let least = waiting.entries[0].bid.least_rank(waiting.standing);
            if first.is_some_and(|((rank, ..), ..)| rank < least) {
                continue;
            }
            let servable = self.places_in(class, now);
            let servable = servable.filter(|(place, ..)| now <= place.1);
            first = servable.chain(first).min_by_key(|(place, ..)| *place);
        }
        first
    }

    /// Returns the class and index of the first servable request for which `fits` returns true. The requests
    /// are sorted only if the first one doesn't fit.
    fn first_fitting(
        &self,
        mut fits: impl FnMut(&Entry<T>) -> bool,
        now: Instant,
    ) -> Option<(usize, usize)> {
        let servable = || self.places(now).filter(|(place, ..)| now <= place.1);
        let (first, class, index) = self.first(now)?;
        if fits(&self.classes[class].entries[index]) {
            return Some((class, index));
        }
        let mut others: Vec<_> = servable().filter(|(place, ..)| *place > first).collect();
        others.sort_unstable_by_key(|(place, ..)| *place);
        let mut others = others.into_iter().map(|(_, class, index)| (class, index));
        others.find(|(class, index)| fits(&self.classes[*class].entries[*index]))
    }

    /// Brings the observed rate and the standings up to `now`.
    fn advance(&mut self, now: Instant) {
        self.drain.advance(now, !self.is_empty());
        if now.since(self.standings_at) < self.bounds.time.mul_f64(STANDING_FRACTION) {
            return;
        }
        self.standings_at = now;
        for class in self.classes.values_mut() {
            class.standing = self.fairness.standing(&class.entries[0].bid, now);
        }
    }

    /// Returns the expected time until a slot is free for a request of this rank: the time in which the slots
    /// take the waiting requests that precede it.
    fn expected_wait(&self, rank: Rank, now: Instant) -> Span {
        let preceding = self.places(now).filter(|((other, ..), ..)| *other <= rank);
        let work = preceding.map(|(_, class, index)| self.classes[class].entries[index].bid.work);
        let work = work.fold(Span::ZERO, |sum, work| sum + work);
        self.drain.time_for(work)
    }

    fn waiting_work(&self) -> Span {
        let entries = self.classes.values().flat_map(|class| &class.entries);
        entries.fold(Span::ZERO, |sum, entry| sum + entry.bid.work)
    }

    fn insert(&mut self, key: ClassKey, standing: Standing, entry: Entry<T>) {
        self.requests += 1;
        self.bytes += entry.size.get();
        let class = self.classes.entry(key).or_insert_with(|| Class {
            standing,
            entries: Vec::new(),
        });
        class.entries.push(entry);
    }

    fn remove_last(&mut self, now: Instant) -> Option<Entry<T>> {
        let last = self.places(now).max_by_key(|(place, ..)| *place);
        let (_, class, index) = last?;
        Some(self.remove_at(class, index))
    }

    fn remove_at(&mut self, class: usize, index: usize) -> Entry<T> {
        let entries = &mut self.classes[class].entries;
        let entry = entries.swap_remove(index);
        if entries.is_empty() {
            self.classes.swap_remove_index(class);
        }
        self.requests -= 1;
        self.bytes -= entry.size.get();
        entry
    }

    /// Rejects a request for which capacity is expected after `wait`.
    fn reject(&mut self, entry: Entry<T>, cause: Cause, wait: Span, now: Instant) -> Rejected<T> {
        self.rejections += 1;
        let bid = entry.bid.after(now.since(entry.offered_at));
        let left = bid.deadline_left;
        let longest = left.mul_f64(MAX_PAUSE_FRACTION);
        let shortest = left.mul_f64(MIN_PAUSE_FRACTION);
        let pause = if cause == Cause::Closed {
            Span::ZERO
        } else {
            wait.clamp(shortest, longest)
        };
        let spread = (self.rejections as f64 * SPREAD_STEP).fract() * PAUSE_SPREAD;
        Rejected {
            item: entry.item,
            bid,
            cause,
            retry_after: pause.mul_f64(1.0 + spread),
        }
    }
}
