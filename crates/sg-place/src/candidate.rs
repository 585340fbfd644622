//! Estimates when each target would respond to a request, and ranks the targets.

use std::cmp::Ordering;

use sg_types::prelude::*;

use crate::{
    hash::Object,
    location::Location,
    member::{Baseline, Member},
    pace::Persistence,
    pool::{Query, Rejection},
};

/// Score penalty of a target in another domain than this instance, because traffic between domains
/// has a cost, as a multiple of the time that a warm object saves.
const DOMAIN_BIAS: f64 = 0.05;
/// Score penalty of a target outside the planned region, as a multiple of the time that a warm object
/// saves.
const REGION_BIAS: f64 = 0.25;
/// Upper bound of the fraction of cold objects that is assumed for the highest-ranked target if
/// this instance does not know whether the object is warm there. The bound is below 1, so that this
/// target is the first choice even while every target is cold.
const MAX_ASSUMED_COLD_FRACTION: f64 = 0.9;
/// Score penalty of a target where the object is warm but that is not the highest-ranked one, as a
/// part of the time that a warm object saves. The penalty is small enough for requests to stay at
/// such a target while the highest-ranked one is overloaded, and large enough for them to return
/// later and to move to targets that join.
const WARM_OTHER_PENALTY: f64 = 0.3;
/// Score penalty of a target that is neither warm nor the highest-ranked one, beyond the work of a
/// cold request, as a multiple of the time that a warm object saves: warming one more target evicts
/// other objects there.
const COLD_OTHER_PENALTY: f64 = 2.0;
/// Ratio of the real wait at a target to the wait computed from the length of its queue. The real
/// wait is shorter, because load reports are slightly out of date and requests at the target have
/// already run for a while.
const QUEUE_WAIT_FACTOR: f64 = 0.6;
/// Score penalty of a target that fails every request, as a multiple of the work of a cold request.
const FAILURE_PENALTY: f64 = 2.0;
/// Utilization of a target's slots above which the score increases, so that other targets are
/// preferred before requests have to wait.
const FULL_UTILIZATION: f64 = 0.9;

/// Factor by which a target that has just started works more slowly.
const COLD_TARGET_FACTOR: f64 = 2.0;

/// A target that may run the request, with estimates.
pub(crate) struct Candidate<'a> {
    pub member: &'a Member,
    /// Expected time until the response plus penalties, in seconds; the lowest score wins.
    pub score: f64,
    pub round_trip_seconds: f64,
    pub queue_wait_seconds: f64,
    pub work_seconds: f64,
    /// Whether this instance recently sent a request about the object to the target.
    pub is_warm: bool,
    /// Whether the target is the highest-ranked one for the object in its region.
    pub is_highest_ranked: bool,
}

impl Candidate<'_> {
    /// Returns the time until the response is expected.
    pub fn expected_seconds(&self) -> f64 {
        self.round_trip_seconds + self.queue_wait_seconds + self.work_seconds
    }

    /// Returns whether the response is expected too late, because the request has to wait. A target with
    /// a free slot is tried whatever its expected time: the estimate may be out of date, and only a
    /// response corrects the estimate.
    pub fn is_late(&self, query: &Query<'_>) -> bool {
        self.queue_wait_seconds > 0.0 && self.expected_seconds() > query.remaining_seconds
    }

    /// Returns whether this instance may have one more request in flight at the target.
    pub fn has_room(&self, now: Instant) -> bool {
        self.member.limit.has_room(self.member.in_flight, now)
    }

    /// Orders candidates: first those that respond in time, then those with a lower score.
    pub fn compare(&self, other: &Self, query: &Query<'_>) -> Ordering {
        let by_time = self.is_late(query).cmp(&other.is_late(query));
        by_time.then(self.score.total_cmp(&other.score))
    }
}

/// Returns whether the request may run at `member`, leaving bans, pauses, plan and load aside.
pub fn may_use(member: &Member, query: &Query<'_>, closed: &IndexSet<id::Domain>) -> bool {
    let target = &member.target;
    let allowed_by = |home_regions: &[id::Region]| {
        home_regions.is_empty() || home_regions.contains(&target.region)
    };
    member.is_staying()
        && !closed.contains(&target.domain)
        && allowed_by(query.home_regions)
        && allowed_by(query.account_home_regions)
        && !query.tried.contains(&target.id)
}

/// Returns, for each region, the highest-ranked target for the object among those that are no
/// outliers.
pub fn highest_ranked<'a>(
    members: &[&'a Member],
    object: Option<Object>,
    now: Instant,
) -> IndexMap<&'a id::Region, &'a id::Target> {
    let mut best: IndexMap<&id::Region, (u64, &id::Target)> = IndexMap::new();
    let Some(object) = object else {
        return IndexMap::new();
    };
    let baseline = Baseline::mean(members, now);
    for member in members
        .iter()
        .filter(|member| !member.is_outlier(baseline, now))
    {
        let score = object.score(member.target.id.as_str());
        let entry = best
            .entry(&member.target.region)
            .or_insert((score, &member.target.id));
        if score > entry.0 {
            *entry = (score, &member.target.id);
        }
    }
    best.into_iter()
        .map(|(region, (_, id))| (region, id))
        .collect()
}

/// Returns how long deviations from the usual pace last at `members`.
pub fn pace_persistence(members: &[&Member]) -> Persistence {
    let mut total = Persistence::default();
    for member in members {
        total.add(member.pace_persistence());
    }
    total
}

/// What the targets of a request are evaluated against.
pub(crate) struct Evaluation<'a, 'q> {
    pub query: &'a Query<'q>,
    pub location: &'a Location,
    /// Region that the plan names for the request.
    pub planned: Option<&'a id::Region>,
    /// Highest-ranked target of each region.
    pub highest_ranked: IndexMap<&'a id::Region, &'a id::Target>,
    /// Ratio of the requests that all instances of this region send to those that this instance sends.
    pub sender_ratio: f64,
    /// How long deviations from the usual pace last at the targets of the service.
    pub pace_persistence: Persistence,
}

impl<'a> Evaluation<'a, '_> {
    /// Estimates when `member` would respond, and computes its score.
    pub fn evaluate(&self, member: &'a Member) -> Candidate<'a> {
        let query = self.query;
        let is_warm = query
            .object
            .is_some_and(|object| member.is_warm(object, query.now));
        let is_highest_ranked = self
            .highest_ranked
            .get(&member.target.region)
            .is_some_and(|id| **id == member.target.id);
        let load = self.load(member);
        let round_trip_seconds = self.location.round_trip_seconds(&member.target);
        let queue_wait_seconds = self.queue_wait_seconds(member, load);
        let work_seconds = self.work_seconds(member, is_warm, is_highest_ranked);
        let work_seconds = work_seconds
            + self.pace_seconds(member, is_warm, is_highest_ranked, queue_wait_seconds);
        let penalty_seconds = self.utilization_penalty_seconds(member, load)
            + self.bias_seconds(member)
            + member.excess_failure_rate(query.now) * FAILURE_PENALTY * query.cold_work_seconds;
        Candidate {
            member,
            score: round_trip_seconds + queue_wait_seconds + work_seconds + penalty_seconds,
            round_trip_seconds,
            queue_wait_seconds,
            work_seconds,
            is_warm,
            is_highest_ranked,
        }
    }

    fn is_same_region(&self, member: &Member) -> bool {
        member.target.region == self.location.region
    }

    fn is_same_domain(&self, member: &Member) -> bool {
        member.target.domain == self.location.domain
    }

    /// Returns an estimate of the requests at the target.
    fn load(&self, member: &Member) -> f64 {
        let sender_ratio = if self.is_same_region(member) {
            self.sender_ratio
        } else {
            1.0
        };
        member.estimated_load(sender_ratio, self.query.now)
    }

    /// Returns the time that a request waits at a target with `load` requests.
    fn queue_wait_seconds(&self, member: &Member, load: f64) -> f64 {
        let slots = f64::from(member.slots());
        let queued = (load + 1.0 - slots).max(0.0);
        let slowness = member.slowness(self.query.now);
        queued / slots * self.query.typical_work_seconds * QUEUE_WAIT_FACTOR * slowness
    }

    /// Returns the time that a request waits at a target that its dispatcher has granted. The dispatcher counts
    /// the requests at the target and grants at most one beyond the slots.
    pub fn granted_wait_seconds(&self, member: &Member) -> f64 {
        let load = self.load(member).min(f64::from(member.slots()));
        self.queue_wait_seconds(member, load)
    }

    /// Returns the time that a granted target works on the request, after `wait_seconds`.
    pub fn granted_work_seconds(&self, member: &Member, is_warm: bool, wait_seconds: f64) -> f64 {
        let query = self.query;
        let work = match is_warm {
            true => query.warm_work_seconds,
            false => query.cold_work_seconds,
        };
        let paced_seconds = self.pace_seconds(member, is_warm, false, wait_seconds);
        self.slowed_seconds(member, work) + paced_seconds
    }

    /// Returns the time that the target works on the request, with a penalty for warming up a target that
    /// is not the highest-ranked one.
    fn work_seconds(&self, member: &Member, is_warm: bool, is_highest_ranked: bool) -> f64 {
        let query = self.query;
        let saved_by_warmth = query.saved_by_warmth_seconds();
        let cold_fraction = query.cold_fraction.min(MAX_ASSUMED_COLD_FRACTION);
        let work = match (is_warm, is_highest_ranked) {
            (true, true) => query.warm_work_seconds,
            (false, true) => query.warm_work_seconds + saved_by_warmth * cold_fraction,
            (true, false) => query.warm_work_seconds + saved_by_warmth * WARM_OTHER_PENALTY,
            (false, false) => query.cold_work_seconds + saved_by_warmth * COLD_OTHER_PENALTY,
        };
        self.slowed_seconds(member, work)
    }

    /// Returns the time that `work` takes at a target that is slow or has just started.
    fn slowed_seconds(&self, member: &Member, work: f64) -> f64 {
        let now = self.query.now;
        let cold_factor = match member.is_cold(now) {
            true => COLD_TARGET_FACTOR,
            false => 1.0,
        };
        work * member.slowness(now) * cold_factor
    }

    /// Returns the time by which the pace of the target's machine is expected to extend the work. The
    /// highest-ranked target counts as warm: a pace that lasts for less than the work is no reason to run a
    /// cold object elsewhere, because the next request about the object would find it cold there again.
    fn pace_seconds(
        &self,
        member: &Member,
        is_warm: bool,
        is_highest_ranked: bool,
        wait_seconds: f64,
    ) -> f64 {
        let query = self.query;
        let usual_seconds = match is_warm || is_highest_ranked {
            true => query.warm_work_seconds,
            false => query.cold_work_seconds,
        };
        let paced_seconds = self.pace_persistence.expected_seconds(
            member.pace(),
            usual_seconds,
            wait_seconds,
            query.now,
        );
        paced_seconds - usual_seconds
    }

    fn utilization_penalty_seconds(&self, member: &Member, load: f64) -> f64 {
        let utilization = (load + 1.0) / f64::from(member.slots());
        (utilization - FULL_UTILIZATION).max(0.0) * self.query.warm_work_seconds
    }

    /// Returns the preference for the planned region and for the own domain.
    fn bias_seconds(&self, member: &Member) -> f64 {
        let is_planned = self
            .planned
            .is_none_or(|region| *region == member.target.region);
        let region_bias = if is_planned { 0.0 } else { REGION_BIAS };
        let domain_bias = match self.is_same_domain(member) {
            true => 0.0,
            false => DOMAIN_BIAS,
        };
        (region_bias + domain_bias) * self.query.saved_by_warmth_seconds()
    }
}

/// Returns the best candidate that has room. In an overload, a target where the object is cold is no
/// substitute for the best one: the additional work would come at the cost of other requests.
pub fn best_with_room<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    query: &Query<'_>,
) -> Result<&'b Candidate<'a>, Rejection> {
    let order = |a: &&Candidate<'_>, b: &&Candidate<'_>| a.compare(b, query);
    let best = candidates.iter().min_by(order);
    let best = best.ok_or(Rejection::NoTarget)?;
    if best.has_room(query.now) {
        return Ok(best);
    }
    let is_ready = |candidate: &&Candidate<'_>| query.object.is_none() || candidate.is_warm;
    let others = candidates
        .iter()
        .filter(|candidate| candidate.has_room(query.now) && is_ready(candidate));
    others
        .min_by(order)
        .ok_or(Rejection::NoRoom(query.typical_work_seconds))
}
