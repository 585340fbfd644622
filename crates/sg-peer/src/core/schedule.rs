//! Schedule of calls to other instances.

use sg_types::prelude::*;

use super::Core;
use crate::{contact, member::Status};

/// The period of routine calls to each contact in a small fleet.
const SMALL_FLEET_PERIOD: Span = Span::from_secs(2);
/// The fraction of the validity after which a relay is asked for newer evidence of freshness. An
/// instance reads the store itself when 0.65 of the validity have passed.
const LATE_EVIDENCE_FRACTION: f64 = 0.55;
/// The interval between choices of the contacts.
const REFRESH_INTERVAL: Span = Span::from_secs(1);
/// The period of routine calls to each contact in the same failure domain in a large fleet.
const SAME_DOMAIN_PERIOD: Span = Span::from_secs(24);
/// The period of routine calls to each contact in other failure domains in a large fleet.
const OTHER_DOMAIN_PERIOD: Span = Span::from_secs(24);
/// The period of routine calls to each contact in other failure domains in a large fleet, for an
/// instance that holds slots. Such an instance exchanges frames with voters in the whole fleet
/// anyway.
const SLOT_HOLDER_PERIOD: Span = Span::from_secs(64);
/// The period of calls to each suspect instance.
const SUSPECT_PERIOD: Span = Span::from_secs(3);
/// The minimum time between two calls to the same instance, which lets messages accumulate.
const MIN_CALL_INTERVAL: Span = Span::from_millis(10);
/// The minimum time between a failed call and the next one.
const RETRY_DELAY: Span = Span::from_millis(500);
/// The maximum size of a small fleet, whose contacts are called every [`SMALL_FLEET_PERIOD`].
const MAX_SMALL_FLEET: usize = 16;
/// The age at which votes are dropped.
const VOTE_RETENTION: Span = Span::from_secs(60);

/// The schedule of the calls to one instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    /// The time of the next routine call.
    next_at: Instant,
    period: Span,
    in_progress: bool,
    /// The earliest time of a call that carries updates.
    not_before: Instant,
    /// The newest revision that a call announced to the instance.
    announced_revision: Revision,
    /// Whether the call in progress announces a newer revision than earlier calls.
    carries_new_revision: bool,
}

impl Core {
    /// Chooses the contacts and drops expired state. The caller runs this about once a second.
    pub fn refresh(&mut self, now: Instant) {
        self.members.expire(now);
        self.notices.expire(now);
        self.gate.expire(now - VOTE_RETENTION);
        let me = self.candidate();
        let mut candidates = self.members.candidates(now);
        candidates.push(me.clone());
        let is_small_fleet = candidates.len() <= MAX_SMALL_FLEET;
        self.contacts = contact::choose(&me, &candidates, self.local.relays.max(1) as usize);
        let suspects = self.members.suspects(now);
        let other_domain_period = match self.local.own_slots.is_empty() {
            true => OTHER_DOMAIN_PERIOD,
            false => SLOT_HOLDER_PERIOD,
        };
        let mut periods: IndexMap<id::Instance, Span> = IndexMap::new();
        for peer in &self.contacts.peers {
            let place = self.members.place(peer);
            let is_same_domain = place.is_some_and(|place| place.domain == self.me.place.domain);
            let period = match (is_small_fleet, is_same_domain) {
                (true, _) => SMALL_FLEET_PERIOD,
                (false, true) => SAME_DOMAIN_PERIOD,
                (false, false) => other_domain_period,
            };
            periods.insert(peer.clone(), period);
        }
        let limit = contact::MAX_SUSPECTS;
        for suspect in suspects.into_iter().take(limit) {
            periods.insert(suspect.instance, SUSPECT_PERIOD);
        }
        self.calls
            .retain(|instance, call| call.in_progress || periods.contains_key(instance));
        for (index, (instance, period)) in periods.into_iter().enumerate() {
            self.schedule_call(instance, period, index, now);
        }
        if !is_small_fleet {
            self.schedule_relay_call(now);
        }
    }

    /// Schedules a call to a relay for the time at which the evidence of freshness becomes late, if
    /// that is before the next refresh. The relays take turns.
    fn schedule_relay_call(&mut self, now: Instant) {
        let evidence = self.evidence(now);
        let late = self.local.validity.mul_f64(LATE_EVIDENCE_FRACTION);
        let at = evidence.map_or(now, |evidence| (evidence.at + late).max(now));
        if at >= now + REFRESH_INTERVAL {
            return;
        }
        let me = &self.me.instance;
        let others = self.contacts.relays.iter().filter(|relay| *relay != me);
        let others: Vec<_> = others.cloned().collect();
        let turn = now.as_nanos() / REFRESH_INTERVAL.as_nanos();
        let relay = others.get(turn as usize % others.len().max(1));
        if let Some(call) = relay.and_then(|relay| self.calls.get_mut(relay)) {
            call.next_at = call.next_at.min(at);
        }
    }

    /// Adds or updates the schedule of `instance`. `index` spreads first calls.
    fn schedule_call(&mut self, instance: id::Instance, period: Span, index: usize, now: Instant) {
        // First calls are spread out to avoid a burst of calls to all contacts.
        let spread = Span::from_millis(50 * (index as u64 % 16));
        let call = self.calls.entry(instance).or_insert(Call {
            next_at: now + spread,
            period,
            in_progress: false,
            not_before: Instant::START,
            announced_revision: self.local.newest.revision,
            carries_new_revision: false,
        });
        call.period = period;
        call.next_at = call.next_at.min(now + period);
    }

    /// Returns the instances to call now and marks each call as in progress. Each call ends with
    /// [`Core::handle_response`] or [`Core::handle_failure`].
    pub fn take_due(&mut self, now: Instant) -> Vec<id::Instance> {
        let recipients: Vec<_> = self.queued_messages.keys().cloned().collect();
        for instance in recipients {
            let is_gone = self
                .members
                .member(&instance, now)
                .is_none_or(|(status, ..)| status == Status::Gone);
            if is_gone {
                self.queued_messages.shift_remove(&instance);
            } else if !self.calls.contains_key(&instance) {
                self.schedule_call(instance, OTHER_DOMAIN_PERIOD, 0, now);
            }
        }
        let due: Vec<_> = self
            .calls
            .iter()
            .filter(|(instance, call)| !call.in_progress && self.due_time(instance, call) <= now)
            .map(|(instance, _)| instance.clone())
            .collect();
        let newest = self.local.newest.revision;
        for instance in &due {
            if let Some(call) = self.calls.get_mut(instance) {
                call.in_progress = true;
                call.next_at = now + call.period;
                call.carries_new_revision = call.announced_revision < newest;
                call.announced_revision = newest;
            }
        }
        due
    }

    /// Returns whether there are updates for `instance`: share messages, a newer revision or notices.
    /// Updates are sent before the next routine call.
    fn has_updates(&self, instance: &id::Instance, call: &Call) -> bool {
        self.queued_messages.contains_key(instance)
            || call.announced_revision < self.local.newest.revision
            || self.notices.has_pending(instance)
    }

    /// Returns the time of the next call, which is earlier than the routine one if there are updates.
    fn due_time(&self, instance: &id::Instance, call: &Call) -> Instant {
        match self.has_updates(instance, call) {
            true => call.not_before.min(call.next_at),
            false => call.next_at,
        }
    }

    /// Returns the time of the next call to any instance. Later updates may make a call due earlier.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let idle = self.calls.iter().filter(|(_, call)| !call.in_progress);
        idle.map(|(instance, call)| self.due_time(instance, call))
            .min()
    }

    /// Makes calls to all contacts due, after a pause of the process.
    pub fn make_all_due(&mut self, now: Instant) {
        for call in self.calls.values_mut() {
            call.next_at = now;
        }
    }

    /// Marks a call as finished.
    pub(super) fn finish_call(&mut self, instance: &id::Instance, now: Instant) {
        if let Some(call) = self.calls.get_mut(instance) {
            call.in_progress = false;
            call.not_before = now + MIN_CALL_INTERVAL;
        }
    }

    /// Records a call received from `instance`. In a large fleet, the next routine call to that
    /// instance is postponed, since its frame carried the same information.
    pub(super) fn record_incoming_call(&mut self, instance: &id::Instance, now: Instant) {
        let call = self.calls.get_mut(instance);
        if let Some(call) = call.filter(|call| call.period >= SAME_DOMAIN_PERIOD) {
            call.next_at = call.next_at.max(now + call.period);
        }
    }

    /// Postpones the next call after a failure. Unless the instance is suspect, a revision that the
    /// failed call carried counts as not announced, so that the retry comes long before the next
    /// routine call.
    pub(super) fn delay_retry(&mut self, instance: &id::Instance, now: Instant) {
        let status = self.members.member(instance, now).map(|found| found.0);
        let announce_again = status.is_some_and(|status| status != Status::Suspect);
        if let Some(call) = self.calls.get_mut(instance) {
            call.not_before = now + RETRY_DELAY;
            call.next_at = call.next_at.max(call.not_before);
            if announce_again && call.carries_new_revision {
                call.announced_revision = Revision::default();
            }
        }
    }
}
