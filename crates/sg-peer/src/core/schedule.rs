//! Schedule of calls to other instances.

use sg_types::prelude::*;

use super::Core;
use crate::{contact, member::Status};

/// The period of routine calls to each contact in a small fleet.
const SMALL_PERIOD: Span = Span::from_secs(2);
/// The fraction of the validity after which a relay is asked for newer evidence of freshness. An
/// instance reads the store itself when 0.65 of the validity have passed.
const LATE: f64 = 0.55;
/// The interval between choices of the contacts.
const REFRESH: Span = Span::from_secs(1);
/// The period of routine calls to each contact in the same failure domain in a large fleet.
const NEAR_PERIOD: Span = Span::from_secs(24);
/// The period of routine calls to each contact in other failure domains in a large fleet.
const FAR_PERIOD: Span = Span::from_secs(24);
/// The same period for an instance that holds slots, which exchanges frames with voters in the
/// whole fleet anyway.
const SPARED_PERIOD: Span = Span::from_secs(64);
/// The period of calls to each suspect instance.
const SUSPECT_PERIOD: Span = Span::from_secs(3);
/// The minimum time between two calls to the same instance, which lets messages accumulate.
const LEAST_GAP: Span = Span::from_millis(10);
/// The minimum time between a failed call and the next one.
const RETRY_GAP: Span = Span::from_millis(500);
/// The maximum size of a small fleet, whose contacts are called at [`SMALL_FLEET_PERIOD`].
const SMALL_FLEET: usize = 16;
/// The age at which votes are dropped.
const KEEP_VOTES: Span = Span::from_secs(60);

/// The schedule of the calls to one instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    next: Instant,
    period: Span,
    busy: bool,
    hold: Instant,
    told: Revision,
    /// Whether the call in progress carries a revision that the instance was not told before.
    was_news: bool,
}

impl Core {
    /// Chooses the contacts and drops expired state. The caller runs this about once a second.
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
        let far = match self.local.own_slots.is_empty() {
            true => FAR_PERIOD,
            false => SPARED_PERIOD,
        };
        let mut wanted: IndexMap<id::Instance, Span> = IndexMap::new();
        for peer in &self.contacts.peers {
            let place = self.members.place(peer);
            let near = place.is_some_and(|place| place.domain == self.me.place.domain);
            let period = match (small, near) {
                (true, _) => SMALL_PERIOD,
                (false, true) => NEAR_PERIOD,
                (false, false) => far,
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
        if !small {
            self.ask_relay(now);
        }
    }

    /// Schedules a call to a relay for the time at which the evidence of freshness becomes late, if
    /// that is before the next refresh. The relays take turns.
    fn ask_relay(&mut self, now: Instant) {
        let evidence = self.evidence(now);
        let late = self.local.validity.mul_f64(LATE);
        let at = evidence.map_or(now, |evidence| (evidence.at + late).max(now));
        if at >= now + REFRESH {
            return;
        }
        let me = &self.me.instance;
        let others = self.contacts.relays.iter().filter(|relay| *relay != me);
        let others: Vec<_> = others.cloned().collect();
        let turn = now.as_nanos() / REFRESH.as_nanos();
        let relay = others.get(turn as usize % others.len().max(1));
        if let Some(call) = relay.and_then(|relay| self.calls.get_mut(relay)) {
            call.next = call.next.min(at);
        }
    }

    fn plan(&mut self, instance: id::Instance, period: Span, index: usize, now: Instant) {
        // First calls are spread out to avoid a burst of calls to all contacts.
        let spread = Span::from_millis(50 * (index as u64 % 16));
        let call = self.calls.entry(instance).or_insert(Call {
            next: now + spread,
            period,
            busy: false,
            hold: Instant::START,
            told: self.local.newest.revision,
            was_news: false,
        });
        call.period = period;
        call.next = call.next.min(now + period);
    }

    /// Returns the instances to call now and marks each call as in progress. Each call ends with
    /// [`Core::handle_response`] or [`Core::handle_failure`].
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
                self.plan(instance, FAR_PERIOD, 0, now);
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
                call.was_news = call.told < newest;
                call.told = newest;
            }
        }
        due
    }

    /// Returns whether there is news for `instance`, so that its next call does not wait for the
    /// routine one.
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

    /// Returns the time of the next call, if nothing new comes up before.
    #[must_use]
    pub fn next_call(&self) -> Option<Instant> {
        let idle = self.calls.iter().filter(|(_, call)| !call.busy);
        idle.map(|(instance, call)| self.time_of(instance, call))
            .min()
    }

    /// Makes calls to all contacts due, after a pause of the process.
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

    /// Records a call received from `instance`. In a large fleet, the next routine call to that
    /// instance is postponed, since its frame carried the same information.
    pub(super) fn was_called(&mut self, instance: &id::Instance, now: Instant) {
        let call = self.calls.get_mut(instance);
        if let Some(call) = call.filter(|call| call.period >= NEAR_PERIOD) {
            call.next = call.next.max(now + call.period);
        }
    }

    /// Postpones the next call after a failure. Unless the instance is suspect, a revision that the
    /// failed call carried counts as not told, so that the retry comes long before the next routine
    /// call.
    pub(super) fn hold(&mut self, instance: &id::Instance, now: Instant) {
        let status = self.members.member(instance, now).map(|found| found.0);
        let again = status.is_some_and(|status| status != Status::Suspect);
        if let Some(call) = self.calls.get_mut(instance) {
            call.hold = now + RETRY_GAP;
            call.next = call.next.max(call.hold);
            if again && call.was_news {
                call.told = Revision::default();
            }
        }
    }
}
