//! What is estimated of each target for a request, to explain a choice.

use sg_types::prelude::*;

use crate::{
    Pool,
    location::Location,
    pool::{Query, Rejection},
};

/// Estimates of one target for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Estimate {
    /// The target.
    pub target: id::Target,
    /// Region of the target.
    pub region: id::Region,
    /// Whether this instance recently sent a request about the object to the target.
    pub is_warm: bool,
    /// Whether the target is the highest-ranked one for the object in its region.
    pub is_highest_ranked: bool,
    /// Whether this instance may have one more request in flight at the target.
    pub has_room: bool,
    /// Time that the request is expected to wait at the target.
    pub queue_wait_seconds: f64,
    /// Time that the target is expected to work on the request.
    pub work_seconds: f64,
    /// Time until the response is expected.
    pub expected_seconds: f64,
    /// Expected time plus penalties; the lowest score among the targets in time is chosen.
    pub score: f64,
}

impl Pool {
    /// Returns the planned region and the estimates of the targets that may run the request, the best first.
    ///
    /// # Errors
    /// Returns [`Rejection`] if no target may take the request.
    pub fn estimates(
        &self,
        query: &Query<'_>,
        location: &Location,
        closed: &IndexSet<id::Domain>,
    ) -> Result<(Option<id::Region>, Vec<Estimate>), Rejection> {
        let (planned, mut candidates) = self.candidates(query, location, closed)?;
        candidates.sort_by(|a, b| a.compare(b, query));
        let estimates = candidates.iter().map(|candidate| Estimate {
            target: candidate.member.target.id.clone(),
            region: candidate.member.target.region.clone(),
            is_warm: candidate.is_warm,
            is_highest_ranked: candidate.is_highest_ranked,
            has_room: candidate.has_room(query.now),
            queue_wait_seconds: candidate.queue_wait_seconds,
            work_seconds: candidate.work_seconds,
            expected_seconds: candidate.expected_seconds(),
            score: candidate.score,
        });
        Ok((planned.cloned(), estimates.collect()))
    }
}
