//! Who is in contact with whom: a fixed number of contacts, whatever the size of the fleet.

use std::hash::{DefaultHasher, Hash, Hasher};

use sg_types::prelude::*;

/// Contacts on each side of a member of the ring.
const SIDE: usize = 3;
/// Up to this many others, all of them are contacts.
const ALL: usize = 7;
/// Members of a panel of voters, the slot itself among them.
const VOTERS: u32 = 2 * SIDE as u32 + 1;
/// Fewer slots than this can't vouch: two would have to agree on the death of one of them.
pub(crate) const LEAST_SLOTS: u32 = 3;

/// Distances on a ring of `len` members at which contacts sit: near, at its cube root and at the
/// square of that, so that any two members are few steps apart.
fn distances(len: usize) -> [usize; SIDE] {
    let root = (len as f64).cbrt().round() as usize;
    let root = root.max(2);
    [1, root, root * root]
}

/// The slots whose holders vouch for the holder of `slot`, without the slot itself.
pub(crate) fn voters(slot: Slot, slots: u32) -> Vec<Slot> {
    if slot.get() >= slots {
        return Vec::new();
    }
    if slots <= VOTERS {
        return (0..slots)
            .map(Slot::new)
            .filter(|other| *other != slot)
            .collect();
    }
    let mut found = IndexSet::new();
    for distance in distances(slots as usize) {
        let distance = distance as u32;
        found.insert(Slot::new((slot.get() + distance) % slots));
        found.insert(Slot::new((slot.get() + slots - distance) % slots));
    }
    found.into_iter().collect()
}

/// How many of the other voters make a majority together with the slot's own vote.
pub(crate) fn majority(slot: Slot, slots: u32) -> usize {
    let panel = voters(slot, slots).len() + 1;
    panel / 2 + 1
}

/// A number that depends on a name and a seed only.
pub(crate) fn rank(name: &id::Instance, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    name.as_str().hash(&mut hasher);
    hasher.finish()
}

/// The instances that `me` asks for share, of all `members` that may have some.
pub(crate) fn contacts(
    me: &id::Instance,
    members: IndexSet<id::Instance>,
    seed: u64,
) -> Vec<id::Instance> {
    let mut ring: Vec<_> = members.into_iter().filter(|member| member != me).collect();
    ring.push(me.clone());
    ring.sort_by_cached_key(|member| (rank(member, seed), member.clone()));
    if ring.len() <= ALL + 1 {
        ring.retain(|member| member != me);
        return ring;
    }
    let place = ring.iter().position(|member| member == me).unwrap_or(0);
    let mut found = IndexSet::new();
    for distance in distances(ring.len()) {
        found.insert(ring[(place + distance) % ring.len()].clone());
        found.insert(ring[(place + ring.len() - distance) % ring.len()].clone());
    }
    found.into_iter().collect()
}
