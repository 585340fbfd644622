//! One slot that this instance claimed: how far the claim is, and until when it is confirmed.

use sg_types::prelude::*;

use crate::{claim::Claim, message::Term, panel, part::Part};

/// How far a claim is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Written over another holder's claim; collects promises of voters.
    Promises {
        /// When it was written.
        written: Instant,
        /// Voters' slots that promised not to vouch for earlier holders.
        promised: IndexSet<Slot>,
    },
    /// Waits for earlier holders' confirmations and loans to lapse, then for a read that shows all
    /// claims.
    Lapse {
        /// When they have lapsed.
        ready: Instant,
    },
    /// In use.
    Active,
}

/// A slot claimed by this instance.
#[derive(Debug, Clone)]
pub(crate) struct Tenure {
    pub(crate) claim: Claim,
    /// The store's version of the claim.
    pub(crate) version: u64,
    pub(crate) stage: Stage,
    /// When the newest read that shows the claim was sent.
    pub(crate) read: Option<Instant>,
    /// Voters' slots, and when the newest request that each answered was sent.
    votes: IndexMap<Slot, Instant>,
    /// Numbers of slots of claims that are being written; any may yet take effect.
    pub(crate) rewriting: Vec<u32>,
    /// When this instance learned that the claim was written.
    pub(crate) acquired: Instant,
    /// When the claim was last rewritten.
    pub(crate) rewritten: Instant,
    /// The base share is the least over these numbers of slots; none yet means nothing.
    pub(crate) cuts: Vec<u32>,
    /// Whether the slot is being given up.
    pub(crate) stopping: bool,
    /// Whether a release was sent to the store; it may have taken effect.
    pub(crate) releasing: bool,
}

impl Tenure {
    pub(crate) fn new(claim: Claim, version: u64, stage: Stage, now: Instant) -> Self {
        Self {
            claim,
            version,
            stage,
            read: None,
            votes: IndexMap::new(),
            rewriting: Vec::new(),
            acquired: now,
            rewritten: Instant::START,
            cuts: Vec::new(),
            stopping: false,
            releasing: false,
        }
    }

    pub(crate) fn term(&self) -> Term {
        Term {
            slot: self.claim.slot,
            term: self.claim.term,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.stage == Stage::Active
    }

    /// Whether anything of the slot's share may be used while it is confirmed.
    pub(crate) fn is_in_use(&self) -> bool {
        self.is_active() && !self.stopping && !self.cuts.is_empty()
    }

    /// The share of a budget that the slot stands for.
    pub(crate) fn share(&self, whole: Part) -> Part {
        if !self.is_in_use() {
            return Part::default();
        }
        self.cuts
            .iter()
            .map(|slots| whole.cut(*slots, self.claim.slot))
            .reduce(Part::min)
            .unwrap_or_default()
    }

    /// Counts a voter's answer to a request sent at `sent`.
    pub(crate) fn vote(&mut self, voter: Slot, sent: Instant) {
        let vote = self.votes.entry(voter).or_insert(sent);
        *vote = (*vote).max(sent);
    }

    /// The voters that are asked, for the claim that stands and the one being written.
    pub(crate) fn voters(&self) -> IndexSet<Slot> {
        let slot = self.claim.slot;
        let mut voters: IndexSet<_> = panel::voters(slot, self.claim.slots).into_iter().collect();
        voters.extend(
            self.rewriting
                .iter()
                .flat_map(|slots| panel::voters(slot, *slots)),
        );
        voters
    }

    /// When the oldest request of the newest majority was sent.
    fn vouched(&self, slots: u32) -> Option<Instant> {
        if slots < panel::LEAST_SLOTS {
            return None;
        }
        let slot = self.claim.slot;
        let mut sent: Vec<_> = panel::voters(slot, slots)
            .iter()
            .filter_map(|voter| self.votes.get(voter).copied())
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let others = panel::majority(slot, slots).checked_sub(2)?;
        sent.get(others).copied()
    }

    /// Until when the claim is confirmed.
    pub(crate) fn until(&self, validity: Span, outage: Span) -> Instant {
        let Some(read) = self.read.filter(|_| self.is_active()) else {
            return Instant::START;
        };
        let vouched = self
            .rewriting
            .iter()
            .map(|slots| self.vouched(*slots))
            .fold(self.vouched(self.claim.slots), Option::min);
        let by_peers = vouched.map_or(Instant::START, |sent| sent + validity);
        (read + validity).max(by_peers.min(read + outage))
    }

    /// Whether enough voters promised not to vouch for earlier holders.
    pub(crate) fn is_promised(&self) -> bool {
        let Stage::Promises { promised, .. } = &self.stage else {
            return true;
        };
        let slot = self.claim.slot;
        let slots = self.claim.slots;
        if slots < panel::LEAST_SLOTS {
            return true;
        }
        let votes = panel::voters(slot, slots)
            .iter()
            .filter(|voter| promised.contains(*voter))
            .count();
        votes >= panel::majority(slot, slots)
    }
}
