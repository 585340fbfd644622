//! The targets of one service and the choice of a target for a request.

use sg_types::prelude::*;

use crate::{
    Plan, Target,
    candidate::{self, Candidate, Evaluation},
    cold,
    hash::Object,
    location::Location,
    member::{LoadReport, Member, TargetOutcome},
    rate_limit::{Change, Statement},
    scarcity::Scarcity,
    shift_limit::ShiftLimiter,
    work_estimate::MovingAverage,
};

/// Time after which room is expected while the shift limiter allows no region.
const SHIFT_RETRY_SECONDS: f64 = 0.5;
/// Time after which room is expected while other instances use the rates that all targets state.
const RATE_RETRY_SECONDS: f64 = 1.0;

/// A request for which a target is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Object that the request is about, if targets cache objects.
    pub object: Option<Object>,
    /// Object by which the plan assigns the request to a region.
    pub placement_key: Object,
    /// Whether the request may leave the planned region while that region has targets.
    pub may_leave_region: bool,
    /// Expected work if the object is warm at the target.
    pub warm_work_seconds: f64,
    /// Expected work if the object is cold at the target.
    pub cold_work_seconds: f64,
    /// Fraction of requests that find their object cold at the highest-ranked target.
    pub cold_fraction: f64,
    /// Typical work of a request that waits at a target.
    pub typical_work_seconds: f64,
    /// Targets that this request was already sent to.
    pub tried: &'a [id::Target],
    /// Regions that may run the request; empty for all regions.
    pub home_regions: &'a [id::Region],
    /// Regions that may run requests of the client account; empty for all regions.
    pub account_home_regions: &'a [id::Region],
    /// Maximum number of requests per second that the fleet sends to a cold target; 0 for no limit.
    pub cold_rate: f64,
    /// Time remaining until the response is due.
    pub remaining_seconds: f64,
    /// Limiter of how fast requests shift between regions.
    pub shift_limiter: &'a ShiftLimiter,
    /// Current time.
    pub now: Instant,
}

impl Query<'_> {
    /// Returns the time that a warm object saves at the target.
    #[must_use]
    pub fn saved_by_warmth_seconds(&self) -> f64 {
        (self.cold_work_seconds - self.warm_work_seconds).max(0.0)
    }
}

/// The target chosen for a request, with estimates.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The chosen target.
    pub target: Target,
    /// Whether this instance recently sent a request about the object to the target.
    pub warm: bool,
    /// Time until the response is expected.
    pub expected_seconds: f64,
    /// Time until the response is expected if the object turns out to be cold at the target.
    pub expected_if_cold_seconds: f64,
    /// Round-trip time to the target.
    pub round_trip_seconds: f64,
    /// Time that the request is expected to wait at the target before it runs.
    pub queue_wait_seconds: f64,
    /// Time that the target is expected to work on the request.
    pub work_seconds: f64,
    /// Whether the target is the highest-ranked one for the object in its region.
    pub is_highest_ranked: bool,
    /// Whether the target is outside the planned region.
    pub leaves_region: bool,
    /// When the target was chosen.
    pub chosen_at: Instant,
}

impl Choice {
    /// Returns when the target is expected to start running the request.
    #[must_use]
    pub fn expected_start(&self) -> Instant {
        self.chosen_at + Span::from_secs(1).mul_f64(self.queue_wait_seconds)
    }
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rejection {
    /// No target may take the request.
    NoTarget,
    /// No target can respond in time; room is expected after this time in seconds.
    NoRoom(f64),
    /// All targets asked for a pause; the first one ends after this time in seconds.
    Paused(f64),
}

/// The targets of one service.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    pub(crate) members: IndexMap<id::Target, Member>,
    plan: Plan,
    pub(crate) sender_ratio: f64,
    scarcity: Scarcity,
    /// Average time that the targets work on a request.
    work: MovingAverage,
}

impl Pool {
    /// Returns the listed targets with their observations.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_listed())
    }

    /// Returns the target called `id`, also if the store no longer lists it.
    pub fn member_mut(&mut self, id: &id::Target) -> Option<&mut Member> {
        self.members.get_mut(id)
    }

    /// Adds a target or updates its description. Returns whether the target was not listed before.
    pub fn upsert_target(&mut self, target: Target, now: Instant) -> bool {
        match self.members.get_mut(&target.id) {
            Some(member) => {
                let was_listed = member.is_listed();
                member.update(target, now);
                member.is_listed() && !was_listed
            }
            None => {
                let member = Member::new(target, now);
                self.members.insert(member.target.id.clone(), member);
                true
            }
        }
    }

    /// Records that the store no longer lists the target `id`. Returns the target if it was listed.
    pub fn remove_target(&mut self, id: &id::Target) -> Option<&Target> {
        let member = self.members.get_mut(id);
        let member = member.filter(|member| member.is_listed())?;
        member.unlist();
        Some(&member.target)
    }

    /// Forgets a target and returns what was observed of it.
    pub fn forget_target(&mut self, id: &id::Target) -> Option<Member> {
        self.members.swap_remove(id)
    }

    /// Takes over what was observed of a target that ran another service.
    pub fn adopt_member(&mut self, member: Member) {
        self.members.insert(member.target.id.clone(), member);
    }

    /// Excludes the targets of `domain` until a health check of each succeeds.
    pub fn require_checks(&mut self, domain: &id::Domain) {
        let members = self.members.values_mut();
        members
            .filter(|m| m.target.domain == *domain)
            .for_each(Member::require_check);
    }

    /// Forgets the failures of all targets since `since`, because this instance caused them.
    pub fn forget_failures(&mut self, since: Instant, now: Instant) {
        let members = self.members.values_mut();
        members.for_each(|member| member.forget_failures(since, now));
    }

    /// Replaces the plan.
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
    }

    /// Sets the ratio of the requests that all instances of this region send to those that this
    /// instance sends.
    pub fn set_sender_ratio(&mut self, sender_ratio: f64) {
        self.sender_ratio = sender_ratio;
    }

    /// Returns the plan in force.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Chooses the target whose response is expected first, with a bias toward the region that the
    /// plan names for the request and toward nearby targets. Domains in `closed` take no requests.
    ///
    /// # Errors
    /// Returns [`Rejection`] if no target may take the request or none can respond in time.
    pub fn choose(
        &self,
        query: &Query<'_>,
        location: &Location,
        closed: &IndexSet<id::Domain>,
    ) -> Result<Choice, Rejection> {
        let (planned, candidates) = self.candidates(query, location, closed)?;
        let best = candidate::best_with_room(&candidates, query)?;
        if best.is_late(query) {
            let excess_seconds = best.expected_seconds() - query.remaining_seconds;
            return Err(Rejection::NoRoom(excess_seconds));
        }
        Ok(Choice {
            target: best.member.target.clone(),
            warm: best.is_warm,
            expected_seconds: best.expected_seconds(),
            expected_if_cold_seconds: best.expected_seconds() - best.work_seconds
                + query.cold_work_seconds.max(best.work_seconds),
            round_trip_seconds: best.round_trip_seconds,
            queue_wait_seconds: best.queue_wait_seconds,
            work_seconds: best.work_seconds,
            is_highest_ranked: best.is_highest_ranked,
            leaves_region: planned.is_some_and(|region| *region != best.member.target.region),
            chosen_at: query.now,
        })
    }

    /// Returns the planned region and the targets that may run the request, with estimates.
    pub(crate) fn candidates<'a>(
        &'a self,
        query: &'a Query<'_>,
        location: &'a Location,
        closed: &IndexSet<id::Domain>,
    ) -> Result<(Option<&'a id::Region>, Vec<Candidate<'a>>), Rejection> {
        let limits_shift = self.limits_shift(query);
        let planned = self.planned_region(query, location, limits_shift);
        let members = self.permitted_members(query, closed, planned, limits_shift)?;
        let evaluation = Evaluation {
            query,
            location,
            planned,
            highest_ranked: candidate::highest_ranked(&members, query.object, query.now),
            sender_ratio: self.sender_ratio,
            pace_persistence: candidate::pace_persistence(&members),
        };
        let candidates = members
            .iter()
            .filter(|member| self.has_cold_allowance(member, query, location))
            .map(|member| evaluation.evaluate(member))
            .collect();
        Ok((planned, candidates))
    }

    /// Returns the targets that may run the request: in the planned region if there are any and the
    /// request may not leave, and in regions that the shift limiter allows. Banned targets count only
    /// if there are no others.
    fn permitted_members(
        &self,
        query: &Query<'_>,
        closed: &IndexSet<id::Domain>,
        planned: Option<&id::Region>,
        limits_shift: bool,
    ) -> Result<Vec<&Member>, Rejection> {
        let members = self.members.values();
        let usable = members.filter(|member| candidate::may_use(member, query, closed));
        let (admitting, paused): (Vec<&Member>, Vec<&Member>) =
            usable.partition(|member| member.pause.admits(query.now));
        if admitting.is_empty() && !paused.is_empty() {
            return Err(Rejection::Paused(first_pause_end(&paused, query.now)));
        }
        let (banned, healthy): (Vec<&Member>, Vec<&Member>) = admitting
            .into_iter()
            .partition(|member| member.is_banned(query.now));
        let mut members = if healthy.is_empty() { banned } else { healthy };
        retain_within_rate(&mut members, query.now)?;
        if let Some(region) = planned.filter(|_| !query.may_leave_region) {
            let in_planned_region = |member: &&Member| member.target.region == *region;
            if members.iter().any(in_planned_region) {
                members.retain(in_planned_region);
            }
        }
        if limits_shift {
            members.retain(|member| query.shift_limiter.allows(&member.target.region, query.now));
            if members.is_empty() {
                return Err(Rejection::NoRoom(SHIFT_RETRY_SECONDS));
            }
        }
        Ok(members)
    }

    /// Returns the region that the plan names for the request. While the shift limiter does not
    /// allow that region, returns the first other one that it allows.
    pub(crate) fn planned_region<'a>(
        &'a self,
        query: &Query<'_>,
        location: &'a Location,
        limits_shift: bool,
    ) -> Option<&'a id::Region> {
        let planned = self.plan.region(query.placement_key)?;
        if !limits_shift || query.shift_limiter.allows(planned, query.now) {
            return Some(planned);
        }
        let shares = self.plan.shares.iter().filter(|share| share.weight > 0.0);
        let mut others = std::iter::once(&location.region).chain(shares.map(|share| &share.region));
        others.find(|region| query.shift_limiter.allows(region, query.now))
    }

    /// Records that a request which may run only in `home_regions` was refused because these had no
    /// room.
    pub fn record_restricted_refusal<'a>(
        &mut self,
        home_regions: impl IntoIterator<Item = &'a id::Region>,
        now: Instant,
    ) {
        self.scarcity.record_refusal(home_regions, now);
    }

    /// Returns whether `region` recently refused requests that may run nowhere else. A plan then leaves
    /// the region's room to these.
    #[must_use]
    pub fn is_scarce(&self, region: &id::Region, now: Instant) -> bool {
        self.scarcity.is_scarce(region, now)
    }

    /// Returns whether the shift limiter applies. Requests of an excluded target must move at once.
    pub(crate) fn limits_shift(&self, query: &Query<'_>) -> bool {
        query.shift_limiter.is_surging(query.now) && !self.members().any(|m| m.is_banned(query.now))
    }

    /// Returns whether this instance may send one more request to `member` if that is cold.
    pub(crate) fn has_cold_allowance(
        &self,
        member: &Member,
        query: &Query<'_>,
        location: &Location,
    ) -> bool {
        if !member.is_cold(query.now) || query.cold_rate <= 0.0 {
            return true;
        }
        let allowance = cold::allowance(
            query.cold_rate,
            &member.target.id,
            &location.instance,
            location.instances.iter(),
        );
        member.recent_sends.has_room(allowance, query.now)
    }

    /// Records that a request is sent to the target `id`.
    pub fn record_send(&mut self, id: &id::Target, object: Option<Object>, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight += 1;
            member.recent_sends.record(now);
            member.pause.record_send(now);
            member.rate_limit.take(now);
            if let Some(object) = object {
                member.mark_warm(object, now);
            }
        }
    }

    /// Records that a request sent to the target `id` has ended. `senders` is the number of
    /// instances that send to the target.
    pub fn record_end(
        &mut self,
        id: &id::Target,
        outcome: TargetOutcome,
        senders: usize,
        now: Instant,
    ) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight = member.in_flight.saturating_sub(1);
            member.record_outcome(outcome, senders, now);
        }
    }

    /// Records a target's report of its load.
    pub fn record_report(&mut self, id: &id::Target, report: LoadReport, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.record_report(report, now);
        }
    }

    /// Records what a response of the target `id` states about the rate that the target takes; `sent_at` is
    /// when the request was sent.
    pub fn record_rate_limit(
        &mut self,
        id: &id::Target,
        stated: Option<Rate>,
        sent_at: Instant,
        location: &Location,
        now: Instant,
    ) -> Option<Change> {
        let member = self.members.get_mut(id)?;
        let change = member.rate_limit.record(stated, sent_at, now)?;
        member.update_rate_share(location, now);
        Some(change)
    }

    /// Adopts what another instance announces about the rate that the target `id` takes.
    pub fn adopt_statement(
        &mut self,
        id: &id::Target,
        announced: Statement,
        location: &Location,
        now: Instant,
    ) -> Option<Change> {
        let member = self.members.get_mut(id)?;
        let change = member.rate_limit.adopt(announced, now)?;
        member.update_rate_share(location, now);
        Some(change)
    }

    /// Returns what targets stated to this instance lately, for the other instances.
    pub fn statements(&self, now: Instant) -> impl Iterator<Item = (&id::Target, Statement)> {
        self.members.iter().filter_map(move |(id, member)| {
            let statement = member.rate_limit.announcement(now)?;
            Some((id, statement))
        })
    }

    /// Updates this instance's shares of the rates that targets state, which change with the fleet and
    /// with the senders' turns.
    pub fn update_rate_shares(&mut self, location: &Location, now: Instant) {
        for member in self.members.values_mut() {
            member.update_rate_share(location, now);
        }
    }

    /// Returns the requests per second that this instance may send to targets that state a rate.
    #[must_use]
    pub fn rate_share(&self) -> f64 {
        let members = self.members.values();
        let limited = members.filter(|member| member.rate_limit.rate().is_some());
        limited.map(|member| member.rate_limit.share().rate).sum()
    }

    /// Records how long a target worked on a request.
    pub fn record_work(&mut self, seconds: f64) {
        self.work.record_sample(seconds);
    }

    /// Returns the slots of the usable targets in `domain`, reduced for cold and slow targets and for
    /// those that state a rate which keeps fewer slots busy.
    #[must_use]
    pub fn slots(&self, domain: &id::Domain, now: Instant) -> f64 {
        let members = self.members.values().filter(|member| {
            member.target.domain == *domain
                && member.is_staying()
                && !member.pause.is_active(now)
                && !member.is_banned(now)
        });
        members
            .map(|member| {
                let cold = if member.is_cold(now) { 0.3 } else { 1.0 };
                let slots = f64::from(member.slots()) * cold / member.slowness(now).max(1.0);
                slots.min(self.rate_limited_slots(member))
            })
            .sum()
    }

    /// Returns the slots that requests at the rate which `member` states keep busy.
    fn rate_limited_slots(&self, member: &Member) -> f64 {
        let rate = member.rate_limit.rate();
        let slots = rate.zip(self.work.value());
        slots.map_or(f64::MAX, |(rate, work_seconds)| {
            rate.as_f64() * work_seconds
        })
    }
}

/// Returns the time until the first of the pauses of `members` ends, in seconds.
fn first_pause_end(members: &[&Member], now: Instant) -> f64 {
    let remaining = members.iter().map(|member| member.pause.remaining(now));
    remaining.min().unwrap_or_default().as_secs_f64()
}

/// Removes the targets whose stated rate leaves this instance no room for another request.
fn retain_within_rate(members: &mut Vec<&Member>, now: Instant) -> Result<(), Rejection> {
    let has_room = |member: &&Member| member.rate_limit.has_room(now);
    if members.is_empty() || members.iter().any(has_room) {
        members.retain(has_room);
        return Ok(());
    }
    let waits = members.iter();
    let waits = waits.filter_map(|member| member.rate_limit.seconds_to_room(now));
    let wait_seconds = waits.min_by(f64::total_cmp);
    Err(Rejection::NoRoom(
        wait_seconds.unwrap_or(RATE_RETRY_SECONDS),
    ))
}
