//! The use of a target that the dispatcher of the region granted to a request.

use sg_types::prelude::*;

use crate::{
    candidate::{self, Evaluation},
    location::Location,
    member::Member,
    pool::{Choice, Pool, Query},
};

/// Why this instance may not use a granted target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unusable {
    /// The target is unknown, leaving, banned or paused, or may not run the request.
    Target,
    /// The target may be used, but this instance has used up what it may send there now.
    Allowance,
}

impl Pool {
    /// Returns whether the plan keeps the request in the region of this instance.
    #[must_use]
    pub fn keeps_in_region(&self, query: &Query<'_>, location: &Location) -> bool {
        let region = &location.region;
        let is_allowed =
            |home_regions: &[id::Region]| home_regions.is_empty() || home_regions.contains(region);
        let limits_shift = self.limits_shift(query);
        let planned = self.planned_region(query, location, limits_shift);
        is_allowed(query.home_regions)
            && is_allowed(query.account_home_regions)
            && planned.is_none_or(|planned| planned == region)
            && (!limits_shift || query.shift_limiter.allows(region, query.now))
    }

    /// Returns the targets of this instance's region that other instances may use and this one may not.
    pub fn unusable_here<'a>(
        &'a self,
        query: &'a Query<'_>,
        location: &'a Location,
        closed: &'a IndexSet<id::Domain>,
    ) -> impl Iterator<Item = &'a id::Target> {
        let members = self.members().filter(|member| {
            member.target.region == location.region
                && candidate::may_use(member, query, closed)
                && self.check_use(member, query, location, closed).is_err()
        });
        members.map(|member| &member.target.id)
    }

    /// Returns the granted target `id` with its estimates. `is_warm` says whether the dispatcher knows the
    /// request's object to be warm there.
    ///
    /// # Errors
    /// Returns [`Unusable`] if this instance may not send the request there now.
    pub fn choose_granted(
        &self,
        id: &id::Target,
        is_warm: bool,
        query: &Query<'_>,
        location: &Location,
        closed: &IndexSet<id::Domain>,
    ) -> Result<Choice, Unusable> {
        let member = self.members.get(id).ok_or(Unusable::Target)?;
        self.check_use(member, query, location, closed)?;
        let region = &member.target.region;
        if self.limits_shift(query) && !query.shift_limiter.allows(region, query.now) {
            return Err(Unusable::Allowance);
        }
        let evaluation = Evaluation {
            query,
            location,
            planned: None,
            highest_ranked: IndexMap::new(),
            sender_ratio: self.sender_ratio,
            pace_persistence: *member.pace_persistence(),
        };
        let round_trip_seconds = location.round_trip_seconds(&member.target);
        let queue_wait_seconds = evaluation.granted_wait_seconds(member);
        let is_warm = is_warm || query.object.is_some_and(|o| member.is_warm(o, query.now));
        let work_seconds = evaluation.granted_work_seconds(member, is_warm, queue_wait_seconds);
        let before_work_seconds = round_trip_seconds + queue_wait_seconds;
        Ok(Choice {
            target: member.target.clone(),
            warm: is_warm,
            expected_seconds: before_work_seconds + work_seconds,
            expected_if_cold_seconds: before_work_seconds
                + query.cold_work_seconds.max(work_seconds),
            round_trip_seconds,
            queue_wait_seconds,
            work_seconds,
            is_highest_ranked: self.is_highest_ranked(member, query),
            leaves_region: false,
            chosen_at: query.now,
        })
    }

    fn check_use(
        &self,
        member: &Member,
        query: &Query<'_>,
        location: &Location,
        closed: &IndexSet<id::Domain>,
    ) -> Result<(), Unusable> {
        let is_usable = candidate::may_use(member, query, closed)
            && member.pause.admits(query.now)
            && !member.is_banned(query.now);
        if !is_usable {
            return Err(Unusable::Target);
        }
        let has_allowance = member.rate_limit.has_room(query.now)
            && self.has_cold_allowance(member, query, location);
        has_allowance.then_some(()).ok_or(Unusable::Allowance)
    }

    /// Returns whether `member` ranks first for the request's object among the usable targets of its region.
    fn is_highest_ranked(&self, member: &Member, query: &Query<'_>) -> bool {
        query.object.is_some_and(|object| {
            let score = object.score(member.target.id.as_str());
            let others = self.members().filter(|other| {
                other.target.region == member.target.region
                    && other.is_staying()
                    && !other.is_banned(query.now)
            });
            others
                .map(|other| object.score(other.target.id.as_str()))
                .all(|other| other <= score)
        })
    }
}
