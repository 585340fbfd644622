//! Records the newest claims of all slots and the times at which peers were last heard.

use sg_types::prelude::*;

use crate::{action::Standing, claim::Claim, engine::Peer};

/// The newest known claim of a slot.
#[derive(Debug, Clone)]
pub(crate) struct KnownClaim {
    pub(crate) claim: Claim,
    /// Store version of the claim, if it was read from the store.
    pub(crate) version: Option<u64>,
    /// Time at which this instance first learned of the claim's term.
    pub(crate) first_seen: Instant,
    /// Whether the slot had no holder before: the claim is its first, or follows a release.
    pub(crate) was_free: bool,
}

/// The claims by slot, and the newest message from each instance.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) claims: IndexMap<Slot, KnownClaim>,
    last_messages: IndexMap<id::Instance, LastMessage>,
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
    pub(crate) fn record_stored_claim(&mut self, standing: &Standing, sent: Instant, now: Instant) {
        let claim = &standing.claim;
        let is_newer = match self.claims.get(&claim.slot) {
            None => true,
            Some(known) => match known.version {
                Some(version) => standing.version > version,
                None => claim.term >= known.claim.term || sent > known.first_seen,
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
        let known = KnownClaim {
            claim: claim.clone(),
            version,
            first_seen: same.map_or(now, |old| old.first_seen),
            was_free: same.map_or(claim.term == 1 || follows_release, |old| old.was_free),
        };
        self.claims.insert(claim.slot, known);
    }

    /// Records all claims that a read returned.
    pub(crate) fn record_read(&mut self, claims: &[Standing], sent: Instant, now: Instant) {
        for standing in claims {
            self.record_stored_claim(standing, sent, now);
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

    /// Whether the incarnation that holds a slot has been silent for `span`.
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

    /// Returns the current holder of a slot.
    pub(crate) fn holder(&self, slot: Slot) -> Option<&id::Instance> {
        self.claims
            .get(&slot)
            .filter(|known| !known.claim.released)
            .map(|known| &known.claim.instance)
    }

    /// Returns the current holder of each slot. An instance that holds several slots is repeated.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &id::Instance> {
        self.claims
            .values()
            .filter(|known| !known.claim.released)
            .map(|known| &known.claim.instance)
    }

    /// Forgets instances that have been silent for `span`.
    pub(crate) fn prune(&mut self, span: Span, now: Instant) {
        self.last_messages
            .retain(|_, message| now.since(message.at) < span);
    }
}
