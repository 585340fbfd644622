//! Choice of contacts by rendezvous hashing.
//!
//! Each instance computes the same ranking of the others without communication, and a change of
//! membership changes few contacts.

use indexmap::IndexSet;
use sg_types::prelude::*;

/// The number of contacts in the same failure domain.
const SAME_DOMAIN_CONTACTS: usize = 4;
/// The number of contacts in other failure domains.
const OTHER_DOMAIN_CONTACTS: usize = 4;
/// The maximum fleet size at which every instance is a contact of every other one.
const MAX_FULL_MESH: usize = 9;
/// The maximum number of suspect instances that are called in addition to the contacts.
pub const MAX_SUSPECTS: usize = 2;

/// An instance that may become a contact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the instance.
    pub instance: id::Instance,
    /// The failure domain of the instance.
    pub domain: id::Domain,
}

/// The contacts of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Contacts {
    /// The relays of the instance's own failure domain, best first. The instance itself may be one.
    pub relays: IndexSet<id::Instance>,
    /// The instances to exchange frames with, without the instance itself.
    pub peers: IndexSet<id::Instance>,
}

/// Returns the rendezvous score of a pair, which does not depend on the order of the pair.
fn score(a: &str, b: &str) -> u64 {
    let (a, b) = if a <= b { (a, b) } else { (b, a) };
    let mut hasher = blake3::Hasher::new();
    hasher.update(a.as_bytes());
    hasher.update(&[0]);
    hasher.update(b.as_bytes());
    let hash = hasher.finalize();
    hash.as_bytes()[..8]
        .iter()
        .fold(0, |score, byte| score << 8 | u64::from(*byte))
}

/// Returns the relays of `domain` among `candidates`, best first.
#[must_use]
pub fn relays(
    candidates: &[Candidate],
    domain: &id::Domain,
    count: usize,
) -> IndexSet<id::Instance> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .filter(|candidate| candidate.domain == *domain)
        .map(|candidate| (score("relay", candidate.instance.as_str()), candidate))
        .collect();
    ranked.sort_unstable_by(|(a, x), (b, y)| b.cmp(a).then(x.instance.cmp(&y.instance)));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, candidate)| candidate.instance.clone())
        .collect()
}

/// Chooses the contacts of `me` among `candidates`, which include `me`.
#[must_use]
pub fn choose(me: &Candidate, candidates: &[Candidate], relay_count: usize) -> Contacts {
    let relays = relays(candidates, &me.domain, relay_count);
    let others = || {
        candidates
            .iter()
            .filter(|candidate| candidate.instance != me.instance)
    };
    if candidates.len() <= MAX_FULL_MESH {
        let peers = others().map(|candidate| candidate.instance.clone());
        return Contacts {
            relays,
            peers: peers.collect(),
        };
    }
    let mut peers: IndexSet<_> = relays
        .iter()
        .filter(|relay| **relay != me.instance)
        .cloned()
        .collect();
    for (same_domain, count) in [(true, SAME_DOMAIN_CONTACTS), (false, OTHER_DOMAIN_CONTACTS)] {
        let mut ranked: Vec<_> = others()
            .filter(|candidate| (candidate.domain == me.domain) == same_domain)
            .map(|candidate| {
                let score = score(me.instance.as_str(), candidate.instance.as_str());
                (score, &candidate.instance)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let best = ranked.into_iter().take(count);
        peers.extend(best.map(|(_, instance)| instance.clone()));
    }
    Contacts { relays, peers }
}
