//! Selects the voters of a slot from a ring of slots, and the contacts of an instance from a ring of
//! instances. The number of voters and contacts is bounded regardless of the size of the fleet.

use std::hash::{DefaultHasher, Hash, Hasher};

use sg_types::prelude::*;

/// The number of contacts on each side of a ring member.
const CONTACTS_PER_SIDE: usize = 3;
/// The maximum number of other members at which all of them are contacts.
const MAX_FULL_MESH: usize = 7;
/// The number of voters for a slot, including the slot itself.
const PANEL_SIZE: u32 = 2 * CONTACTS_PER_SIDE as u32 + 1;
/// The minimum number of slots at which peers vote. With two slots, a majority needs both, so neither
/// could be declared failed without its own vote.
pub(crate) const MIN_VOTING_SLOTS: u32 = 3;

/// Returns the distances to contacts on a ring of `len` members: the neighbour, the cube root of
/// the length and its square. Any two members are then only a few hops apart.
fn ring_distances(len: usize) -> [usize; CONTACTS_PER_SIDE] {
    let root = (len as f64).cbrt().round() as usize;
    let root = root.max(2);
    [1, root, root * root]
}

/// Returns the slots whose holders vote on claims of `slot`, excluding the slot itself.
pub(crate) fn voters(slot: Slot, slots: u32) -> Vec<Slot> {
    if slot.get() >= slots {
        return Vec::new();
    }
    if slots <= PANEL_SIZE {
        return (0..slots)
            .map(Slot::new)
            .filter(|other| *other != slot)
            .collect();
    }
    let mut found = IndexSet::new();
    for distance in ring_distances(slots as usize) {
        let distance = distance as u32;
        found.insert(Slot::new((slot.get() + distance) % slots));
        found.insert(Slot::new((slot.get() + slots - distance) % slots));
    }
    found.into_iter().collect()
}

/// Returns the number of votes that form a majority. The slot itself counts as a voter.
pub(crate) fn majority(slot: Slot, slots: u32) -> usize {
    let panel = voters(slot, slots).len() + 1;
    panel / 2 + 1
}

/// Returns a pseudo-random number that depends only on the name and the seed, to order instances or
/// to spread their choices.
pub(crate) fn rank(name: &id::Instance, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    name.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Returns those of `members` with which `me` exchanges loans and heartbeats.
pub(crate) fn contacts(
    me: &id::Instance,
    members: IndexSet<id::Instance>,
    seed: u64,
) -> Vec<id::Instance> {
    let mut ring: Vec<_> = members.into_iter().filter(|member| member != me).collect();
    ring.push(me.clone());
    ring.sort_by_cached_key(|member| (rank(member, seed), member.clone()));
    if ring.len() <= MAX_FULL_MESH + 1 {
        ring.retain(|member| member != me);
        return ring;
    }
    let position = ring.iter().position(|member| member == me).unwrap_or(0);
    let mut found = IndexSet::new();
    for distance in ring_distances(ring.len()) {
        found.insert(ring[(position + distance) % ring.len()].clone());
        found.insert(ring[(position + ring.len() - distance) % ring.len()].clone());
    }
    found.into_iter().collect()
}
