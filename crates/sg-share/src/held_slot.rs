//! A slot claimed by this instance: the stage of the claim and the time until which it is
//! confirmed.

use sg_types::prelude::*;

use crate::{claim::Claim, message::ClaimId, panel, part::Part};

/// The stage of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim replaced that of another holder, and this instance collects promises of the voters
    /// not to vouch for earlier holders.
    CollectingPromises {
        /// Time at which this instance learned that the claim was written.
        written_at: Instant,
        /// Slots whose holders promised not to vouch for earlier holders.
        promised: IndexSet<Slot>,
    },
    /// The claim waits until the confirmations and loans of earlier holders have lapsed, and then for
    /// a read of all claims that is sent after that time.
    AwaitingLapse {
        /// Time at which the confirmations and loans of earlier holders have lapsed.
        ready_at: Instant,
    },
    /// The claim is in use.
    Active,
}

/// A slot claimed by this instance.
#[derive(Debug, Clone)]
pub(crate) struct HeldSlot {
    pub(crate) claim: Claim,
    /// Store version of the claim.
    pub(crate) version: u64,
    pub(crate) stage: Stage,
    /// Time at which the newest read that shows the claim was sent.
    pub(crate) last_read_sent: Option<Instant>,
    /// Sending time of the newest request that each voter answered, by the voter's slot.
    votes: IndexMap<Slot, Instant>,
    /// Numbers of slots in rewrites of the claim that were sent to the store. Any of them may still
    /// take effect.
    pub(crate) pending_slot_counts: Vec<u32>,
    /// Time at which this instance learned that the claim was written.
    pub(crate) acquired_at: Instant,
    /// Time at which the newest rewrite of the claim was sent.
    pub(crate) rewritten_at: Instant,
    /// Numbers of slots into which budgets may be divided at present. The slot's base share is the
    /// smallest of its shares by these numbers. If empty, the slot has no share.
    pub(crate) slot_counts: Vec<u32>,
    /// Whether the slot is being released.
    pub(crate) releasing: bool,
    /// Whether a release was sent to the store. The release may have taken effect, even without an
    /// answer.
    pub(crate) release_sent: bool,
}

impl HeldSlot {
    pub(crate) fn new(claim: Claim, version: u64, stage: Stage, now: Instant) -> Self {
        Self {
            claim,
            version,
            stage,
            last_read_sent: None,
            votes: IndexMap::new(),
            pending_slot_counts: Vec::new(),
            acquired_at: now,
            rewritten_at: Instant::START,
            slot_counts: Vec::new(),
            releasing: false,
            release_sent: false,
        }
    }

    pub(crate) fn claim_id(&self) -> ClaimId {
        ClaimId {
            slot: self.claim.slot,
            term: self.claim.term,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.stage == Stage::Active
    }

    /// Whether the slot's share may be used while the claim is confirmed.
    pub(crate) fn is_in_use(&self) -> bool {
        self.is_active() && !self.releasing && !self.slot_counts.is_empty()
    }

    /// Returns the base share of the slot in a budget.
    pub(crate) fn share(&self, whole: Part) -> Part {
        if !self.is_in_use() {
            return Part::default();
        }
        self.slot_counts
            .iter()
            .map(|slots| whole.slot_share(*slots, self.claim.slot))
            .reduce(Part::min)
            .unwrap_or_default()
    }

    /// Records a voter's answer to a request sent at `sent`.
    pub(crate) fn record_vote(&mut self, voter: Slot, sent: Instant) {
        let vote = self.votes.entry(voter).or_insert(sent);
        *vote = (*vote).max(sent);
    }

    /// Returns the slots to ask for votes on the current claim and on rewrites that may take effect.
    pub(crate) fn voters(&self) -> IndexSet<Slot> {
        let slot = self.claim.slot;
        let mut voters: IndexSet<_> = panel::voters(slot, self.claim.slots).into_iter().collect();
        voters.extend(
            self.pending_slot_counts
                .iter()
                .flat_map(|slots| panel::voters(slot, *slots)),
        );
        voters
    }

    /// Returns the latest time such that a majority of the voters answered requests sent at that time
    /// or later.
    fn majority_sent_at(&self, slots: u32) -> Option<Instant> {
        if slots < panel::MIN_VOTING_SLOTS {
            return None;
        }
        let slot = self.claim.slot;
        let mut sent: Vec<_> = panel::voters(slot, slots)
            .iter()
            .filter_map(|voter| self.votes.get(voter).copied())
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        // The slot itself is one vote of the majority, so the last other vote that is needed has this
        // index.
        let last_needed = panel::majority(slot, slots).checked_sub(2)?;
        sent.get(last_needed).copied()
    }

    /// Returns the time until which the claim is confirmed: for `validity` after the newest read, or
    /// after the votes of a majority, which suffice for at most `outage` after that read.
    pub(crate) fn valid_until(&self, validity: Span, outage: Span) -> Instant {
        let Some(read) = self.last_read_sent.filter(|_| self.is_active()) else {
            return Instant::START;
        };
        let majority_sent_at = self
            .pending_slot_counts
            .iter()
            .map(|slots| self.majority_sent_at(*slots))
            .fold(self.majority_sent_at(self.claim.slots), Option::min);
        let by_peers = majority_sent_at.map_or(Instant::START, |sent| sent + validity);
        (read + validity).max(by_peers.min(read + outage))
    }

    /// Whether a majority of voters promised not to vouch for earlier holders.
    pub(crate) fn has_promise_majority(&self) -> bool {
        let Stage::CollectingPromises { promised, .. } = &self.stage else {
            return true;
        };
        let slot = self.claim.slot;
        let slots = self.claim.slots;
        if slots < panel::MIN_VOTING_SLOTS {
            return true;
        }
        let votes = panel::voters(slot, slots)
            .iter()
            .filter(|voter| promised.contains(*voter))
            .count();
        votes >= panel::majority(slot, slots)
    }
}
