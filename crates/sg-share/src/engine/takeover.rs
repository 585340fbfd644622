//! Chooses the slot to claim: a free slot, or one whose holder is silent to a majority of voters.

use sg_types::prelude::*;

use super::{
    Engine, Fault,
    claims::{PendingWrite, STORE_TIMEOUT},
};
use crate::{
    Action, Message, claim::Claim, held_slot::HeldSlot, message::ClaimId, panel,
    registry::KnownClaim,
};

/// The time during which voters are asked whether a holder is silent to them too.
const TRIAL_DURATION: Span = Span::from_secs(3);
/// The difference between successive takeover delays. Different delays prevent several instances
/// from claiming a slot at the same time.
const STAGGER_STEP: Span = Span::from_millis(250);
/// The number of different takeover delays.
const STAGGER_COUNT: u64 = 4;
/// The time after which a holder without voters counts as failed if this instance has never received
/// a message from it.
const UNHEARD_TIMEOUT: Span = Span::from_secs(30);
/// The interval at which an instance without a slot asks a holder of several to release one.
const SEEK_INTERVAL: Span = Span::from_secs(1);

/// A poll that asks the voters whether a holder is silent to them too. The answers do not bind the
/// voters.
#[derive(Debug)]
pub(super) struct Trial {
    claim: Claim,
    started_at: Instant,
    pub(super) agreed: IndexSet<Slot>,
}

impl Trial {
    pub(super) fn claim_id(&self) -> ClaimId {
        ClaimId {
            slot: self.claim.slot,
            term: self.claim.term,
        }
    }

    fn has_majority(&self, fault: Option<Fault>) -> bool {
        let (slot, slots) = (self.claim.slot, self.claim.slots);
        if slots < panel::MIN_VOTING_SLOTS || fault == Some(Fault::SkipMajority) {
            return true;
        }
        let agreed = panel::voters(slot, slots)
            .iter()
            .filter(|voter| self.agreed.contains(*voter))
            .count();
        agreed >= panel::majority(slot, slots)
    }
}

impl Engine {
    /// Claims a free slot, or starts to take over a slot whose holder is silent.
    pub(super) fn claim_slot(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_writing = self
            .pending_write
            .as_ref()
            .is_some_and(|pending_write| now.since(pending_write.since) < STORE_TIMEOUT);
        let max_read_age = self.options.read_interval + STORE_TIMEOUT;
        let is_read_recent = self
            .registry
            .last_read_sent
            .is_some_and(|read| now.since(read) < max_read_age);
        if is_writing || !is_read_recent || self.leaving || self.slots == 0 {
            return;
        }
        self.pending_write = None;
        if let Some(slot) = self.previous_slot().or_else(|| self.free_slot(now)) {
            self.write_claim(slot, now, actions);
            return;
        }
        self.take_over(now, actions);
        self.seek_slot(now, actions);
    }

    /// Returns a slot that an earlier incarnation of this instance held and used.
    fn previous_slot(&self) -> Option<Slot> {
        let is_from_earlier_incarnation =
            |known: &&KnownClaim| self.is_from_earlier_incarnation(&known.claim);
        let known = self
            .registry
            .claims
            .values()
            .find(is_from_earlier_incarnation)?;
        Some(known.claim.slot)
    }

    /// Whether a claim belongs to an earlier incarnation of this instance, and that incarnation and
    /// all earlier holders are known to have stopped.
    fn is_from_earlier_incarnation(&self, claim: &Claim) -> bool {
        self.options.sole_runs
            && claim.settled
            && !claim.released
            && claim.instance == self.local.instance
            && claim.incarnation != self.local.incarnation
    }

    /// Returns the greatest of the configured number of slots and the numbers in all current claims. A
    /// claim with a number above the configured one thereby keeps its voters.
    fn max_slot_count(&self) -> u32 {
        let known = self.registry.claims.values();
        known
            .filter(|known| !known.claim.released)
            .map(|known| known.claim.slots)
            .fold(self.slots, u32::max)
    }

    /// Returns a slot without a holder. An instance that already holds a slot waits before it claims
    /// another one, so that instances without a slot come first.
    fn free_slot(&self, now: Instant) -> Option<Slot> {
        let min_age = if self.held_slots.is_empty() {
            Span::ZERO
        } else {
            self.options.silence
        };
        let is_free = |slot: &Slot| match self.registry.claims.get(slot) {
            Some(known) => known.claim.released && now.since(known.first_seen) >= min_age,
            None => min_age == Span::ZERO || now.since(self.started) >= min_age,
        };
        let free: Vec<_> = (0..self.max_slot_count())
            .map(Slot::new)
            .filter(is_free)
            .collect();
        let rank = panel::rank(&self.local.instance, self.options.seed) as usize;
        free.get(rank.checked_rem(free.len())?).copied()
    }

    /// Requests a write that claims `slot` for this instance. Does nothing if the version of the slot's
    /// current claim is unknown.
    fn write_claim(&mut self, slot: Slot, now: Instant, actions: &mut Vec<Action>) {
        let known = self.registry.claims.get(&slot);
        let current = known.filter(|known| !known.claim.released);
        let claim = Claim {
            slot,
            instance: self.local.instance.clone(),
            incarnation: self.local.incarnation,
            term: self.registry.newest_term(slot) + 1,
            // The voters of the earlier holder decide, so its number of slots stays in the claim.
            slots: current.map_or(self.slots, |known| known.claim.slots),
            settled: current.is_none_or(|known| self.is_from_earlier_incarnation(&known.claim)),
            released: false,
        };
        let expect = match known {
            Some(known) if known.version.is_none() => return,
            Some(known) => known.version,
            None => None,
        };
        self.pending_write = Some(PendingWrite { slot, since: now });
        actions.push(Action::WriteClaim { claim, expect });
    }

    /// Polls the voters of a silent holder and, once a majority agrees, writes a claim over the
    /// holder's.
    fn take_over(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self
            .trial
            .as_ref()
            .is_some_and(|trial| now.since(trial.started_at) >= TRIAL_DURATION)
        {
            self.trial = None;
        }
        let fault = self.options.fault;
        if let Some(trial) = self.trial.take_if(|trial| trial.has_majority(fault)) {
            let is_silent = self
                .registry
                .is_silent(trial.claim.slot, self.options.silence, now);
            if is_silent && self.registry.newest_term(trial.claim.slot) < trial.claim.term {
                self.write_claim(trial.claim.slot, now, actions);
            }
            return;
        }
        if self.trial.is_none() {
            self.trial = self.takeover_claim(now).map(|claim| Trial {
                claim,
                started_at: now,
                agreed: IndexSet::new(),
            });
        }
        if let Some(trial) = &self.trial {
            let claim = trial.claim.clone();
            self.send_yield(&claim, true, actions);
        }
    }

    /// Returns the claim to write over one whose holder is silent, if this instance is one of its
    /// voters.
    fn takeover_claim(&self, now: Instant) -> Option<Claim> {
        let stagger = panel::rank(&self.local.instance, now.as_nanos()) % STAGGER_COUNT;
        let silence = self.options.silence + STAGGER_STEP.mul_f64(stagger as f64);
        let is_voter = |slots: u32, slot: Slot| {
            slots < panel::MIN_VOTING_SLOTS
                || self.held_slots.iter().any(|held_slot| {
                    held_slot.is_active()
                        && panel::voters(slot, slots).contains(&held_slot.claim.slot)
                })
        };
        let may_take_over = |known: &&KnownClaim| {
            let claim = &known.claim;
            !claim.released
                && known.version.is_some()
                && !self.is_own(claim)
                && is_voter(claim.slots, claim.slot)
                && (claim.slots >= panel::MIN_VOTING_SLOTS
                    || self.is_silence_significant(known, now))
                && self.registry.is_silent(claim.slot, silence, now)
        };
        let known = self.registry.claims.values().find(may_take_over)?;
        Some(Claim {
            instance: self.local.instance.clone(),
            incarnation: self.local.incarnation,
            term: known.claim.term + 1,
            settled: false,
            ..known.claim.clone()
        })
    }

    /// Whether the silence of a holder without voters shows that the holder failed: its incarnation has
    /// sent a message before, or has not sent one for [`UNHEARD_TIMEOUT`] since its claim was seen.
    fn is_silence_significant(&self, known: &KnownClaim, now: Instant) -> bool {
        let claim = &known.claim;
        let was_heard = self.registry.last_incarnation(&claim.instance) == Some(claim.incarnation);
        was_heard || now.since(known.first_seen) >= UNHEARD_TIMEOUT
    }

    /// Asks an instance that holds several slots to release one.
    fn seek_slot(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.held_slots.is_empty() || now.since(self.slot_requested_at) < SEEK_INTERVAL {
            return;
        }
        self.slot_requested_at = now;
        let mut seen = IndexSet::new();
        let holder_of_several = self.registry.holders().find(|holder| !seen.insert(*holder));
        actions.extend(holder_of_several.map(|holder| Action::Send {
            to: holder.clone(),
            message: Message::Seek,
        }));
    }

    /// Handles a request of an instance without a slot: if this instance holds several slots below the
    /// configured number, it releases the highest of them.
    pub(super) fn on_seek(&mut self, now: Instant) {
        let slots = self.slots;
        let is_releasable = |held_slot: &&mut HeldSlot| {
            held_slot.is_active() && !held_slot.releasing && held_slot.claim.slot.get() < slots
        };
        let mut held_slots: Vec<_> = self.held_slots.iter_mut().filter(is_releasable).collect();
        if held_slots.len() < 2 {
            return;
        }
        held_slots.sort_by_key(|held_slot| held_slot.claim.slot);
        if let Some(held_slot) = held_slots.pop() {
            held_slot.releasing = true;
        }
        self.update_base_shares(now);
    }
}
