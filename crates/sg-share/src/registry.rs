//! Records the newest claim of each slot and the newest message from each instance.

use sg_types::prelude::*;

use crate::{action::StoredClaim, claim::Claim, engine::Peer};

/// The newest known claim of a slot.
#[derive(Debug, Clone)]
pub(crate) struct KnownClaim {
    pub(crate) claim: Claim,
    /// Store version of the claim, if it was read from the store.
    pub(crate) version: Option<u64>,
    /// Time at which this instance learned of a claim with this term.
    pub(crate) first_seen: Instant,
    /// Whether the slot had no holder before: the claim is its first, or follows a release.
    pub(crate) was_free: bool,
}

/// The known claims by slot, and the newest message from each instance.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) claims: IndexMap<Slot, KnownClaim>,
    last_messages: IndexMap<id::Instance, LastMessage>,
    /// Instances that said that they hold a slot whose claim this instance has not read yet.
    announced: IndexMap<Slot, id::Instance>,
    /// Time at which the newest read of the store was sent.
    pub(crate) last_read_sent: Option<Instant>,
}

/// The incarnation and arrival time of the newest message from an instance.
#[derive(Debug, Clone, Copy)]
struct LastMessage {
    incarnation: Incarnation,
    at: Instant,
}

impl Registry {
    /// Records a claim learned from a peer. Terms that are not newer than the known one are
    /// ignored.
    pub(crate) fn record_claim(&mut self, claim: &Claim, now: Instant) {
        if self.newest_term(claim.slot) < claim.term {
            self.insert(claim, None, now);
        }
    }

    /// Records a claim that the store held at some time after `sent`.
    pub(crate) fn record_stored_claim(
        &mut self,
        stored: &StoredClaim,
        sent: Instant,
        now: Instant,
    ) {
        let claim = &stored.claim;
        let is_newer = match self.claims.get(&claim.slot) {
            None => true,
            Some(known) => match known.version {
                Some(version) => stored.version > version,
                None => claim.term >= known.claim.term || sent > known.first_seen,
            },
        };
        if is_newer {
            self.insert(claim, Some(stored.version), now);
        }
    }

    fn insert(&mut self, claim: &Claim, version: Option<u64>, now: Instant) {
        let old = self.claims.get(&claim.slot);
        let same_term = old.filter(|old| old.claim.term == claim.term);
        let follows_release =
            old.is_some_and(|old| old.claim.released && old.claim.term + 1 == claim.term);
        let known = KnownClaim {
            claim: claim.clone(),
            version,
            first_seen: same_term.map_or(now, |old| old.first_seen),
            was_free: same_term.map_or(claim.term == 1 || follows_release, |old| old.was_free),
        };
        self.claims.insert(claim.slot, known);
    }

    /// Records all claims that a read returned.
    pub(crate) fn record_read(&mut self, claims: &[StoredClaim], sent: Instant, now: Instant) {
        for stored in claims {
            self.record_stored_claim(stored, sent, now);
        }
        self.last_read_sent = self.last_read_sent.max(Some(sent));
    }

    pub(crate) fn newest_term(&self, slot: Slot) -> u64 {
        self.claims.get(&slot).map_or(0, |known| known.claim.term)
    }

    /// Records that a peer sent a message.
    pub(crate) fn record_message(&mut self, peer: &Peer, now: Instant) {
        let message = LastMessage {
            incarnation: peer.incarnation,
            at: now,
        };
        self.last_messages.insert(peer.instance.clone(), message);
    }

    /// Returns the incarnation of the newest message from an instance.
    pub(crate) fn last_incarnation(&self, instance: &id::Instance) -> Option<Incarnation> {
        self.last_messages
            .get(instance)
            .map(|message| message.incarnation)
    }

    /// Whether the incarnation that holds a slot has sent no message for `span`. A slot without a
    /// known claim counts as silent.
    pub(crate) fn is_silent(&self, slot: Slot, span: Span, now: Instant) -> bool {
        let Some(known) = self.claims.get(&slot) else {
            return true;
        };
        let last_heard = self
            .last_messages
            .get(&known.claim.instance)
            .filter(|message| message.incarnation == known.claim.incarnation)
            .map_or(known.first_seen, |message| message.at.max(known.first_seen));
        now.since(last_heard) >= span
    }

    /// Records that an instance said that it holds a slot. It only decides whom to ask for votes: votes
    /// count because the voter's own claim is confirmed.
    pub(crate) fn record_announced_holder(&mut self, slot: Slot, instance: &id::Instance) {
        if !self.claims.contains_key(&slot) {
            self.announced.insert(slot, instance.clone());
        }
    }

    /// Returns the current holder of a slot.
    pub(crate) fn holder(&self, slot: Slot) -> Option<&id::Instance> {
        self.claims
            .get(&slot)
            .filter(|known| !known.claim.released)
            .map(|known| &known.claim.instance)
    }

    /// Returns the instance to ask for the vote of a slot: the holder, or the instance that said that it
    /// holds the slot while the slot's claim is not known.
    pub(crate) fn voter(&self, slot: Slot) -> Option<&id::Instance> {
        if self.claims.contains_key(&slot) {
            return self.holder(slot);
        }
        self.announced.get(&slot)
    }

    /// Returns the current holder of each slot. An instance appears once for each slot that it holds.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &id::Instance> {
        self.claims
            .values()
            .filter(|known| !known.claim.released)
            .map(|known| &known.claim.instance)
    }

    /// Forgets the messages of instances that have been silent for `span`.
    pub(crate) fn prune(&mut self, span: Span, now: Instant) {
        self.last_messages
            .retain(|_, message| now.since(message.at) < span);
    }
}
