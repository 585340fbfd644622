//! Planning of shifts for one service: the goal, the current split and when to move.

use std::collections::VecDeque;

use sg_types::{percent::PPM_PER_WHOLE, prelude::*};

use crate::{
    link::Links,
    region::{Region, Warmth},
    report::{Cause, Phase},
    round_robin::RoundRobin,
    shift::{self, Goal, Limits, Shifter, Slots},
    split::Split,
};

use super::{Pool, State};

/// Interval at which the goal is computed.
const PLAN_INTERVAL: Span = Span::from_millis(250);
/// Time for which the last decision is kept after measurements stop, in multiples of the time after
/// which load reports are stale.
const HOLD_STALE_PERIODS: f64 = 6.0;
/// The split of the tree counts as safe only if this multiple of the demand fits.
const DEMAND_MARGIN: f64 = 1.1;
/// Smallest move that takes traffic from a region for lack of capacity.
const DEADBAND_AWAY: Percent = Percent::from_ppm(20_000);
/// Smallest move that returns traffic to a region which had lacked capacity.
const DEADBAND_BACK: Percent = Percent::from_ppm(50_000);
/// Lower bound of the share of demand that is assumed to be served.
const MIN_SERVED_SHARE: f64 = 0.25;
/// Averaging time of the demand.
const DEMAND_AVERAGING_TIME: Span = Span::from_secs(15);
/// Averaging time of this instance's request rate.
const RATE_AVERAGING_TIME: Span = Span::from_secs(10);
/// Shift intervals to wait for enough attempts to tell whether the receiving regions are warm.
const UNKNOWN_WAIT_INTERVALS: f64 = 3.0;
/// Shift intervals to wait for receiving regions that are slow but do not fail.
const SLOW_WAIT_INTERVALS: f64 = 6.0;

/// Shift plan of one service.
#[derive(Debug, Default)]
pub(super) struct Plan {
    tree_split: Split,
    shifter: Shifter,
    round_robin: RoundRobin,
    goal: Goal,
    phase: Phase,
    cause: Option<Cause>,
    demand: Slots,
    request_rate: f64,
    requests: u32,
    refused: u32,
    refused_share: f64,
    last_measurement: Instant,
    last_planned: Instant,
    /// Start of the current stage of the shift.
    stage_start: Option<Instant>,
    recent_moves: VecDeque<(Instant, Percent)>,
}

impl Plan {
    /// Sets the split of the tree. The first one applies at once, because there is no traffic to
    /// move.
    pub(super) fn set_tree_split(&mut self, tree_split: Split) {
        if self.shifter.current().is_empty() {
            self.shifter = Shifter::new(tree_split.clone());
        }
        self.goal.split = tree_split.clone();
        self.tree_split = tree_split;
    }

    /// Sets the time of the last measurement to `now` if there has been none, so that the hold time
    /// starts with the first revision.
    pub(super) fn init_last_measurement(&mut self, now: Instant) {
        if self.last_measurement == Instant::START {
            self.last_measurement = now;
        }
    }

    /// Adopts the split of other instances as the current one.
    pub(super) fn adopt(&mut self, split: Split, now: Instant) {
        self.shifter = Shifter::adopt(split, now);
    }

    pub(super) const fn current_split(&self) -> &Split {
        self.shifter.current()
    }

    pub(super) const fn tree_split(&self) -> &Split {
        &self.tree_split
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

    /// Returns why traffic moves or is split differently from the tree, if it does.
    pub(super) fn cause(&self) -> Option<Cause> {
        let is_moved = self.shifter.current() != &self.tree_split;
        self.cause
            .filter(|_| is_moved || self.phase != Phase::Steady)
    }

    /// Updates the weights of the round robin to the current split.
    pub(super) fn update_weights(&mut self, regions: &IndexMap<id::Region, Region>) {
        let current_split = self.shifter.current();
        let shares = regions.keys().map(|name| current_split.share(name));
        self.round_robin.set_weights(shares);
    }

    /// Selects the region of a request.
    pub(super) fn next_region(&mut self) -> Option<usize> {
        self.round_robin.next_index()
    }

    /// Counts a new request.
    pub(super) fn record_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Counts a request that this instance or a target refused for lack of capacity.
    pub(super) fn record_refusal(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// Retracts the refusal of a request that was started later.
    pub(super) fn retract_refusal(&mut self) {
        self.refused = self.refused.saturating_sub(1);
    }

    /// Records that a target responded to a probe.
    pub(super) fn record_measurement(&mut self, now: Instant) {
        self.last_measurement = now;
    }

    /// Returns whether further steps could place traffic that is refused now.
    pub(super) fn can_move_further(&self) -> bool {
        self.shifter
            .exceeds_deadband(&self.goal.split, Percent::ZERO)
    }

    /// Returns the distance that the goal must exceed for a step. Demand measurements are noisy, so
    /// traffic that left a region for lack of capacity returns only when there is clearly enough
    /// capacity.
    fn deadband(&self) -> Percent {
        if self.cause != Some(Cause::Capacity) {
            return Percent::ZERO;
        }
        let current_split = self.shifter.current();
        let is_returning =
            self.goal.split.distance(&self.tree_split) < current_split.distance(&self.tree_split);
        if is_returning {
            DEADBAND_BACK
        } else {
            DEADBAND_AWAY
        }
    }

    fn update_request_rate(&mut self, elapsed: Span) {
        let seconds = elapsed.as_secs_f64();
        let requests = f64::from(self.requests);
        let weight = (seconds / RATE_AVERAGING_TIME.as_secs_f64()).min(1.0);
        self.request_rate += (requests / seconds - self.request_rate) * weight;
        if self.requests > 0 {
            let share = (f64::from(self.refused) / requests).min(1.0);
            self.refused_share += (share - self.refused_share) * weight;
        }
        self.requests = 0;
        self.refused = 0;
    }

    /// Updates the average demand: the requests in flight, scaled up by the share that is refused.
    fn update_demand(&mut self, total_in_flight: Slots, elapsed: Span) {
        let served = (1.0 - self.refused_share).max(MIN_SERVED_SHARE);
        let weight = elapsed.as_secs_f64() / DEMAND_AVERAGING_TIME.as_secs_f64();
        self.demand += (total_in_flight / served - self.demand) * weight.min(1.0);
    }

    /// Records a move and drops moves older than a shift interval. Returns whether the sum of the
    /// remaining moves is within the cap.
    fn record_move(&mut self, moved: Percent, limits: Limits, now: Instant) -> bool {
        self.recent_moves.push_back((now, moved));
        while self
            .recent_moves
            .front()
            .is_some_and(|(at, _)| *at + limits.interval < now)
        {
            self.recent_moves.pop_front();
        }
        let sum: u32 = self
            .recent_moves
            .iter()
            .map(|(_, moved)| moved.as_ppm())
            .sum();
        sum <= limits.cap.as_ppm()
    }
}

impl Pool {
    /// Runs timers that are due and, once per [`PLAN_INTERVAL`], plans the split.
    pub(crate) fn tick(&self, links: &Links, now: Instant) {
        let state = &mut *self.state.lock();
        state.run_timers(usize::MAX, now);
        let elapsed = now.since(state.plan.last_planned);
        if elapsed >= PLAN_INTERVAL {
            state.plan.last_planned = now;
            state.replan(&self.home, links, elapsed, now);
        }
    }
}

impl State {
    /// Updates the demand and the goal and takes a step toward the goal if one is due.
    fn replan(&mut self, home: &id::Region, links: &Links, elapsed: Span, now: Instant) {
        self.regions
            .values_mut()
            .for_each(|region| region.decay_waiting(now));
        self.plan.update_request_rate(elapsed);
        let measurement_age = now.since(self.plan.last_measurement);
        let hold_time = self.settings.stale_after.mul_f64(HOLD_STALE_PERIODS);
        if measurement_age < self.settings.stale_after {
            let total_in_flight = self.total_in_flight(now);
            self.plan.update_demand(total_in_flight, elapsed);
            self.update_goal(home, links, now);
        } else if measurement_age < hold_time {
            self.plan.phase = Phase::Holding;
            return;
        } else {
            self.set_goal_to_tree();
        }
        self.advance_shift(measurement_age >= hold_time, now);
    }

    /// Returns the number of requests in flight on all targets from all instances, which is at
    /// least that of this instance.
    fn total_in_flight(&self, now: Instant) -> Slots {
        let members = self.members.values();
        let own: u32 = members.clone().map(|member| member.in_flight).sum();
        let all: Slots = members
            .map(|member| member.total_in_flight(&self.settings, now))
            .sum();
        all.max(f64::from(own))
    }

    /// Computes the goal from measurements.
    fn update_goal(&mut self, home: &id::Region, links: &Links, now: Instant) {
        let regions = self.goal_inputs(home, links, now);
        let headroom = self.settings.headroom;
        let plan = &mut self.plan;
        plan.goal = shift::goal(&regions, plan.demand, headroom);
        let with_margin = shift::goal(&regions, plan.demand * DEMAND_MARGIN, headroom);
        let is_down =
            |name: &id::Region| self.regions.get(name).is_none_or(|r| r.usable_count == 0);
        let any_down = regions
            .iter()
            .any(|(name, region)| region.tree_share > Percent::ZERO && is_down(name));
        plan.cause = Some(match with_margin.split == plan.tree_split {
            true => Cause::Tree,
            false if any_down => Cause::RegionDown,
            false => Cause::Capacity,
        });
    }

    /// Sets the goal to the split of the tree, which is the safe one when no measurements are
    /// available.
    fn set_goal_to_tree(&mut self) {
        self.plan.goal = Goal {
            split: self.plan.tree_split.clone(),
            unplaced: 0.0,
        };
        self.plan.cause = Some(Cause::Tree);
    }

    /// Takes a step if the goal is far enough away and a step is allowed.
    fn advance_shift(&mut self, is_unmeasured: bool, now: Instant) {
        let limits = self.settings.shift_limits;
        let plan = &mut self.plan;
        let deadband = plan.deadband();
        if !plan.shifter.exceeds_deadband(&plan.goal.split, deadband) {
            plan.phase = Phase::Steady;
            return;
        }
        plan.phase = match is_unmeasured {
            true => Phase::Returning,
            false => Phase::Shifting,
        };
        if plan.shifter.allowance(limits, now) == Percent::ZERO {
            return;
        }
        if !is_unmeasured && !self.is_next_stage_allowed(now) {
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
        if !plan.record_move(step.moved, limits, now) {
            self.counts.violations += 1;
            debug_assert!(false, "a shift step exceeded the shift cap");
        }
        self.counts.steps += 1;
        if plan
            .stage_start
            .is_none_or(|stage_start| now > stage_start + limits.interval)
        {
            plan.stage_start = Some(now);
            self.regions.values_mut().for_each(Region::start_stage);
        }
        self.plan.update_weights(&self.regions);
    }

    /// Returns whether the regions that gain traffic have proved warm since the last stage began. A
    /// stage consists of all steps within one interval, so steps of the same stage don't wait for
    /// each other's results.
    fn is_next_stage_allowed(&self, now: Instant) -> bool {
        let Some(stage_start) = self.plan.stage_start else {
            return true;
        };
        let waited =
            |intervals| now >= stage_start + self.settings.shift_limits.interval.mul_f64(intervals);
        if !waited(1.0) {
            return true;
        }
        let (goal, current_split) = (&self.plan.goal.split, self.plan.current_split());
        let mut gaining = self
            .regions
            .values()
            .filter(|region| goal.share(&region.name) > current_split.share(&region.name));
        gaining.all(|region| match region.warmth(self.settings.service_time) {
            Warmth::Warm => true,
            Warmth::Unknown => waited(UNKNOWN_WAIT_INTERVALS),
            Warmth::Slow => waited(SLOW_WAIT_INTERVALS),
            Warmth::Failing => false,
        })
    }

    /// Returns the share in the tree and the capacity of each region, from which the goal is
    /// computed.
    fn goal_inputs(
        &self,
        home: &id::Region,
        links: &Links,
        now: Instant,
    ) -> IndexMap<id::Region, shift::Region> {
        let names = self.regions.keys().enumerate();
        let goal_inputs = names.map(|(index, name)| {
            let slots = self.region_slots(index, now);
            let responses_per_second =
                links.responses_per_second(name, self.settings.response_size);
            let link_share = match responses_per_second.filter(|_| name != home) {
                Some(responses_per_second) => {
                    (responses_per_second / self.plan.request_rate.max(f64::MIN_POSITIVE)).min(1.0)
                }
                None => 1.0,
            };
            let region = shift::Region {
                tree_share: self.plan.tree_split.share(name),
                usable_slots: slots.usable,
                slots_after_loss: slots.after_loss,
                link_share: Percent::from_ppm((link_share * f64::from(PPM_PER_WHOLE)) as u32),
            };
            (name.clone(), region)
        });
        goal_inputs.collect()
    }
}
