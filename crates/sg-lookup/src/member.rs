//! The instances that a lookup may name.

use std::net::SocketAddr;

use sg_tree::View;
use sg_types::prelude::*;

use crate::hash;

/// An instance as seen by the other instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The instance.
    pub instance: id::Instance,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The region of the instance.
    pub region: id::Region,
    /// The failure domain of the instance.
    pub domain: id::Domain,
    /// Whether the instance is about to stop.
    pub is_stopping: bool,
    /// The free share of the capacity of the instance.
    pub headroom: Percent,
}

/// The headroom below which an instance is not named while others have more.
pub const OVERLOAD_HEADROOM: Percent = Percent::from_ppm(50_000);

/// The weight of a member without headroom. Ranking divides by the weight, which thus must not be
/// zero.
const MIN_WEIGHT: f64 = 1e-6;

/// A member that may be named, with the inputs of its rank for a caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// The hash of the instance's name.
    pub(crate) hash: u64,
    /// The headroom of the member, never zero.
    pub(crate) weight: f64,
    index: usize,
}

type Domains = IndexMap<id::Domain, Vec<Candidate>>;

/// The members that may be named in answers, by region and failure domain. Built once for each
/// change of the member list.
#[derive(Debug, Clone, Default)]
pub struct Candidates {
    members: Vec<Member>,
    regions: IndexMap<id::Region, Domains>,
}

impl Candidates {
    /// Selects the members that may be named. Omits members that are about to stop or that the tree
    /// drains, and omits overloaded members unless all are overloaded.
    #[must_use]
    pub fn new(members: &[Member], view: &View) -> Self {
        let is_serving = |member: &&Member| {
            let entry = view.entries.get(&member.instance);
            !member.is_stopping && !entry.is_some_and(|entry| entry.drain)
        };
        let serving: Vec<&Member> = members.iter().filter(is_serving).collect();
        let has_headroom = |member: &&&Member| member.headroom >= OVERLOAD_HEADROOM;
        let with_headroom: Vec<&Member> = serving.iter().filter(has_headroom).copied().collect();
        let eligible = if with_headroom.is_empty() {
            serving
        } else {
            with_headroom
        };
        let mut candidates = Self::default();
        for member in eligible {
            candidates.push(member);
        }
        candidates
    }

    fn push(&mut self, member: &Member) {
        let candidate = Candidate {
            hash: hash::of(hash::SEED, &member.instance),
            weight: member.headroom.as_f64().max(MIN_WEIGHT),
            index: self.members.len(),
        };
        let region = self.regions.entry(member.region.clone()).or_default();
        let domain = region.entry(member.domain.clone()).or_default();
        domain.push(candidate);
        self.members.push(member.clone());
    }

    /// Returns all members that may be named.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub(crate) fn member(&self, candidate: &Candidate) -> &Member {
        &self.members[candidate.index]
    }

    /// Returns the candidates by distance from a location: those in its failure domain, those in
    /// the rest of its region, all others.
    pub(crate) fn by_distance(&self, location: Option<Location<'_>>) -> [Vec<&[Candidate]>; 3] {
        let mut groups = [const { Vec::new() }; 3];
        for (region, domains) in &self.regions {
            let in_region = location.is_some_and(|location| location.region == region);
            for (domain, candidates) in domains {
                let in_domain =
                    in_region && location.is_some_and(|location| location.domain == domain);
                let distance = match (in_domain, in_region) {
                    (true, _) => 0,
                    (false, true) => 1,
                    (false, false) => 2,
                };
                groups[distance].push(candidates.as_slice());
            }
        }
        groups
    }
}

/// The region and failure domain nearest to a caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Location<'a> {
    pub(crate) region: &'a id::Region,
    pub(crate) domain: &'a id::Domain,
}
