//! Which entries a caller should use.

use std::net::IpAddr;

use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    answer::{Answer, Entry},
    block, hash,
    member::{Candidate, Place, Set},
    table::Table,
};

/// The most entries in an answer.
const MOST_ENTRIES: usize = 5;
/// The mean headroom below which the nearest entries pass a part of the callers on.
const SCARCE: f64 = 0.25;
/// How long until every instance knows that one is about to stop.
pub const SPREAD: Span = Span::from_secs(1);
/// The bits of an address that callers behind one network have in common.
const NETWORK_V4: u32 = 24;
const NETWORK_V6: u32 = 48;

/// Who asks.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The caller's address.
    pub address: IpAddr,
    /// The service that it wants.
    pub service: &'a id::Service,
    /// Its client account, if it says so.
    pub account: Option<&'a id::Account>,
}

/// The best members at one distance.
#[derive(Debug, Default)]
struct Tier {
    /// The best ones, best first.
    best: Vec<Candidate>,
    /// Headroom of all of them together.
    weight: f64,
    /// How many they are.
    count: usize,
}

impl Tier {
    /// Ranks the candidates of `groups` for a caller and keeps the best ones.
    fn new(groups: &[&[Candidate]], seed: u64) -> Self {
        let mut ranked = [(f64::INFINITY, None); MOST_ENTRIES];
        let mut tier = Self::default();
        for candidate in groups.iter().copied().flatten() {
            let rank = rank(seed, candidate);
            if rank < ranked[MOST_ENTRIES - 1].0 {
                let at = ranked.partition_point(|(other, _)| *other <= rank);
                ranked[at..].rotate_right(1);
                ranked[at] = (rank, Some(*candidate));
            }
            tier.weight += candidate.weight;
            tier.count += 1;
        }
        tier.best = ranked.into_iter().filter_map(|(_, found)| found).collect();
        tier
    }

    /// The part of its callers that the tier keeps.
    fn keeps(&self) -> f64 {
        let mean = self.weight / self.count.max(1) as f64;
        (mean / SCARCE).min(1.0)
    }
}

/// Answers a look-up: near entries first, spread by headroom.
///
/// All instances give the same caller the same answer while they see the same members, and callers
/// of different networks different ones.
#[must_use]
pub fn decide(view: &View, table: &Table, members: &Set, ask: Ask<'_>) -> Answer {
    let site = table.find(ask.address).map(|found| found.site);
    let found = site.and_then(|site| view.domains.get_index(usize::from(site.get())));
    let place = found.map(|(domain, value)| Place {
        region: &value.region,
        domain,
    });
    let tiers = tiers(members, place, spread(ask));
    Answer {
        domain: place.map(|place| place.domain.clone()),
        entries: entries(members, &tiers),
        cache: cache(view),
    }
}

/// How long an answer may be cached, so that it runs out before an entry that it names stops.
///
/// An instance that stops goes on for `drain-grace`. The others leave it out at most [`SPREAD`]
/// after it said so, and the last answer that names it runs out a cache time later.
fn cache(view: &View) -> Span {
    let longest = view.fleet.drain_grace.saturating_sub(SPREAD);
    view.fleet.lookup_cache.min(longest)
}

/// The best members by distance: the caller's failure domain, its region, all others. The
/// nearest leave a place to those after them, so that callers have somewhere to go on to; far ones
/// are ranked only if there is a place for them.
fn tiers(members: &Set, place: Option<Place<'_>>, seed: u64) -> Vec<Tier> {
    let mut groups: Vec<_> = members.by_distance(place).into();
    groups.retain(|group| !group.is_empty());
    let mut tiers: Vec<Tier> = Vec::with_capacity(groups.len());
    let mut places = MOST_ENTRIES;
    for (index, group) in groups.iter().enumerate() {
        let is_last = index + 1 == groups.len();
        if places == 0 {
            break;
        }
        let mut tier = Tier::new(group, seed);
        let kept = usize::from(!is_last && places == MOST_ENTRIES);
        tier.best.truncate(places - kept);
        places -= tier.best.len();
        tiers.push(tier);
    }
    tiers
}

/// The entries of the tiers. A tier keeps its callers unless its headroom is scarce; then it passes
/// a part on to the next.
fn entries(members: &Set, tiers: &[Tier]) -> Vec<Entry> {
    let mut entries = Vec::with_capacity(MOST_ENTRIES);
    let mut left = 1.0;
    for (index, tier) in tiers.iter().enumerate() {
        let is_last = index + 1 == tiers.len();
        let part = if is_last { left } else { left * tier.keeps() };
        left -= part;
        let sum: f64 = tier.best.iter().map(|candidate| candidate.weight).sum();
        for candidate in &tier.best {
            let member = members.member(candidate);
            entries.push(Entry {
                instance: member.instance.clone(),
                address: member.address,
                weight: percent(part * candidate.weight / sum),
            });
        }
    }
    let sum: u32 = entries.iter().map(|entry| entry.weight.as_ppm()).sum();
    if let Some(first) = entries.first_mut() {
        let rest = Percent::FULL.as_ppm().saturating_sub(sum);
        first.weight = Percent::from_ppm(first.weight.as_ppm() + rest);
    }
    entries
}

fn percent(part: f64) -> Percent {
    Percent::from_ppm((part * f64::from(Percent::FULL.as_ppm())) as u32)
}

/// What spreads the caller: its network and its client account.
fn spread(ask: Ask<'_>) -> u64 {
    let network = match block::canonical(ask.address) {
        IpAddr::V4(address) => u128::from(address.to_bits() >> (u32::BITS - NETWORK_V4)),
        IpAddr::V6(address) => address.to_bits() >> (u128::BITS - NETWORK_V6),
    };
    hash::of(hash::SEED, (network, ask.account))
}

/// The member's place for a caller, lower first: weighted rendezvous hashing, by headroom.
fn rank(seed: u64, candidate: &Candidate) -> f64 {
    let unit = hash::mix(seed, candidate.hash) as f64 / u64::MAX as f64;
    -unit.clamp(f64::MIN_POSITIVE, 1.0).ln() / candidate.weight
}
