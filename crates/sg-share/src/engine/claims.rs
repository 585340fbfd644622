//! Reads, confirms, rewrites and releases claims in the store.

use sg_types::prelude::*;

use super::{Engine, Fault, base_share};
use crate::{
    Action, Message,
    action::StoredClaim,
    claim::Claim,
    held_slot::{HeldSlot, Stage},
    panel,
    part::Part,
    registry::KnownClaim,
};

/// The minimum time between reads of all claims.
const MIN_READ_INTERVAL: Span = Span::from_millis(200);
/// The time to wait for an answer of the store to a write before the next attempt.
pub(super) const STORE_TIMEOUT: Span = Span::from_secs(2);

/// A write of a claim for a further slot that the store has not answered yet.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) slot: Slot,
    pub(super) since: Instant,
}

impl Engine {
    /// Requests a read of all claims if the read interval has passed.
    pub(super) fn request_read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let interval = if self.read_requested {
            MIN_READ_INTERVAL
        } else {
            self.options.read_interval
        };
        if self
            .read_sent_at
            .is_some_and(|last| now.since(last) < interval)
        {
            return;
        }
        self.read_sent_at = Some(now);
        self.read_requested = false;
        actions.push(Action::ReadClaims);
    }

    pub(super) fn on_claims(&mut self, sent: Instant, claims: &[StoredClaim], now: Instant) {
        if sent > now {
            // A time in the future would extend the confirmation of the claims too far.
            self.counters.violations += 1;
            return;
        }
        let before = self.registry.holders().cloned().collect::<IndexSet<_>>();
        self.registry.record_read(claims, sent, now);
        for stored in claims {
            self.adopt_claim(stored, now);
        }
        self.drop_replaced(now);
        self.drop_missing(sent, claims, now);
        self.confirm_read(sent, claims);
        self.apply_slot_count(claims);
        self.update_base_shares(now);
        if !self.registry.holders().eq(&before) || self.contacts.is_empty() {
            self.update_contacts();
        }
    }

    /// Starts to hold a slot whose claim in the store belongs to this incarnation. The claim may have
    /// been written by a call whose answer was lost.
    fn adopt_claim(&mut self, stored: &StoredClaim, now: Instant) {
        let claim = &stored.claim;
        let is_newest = self.registry.newest_term(claim.slot) == claim.term;
        let is_held = self
            .held_slots
            .iter()
            .any(|held_slot| held_slot.claim.slot == claim.slot);
        if !self.is_own(claim) || claim.released || !is_newest || is_held {
            return;
        }
        let stage = self.initial_stage(claim, now);
        let mut held_slot = HeldSlot::new(claim.clone(), stored.version, stage, now);
        held_slot.releasing = self.leaving;
        self.held_slots.push(held_slot);
        self.read_requested = true;
    }

    /// Returns the first stage of a new claim. The claim waits for nothing if the slot had no
    /// holder, for outstanding loans if the earlier holder is known to have stopped, and for the
    /// promises of voters otherwise.
    fn initial_stage(&mut self, claim: &Claim, now: Instant) -> Stage {
        let known = self.registry.claims.get(&claim.slot);
        if known.is_some_and(|known| known.was_free) {
            return Stage::AwaitingLapse { ready_at: now };
        }
        self.counters.takeovers += 1;
        if claim.settled {
            let ready_at = now + self.drift.safe_wait(self.options.loan);
            return Stage::AwaitingLapse { ready_at };
        }
        Stage::CollectingPromises {
            written_at: now,
            promised: IndexSet::new(),
        }
    }

    pub(super) fn is_own(&self, claim: &Claim) -> bool {
        claim.instance == self.local.instance && claim.incarnation == self.local.incarnation
    }

    /// Drops held slots that have a claim with a newer term.
    pub(super) fn drop_replaced(&mut self, now: Instant) {
        let registry = &self.registry;
        let is_replaced = |held_slot: &HeldSlot| {
            registry.newest_term(held_slot.claim.slot) > held_slot.claim.term
        };
        let lost = self
            .held_slots
            .iter()
            .filter(|held_slot| is_replaced(held_slot));
        let (released, taken): (Vec<_>, Vec<_>) = lost.partition(|held_slot| held_slot.releasing);
        if released.is_empty() && taken.is_empty() {
            return;
        }
        self.counters.releases += released.len() as u64;
        self.counters.claims_lost += taken.len() as u64;
        self.held_slots.retain(|held_slot| !is_replaced(held_slot));
        self.update_validity(now);
        self.update_base_shares(now);
    }

    /// Drops held slots, and forgets known claims, that an operator removed from the store.
    fn drop_missing(&mut self, sent: Instant, claims: &[StoredClaim], now: Instant) {
        let is_stored = |slot: Slot| claims.iter().any(|stored| stored.claim.slot == slot);
        let before = self.held_slots.len();
        self.held_slots
            .retain(|held_slot| sent <= held_slot.acquired_at || is_stored(held_slot.claim.slot));
        let lost = before - self.held_slots.len();
        self.counters.claims_lost += lost as u64;
        if self.registry.last_read_sent == Some(sent) {
            let was_read = |known: &KnownClaim| known.version.is_some() && known.first_seen < sent;
            self.registry
                .claims
                .retain(|slot, known| is_stored(*slot) || !was_read(known));
        }
        if lost > 0 {
            self.update_validity(now);
        }
    }

    /// Confirms the held claims that a read returned. Activates those for which the confirmations and
    /// loans of earlier holders had lapsed when the read was sent.
    fn confirm_read(&mut self, sent: Instant, claims: &[StoredClaim]) {
        for held_slot in &mut self.held_slots {
            let found = claims.iter().find(|stored| {
                stored.claim.slot == held_slot.claim.slot
                    && stored.claim.term == held_slot.claim.term
            });
            let Some(stored) = found else {
                continue;
            };
            if stored.version > held_slot.version {
                held_slot.version = stored.version;
                held_slot.claim = stored.claim.clone();
                held_slot.pending_slot_counts.clear();
            }
            held_slot.last_read_sent = held_slot.last_read_sent.max(Some(sent));
            if matches!(held_slot.stage, Stage::AwaitingLapse { ready_at } if sent >= ready_at) {
                held_slot.stage = Stage::Active;
            }
        }
    }

    /// Applies the configured number of slots to the base shares once every claim in the store carries
    /// the number, which shows that its holder knows it.
    fn apply_slot_count(&mut self, claims: &[StoredClaim]) {
        let slots = self.slots;
        let known_by_all = claims
            .iter()
            .filter(|stored| !stored.claim.released)
            .all(|stored| stored.claim.slots == slots);
        let at_once = self.options.fault == Some(Fault::GrowAtOnce);
        if !known_by_all && !at_once {
            return;
        }
        for held_slot in &mut self.held_slots {
            let is_stored = |stored: &StoredClaim| {
                stored.claim.slot == held_slot.claim.slot && stored.version == held_slot.version
            };
            let is_current =
                claims.iter().any(is_stored) && held_slot.pending_slot_counts.is_empty();
            if held_slot.is_active() && (is_current || at_once) {
                held_slot.slot_counts = vec![slots];
            }
        }
    }

    /// Advances each held slot by its stage: requests promises, waits for the claims of earlier holders
    /// to lapse, or rewrites the active claim.
    pub(super) fn advance_claims(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for index in 0..self.held_slots.len() {
            match self.held_slots[index].stage.clone() {
                Stage::CollectingPromises { written_at, .. } => {
                    self.request_promises(index, written_at, now, actions);
                }
                Stage::AwaitingLapse { ready_at } => self.read_requested |= now >= ready_at,
                Stage::Active => self.rewrite_claim(index, now, actions),
            }
        }
        if self.read_requested {
            self.request_read(now, actions);
        }
    }

    /// Asks the voters for promises until a majority has promised. After the maximum outage the
    /// promises are not needed, because peers can no longer confirm earlier holders.
    fn request_promises(
        &mut self,
        index: usize,
        written_at: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let lapse =
            self.drift.safe_wait(self.options.validity) + self.drift.safe_wait(self.options.loan);
        let forced_at = written_at + self.drift.safe_wait(self.options.outage);
        let fault = self.options.fault;
        let held_slot = &mut self.held_slots[index];
        if held_slot.has_promise_majority()
            || now >= forced_at
            || fault == Some(Fault::SkipMajority)
        {
            let wait = if fault == Some(Fault::SkipWait) {
                Span::ZERO
            } else {
                lapse
            };
            held_slot.stage = Stage::AwaitingLapse {
                ready_at: now + wait,
            };
            return;
        }
        let claim = held_slot.claim.clone();
        self.send_yield(&claim, false, actions);
    }

    pub(super) fn send_yield(&self, claim: &Claim, trial: bool, actions: &mut Vec<Action>) {
        let asked: IndexSet<_> = panel::voters(claim.slot, claim.slots)
            .into_iter()
            .filter_map(|voter| self.registry.holder(voter))
            .filter(|holder| **holder != self.local.instance)
            .cloned()
            .collect();
        actions.extend(asked.into_iter().map(|to| Action::Send {
            to,
            message: Message::Yield {
                claim: claim.clone(),
                trial,
            },
        }));
    }

    /// Rewrites an active claim if the number of slots changed, the claim is not marked as settled
    /// yet, or the slot is being released. The rewrite waits until outgoing loans fit into the base
    /// shares.
    fn rewrite_claim(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let held_slot = &self.held_slots[index];
        let is_surplus = held_slot.claim.slot.get() >= self.slots;
        let is_applied = held_slot.slot_counts == [self.slots];
        if is_surplus && is_applied {
            self.held_slots[index].releasing = true;
        }
        let held_slot = &self.held_slots[index];
        let needs_rewrite =
            held_slot.claim.slots != self.slots || !held_slot.pending_slot_counts.is_empty();
        let needs_rewrite = needs_rewrite || !held_slot.claim.settled;
        let is_waiting = held_slot.rewritten_at != Instant::START
            && now.since(held_slot.rewritten_at) < STORE_TIMEOUT;
        if is_waiting || !(needs_rewrite || held_slot.releasing) || !self.lent_fits_base() {
            return;
        }
        let mut claim = held_slot.claim.clone();
        if held_slot.releasing {
            claim.term += 1;
            claim.released = true;
        } else {
            claim.slots = self.slots;
            claim.settled = true;
        }
        let expect = Some(held_slot.version);
        let slots = self.slots;
        let held_slot = &mut self.held_slots[index];
        held_slot.rewritten_at = now;
        held_slot.release_sent |= held_slot.releasing;
        if !held_slot.releasing {
            held_slot.pending_slot_counts.push(slots);
        }
        actions.push(Action::WriteClaim { claim, expect });
    }

    /// Whether all outgoing loans fit into the current base shares.
    fn lent_fits_base(&self) -> bool {
        self.ledgers.values().all(|ledger| {
            let whole = Part::whole(ledger.budget);
            ledger.lent_fits(base_share(&self.held_slots, whole))
        })
    }

    pub(super) fn on_written(&mut self, claim: &Claim, version: u64, now: Instant) {
        let stored = StoredClaim {
            claim: claim.clone(),
            version,
        };
        self.registry.record_stored_claim(&stored, now, now);
        if self
            .pending_write
            .as_ref()
            .is_some_and(|pending_write| pending_write.slot == claim.slot)
        {
            self.pending_write = None;
        }
        for held_slot in &mut self.held_slots {
            if held_slot.claim_id().slot == claim.slot
                && held_slot.claim.term == claim.term
                && held_slot.version < version
            {
                held_slot.version = version;
                held_slot.claim = claim.clone();
                held_slot.pending_slot_counts.clear();
            }
        }
        self.drop_replaced(now);
        self.adopt_claim(&stored, now);
        self.read_requested = true;
    }

    pub(super) fn on_not_written(&mut self, slot: Slot, _now: Instant) {
        if self
            .pending_write
            .as_ref()
            .is_some_and(|pending_write| pending_write.slot == slot)
        {
            self.pending_write = None;
        }
        self.read_requested = true;
    }
}
