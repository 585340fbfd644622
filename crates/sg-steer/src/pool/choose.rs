//! The choice of a region and a target for one request.

use rand::{Rng, rngs::SmallRng};
use sg_types::prelude::*;

use crate::{
    End,
    link::Links,
    member::{Member, Place},
    settings::Settings,
};

use super::{Pool, State, TIMERS_A_REQUEST};

/// Draws that may be thrown away because the target is cold.
const COLD_DRAWS: usize = 3;

/// Whether a request is asked for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// It is.
    New,
    /// It was refused before and waited.
    Again,
}

/// A counted attempt.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) place: Arc<Place>,
    /// Where the target stood when the attempt started; another revision may move it.
    index: usize,
    pub(crate) in_flight: u32,
    pub(crate) at: Instant,
}

impl Pool {
    /// Chooses a target and counts a request as in flight on it.
    pub(crate) fn start(
        &self,
        kind: Kind,
        tried: &[id::Target],
        links: &Links,
        now: Instant,
    ) -> Result<Start, Reason> {
        let state = &mut *self.state.lock();
        state.run_timers(TIMERS_A_REQUEST, now);
        let region = state.region(kind, tried)?;
        let started = state.start(region, tried, &self.home, links, now);
        state.settle(region, kind, tried, &started);
        started
    }

    /// Takes in how an attempt ended.
    pub(crate) fn end(&self, start: &Start, end: End, now: Instant) {
        let state = &mut *self.state.lock();
        if let Some(index) = state.find(start) {
            state.on_end(index, end, now);
        }
    }

    /// Requests of this instance in flight on the target of an attempt.
    pub(crate) fn in_flight(&self, start: &Start) -> u32 {
        let state = self.state.lock();
        let index = state.find(start);
        index.map_or(start.in_flight, |index| state.members[index].in_flight)
    }
}

impl State {
    /// Where the target of an attempt stands now, if it is still the same one.
    fn find(&self, start: &Start) -> Option<usize> {
        let is_same = |member: &Member| Arc::ptr_eq(&member.place, &start.place);
        let at = self.members.get_index(start.index);
        if at.is_some_and(|(_, member)| is_same(member)) {
            return Some(start.index);
        }
        let moved = self.members.get_full(&start.place.target);
        moved
            .filter(|(_, _, member)| is_same(member))
            .map(|(index, _, _)| index)
    }

    /// The region of a request. A retry stays in the region of the attempt before it.
    fn region(&mut self, kind: Kind, tried: &[id::Target]) -> Result<usize, Reason> {
        let last = tried.last().and_then(|target| self.members.get(target));
        if let Some(member) = last {
            return Ok(member.region);
        }
        let region = match kind {
            Kind::New => self.plan.draw(),
            Kind::Again => self.owing(),
        };
        region.ok_or(Reason::NoTarget)
    }

    /// A region that requests wait for, one with an open target first.
    fn owing(&mut self) -> Option<usize> {
        let owing = |is_open: bool| {
            let mut regions = self.regions.values().enumerate();
            let found = regions.find(|(_, region)| region.owes() && region.is_open() == is_open);
            found.map(|(index, _)| index)
        };
        let region = owing(true).or_else(|| owing(false));
        region.or_else(|| self.plan.draw())
    }

    fn start(
        &mut self,
        region: usize,
        tried: &[id::Target],
        home: &id::Region,
        links: &Links,
        now: Instant,
    ) -> Result<Start, Reason> {
        let Some(index) = self.choose(region, tried, now) else {
            return Err(self.why_none(region));
        };
        let name = &self.regions[region].name;
        if name != home && !links.take(name, self.settings.answer_size, now) {
            return Err(Reason::RegionFull);
        }
        let member = &mut self.members[index];
        if member.is_leaving() {
            self.counts.violations += 1;
            debug_assert!(false, "new work for a leaving target");
        }
        member.in_flight += 1;
        let start = Start {
            place: Arc::clone(&member.place),
            index,
            in_flight: member.in_flight,
            at: now,
        };
        self.refresh(index, now);
        Ok(start)
    }

    /// Counts a start or a refusal.
    fn settle(
        &mut self,
        region: usize,
        kind: Kind,
        tried: &[id::Target],
        started: &Result<Start, Reason>,
    ) {
        let is_new = kind == Kind::New && tried.is_empty();
        if is_new {
            self.plan.on_ask();
        }
        match started {
            Ok(_) => {
                self.counts.started += 1;
                if tried.is_empty() {
                    self.retry.deposit(self.settings.retry_budget);
                }
                if kind == Kind::Again {
                    self.regions[region].pay();
                    self.plan.on_late_start();
                }
            }
            Err(reason) => {
                self.count_refusal(*reason);
                if is_new {
                    self.regions[region].owe();
                    self.plan.on_loss();
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

    /// Why a region has no target for a request.
    fn why_none(&self, region: usize) -> Reason {
        let this = &self.regions[region];
        if this.able > 0 {
            return match this.is_open() {
                true => Reason::NoTarget,
                false => Reason::RegionFull,
            };
        }
        let others = self.regions.values().any(|region| region.able > 0);
        match others {
            true if self.plan.can_place() => Reason::ShiftCapped,
            true => Reason::RegionFull,
            false => Reason::NoTarget,
        }
    }

    /// The less loaded of two random open targets of a region.
    fn choose(&mut self, region: usize, tried: &[id::Target], now: Instant) -> Option<usize> {
        let mut draw = Draw {
            members: &self.members,
            open: &self.regions[region].open,
            settings: &self.settings,
            tried,
            now,
            rng: &mut self.rng,
        };
        let first = draw.target(None)?;
        let Some(second) = draw.target(Some(first)) else {
            return Some(first);
        };
        let score = |index: usize| self.members[index].score(self.settings.stale, now);
        Some(if score(second) < score(first) {
            second
        } else {
            first
        })
    }
}

/// Draws open targets of one region.
struct Draw<'a> {
    members: &'a IndexMap<id::Target, Member>,
    open: &'a [usize],
    settings: &'a Settings,
    tried: &'a [id::Target],
    now: Instant,
    rng: &'a mut SmallRng,
}

impl Draw<'_> {
    /// An open target other than `except` that was not tried. Cold ones are drawn less often.
    fn target(&mut self, except: Option<usize>) -> Option<usize> {
        let mut drawn = None;
        for _ in 0..COLD_DRAWS {
            let index = self.any(except)?;
            drawn = Some(index);
            let warmth = self.members[index].warmth(self.settings.slow_start, self.now);
            if warmth >= 1.0 || self.rng.random_bool(warmth) {
                break;
            }
        }
        drawn
    }

    /// The first open target that may be used, from a random one on.
    fn any(&mut self, except: Option<usize>) -> Option<usize> {
        if self.open.is_empty() {
            return None;
        }
        let len = self.open.len();
        let from = self.rng.random_range(0..len);
        let left_out = self.tried.len() + usize::from(except.is_some());
        let mut indices = (0..len.min(left_out + 1)).map(|step| self.open[(from + step) % len]);
        indices.find(|index| {
            let target = &self.members[*index].place.target;
            Some(*index) != except && !self.tried.contains(target)
        })
    }
}
