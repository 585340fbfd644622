//! What is known of all claims and of who is alive.

use sg_types::prelude::*;

use crate::{action::Standing, claim::Claim, engine::Peer};

/// A slot's newest known claim.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) claim: Claim,
    /// The store's version of it, if it was read from the store.
    pub(crate) version: Option<u64>,
    /// When this instance first heard of it.
    pub(crate) since: Instant,
    /// Whether nobody held the slot before: the claim is the first, or follows a release.
    pub(crate) is_fresh: bool,
}

/// Claims by slot, and when each run was last heard of.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) claims: IndexMap<Slot, Known>,
    heard: IndexMap<id::Instance, Heard>,
    /// When the newest read of the store was sent.
    pub(crate) read: Option<Instant>,
}

/// The run of an instance that a message last came from.
#[derive(Debug, Clone, Copy)]
struct Heard {
    incarnation: Incarnation,
    at: Instant,
}

impl Registry {
    /// Learns of a claim from a peer. Terms that are not newer than what is known are ignored.
    pub(crate) fn learn(&mut self, claim: &Claim, now: Instant) {
        if self.term(claim.slot) < claim.term {
            self.insert(claim, None, now);
        }
    }

    /// Learns of a claim that stood in the store at some time after `sent`.
    pub(crate) fn learn_standing(&mut self, standing: &Standing, sent: Instant, now: Instant) {
        let claim = &standing.claim;
        let is_newer = match self.claims.get(&claim.slot) {
            None => true,
            Some(known) => match known.version {
                Some(version) => standing.version > version,
                None => claim.term >= known.claim.term || sent > known.since,
            },
        };
        if is_newer {
            self.insert(claim, Some(standing.version), now);
        }
    }

    fn insert(&mut self, claim: &Claim, version: Option<u64>, now: Instant) {
        let old = self.claims.get(&claim.slot);
        let same = old.filter(|old| old.claim.term == claim.term);
        let follows_release =
            old.is_some_and(|old| old.claim.released && old.claim.term + 1 == claim.term);
        let known = Known {
            claim: claim.clone(),
            version,
            since: same.map_or(now, |old| old.since),
            is_fresh: same.map_or(claim.term == 1 || follows_release, |old| old.is_fresh),
        };
        self.claims.insert(claim.slot, known);
    }

    /// Learns all claims of a read.
    pub(crate) fn learn_all(&mut self, claims: &[Standing], sent: Instant, now: Instant) {
        for standing in claims {
            self.learn_standing(standing, sent, now);
        }
        self.read = self.read.max(Some(sent));
    }

    pub(crate) fn term(&self, slot: Slot) -> u64 {
        self.claims.get(&slot).map_or(0, |known| known.claim.term)
    }

    /// Notes that a run is alive.
    pub(crate) fn hear(&mut self, peer: &Peer, now: Instant) {
        let heard = Heard {
            incarnation: peer.incarnation,
            at: now,
        };
        self.heard.insert(peer.instance.clone(), heard);
    }

    /// The run of an instance that was last heard of.
    pub(crate) fn run(&self, instance: &id::Instance) -> Option<Incarnation> {
        self.heard.get(instance).map(|heard| heard.incarnation)
    }

    /// Whether the run that holds a slot has been silent for `span`.
    pub(crate) fn is_silent(&self, slot: Slot, span: Span, now: Instant) -> bool {
        let Some(known) = self.claims.get(&slot) else {
            return true;
        };
        let heard = self
            .heard
            .get(&known.claim.instance)
            .filter(|heard| heard.incarnation == known.claim.incarnation)
            .map_or(known.since, |heard| heard.at.max(known.since));
        now.since(heard) >= span
    }

    /// The holder of a slot.
    pub(crate) fn holder(&self, slot: Slot) -> Option<&id::Instance> {
        self.claims
            .get(&slot)
            .filter(|known| !known.claim.released)
            .map(|known| &known.claim.instance)
    }

    /// Holders of slots, each once.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &id::Instance> {
        self.claims
            .values()
            .filter(|known| !known.claim.released)
            .map(|known| &known.claim.instance)
    }

    /// Forgets runs not heard of for `span`.
    pub(crate) fn prune(&mut self, span: Span, now: Instant) {
        self.heard.retain(|_, heard| now.since(heard.at) < span);
    }
}
