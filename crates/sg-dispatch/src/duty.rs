//! Names the instance of a region that dispatches a service.
//!
//! The load: an instance has between 0.07 and half of a core, and the dispatcher of a service handles a few
//! datagrams for each request of the region. The services of a region are therefore spread over its larger
//! instances.

use sg_place::hash::Object;
use sg_types::prelude::*;

/// Instances with at least this fraction of the memory of the largest one may dispatch, so that the smallest
/// machines of a mixed region do not.
const LARGE_FRACTION: f64 = 0.5;

/// A live instance that takes part and does not leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a id::Instance,
    /// Memory of the instance's machine in MiB, as a measure of its size; zero if unknown.
    pub memory_mb: u64,
}

/// Returns the index of the candidate that dispatches `service` in `region`.
///
/// All instances compute the same result from the same candidates. If a candidate leaves, only the services that
/// it dispatched move, unless it was the largest one.
#[must_use]
pub fn dispatcher(
    service: &id::Service,
    region: &id::Region,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let group = Object::new(service.as_str(), region.as_str());
    let largest = candidates
        .iter()
        .map(|candidate| candidate.memory_mb)
        .max()?;
    let least_memory = largest as f64 * LARGE_FRACTION;
    let large = candidates.iter().enumerate();
    let large = large.filter(|(_, candidate)| candidate.memory_mb as f64 >= least_memory);
    let best = large.max_by_key(|(_, candidate)| {
        let name = candidate.instance.as_str();
        (group.score(name), name)
    });
    best.map(|(index, _)| index)
}
