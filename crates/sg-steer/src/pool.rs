//! Targets of one service, the split between their regions and the choice of a target.

mod configure;
mod plan;
mod select;
mod status;

use std::{cmp::Reverse, collections::BinaryHeap};

use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng};
use sg_tree::view;
use sg_types::prelude::*;

use crate::{
    Completion,
    engine::Options,
    health::Action,
    member::Member,
    observation::{self, Probe},
    region::Region,
    report::{Counts, Restriction},
    retry::Budget,
    settings::Settings,
};

use plan::Plan;
pub(crate) use select::{Placement, RequestKind};

/// Maximum number of due timers that one request runs. The tick runs all others.
const MAX_TIMERS_PER_REQUEST: usize = 4;
/// Length of one step of a slow start, as a fraction of its duration.
const SLOW_START_STEP_FRACTION: f64 = 0.1;

/// Time of the next evaluation of a target, and the index of the target.
type Timer = Reverse<(Instant, usize)>;

/// Targets of one service.
#[derive(Debug)]
pub(crate) struct Pool {
    service: id::Service,
    home: id::Region,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    revision: Revision,
    settings: Settings,
    members: IndexMap<id::Target, Member>,
    regions: IndexMap<id::Region, Region>,
    plan: Plan,
    timers: BinaryHeap<Timer>,
    retry_budget: Budget,
    rng: SmallRng,
    counts: Counts,
}

impl Pool {
    pub(crate) fn new(first: &view::Service, options: &Options) -> Self {
        let state = State {
            revision: Revision::default(),
            settings: Settings::new(first, options.instances),
            members: IndexMap::new(),
            regions: IndexMap::new(),
            plan: Plan::default(),
            timers: BinaryHeap::new(),
            retry_budget: Budget::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            counts: Counts::default(),
        };
        Self {
            service: first.name.clone(),
            home: options.region.clone(),
            state: Mutex::new(state),
        }
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(
        &self,
        target: &id::Target,
        observed: observation::Observation,
        now: Instant,
    ) {
        let state = &mut *self.state.lock();
        let stale_after = state.settings.stale_after;
        let Some((index, _, member)) = state.members.get_full_mut(target) else {
            return;
        };
        if observed.healthy || observed.leaving {
            state.plan.record_measurement(now);
        }
        let slots = member.slots;
        member
            .load
            .record_report(&observed, slots, member.in_flight, stale_after, now);
        let has_returned =
            member
                .health
                .record_probe(observed.probe_result(), observed.leaving, now);
        let turned_cold = observed.cold && member.cold_since.is_none();
        if has_returned || turned_cold {
            state.begin_slow_start(index, now);
        }
        state.update_health(index, now);
    }

    /// Records that a target announced that it leaves.
    pub(crate) fn mark_leaving(&self, target: &id::Target, now: Instant) {
        let state = &mut *self.state.lock();
        if let Some((index, _, member)) = state.members.get_full_mut(target) {
            member.health.record_leaving(now);
            state.update_availability(index, now);
        }
    }

    /// Sets the number of instances that share each target.
    pub(crate) fn set_instances(&self, instances: u32, now: Instant) {
        let state = &mut *self.state.lock();
        state.settings.instances = instances;
        state.update_all_availability(now);
    }

    /// Returns the targets to probe.
    pub(crate) fn probes(&self) -> Vec<Probe> {
        let state = self.state.lock();
        let probe = |member: &Member| Probe {
            service: self.service.clone(),
            target: member.endpoint.target.clone(),
            address: member.endpoint.address,
            interval: state.settings.probe_interval,
            timeout: state.settings.probe_timeout,
        };
        state.members.values().map(probe).collect()
    }

    /// Takes one attempt from the retry budget and returns whether the budget allowed it.
    pub(crate) fn take_retry(&self) -> bool {
        let state = &mut *self.state.lock();
        let is_allowed = state.retry_budget.try_take();
        state.counts.retries += u64::from(is_allowed);
        state.counts.retries_refused += u64::from(!is_allowed);
        is_allowed
    }
}

impl State {
    /// Evaluates the health of a target and updates its exclusion and availability.
    fn update_health(&mut self, index: usize, now: Instant) {
        let stale_after = self.settings.stale_after;
        let member = &mut self.members[index];
        if member.health.exclusion().is_some() && member.health.start_trial_if_due(stale_after, now)
        {
            member.cold_since = Some(now);
        }
        match member.health.next_action(stale_after, now) {
            Action::Keep => {}
            Action::MarkDown => self.exclude(index, Restriction::Down, now),
            Action::Eject(restriction) => self.eject(index, restriction, now),
        }
        self.update_availability(index, now);
    }

    /// Ejects a target unless the ejection cap of its region is reached.
    fn eject(&mut self, index: usize, restriction: Restriction, now: Instant) {
        let region = &self.regions[self.members[index].region];
        let eligible_count = f64::from(region.usable_count + region.ejected_count);
        let cap = self.settings.ejection_cap.as_f64() * eligible_count;
        let is_within_cap = f64::from(region.ejected_count + 1) <= cap;
        // The last usable target is never ejected, whatever the cap allows.
        let is_last = region.usable_count <= u32::from(self.members[index].is_counted_usable);
        if is_within_cap && !is_last {
            self.exclude(index, restriction, now);
        } else {
            self.counts.ejections_held += 1;
        }
    }

    fn exclude(&mut self, index: usize, restriction: Restriction, now: Instant) {
        let until = self.members[index].health.exclude(restriction, now);
        match restriction {
            Restriction::Down => self.counts.down += 1,
            _ => self.counts.ejected += 1,
        }
        self.timers.push(Reverse((until, index)));
    }

    /// Starts the slow start of a target: its share of the traffic grows from now on.
    fn begin_slow_start(&mut self, index: usize, now: Instant) {
        self.members[index].cold_since = Some(now);
        let step = self.settings.slow_start.mul_f64(SLOW_START_STEP_FRACTION);
        self.timers.push(Reverse((now + step, index)));
    }

    /// Runs up to `limit` timers that are due.
    fn run_timers(&mut self, limit: usize, now: Instant) {
        for _ in 0..limit {
            match self.timers.peek() {
                Some(Reverse((due, _))) if *due <= now => {}
                _ => return,
            }
            if let Some(Reverse((_, index))) = self.timers.pop() {
                self.on_timer(index, now);
            }
        }
    }

    fn on_timer(&mut self, index: usize, now: Instant) {
        if index >= self.members.len() {
            return;
        }
        self.update_health(index, now);
        let slow_start = self.settings.slow_start;
        let member = &mut self.members[index];
        let Some(since) = member.cold_since else {
            return;
        };
        if now >= since + slow_start {
            member.cold_since = None;
            self.update_availability(index, now);
        } else {
            let step = slow_start.mul_f64(SLOW_START_STEP_FRACTION);
            self.timers.push(Reverse((now + step, index)));
        }
    }

    /// Updates the counters and the list of available targets of a target's region.
    fn update_availability(&mut self, index: usize, now: Instant) {
        let member = &mut self.members[index];
        let region = &mut self.regions[member.region];
        let is_usable = member.is_usable(self.settings.stale_after, now);
        if is_usable != member.is_counted_usable {
            member.is_counted_usable = is_usable;
            region.usable_count = if is_usable {
                region.usable_count + 1
            } else {
                region.usable_count - 1
            };
        }
        let is_ejected = member
            .health
            .exclusion()
            .is_some_and(|exclusion| exclusion.restriction != Restriction::Down);
        if is_ejected != member.is_counted_ejected {
            member.is_counted_ejected = is_ejected;
            region.ejected_count = if is_ejected {
                region.ejected_count + 1
            } else {
                region.ejected_count - 1
            };
        }
        let is_available = member.is_available(&self.settings, now);
        match (is_available, member.available_index) {
            (true, None) => {
                member.available_index = Some(region.available.len());
                region.available.push(index);
            }
            (false, Some(at)) => {
                member.available_index = None;
                region.available.swap_remove(at);
                if let Some(moved) = region.available.get(at).copied() {
                    self.members[moved].available_index = Some(at);
                }
            }
            _ => {}
        }
    }

    fn update_all_availability(&mut self, now: Instant) {
        for index in 0..self.members.len() {
            self.update_availability(index, now);
        }
    }

    /// Records how an attempt on a target ended.
    fn record_completion(&mut self, index: usize, completion: Completion, now: Instant) {
        let stale_after = self.settings.stale_after;
        let member = &mut self.members[index];
        member.in_flight = member.in_flight.saturating_sub(1);
        member.load.record_in_flight(member.in_flight);
        let was_trial = member.health.is_on_trial();
        member.health.record_completion(completion, now);
        match completion {
            Completion::Shed => member.load.record_shed(member.slots, stale_after, now),
            Completion::Responded { failed: false, .. } => {
                member.load.record_success(member.slots, stale_after, now);
            }
            _ => {}
        }
        let backoff_until = member.health.backoff_until();
        let region = member.region;
        let passed_trial = was_trial && !member.health.is_on_trial();
        self.regions[region].record_completion(completion);
        if completion == Completion::Shed {
            self.plan.record_refusal();
        }
        if now < backoff_until {
            self.timers.push(Reverse((backoff_until, index)));
        }
        if passed_trial {
            self.begin_slow_start(index, now);
        }
        self.update_health(index, now);
    }
}
