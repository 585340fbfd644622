//! The targets of one service, the split between their regions and the choice of a target.

mod choose;
mod configure;
mod plan;
mod status;

use std::{cmp::Reverse, collections::BinaryHeap};

use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng};
use sg_tree::view;
use sg_types::prelude::*;

use crate::{
    End,
    engine::Options,
    health::Verdict,
    member::Member,
    observation::{self, Probe},
    region::Region,
    report::{Counts, Why},
    retry::Budget,
    settings::Settings,
};

pub(crate) use choose::{Kind, Start};
use plan::Plan;

/// Timers that one request works off at most; ticks work off the rest.
const TIMERS_A_REQUEST: usize = 4;
/// The steps of a slow start.
const SLOW_START_STEPS: f64 = 0.1;

/// A time at which a target's state is to be looked at again.
type Timer = Reverse<(Instant, usize)>;

/// The targets of one service.
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
    retry: Budget,
    rng: SmallRng,
    counts: Counts,
}

impl Pool {
    pub(crate) fn new(first: &view::Service, options: &Options) -> Self {
        let state = State {
            revision: Revision::default(),
            settings: Settings::new(first, options.entries),
            members: IndexMap::new(),
            regions: IndexMap::new(),
            plan: Plan::default(),
            timers: BinaryHeap::new(),
            retry: Budget::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            counts: Counts::default(),
        };
        Self {
            service: first.name.clone(),
            home: options.region.clone(),
            state: Mutex::new(state),
        }
    }

    /// Takes in what a probe saw.
    pub(crate) fn observe(&self, target: &id::Target, seen: observation::Target, now: Instant) {
        let state = &mut *self.state.lock();
        let stale = state.settings.stale;
        let Some((index, _, member)) = state.members.get_full_mut(target) else {
            return;
        };
        if seen.healthy || seen.leaving {
            state.plan.on_measurement(now);
        }
        let slots = member.slots;
        member
            .load
            .observe(&seen, slots, member.in_flight, stale, now);
        let is_back = member.health.on_probe(seen.probed(), seen.leaving, now);
        let turned_cold = seen.cold && member.cold_since.is_none();
        if is_back || turned_cold {
            state.start_slowly(index, now);
        }
        state.judge(index, now);
    }

    /// Takes in a sign that a target leaves.
    pub(crate) fn leaving(&self, target: &id::Target, now: Instant) {
        let state = &mut *self.state.lock();
        if let Some((index, _, member)) = state.members.get_full_mut(target) {
            member.health.on_leaving(now);
            state.refresh(index, now);
        }
    }

    /// Tells how many instances share each target.
    pub(crate) fn fleet(&self, entries: u32, now: Instant) {
        let state = &mut *self.state.lock();
        state.settings.entries = entries;
        state.refresh_all(now);
    }

    /// The targets to probe.
    pub(crate) fn probes(&self) -> Vec<Probe> {
        let state = self.state.lock();
        let probe = |member: &Member| Probe {
            service: self.service.clone(),
            target: member.place.target.clone(),
            address: member.place.address,
            interval: state.settings.probe_interval,
            timeout: state.settings.probe_timeout,
        };
        state.members.values().map(probe).collect()
    }

    /// Whether the retry budget has an attempt left; takes it.
    pub(crate) fn may_retry(&self) -> bool {
        let state = &mut *self.state.lock();
        let may = state.retry.take();
        state.counts.retries += u64::from(may);
        state.counts.retries_refused += u64::from(!may);
        may
    }
}

impl State {
    /// Judges a target after something was learnt of it, and puts it where it belongs.
    fn judge(&mut self, index: usize, now: Instant) {
        let stale = self.settings.stale;
        let member = &mut self.members[index];
        if member.health.out().is_some() && member.health.try_again(stale, now) {
            member.cold_since = Some(now);
        }
        match member.health.verdict(stale, now) {
            Verdict::Stay => {}
            Verdict::Down => self.take_out(index, Why::Down, now),
            Verdict::Eject(why) => self.eject(index, why, now),
        }
        self.refresh(index, now);
    }

    /// Ejects a target, unless too many of its region are ejected.
    fn eject(&mut self, index: usize, why: Why, now: Instant) {
        let region = &self.regions[self.members[index].region];
        let in_use = f64::from(region.able + region.ejected);
        let cap = self.settings.ejection_cap.as_f64() * in_use;
        let fits = f64::from(region.ejected + 1) <= cap;
        // Never the last able one, whatever the cap says.
        let is_last = region.able <= u32::from(self.members[index].is_counted);
        if fits && !is_last {
            self.take_out(index, why, now);
        } else {
            self.counts.ejections_held += 1;
        }
    }

    fn take_out(&mut self, index: usize, why: Why, now: Instant) {
        let until = self.members[index].health.take_out(why, now);
        match why {
            Why::Down => self.counts.down += 1,
            _ => self.counts.ejected += 1,
        }
        self.timers.push(Reverse((until, index)));
    }

    /// Lets a target's part of the traffic grow from now on.
    fn start_slowly(&mut self, index: usize, now: Instant) {
        self.members[index].cold_since = Some(now);
        let step = self.settings.slow_start.mul_f64(SLOW_START_STEPS);
        self.timers.push(Reverse((now + step, index)));
    }

    /// Works off up to `most` timers that are due.
    fn run_timers(&mut self, most: usize, now: Instant) {
        for _ in 0..most {
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
        self.judge(index, now);
        let slow_start = self.settings.slow_start;
        let member = &mut self.members[index];
        let Some(since) = member.cold_since else {
            return;
        };
        if now >= since + slow_start {
            member.cold_since = None;
            self.refresh(index, now);
        } else {
            let step = slow_start.mul_f64(SLOW_START_STEPS);
            self.timers.push(Reverse((now + step, index)));
        }
    }

    /// Puts a target into or out of its region's list of open targets.
    fn refresh(&mut self, index: usize, now: Instant) {
        let member = &mut self.members[index];
        let region = &mut self.regions[member.region];
        let is_able = member.is_able(self.settings.stale, now);
        if is_able != member.is_counted {
            member.is_counted = is_able;
            region.able = if is_able {
                region.able + 1
            } else {
                region.able - 1
            };
        }
        let is_ejected = member.health.out().is_some_and(|out| out.why != Why::Down);
        if is_ejected != member.is_ejected {
            member.is_ejected = is_ejected;
            region.ejected = if is_ejected {
                region.ejected + 1
            } else {
                region.ejected - 1
            };
        }
        let is_open = member.is_open(&self.settings, now);
        match (is_open, member.open_at) {
            (true, None) => {
                member.open_at = Some(region.open.len());
                region.open.push(index);
            }
            (false, Some(at)) => {
                member.open_at = None;
                region.open.swap_remove(at);
                if let Some(moved) = region.open.get(at).copied() {
                    self.members[moved].open_at = Some(at);
                }
            }
            _ => {}
        }
    }

    fn refresh_all(&mut self, now: Instant) {
        for index in 0..self.members.len() {
            self.refresh(index, now);
        }
    }

    /// Takes in how an attempt on a target ended.
    fn on_end(&mut self, index: usize, end: End, now: Instant) {
        let stale = self.settings.stale;
        let member = &mut self.members[index];
        member.in_flight = member.in_flight.saturating_sub(1);
        member.load.on_change(member.in_flight);
        let was_trial = member.health.is_trial();
        member.health.on_end(end, now);
        match end {
            End::Shed => member.load.on_shed(member.slots, stale, now),
            End::Answered { failed: false, .. } => {
                member.load.on_answer(member.slots, stale, now);
            }
            _ => {}
        }
        let backoff = member.health.backoff();
        let region = member.region;
        let passed_trial = was_trial && !member.health.is_trial();
        self.regions[region].on_end(end);
        if end == End::Shed {
            self.plan.on_loss();
        }
        if now < backoff {
            self.timers.push(Reverse((backoff, index)));
        }
        if passed_trial {
            self.start_slowly(index, now);
        }
        self.judge(index, now);
    }
}
