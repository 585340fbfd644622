//! The targets of one service in one region, and the requests that use their slots or wait for one.

mod choice;
mod table;
mod target;
mod waiting;

use sg_place::{hash::Object, pace::Persistence, pace::Sample, work_estimate::MovingAverage};
use sg_types::prelude::*;

use crate::{
    lease::{Held, Leases},
    message::{Ask, Decision, End, Lease, Outcome, TargetView, Ticket},
    order::Bid,
    placement::Placements,
    recent::Recent,
    room::{Bounds, Room},
};
use choice::{Candidate, Evaluation, Need};
use table::Table;
use waiting::{Promise, Waiting};

/// Number of closed tickets that are remembered, so that late and repeated messages change nothing. At
/// several hundred requests per second, this covers more than ten seconds.
const CLOSED: usize = 16_384;
/// Maximum number of leases at a target, per slot. Adopted leases are not bounded by grants.
const MAX_LEASES_PER_SLOT: u32 = 4;
/// Number of the least utilised targets whose free slots are offered to waiting requests at each tick.
const REFILLED: usize = 8;
/// Size of a waiting request at the dispatcher, which does not hold the request's body.
const WAITING_SIZE: Bytes = Bytes::new(512);

const NANOS_PER_SECOND: f64 = 1e9;

/// A target of a group, by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Place(u32);

impl Place {
    fn new(index: usize) -> Self {
        Self(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// What a group has done since its creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Slots that were granted.
    pub granted: u64,
    /// Slots that were granted where the object was warm.
    pub granted_warm: u64,
    /// Requests that had to wait.
    pub waited: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Leases that other dispatchers granted.
    pub adopted: u64,
    /// Leases that ended with their deadline, without a message.
    pub expired: u64,
}

/// The slots of the targets of one service in one region, as their dispatcher assigns them.
#[derive(Debug, Clone)]
pub struct Group {
    table: Table,
    leases: Leases,
    room: Room<Waiting>,
    waiting: IndexMap<Ticket, Promise>,
    placements: Placements,
    persistence: Persistence,
    /// Average work of the requests.
    work: MovingAverage,
    /// Tickets that ended, with the retry time of those that were rejected.
    closed: Recent<Ticket, Option<Span>>,
    counters: Counters,
}

impl Group {
    /// Creates a group without targets. `bounds` bound the requests that wait.
    #[must_use]
    pub fn new(bounds: Bounds, now: Instant) -> Self {
        Self {
            table: Table::default(),
            leases: Leases::default(),
            room: Room::new(bounds, now),
            waiting: IndexMap::new(),
            placements: Placements::default(),
            persistence: Persistence::default(),
            work: MovingAverage::default(),
            closed: Recent::new(CLOSED),
            counters: Counters::default(),
        }
    }

    /// Replaces the targets. Requests that wait for a target that is gone move to others at the next tick.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetView>, now: Instant) {
        if self.table.replace(targets, now) {
            self.placements.invalidate_ranks();
            self.remove_idle();
        }
        self.update_slots();
    }

    /// Returns the number of slots in use by leases.
    #[must_use]
    pub fn leases(&self) -> usize {
        self.leases.held.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.room.len()
    }

    /// Returns what the group has done.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Decides on a request that needs a slot. A repeated ask gets the same answer.
    pub fn ask(&mut self, ask: Ask, now: Instant) -> Vec<Decision> {
        let ticket = ask.ticket;
        if let Some(answer) = self.earlier_answer(ticket) {
            return answer;
        }
        let need = Need::new(&ask, &self.table);
        self.place(ticket, need, ask.bid, now)
    }

    /// Returns what was decided about `ticket` before. A ticket that has ended gets no answer.
    fn earlier_answer(&mut self, ticket: Ticket) -> Option<Vec<Decision>> {
        if let Some(held) = self.leases.held.get(&ticket) {
            return Some(vec![Decision::Grant {
                ticket,
                target: self.table.get(held.place).id.clone(),
                is_warm: held.depth.is_some(),
            }]);
        }
        if let Some(promise) = self.waiting.get(&ticket) {
            let expected = promise.expected;
            return Some(vec![Decision::Wait { ticket, expected }]);
        }
        let rejected = self.closed.get(&ticket)?;
        let decision = rejected.map(|retry_after| Decision::Reject {
            ticket,
            retry_after,
        });
        Some(decision.into_iter().collect())
    }

    /// Grants a slot to a request, or lets it wait for the best target.
    fn place(&mut self, ticket: Ticket, need: Need, bid: Bid, now: Instant) -> Vec<Decision> {
        let Some(best) = self.choose(&need, now) else {
            // No target here may run the request. The asking instance decides where else it may run.
            return vec![self.reject(ticket, Span::ZERO)];
        };
        if self.table.get(best.place).has_room(now) {
            self.room.record_grant(&bid, now);
            return vec![self.grant(ticket, &need, best, bid.deadline_left, now)];
        }
        if let Some(object) = need.object {
            self.placements.plan(object, best.place);
        }
        let bid = Bid {
            work: span(best.work_seconds),
            ..bid
        };
        let waiting = Waiting {
            ticket,
            need,
            place: best.place,
            warmth: best.warmth,
            since: now,
        };
        self.table
            .change(best.place, now, |target| target.queued += 1);
        let offer = self.room.offer(bid, WAITING_SIZE, waiting, now);
        let place = best.place;
        // The ticket is listed before the rejected ones are removed, which may include it.
        let expected = offer.expected.unwrap_or_default();
        self.waiting.insert(ticket, Promise { place, expected });
        let rejected = offer.rejected.into_iter();
        let mut decisions: Vec<Decision> = rejected
            .map(|rejected| self.reject_waiting(&rejected.item, rejected.retry_after, now))
            .collect();
        if let Some(expected) = offer.expected {
            self.counters.waited += 1;
            decisions.push(Decision::Wait { ticket, expected });
        }
        decisions
    }

    fn choose(&mut self, need: &Need, now: Instant) -> Option<Candidate> {
        let typical_seconds = self.typical_seconds(need);
        let entry = need.object.map(|object| {
            let targets = self.table.places();
            &*self.placements.entry(object, targets)
        });
        let evaluation = Evaluation {
            table: &self.table,
            persistence: &self.persistence,
            typical_seconds,
            now,
        };
        evaluation.choose(need, entry)
    }

    /// Returns the work of a request of which nothing is known, by the request at hand until there are
    /// measurements.
    fn typical_seconds(&self, need: &Need) -> f64 {
        self.work.value().unwrap_or(need.cold_seconds)
    }

    fn grant(
        &mut self,
        ticket: Ticket,
        need: &Need,
        best: Candidate,
        deadline_left: Span,
        now: Instant,
    ) -> Decision {
        let target = self.table.get(best.place);
        let id = target.id.clone();
        let depth = need.object.and_then(|object| target.depth(object));
        let held = Held {
            place: best.place,
            object: need.object,
            since: now,
            until: now + deadline_left,
            work_seconds: best.work_seconds,
            warm_seconds: need.warm_seconds,
            cold_seconds: need.cold_seconds,
            depth,
        };
        self.insert_lease(ticket, held, now);
        self.counters.granted += 1;
        self.counters.granted_warm += u64::from(depth.is_some());
        Decision::Grant {
            ticket,
            target: id,
            is_warm: depth.is_some(),
        }
    }

    fn insert_lease(&mut self, ticket: Ticket, held: Held, now: Instant) {
        let Held { place, object, .. } = held;
        self.table
            .change(place, now, |target| target.begin(held.work_seconds));
        self.begin_object(object, place, now);
        self.leases.held.insert(ticket, held);
    }

    /// Records that an object becomes warm at a target.
    fn begin_object(&mut self, object: Option<Object>, place: Place, now: Instant) {
        let Some(object) = object else {
            return;
        };
        let begin = |target: &mut target::Target| target.begin_object(object);
        if let Some(forgotten) = self.table.change(place, now, begin) {
            self.placements.evict(forgotten, place);
        }
        self.placements.begin(object, place);
    }

    /// Records the end of the use of a slot, and grants the slot to a waiting request.
    pub fn end(&mut self, ticket: Ticket, end: End, now: Instant) -> Vec<Decision> {
        let Some(held) = self.release(ticket, now) else {
            return Vec::new();
        };
        if end.outcome == Outcome::NotRun {
            self.forget_beginning(&held, now);
        }
        self.record_end(&held, end, now);
        self.fill(held.place, now)
    }

    /// Withdraws an ask whose request needs no slot any more.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Decision> {
        self.withdraw(ticket, now);
        let Some(held) = self.release(ticket, now) else {
            return Vec::new();
        };
        self.forget_beginning(&held, now);
        self.fill(held.place, now)
    }

    /// Withdraws all asks and leases of an instance whose run has ended. Its requests that still run show in
    /// the reports of the targets.
    pub fn leave(&mut self, sender: Incarnation, now: Instant) -> Vec<Decision> {
        let held = self.leases.held.keys().chain(self.waiting.keys());
        let tickets: Vec<Ticket> = held
            .copied()
            .filter(|ticket| ticket.sender == sender)
            .collect();
        let places: IndexSet<Place> = tickets
            .into_iter()
            .filter_map(|ticket| {
                self.withdraw(ticket, now);
                Some(self.release(ticket, now)?.place)
            })
            .collect();
        let places = places.into_iter();
        places.flat_map(|place| self.fill(place, now)).collect()
    }

    /// Ends a lease and remembers that its ticket is closed.
    fn release(&mut self, ticket: Ticket, now: Instant) -> Option<Held> {
        let held = self.leases.held.swap_remove(&ticket);
        if held.is_some() || self.closed.get(&ticket).is_none() {
            self.closed.insert(ticket, None);
        }
        let held = held?;
        let is_long_running = held.is_long_running(now);
        self.table.change(held.place, now, |target| {
            target.end(held.work_seconds);
            if is_long_running {
                target.long_running = target.long_running.saturating_sub(1);
            }
        });
        Some(held)
    }

    /// Forgets that an object became warm by a request that did not run.
    fn forget_beginning(&mut self, held: &Held, now: Instant) {
        if let (Some(object), None) = (held.object, held.depth) {
            self.table
                .change(held.place, now, |target| target.forget_object(object));
            self.placements.evict(object, held.place);
        }
    }

    /// Records what the end of a lease says of its target.
    fn record_end(&mut self, held: &Held, end: End, now: Instant) {
        let typical = span(self.work.value().unwrap_or(held.cold_seconds));
        let persistence = &mut self.persistence;
        let measured = end.work.map(Span::as_secs_f64);
        let usual_seconds = self.table.change(held.place, now, |target| {
            match end.outcome {
                Outcome::Answered => target.record_success(),
                // A target that reports its load is there; its report bounds further grants.
                Outcome::NotRun if end.report.is_some() => {}
                // The asking instance could not wait; the target may be fine.
                Outcome::Late => {}
                Outcome::NotRun | Outcome::Lost => target.record_failure(typical, now),
            }
            if let Some(report) = end.report {
                if let (Some(earlier), Some(pace)) = (target.pace, report.pace) {
                    persistence.record(earlier, Sample { pace, at: now });
                }
                target.record_report(report, now);
            }
            let usual = |seconds| persistence.usual_seconds(target.pace, seconds, now);
            let usual_seconds = measured.map(usual)?;
            let expected_seconds = held.base_seconds();
            target.speed.record(usual_seconds, expected_seconds, now);
            if let (Some(depth), Some(was_cold)) = (held.depth, held.was_cold(usual_seconds)) {
                target.record_warmth(depth, was_cold);
            }
            Some(usual_seconds)
        });
        if let Some(seconds) = usual_seconds {
            self.work.record_sample(seconds);
        }
    }

    /// Takes over slots that another dispatcher granted. Leases that are known or have ended, and those at
    /// unknown targets, are ignored. A lease without time left is not in use any more and only tells that its
    /// object is warm at its target; senders list the oldest of these first.
    pub fn adopt(&mut self, leases: impl IntoIterator<Item = Lease>, now: Instant) {
        for lease in leases {
            let Some(place) = self.table.place(&lease.target) else {
                continue;
            };
            if let Some(object) = lease.object {
                // The entry must exist for the object to be recorded as warm.
                self.placements.entry(object, self.table.places());
            }
            if lease.deadline_left == Span::ZERO {
                self.begin_object(lease.object, place, now);
            } else {
                self.adopt_lease(&lease, place, now);
            }
        }
    }

    fn adopt_lease(&mut self, lease: &Lease, place: Place, now: Instant) {
        let ticket = lease.ticket;
        let target = self.table.get(place);
        let is_full = target.leases >= target.slots().saturating_mul(MAX_LEASES_PER_SLOT);
        let is_known = self.leases.held.contains_key(&ticket);
        if is_known || is_full || self.closed.get(&ticket).is_some() {
            return;
        }
        self.withdraw(ticket, now);
        self.counters.adopted += 1;
        self.insert_lease(ticket, Held::adopted(lease, place, now), now);
    }

    /// Handles leases and waits whose time is over. To be called several times in the shortest work.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        for (ticket, held) in self.leases.expire(now) {
            self.counters.expired += 1;
            self.closed.insert(ticket, None);
            self.table
                .change(held.place, now, |target| target.end(held.work_seconds));
        }
        self.refresh_targets(now);
        let mut decisions = Vec::new();
        self.move_stranded(&mut decisions, now);
        let mut places: IndexSet<Place> = self.table.by_load().take(REFILLED).collect();
        // A target may have got room without the end of a lease.
        places.extend(self.waiting.values().map(|promise| promise.place));
        for place in places {
            decisions.extend(self.fill(place, now));
        }
        let expired = self.room.expire(now);
        for rejected in expired {
            decisions.push(self.reject_waiting(&rejected.item, rejected.retry_after, now));
        }
        self.remove_idle();
        self.update_slots();
        decisions
    }

    /// Counts the long-running leases and forgets reports and failures whose time is over.
    fn refresh_targets(&mut self, now: Instant) {
        let mut long_running = vec![0; self.table.len()];
        let held = self.leases.held.values();
        for held in held.filter(|held| held.is_long_running(now)) {
            long_running[held.place.index()] += 1;
        }
        let lifetime = span(self.work.value().unwrap_or_default());
        let table = &self.table;
        let places = table.places().map(|(_, place)| place);
        let is_outdated = |place: &Place| {
            let long_running = long_running[place.index()];
            table.get(*place).is_outdated(long_running, lifetime, now)
        };
        let outdated: Vec<Place> = places.filter(is_outdated).collect();
        for place in outdated {
            let long_running = long_running[place.index()];
            self.table.change(place, now, |target| {
                target.long_running = long_running;
                target.expire_report(lifetime, now);
            });
        }
    }

    fn reject(&mut self, ticket: Ticket, retry_after: Span) -> Decision {
        self.counters.rejected += 1;
        self.closed.insert(ticket, Some(retry_after));
        Decision::Reject {
            ticket,
            retry_after,
        }
    }

    fn remove_idle(&mut self) {
        for place in self.table.remove_idle() {
            let objects: Vec<Object> = self.table.take_objects(place);
            for object in objects {
                self.placements.evict(object, place);
            }
        }
    }

    fn update_slots(&mut self) {
        let slots = u32::try_from(self.table.slots()).unwrap_or(u32::MAX);
        self.room.set_slots(slots);
    }
}

/// Returns the nearest span. Rounding down would make equal works differ.
fn span(seconds: f64) -> Span {
    Span::from_nanos((seconds * NANOS_PER_SECOND).round() as u64)
}
