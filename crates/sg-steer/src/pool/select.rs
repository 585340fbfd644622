//! Selection of a region and a target for one request.

use rand::{Rng, rngs::SmallRng};
use sg_types::prelude::*;

use crate::{
    Completion,
    link::Links,
    member::{Endpoint, Member},
    settings::Settings,
};

use super::{MAX_TIMERS_PER_REQUEST, Pool, State};

/// Maximum number of tries to sample a target. A cold target may be passed over for another try.
const MAX_SAMPLE_TRIES: usize = 3;

/// Whether a request is new or was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// The request is tried for the first time.
    New,
    /// The request was refused before and has been queued since.
    Queued,
}

/// The target that an attempt was assigned to and counted on.
#[derive(Debug)]
pub(crate) struct Placement {
    pub(crate) endpoint: Arc<Endpoint>,
    /// Index of the target when the attempt started. A new revision may move the target.
    index: usize,
    /// Requests of this instance in flight on the target when the attempt started.
    pub(crate) in_flight: u32,
    pub(crate) started_at: Instant,
}

impl Pool {
    /// Selects a target and counts a request as in flight on it.
    pub(crate) fn start(
        &self,
        kind: RequestKind,
        tried: &[id::Target],
        links: &Links,
        now: Instant,
    ) -> Result<Placement, Reason> {
        let state = &mut *self.state.lock();
        state.run_timers(MAX_TIMERS_PER_REQUEST, now);
        let region = state.select_region(kind, tried)?;
        let started = state.start_in_region(region, tried, &self.home, links, now);
        state.record_start(region, kind, tried, &started);
        started
    }

    /// Records how an attempt ended.
    pub(crate) fn finish(&self, placement: &Placement, completion: Completion, now: Instant) {
        let state = &mut *self.state.lock();
        if let Some(index) = state.current_index(placement) {
            state.record_completion(index, completion, now);
        }
    }

    /// Returns the number of requests that this instance has in flight on the target of an attempt.
    pub(crate) fn in_flight(&self, placement: &Placement) -> u32 {
        let state = self.state.lock();
        let index = state.current_index(placement);
        index.map_or(placement.in_flight, |index| state.members[index].in_flight)
    }
}

impl State {
    /// Returns the current index of an attempt's target, unless a revision removed or replaced it.
    fn current_index(&self, placement: &Placement) -> Option<usize> {
        let is_same = |member: &Member| Arc::ptr_eq(&member.endpoint, &placement.endpoint);
        let candidate = self.members.get_index(placement.index);
        if candidate.is_some_and(|(_, member)| is_same(member)) {
            return Some(placement.index);
        }
        let moved = self.members.get_full(&placement.endpoint.target);
        moved
            .filter(|(_, _, member)| is_same(member))
            .map(|(index, _, _)| index)
    }

    /// Selects the region of a request. A retry stays in the region of the previous attempt.
    fn select_region(&mut self, kind: RequestKind, tried: &[id::Target]) -> Result<usize, Reason> {
        let last = tried.last().and_then(|target| self.members.get(target));
        if let Some(member) = last {
            return Ok(member.region);
        }
        let region = match kind {
            RequestKind::New => self.plan.next_region(),
            RequestKind::Queued => self.waiting_region(),
        };
        region.ok_or(Reason::NoTarget)
    }

    /// Returns a region that has waiting requests, preferably one with an available target.
    fn waiting_region(&mut self) -> Option<usize> {
        let find_region = |has_available: bool| {
            let mut regions = self.regions.values().enumerate();
            let found = regions.find(|(_, region)| {
                region.has_waiting() && region.has_available() == has_available
            });
            found.map(|(index, _)| index)
        };
        let region = find_region(true).or_else(|| find_region(false));
        region.or_else(|| self.plan.next_region())
    }

    /// Selects a target in a region, charges the link to the region and counts the request as in
    /// flight.
    fn start_in_region(
        &mut self,
        region: usize,
        tried: &[id::Target],
        home: &id::Region,
        links: &Links,
        now: Instant,
    ) -> Result<Placement, Reason> {
        let Some(index) = self.select_target(region, tried, now) else {
            return Err(self.refusal_reason(region));
        };
        let name = &self.regions[region].name;
        if name != home && !links.try_take(name, self.settings.response_size, now) {
            return Err(Reason::RegionFull);
        }
        let member = &mut self.members[index];
        if member.is_leaving() {
            self.counts.violations += 1;
            debug_assert!(false, "a request was assigned to a leaving target");
        }
        member.in_flight += 1;
        let placement = Placement {
            endpoint: Arc::clone(&member.endpoint),
            index,
            in_flight: member.in_flight,
            started_at: now,
        };
        self.update_availability(index, now);
        Ok(placement)
    }

    /// Counts a started or refused request.
    fn record_start(
        &mut self,
        region: usize,
        kind: RequestKind,
        tried: &[id::Target],
        started: &Result<Placement, Reason>,
    ) {
        let is_new = kind == RequestKind::New && tried.is_empty();
        if is_new {
            self.plan.record_request();
        }
        match started {
            Ok(_) => {
                self.counts.started += 1;
                if tried.is_empty() {
                    self.retry_budget.deposit(self.settings.retry_budget);
                }
                if kind == RequestKind::Queued {
                    self.regions[region].remove_waiting();
                    self.plan.retract_refusal();
                }
            }
            Err(reason) => {
                self.count_refusal(*reason);
                if is_new {
                    self.regions[region].add_waiting();
                    self.plan.record_refusal();
                }
            }
        }
    }

    fn count_refusal(&mut self, reason: Reason) {
        let count = match reason {
            Reason::ShiftCapped => &mut self.counts.shift_capped,
            Reason::RegionFull => &mut self.counts.region_full,
            _ => &mut self.counts.no_target,
        };
        *count += 1;
    }

    /// Returns the reason why a region has no target for a request.
    fn refusal_reason(&self, region: usize) -> Reason {
        let selected = &self.regions[region];
        if selected.usable_count > 0 {
            return match selected.has_available() {
                true => Reason::NoTarget,
                false => Reason::RegionFull,
            };
        }
        let any_usable = self.regions.values().any(|region| region.usable_count > 0);
        match any_usable {
            true if self.plan.can_move_further() => Reason::ShiftCapped,
            true => Reason::RegionFull,
            false => Reason::NoTarget,
        }
    }

    /// Selects the less loaded of two random available targets of a region.
    fn select_target(
        &mut self,
        region: usize,
        tried: &[id::Target],
        now: Instant,
    ) -> Option<usize> {
        let mut sampler = Sampler {
            members: &self.members,
            available: &self.regions[region].available,
            settings: &self.settings,
            tried,
            now,
            rng: &mut self.rng,
        };
        let first = sampler.sample(None)?;
        let Some(second) = sampler.sample(Some(first)) else {
            return Some(first);
        };
        let score = |index: usize| self.members[index].score(self.settings.stale_after, now);
        Some(if score(second) < score(first) {
            second
        } else {
            first
        })
    }
}

/// Samples random available targets of one region.
struct Sampler<'a> {
    members: &'a IndexMap<id::Target, Member>,
    available: &'a [usize],
    settings: &'a Settings,
    tried: &'a [id::Target],
    now: Instant,
    rng: &'a mut SmallRng,
}

impl Sampler<'_> {
    /// Returns an available target that was not tried and is not `excluded`. Cold targets are
    /// sampled less often.
    fn sample(&mut self, excluded: Option<usize>) -> Option<usize> {
        let mut sampled = None;
        for _ in 0..MAX_SAMPLE_TRIES {
            let index = self.random_target(excluded)?;
            sampled = Some(index);
            let warmth = self.members[index].warmth(self.settings.slow_start, self.now);
            if warmth >= 1.0 || self.rng.random_bool(warmth) {
                break;
            }
        }
        sampled
    }

    /// Returns the first permitted available target, starting the search at a random one.
    fn random_target(&mut self, excluded: Option<usize>) -> Option<usize> {
        if self.available.is_empty() {
            return None;
        }
        let len = self.available.len();
        let offset = self.rng.random_range(0..len);
        let skipped = self.tried.len() + usize::from(excluded.is_some());
        let mut indices =
            (0..len.min(skipped + 1)).map(|step| self.available[(offset + step) % len]);
        indices.find(|index| {
            let target = &self.members[*index].endpoint.target;
            Some(*index) != excluded && !self.tried.contains(target)
        })
    }
}
