//! The split of one service: what is wanted, what is in force and when it moves.

use std::collections::VecDeque;

use sg_types::{percent::WHOLE, prelude::*};

use crate::{
    link::Links,
    region::{Region, Warmth},
    report::{Cause, Phase},
    shift::{self, Goal, Limits, Shifter, Slots},
    split::Split,
    wheel::Wheel,
};

use super::{Pool, State};

/// How often the goal is worked out.
const PLAN_INTERVAL: Span = Span::from_millis(250);
/// How long the last decision stays after measurements stopped, in stale spans of load.
const HOLD_SPANS: f64 = 6.0;
/// How much more demand must fit for the tree's split to be taken for safe.
const MARGIN: f64 = 1.1;
/// The least step that takes traffic from a region for want of capacity.
const DEADBAND_AWAY: Percent = Percent::from_ppm(20_000);
/// The least step that gives it back.
const DEADBAND_BACK: Percent = Percent::from_ppm(50_000);
/// The least part of the demand that is taken to be served.
const LEAST_SERVED: f64 = 0.25;
/// The time over which demand is averaged.
const DEMAND_MEMORY: Span = Span::from_secs(15);
/// The time over which this instance's rate is averaged.
const RATE_MEMORY: Span = Span::from_secs(10);
/// Intervals that a step waits for answers that tell whether the receivers are warm.
const UNKNOWN_WAIT: f64 = 3.0;
/// Intervals that a step waits for receivers that are slow but do not fail.
const SLOW_WAIT: f64 = 6.0;

/// The plan of one service.
#[derive(Debug, Default)]
pub(super) struct Plan {
    wanted: Split,
    shifter: Shifter,
    wheel: Wheel,
    goal: Goal,
    phase: Phase,
    cause: Option<Cause>,
    demand: Slots,
    rate: f64,
    asked: u32,
    lost: u32,
    lost_share: f64,
    measured: Instant,
    planned: Instant,
    /// When the stage of the shift that is on began.
    stage: Option<Instant>,
    moves: VecDeque<(Instant, Percent)>,
}

impl Plan {
    /// Sets the tree's split. The first one is in force at once: there is no traffic to move.
    pub(super) fn want(&mut self, wanted: Split) {
        if self.shifter.in_force().is_empty() {
            self.shifter = Shifter::new(wanted.clone());
        }
        self.goal.split = wanted.clone();
        self.wanted = wanted;
    }

    pub(super) fn on_configure(&mut self, now: Instant) {
        if self.measured == Instant::START {
            self.measured = now;
        }
    }

    pub(super) fn adopt(&mut self, split: Split, now: Instant) {
        self.shifter = Shifter::adopt(split, now);
    }

    pub(super) const fn in_force(&self) -> &Split {
        self.shifter.in_force()
    }

    pub(super) const fn wanted(&self) -> &Split {
        &self.wanted
    }

    pub(super) const fn goal(&self) -> &Goal {
        &self.goal
    }

    pub(super) const fn demand(&self) -> Slots {
        self.demand
    }

    pub(super) const fn phase(&self) -> Phase {
        self.phase
    }

    /// Why traffic moves or is not split as the tree wants, if so.
    pub(super) fn cause(&self) -> Option<Cause> {
        let is_moved = self.shifter.in_force() != &self.wanted;
        self.cause
            .filter(|_| is_moved || self.phase != Phase::Steady)
    }

    /// Puts the split in force for the coming draws.
    pub(super) fn set_wheel(&mut self, regions: &IndexMap<id::Region, Region>) {
        let in_force = self.shifter.in_force();
        let parts = regions.keys().map(|name| in_force.part(name));
        self.wheel.set(parts);
    }

    /// Draws a request's region.
    pub(super) fn draw(&mut self) -> Option<usize> {
        self.wheel.draw()
    }

    /// Counts a new request.
    pub(super) fn on_ask(&mut self) {
        self.asked = self.asked.saturating_add(1);
    }

    /// Counts a request that was refused for want of room, here or by a target.
    pub(super) fn on_loss(&mut self) {
        self.lost = self.lost.saturating_add(1);
    }

    /// Counts a request that was refused at first and has room now.
    pub(super) fn on_late_start(&mut self) {
        self.lost = self.lost.saturating_sub(1);
    }

    /// Notes that a target answered a probe.
    pub(super) fn on_measurement(&mut self, now: Instant) {
        self.measured = now;
    }

    /// Whether traffic that is refused now would have a place after more steps.
    pub(super) fn can_place(&self) -> bool {
        self.shifter.is_away_from(&self.goal.split, Percent::ZERO)
    }

    /// How far the goal must be for a step. Demand is measured with noise, so that traffic which
    /// left a region for want of capacity goes back only when there is clearly room.
    fn deadband(&self) -> Percent {
        if self.cause != Some(Cause::Capacity) {
            return Percent::ZERO;
        }
        let in_force = self.shifter.in_force();
        let goes_back = self.goal.split.distance(&self.wanted) < in_force.distance(&self.wanted);
        if goes_back {
            DEADBAND_BACK
        } else {
            DEADBAND_AWAY
        }
    }

    fn count_requests(&mut self, elapsed: Span) {
        let seconds = elapsed.as_secs_f64();
        let asked = f64::from(self.asked);
        let weight = (seconds / RATE_MEMORY.as_secs_f64()).min(1.0);
        self.rate += (asked / seconds - self.rate) * weight;
        if self.asked > 0 {
            let share = (f64::from(self.lost) / asked).min(1.0);
            self.lost_share += (share - self.lost_share) * weight;
        }
        self.asked = 0;
        self.lost = 0;
    }

    /// Averages the demand: what is in work, and what would be if nothing were refused.
    fn count_demand(&mut self, busy: Slots, elapsed: Span) {
        let served = (1.0 - self.lost_share).max(LEAST_SERVED);
        let weight = elapsed.as_secs_f64() / DEMAND_MEMORY.as_secs_f64();
        self.demand += (busy / served - self.demand) * weight.min(1.0);
    }

    /// Keeps the moves of the last interval. Returns whether they are under the cap.
    fn record(&mut self, moved: Percent, limits: Limits, now: Instant) -> bool {
        self.moves.push_back((now, moved));
        while self
            .moves
            .front()
            .is_some_and(|(at, _)| *at + limits.interval < now)
        {
            self.moves.pop_front();
        }
        let sum: u32 = self.moves.iter().map(|(_, moved)| moved.as_ppm()).sum();
        sum <= limits.cap.as_ppm()
    }
}

impl Pool {
    /// Works off what is due and, when it is time, works out the split anew.
    pub(crate) fn tick(&self, links: &Links, now: Instant) {
        let state = &mut *self.state.lock();
        state.run_timers(usize::MAX, now);
        let elapsed = now.since(state.plan.planned);
        if elapsed >= PLAN_INTERVAL {
            state.plan.planned = now;
            state.plan(&self.home, links, elapsed, now);
        }
    }
}

impl State {
    fn plan(&mut self, home: &id::Region, links: &Links, elapsed: Span, now: Instant) {
        self.regions
            .values_mut()
            .for_each(|region| region.forget(now));
        self.plan.count_requests(elapsed);
        let silence = now.since(self.plan.measured);
        let hold = self.settings.stale.mul_f64(HOLD_SPANS);
        if silence < self.settings.stale {
            let busy = self.busy(now);
            self.plan.count_demand(busy, elapsed);
            self.aim(home, links, now);
        } else if silence < hold {
            self.plan.phase = Phase::Holding;
            return;
        } else {
            self.aim_at_tree();
        }
        self.advance(silence >= hold, now);
    }

    /// Requests in work on all targets from all instances, at least those of this one.
    fn busy(&self, now: Instant) -> Slots {
        let members = self.members.values();
        let own: u32 = members.clone().map(|member| member.in_flight).sum();
        let all: Slots = members.map(|member| member.busy(&self.settings, now)).sum();
        all.max(f64::from(own))
    }

    /// Works out the goal from what is measured.
    fn aim(&mut self, home: &id::Region, links: &Links, now: Instant) {
        let regions = self.evidence(home, links, now);
        let headroom = self.settings.headroom;
        let plan = &mut self.plan;
        plan.goal = shift::goal(&regions, plan.demand, headroom);
        let with_margin = shift::goal(&regions, plan.demand * MARGIN, headroom);
        let is_down = |name: &id::Region| self.regions.get(name).is_none_or(|r| r.able == 0);
        let down = regions
            .iter()
            .any(|(name, region)| region.wanted > Percent::ZERO && is_down(name));
        plan.cause = Some(match with_margin.split == plan.wanted {
            true => Cause::Tree,
            false if down => Cause::RegionDown,
            false => Cause::Capacity,
        });
    }

    /// Nothing is known: the tree's split is the safe one.
    fn aim_at_tree(&mut self) {
        self.plan.goal = Goal {
            split: self.plan.wanted.clone(),
            unplaced: 0.0,
        };
        self.plan.cause = Some(Cause::Tree);
    }

    /// Takes a step if there is cause and leave for one.
    fn advance(&mut self, is_blind: bool, now: Instant) {
        let limits = self.settings.limits;
        let plan = &mut self.plan;
        let deadband = plan.deadband();
        if !plan.shifter.is_away_from(&plan.goal.split, deadband) {
            plan.phase = Phase::Steady;
            return;
        }
        plan.phase = match is_blind {
            true => Phase::Returning,
            false => Phase::Shifting,
        };
        if plan.shifter.allowance(limits, now) == Percent::ZERO {
            return;
        }
        if !is_blind && !self.may_go_on(now) {
            self.plan.phase = Phase::WaitingForWarmth;
            return;
        }
        self.step(limits, now);
    }

    fn step(&mut self, limits: Limits, now: Instant) {
        let plan = &mut self.plan;
        let Some(step) = plan.shifter.step(&plan.goal.split, limits, now) else {
            return;
        };
        if !plan.record(step.moved, limits, now) {
            self.counts.violations += 1;
            debug_assert!(false, "a shift over its cap");
        }
        self.counts.steps += 1;
        if plan.stage.is_none_or(|stage| now > stage + limits.interval) {
            plan.stage = Some(now);
            self.regions.values_mut().for_each(Region::on_step);
        }
        self.plan.set_wheel(&self.regions);
    }

    /// Whether the regions that gain have been seen to do well since the last stage began. A stage
    /// is what moves within one interval; it needs no evidence of itself.
    fn may_go_on(&self, now: Instant) -> bool {
        let Some(stage) = self.plan.stage else {
            return true;
        };
        let waited = |intervals| now >= stage + self.settings.limits.interval.mul_f64(intervals);
        if !waited(1.0) {
            return true;
        }
        let (goal, in_force) = (&self.plan.goal.split, self.plan.in_force());
        let mut gaining = self
            .regions
            .values()
            .filter(|region| goal.part(&region.name) > in_force.part(&region.name));
        gaining.all(|region| match region.warmth(self.settings.service_time) {
            Warmth::Warm => true,
            Warmth::Unknown => waited(UNKNOWN_WAIT),
            Warmth::Slow => waited(SLOW_WAIT),
            Warmth::Failing => false,
        })
    }

    /// What is known of each region.
    fn evidence(
        &self,
        home: &id::Region,
        links: &Links,
        now: Instant,
    ) -> IndexMap<id::Region, shift::Region> {
        let names = self.regions.keys().enumerate();
        let evidence = names.map(|(index, name)| {
            let slots = self.slots(index, now);
            let answers = links.answers(name, self.settings.answer_size);
            let link = match answers.filter(|_| name != home) {
                Some(answers) => (answers / self.plan.rate.max(f64::MIN_POSITIVE)).min(1.0),
                None => 1.0,
            };
            let region = shift::Region {
                wanted: self.plan.wanted.part(name),
                alive: slots.able,
                after_loss: slots.after_loss,
                link: Percent::from_ppm((link * f64::from(WHOLE)) as u32),
            };
            (name.clone(), region)
        });
        evidence.collect()
    }
}
