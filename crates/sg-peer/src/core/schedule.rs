//! When to talk to whom.

use sg_types::prelude::*;

use super::Core;
use crate::{contact, member::Status};

/// In a small fleet, how often each contact is called.
const SMALL_PERIOD: Span = Span::from_secs(1);
/// In a large fleet, how often each relay of the own failure domain is called.
const RELAY_PERIOD: Span = Span::from_secs(2);
/// In a large fleet, how often each other contact is called.
const LARGE_PERIOD: Span = Span::from_secs(8);
/// How often an instance that doesn't answer is called.
const SUSPECT_PERIOD: Span = Span::from_secs(3);
/// The least time between two calls to the same instance, so that messages gather.
const LEAST_GAP: Span = Span::from_millis(10);
/// The least time between a call that failed and the next one.
const RETRY_GAP: Span = Span::from_millis(500);
/// The largest fleet whose contacts are called at the short period.
const SMALL_FLEET: usize = 16;
/// Votes older than this are dropped.
const KEEP_VOTES: Span = Span::from_secs(60);

/// When an instance was and is to be called.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    next: Instant,
    period: Span,
    busy: bool,
    hold: Instant,
    told: Revision,
}

impl Core {
    /// Chooses the contacts anew and forgets what is past its time. To be called about once a
    /// second.
    pub fn refresh(&mut self, now: Instant) {
        self.members.expire(now);
        self.board.expire(now);
        self.gate.expire(now - KEEP_VOTES);
        let me = self.candidate();
        let mut candidates = self.members.candidates(now);
        candidates.push(me.clone());
        let small = candidates.len() <= SMALL_FLEET;
        self.contacts = contact::choose(&me, &candidates, self.local.relays.max(1) as usize);
        let suspects = self.members.suspects(now);
        let mut wanted: IndexMap<id::Instance, Span> = IndexMap::new();
        for peer in &self.contacts.peers {
            let relay = self.contacts.relays.contains(peer);
            let period = match (small, relay) {
                (true, _) => SMALL_PERIOD,
                (false, true) => RELAY_PERIOD,
                (false, false) => LARGE_PERIOD,
            };
            wanted.insert(peer.clone(), period);
        }
        let room = contact::MAX_SUSPECTS;
        for suspect in suspects.into_iter().take(room) {
            wanted.insert(suspect.instance, SUSPECT_PERIOD);
        }
        self.calls
            .retain(|instance, call| call.busy || wanted.contains_key(instance));
        for (index, (instance, period)) in wanted.into_iter().enumerate() {
            self.plan(instance, period, index, now);
        }
    }

    fn plan(&mut self, instance: id::Instance, period: Span, index: usize, now: Instant) {
        // First calls are spread, so that contacts are not all called in one burst.
        let spread = Span::from_millis(50 * (index as u64 % 16));
        let call = self.calls.entry(instance).or_insert(Call {
            next: now + spread,
            period,
            busy: false,
            hold: Instant::START,
            told: self.local.newest.revision,
        });
        call.period = period;
        call.next = call.next.min(now + period);
    }

    /// Whom to call now, each marked as being called. End each call with [`Core::answered`] or
    /// [`Core::failed`].
    pub fn due(&mut self, now: Instant) -> Vec<id::Instance> {
        let waiting: Vec<_> = self.waiting.keys().cloned().collect();
        for instance in waiting {
            let is_gone = self
                .members
                .member(&instance, now)
                .is_none_or(|(status, ..)| status == Status::Gone);
            if is_gone {
                self.waiting.shift_remove(&instance);
            } else if !self.calls.contains_key(&instance) {
                self.plan(instance, LARGE_PERIOD, 0, now);
            }
        }
        let due: Vec<_> = self
            .calls
            .iter()
            .filter(|(instance, call)| !call.busy && self.time_of(instance, call) <= now)
            .map(|(instance, _)| instance.clone())
            .collect();
        let newest = self.local.newest.revision;
        for instance in &due {
            if let Some(call) = self.calls.get_mut(instance) {
                call.busy = true;
                call.next = now + call.period;
                call.told = newest;
            }
        }
        due
    }

    /// Whether `instance` is to be told something soon.
    fn is_urgent(&self, instance: &id::Instance, call: &Call) -> bool {
        self.waiting.contains_key(instance)
            || call.told < self.local.newest.revision
            || self.board.is_pending(instance)
    }

    fn time_of(&self, instance: &id::Instance, call: &Call) -> Instant {
        match self.is_urgent(instance, call) {
            true => call.hold.min(call.next),
            false => call.next,
        }
    }

    /// When the next call is due without further news.
    #[must_use]
    pub fn next_call(&self) -> Option<Instant> {
        let idle = self.calls.iter().filter(|(_, call)| !call.busy);
        idle.map(|(instance, call)| self.time_of(instance, call))
            .min()
    }

    /// Makes all contacts due, after a pause of the process.
    pub fn wake(&mut self, now: Instant) {
        for call in self.calls.values_mut() {
            call.next = now;
        }
    }

    pub(super) fn done(&mut self, instance: &id::Instance, now: Instant) {
        if let Some(call) = self.calls.get_mut(instance) {
            call.busy = false;
            call.hold = now + LEAST_GAP;
        }
    }

    pub(super) fn hold(&mut self, instance: &id::Instance, now: Instant) {
        if let Some(call) = self.calls.get_mut(instance) {
            call.hold = now + RETRY_GAP;
            call.next = call.next.max(call.hold);
        }
    }
}
