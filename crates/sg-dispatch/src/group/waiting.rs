//! The requests of a group that wait for a slot.

use sg_types::prelude::*;

use super::{
    Group, Place,
    choice::{Evaluation, Need, Warmth},
};
use crate::{
    message::{Decision, Ticket},
    order::Bid,
};

/// Number of waiting requests of other targets that are compared for a slot.
const EXAMINED: usize = 32;

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub ticket: Ticket,
    pub need: Need,
    /// Target for which the request waits.
    pub place: Place,
    pub warmth: Warmth,
    /// Since when the request waits.
    pub since: Instant,
}

/// What the dispatcher knows of a waiting ticket.
#[derive(Debug, Clone, Copy)]
pub(super) struct Promise {
    pub place: Place,
    pub expected: Span,
}

impl Group {
    /// Removes a request that needs no slot any more.
    pub(super) fn withdraw(&mut self, ticket: Ticket, now: Instant) {
        if let Some(promise) = self.waiting.swap_remove(&ticket) {
            if let Some(waiting) = self.room.remove(|waiting| waiting.ticket == ticket) {
                self.placements.unplan(waiting.need.object, waiting.place);
            }
            self.table
                .change(promise.place, now, |target| target.queued -= 1);
        }
    }

    /// Moves the requests that wait for a target that takes no requests any more.
    pub(super) fn move_stranded(&mut self, decisions: &mut Vec<Decision>, now: Instant) {
        let table = &self.table;
        let is_stranded = |waiting: &Waiting| !table.get(waiting.place).is_usable(now);
        if !self
            .waiting
            .values()
            .any(|p| !table.get(p.place).is_usable(now))
        {
            return;
        }
        let mut stranded = Vec::new();
        while let Some(taken) = self.room.take_next(|waiting, _| is_stranded(waiting), now) {
            stranded.push(taken);
        }
        for taken in stranded {
            let Waiting {
                ticket,
                need,
                place,
                ..
            } = taken.item;
            self.waiting.swap_remove(&ticket);
            self.table.change(place, now, |target| target.queued -= 1);
            decisions.extend(self.place(ticket, need, taken.bid, now));
        }
    }

    /// Grants the free slots of a target to waiting requests.
    pub(super) fn fill(&mut self, place: Place, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while !self.room.is_empty() && self.table.get(place).has_room(now) {
            let typical_seconds = self.work.value().unwrap_or_default();
            let evaluation = Evaluation {
                table: &self.table,
                persistence: &self.persistence,
                typical_seconds,
                now,
            };
            let mut examined = 0;
            let fits = |waiting: &Waiting, _: &Bid| {
                if waiting.place == place {
                    return true;
                }
                examined += 1;
                examined <= EXAMINED && gains(&evaluation, waiting, place)
            };
            let Some(taken) = self.room.take_next(fits, now) else {
                break;
            };
            let waiting = taken.item;
            let warmth = warmth_at(&evaluation, &waiting, place);
            let candidate = evaluation.evaluate(place, &waiting.need, warmth);
            self.waiting.swap_remove(&waiting.ticket);
            self.table
                .change(waiting.place, now, |target| target.queued -= 1);
            let deadline_left = taken.bid.deadline_left;
            decisions.push(self.grant(
                waiting.ticket,
                &waiting.need,
                candidate,
                deadline_left,
                now,
            ));
        }
        decisions
    }

    pub(super) fn reject_waiting(
        &mut self,
        waiting: &Waiting,
        retry_after: Span,
        now: Instant,
    ) -> Decision {
        self.waiting.swap_remove(&waiting.ticket);
        self.placements.unplan(waiting.need.object, waiting.place);
        self.table
            .change(waiting.place, now, |target| target.queued -= 1);
        self.reject(waiting.ticket, retry_after)
    }
}

/// Returns whether a waiting request has its response earlier if it gets a slot at `place` instead of the
/// one for which it waits, although others pay for a cold run. A request that has waited for long is expected
/// to wait for as long again: what the requests before it need was underestimated.
fn gains(evaluation: &Evaluation<'_>, waiting: &Waiting, place: Place) -> bool {
    if waiting.need.excluded.contains(&place) {
        return false;
    }
    let there = evaluation.evaluate(waiting.place, &waiting.need, waiting.warmth);
    let waited_seconds = evaluation.now.since(waiting.since).as_secs_f64();
    let warmth = warmth_at(evaluation, waiting, place);
    evaluation.evaluate(place, &waiting.need, warmth).cost < there.cost + waited_seconds
}

fn warmth_at(evaluation: &Evaluation<'_>, waiting: &Waiting, place: Place) -> Warmth {
    if evaluation.is_warm(place, &waiting.need) {
        Warmth::Warm
    } else if place == waiting.place {
        Warmth::Home
    } else {
        Warmth::Cold
    }
}
