//! The instances that callers may be sent to.

use std::net::SocketAddr;

use sg_tree::View;
use sg_types::prelude::*;

use crate::hash;

/// An instance as others see it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The instance.
    pub instance: id::Instance,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its region.
    pub region: id::Region,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The part of it that is free.
    pub headroom: Percent,
}

/// The headroom below which an instance is left out while others have more.
pub const OVERLOADED: Percent = Percent::from_ppm(50_000);

/// What a member without headroom counts as, so that it can be ranked.
const LEAST_WEIGHT: f64 = 1e-6;

/// A member that may be named, with what its rank for a caller is worked out from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// The hash of the instance's name.
    pub(crate) hash: u64,
    /// Its headroom, never zero.
    pub(crate) weight: f64,
    index: usize,
}

type Domains = IndexMap<id::Domain, Vec<Candidate>>;

/// The members that may be named in answers, by place. Made once for each change of the list.
#[derive(Debug, Clone, Default)]
pub struct Set {
    members: Vec<Member>,
    regions: IndexMap<id::Region, Domains>,
}

impl Set {
    /// Leaves out what leaves, by its own sign or by the tree, and what is overloaded unless all
    /// are.
    #[must_use]
    pub fn new(members: &[Member], view: &View) -> Self {
        let stays = |member: &&Member| {
            let drained = view.entries.get(&member.instance);
            !member.leaving && !drained.is_some_and(|entry| entry.drain)
        };
        let staying: Vec<&Member> = members.iter().filter(stays).collect();
        let has_room = |member: &&&Member| member.headroom >= OVERLOADED;
        let roomy: Vec<&Member> = staying.iter().filter(has_room).copied().collect();
        let named = if roomy.is_empty() { staying } else { roomy };
        let mut set = Self::default();
        for member in named {
            set.push(member);
        }
        set
    }

    fn push(&mut self, member: &Member) {
        let candidate = Candidate {
            hash: hash::of(hash::SEED, &member.instance),
            weight: member.headroom.as_f64().max(LEAST_WEIGHT),
            index: self.members.len(),
        };
        let region = self.regions.entry(member.region.clone()).or_default();
        let domain = region.entry(member.domain.clone()).or_default();
        domain.push(candidate);
        self.members.push(member.clone());
    }

    /// All members that may be named.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub(crate) fn member(&self, candidate: &Candidate) -> &Member {
        &self.members[candidate.index]
    }

    /// The candidates by distance from a failure domain: those in it, those in its region, all
    /// others.
    pub(crate) fn by_distance(&self, place: Option<Place<'_>>) -> [Vec<&[Candidate]>; 3] {
        let mut groups = [const { Vec::new() }; 3];
        for (region, domains) in &self.regions {
            let is_near = place.is_some_and(|place| place.region == region);
            for (domain, candidates) in domains {
                let is_nearest = is_near && place.is_some_and(|place| place.domain == domain);
                let distance = match (is_nearest, is_near) {
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

/// Where a caller is nearest to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place<'a> {
    pub(crate) region: &'a id::Region,
    pub(crate) domain: &'a id::Domain,
}
