//! Chooses the entries that a caller should use.

use std::net::IpAddr;

use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    answer::{Answer, Entry},
    block, hash,
    member::{Candidate, Candidates, Location},
    table::Table,
};

/// The maximum number of entries in an answer.
const MAX_ENTRIES: usize = 5;
/// The mean headroom below which the entries at one distance pass a share of their callers on to
/// the next distance.
const SCARCE_HEADROOM: f64 = 0.25;
/// The longest time until every instance knows that another one is about to stop.
pub const STOP_PROPAGATION: Span = Span::from_secs(1);
/// The length in bits of the IPv4 prefix that callers of one network have in common.
const NETWORK_BITS_V4: u32 = 24;
/// The length in bits of the IPv6 prefix that callers of one network have in common.
const NETWORK_BITS_V6: u32 = 48;

/// A lookup by a caller.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The caller's address.
    pub address: IpAddr,
    /// The requested service.
    pub service: &'a id::Service,
    /// The client account, if the caller states one.
    pub account: Option<&'a id::Account>,
}

/// The best members at one distance from the caller.
#[derive(Debug, Default)]
struct Tier {
    /// The best candidates, best first.
    best: Vec<Candidate>,
    /// The total headroom of all candidates at this distance.
    headroom: f64,
    /// The number of all candidates at this distance.
    count: usize,
}

impl Tier {
    /// Ranks the candidates of `groups` for the caller with `seed` and keeps the best ones.
    fn new(groups: &[&[Candidate]], seed: u64) -> Self {
        let mut ranked = [(f64::INFINITY, None); MAX_ENTRIES];
        let mut tier = Self::default();
        for candidate in groups.iter().copied().flatten() {
            let rank = rank(seed, candidate);
            if rank < ranked[MAX_ENTRIES - 1].0 {
                let at = ranked.partition_point(|(other, _)| *other <= rank);
                ranked[at..].rotate_right(1);
                ranked[at] = (rank, Some(*candidate));
            }
            tier.headroom += candidate.weight;
            tier.count += 1;
        }
        tier.best = ranked.into_iter().filter_map(|(_, found)| found).collect();
        tier
    }

    /// Returns the share of callers that the tier keeps.
    fn kept_share(&self) -> f64 {
        let mean = self.headroom / self.count.max(1) as f64;
        (mean / SCARCE_HEADROOM).min(1.0)
    }
}

/// Answers a lookup: near entries first, with callers distributed in proportion to headroom.
///
/// All instances give the same caller the same answer while they see the same members. Callers of
/// different networks are distributed over different answers.
#[must_use]
pub fn decide(view: &View, table: &Table, candidates: &Candidates, query: Query<'_>) -> Answer {
    let site = table.find(query.address).map(|found| found.site);
    let nearest = site.and_then(|site| view.domains.get_index(usize::from(site.get())));
    let location = nearest.map(|(domain, value)| Location {
        region: &value.region,
        domain,
    });
    let tiers = tiers(candidates, location, caller_seed(query));
    Answer {
        domain: location.map(|location| location.domain.clone()),
        entries: entries(candidates, &tiers),
        max_age: max_age(view),
    }
}

/// Returns the time for which an answer may be cached, so that the answer expires before an entry
/// that it names stops.
///
/// A stopping instance keeps serving for `drain-grace`. The other instances stop naming it at most
/// [`STOP_PROPAGATION`] after its announcement, and the last answer that names it expires one cache
/// time later.
fn max_age(view: &View) -> Span {
    let longest = view.fleet.drain_grace.saturating_sub(STOP_PROPAGATION);
    view.fleet.lookup_cache.min(longest)
}

/// Returns the best members by distance: the caller's failure domain, the rest of the caller's
/// region, all others.
///
/// The nearest tier leaves one entry to the tiers after it, so that callers have a fallback.
/// Farther members are ranked only if entries remain for them.
fn tiers(candidates: &Candidates, location: Option<Location<'_>>, seed: u64) -> Vec<Tier> {
    let mut groups: Vec<_> = candidates.by_distance(location).into();
    groups.retain(|group| !group.is_empty());
    let mut tiers: Vec<Tier> = Vec::with_capacity(groups.len());
    let mut free = MAX_ENTRIES;
    for (index, group) in groups.iter().enumerate() {
        let is_last = index + 1 == groups.len();
        if free == 0 {
            break;
        }
        let mut tier = Tier::new(group, seed);
        let reserved = usize::from(!is_last && free == MAX_ENTRIES);
        tier.best.truncate(free - reserved);
        free -= tier.best.len();
        tiers.push(tier);
    }
    tiers
}

/// Returns the entries of the tiers with their weights. A tier keeps its callers unless its mean
/// headroom is below [`SCARCE_HEADROOM`]; then it passes a share of them on to the next tier.
fn entries(candidates: &Candidates, tiers: &[Tier]) -> Vec<Entry> {
    let mut entries = Vec::with_capacity(MAX_ENTRIES);
    let mut remaining = 1.0;
    for (index, tier) in tiers.iter().enumerate() {
        let is_last = index + 1 == tiers.len();
        let share = if is_last {
            remaining
        } else {
            remaining * tier.kept_share()
        };
        remaining -= share;
        let total: f64 = tier.best.iter().map(|candidate| candidate.weight).sum();
        for candidate in &tier.best {
            let member = candidates.member(candidate);
            entries.push(Entry {
                instance: member.instance.clone(),
                address: member.address,
                weight: percent(share * candidate.weight / total),
            });
        }
    }
    let total: u32 = entries.iter().map(|entry| entry.weight.as_ppm()).sum();
    if let Some(first) = entries.first_mut() {
        let remainder = Percent::FULL.as_ppm().saturating_sub(total);
        first.weight = Percent::from_ppm(first.weight.as_ppm() + remainder);
    }
    entries
}

fn percent(share: f64) -> Percent {
    Percent::from_ppm((share * f64::from(Percent::FULL.as_ppm())) as u32)
}

/// Returns the seed of a caller's ranks: a hash of the caller's network and client account.
fn caller_seed(query: Query<'_>) -> u64 {
    let network = match block::canonical(query.address) {
        IpAddr::V4(address) => u128::from(address.to_bits() >> (u32::BITS - NETWORK_BITS_V4)),
        IpAddr::V6(address) => address.to_bits() >> (u128::BITS - NETWORK_BITS_V6),
    };
    hash::of(hash::SEED, (network, query.account))
}

/// Returns the rank of a member for the caller with `seed`; lower ranks come first. Uses rendezvous
/// hashing weighted by headroom.
fn rank(seed: u64, candidate: &Candidate) -> f64 {
    let unit = hash::mix(seed, candidate.hash) as f64 / u64::MAX as f64;
    -unit.clamp(f64::MIN_POSITIVE, 1.0).ln() / candidate.weight
}
