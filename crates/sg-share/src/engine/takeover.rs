//! Chooses the slot to claim: a free slot, or one whose holder a majority of voters no longer
//! hears.

use sg_types::prelude::*;

use super::{
    Engine, Fault,
    claiming::{STORE_PATIENCE, Writing},
};
use crate::{Action, Message, claim::Claim, message::Term, panel, registry::Known, tenure::Tenure};

/// The time during which voters are asked whether they still hear a holder.
const TRIAL: Span = Span::from_secs(3);
/// The step between the delays that prevent several instances from claiming a slot at the same
/// time.
const STAGGER: Span = Span::from_millis(250);
/// The number of different delays.
const STAGGERS: u64 = 4;
/// The time after which a holder that never sent a message counts as failed, if it has no voters.
const UNHEARD: Span = Span::from_secs(30);
/// The interval at which an instance without a slot asks for one.
const SEEK_EVERY: Span = Span::from_secs(1);

/// A poll of the voters on whether they still hear a holder. The poll changes no state at the
/// voters.
#[derive(Debug)]
pub(super) struct Trial {
    claim: Claim,
    since: Instant,
    pub(super) promised: IndexSet<Slot>,
}

impl Trial {
    pub(super) fn term(&self) -> Term {
        Term {
            slot: self.claim.slot,
            term: self.claim.term,
        }
    }

    fn is_carried(&self, fault: Option<Fault>) -> bool {
        let (slot, slots) = (self.claim.slot, self.claim.slots);
        if slots < panel::LEAST_SLOTS || fault == Some(Fault::SkipMajority) {
            return true;
        }
        let agreed = panel::voters(slot, slots)
            .iter()
            .filter(|voter| self.promised.contains(*voter))
            .count();
        agreed >= panel::majority(slot, slots)
    }
}

impl Engine {
    /// Claims a free slot, or starts to take over a slot whose holder is silent.
    pub(super) fn claim(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let waits = self
            .writing
            .as_ref()
            .is_some_and(|writing| now.since(writing.since) < STORE_PATIENCE);
        let fresh = self.options.read_every + STORE_PATIENCE;
        let is_read = self
            .registry
            .read
            .is_some_and(|read| now.since(read) < fresh);
        if waits || !is_read || self.leaving || self.slots == 0 {
            return;
        }
        self.writing = None;
        if let Some(slot) = self.earlier_slot().or_else(|| self.free_slot(now)) {
            self.write(slot, now, actions);
            return;
        }
        self.take_over(now, actions);
        self.seek(now, actions);
    }

    /// Returns a slot that an earlier incarnation of this instance held and used.
    fn earlier_slot(&self) -> Option<Slot> {
        let is_earlier = |known: &&Known| self.is_earlier(&known.claim);
        let known = self.registry.claims.values().find(is_earlier)?;
        Some(known.claim.slot)
    }

    /// Whether a claim belongs to an earlier incarnation of this instance, and this incarnation and
    /// all earlier holders are known to have stopped.
    fn is_earlier(&self, claim: &Claim) -> bool {
        self.options.sole_runs
            && claim.settled
            && !claim.released
            && claim.instance == self.me.instance
            && claim.incarnation != self.me.incarnation
    }

    /// Returns the configured number of slots, or the greatest number in any current claim. A claim
    /// with a greater number thereby keeps its voters.
    fn most_slots(&self) -> u32 {
        let known = self.registry.claims.values();
        known
            .filter(|known| !known.claim.released)
            .map(|known| known.claim.slots)
            .fold(self.slots, u32::max)
    }

    /// Returns a slot without a holder. An instance that already holds a slot waits first, so that
    /// instances without a slot get it.
    fn free_slot(&self, now: Instant) -> Option<Slot> {
        let patience = if self.tenures.is_empty() {
            Span::ZERO
        } else {
            self.options.silence
        };
        let is_free = |slot: &Slot| match self.registry.claims.get(slot) {
            Some(known) => known.claim.released && now.since(known.since) >= patience,
            None => patience == Span::ZERO || now.since(self.started) >= patience,
        };
        let free: Vec<_> = (0..self.most_slots())
            .map(Slot::new)
            .filter(is_free)
            .collect();
        let place = panel::rank(&self.me.instance, self.options.seed) as usize;
        free.get(place.checked_rem(free.len())?).copied()
    }

    fn write(&mut self, slot: Slot, now: Instant, actions: &mut Vec<Action>) {
        let known = self.registry.claims.get(&slot);
        let taken = known.filter(|known| !known.claim.released);
        let claim = Claim {
            slot,
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            term: self.registry.term(slot) + 1,
            // The voters of the earlier holder decide, so its number of slots stays in the claim.
            slots: taken.map_or(self.slots, |known| known.claim.slots),
            settled: taken.is_none_or(|known| self.is_earlier(&known.claim)),
            released: false,
        };
        let expect = match known {
            Some(known) if known.version.is_none() => return,
            Some(known) => known.version,
            None => None,
        };
        self.writing = Some(Writing { slot, since: now });
        actions.push(Action::WriteClaim { claim, expect });
    }

    /// Polls the voters of a silent holder and, once a majority agrees, writes a claim over the
    /// holder's.
    fn take_over(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self
            .trial
            .as_ref()
            .is_some_and(|trial| now.since(trial.since) >= TRIAL)
        {
            self.trial = None;
        }
        let fault = self.options.fault;
        if let Some(trial) = self.trial.take_if(|trial| trial.is_carried(fault)) {
            let is_silent = self
                .registry
                .is_silent(trial.claim.slot, self.options.silence, now);
            if is_silent && self.registry.term(trial.claim.slot) < trial.claim.term {
                self.write(trial.claim.slot, now, actions);
            }
            return;
        }
        if self.trial.is_none() {
            self.trial = self.lost_slot(now).map(|claim| Trial {
                claim,
                since: now,
                promised: IndexSet::new(),
            });
        }
        if let Some(trial) = &self.trial {
            let claim = trial.claim.clone();
            self.send_yield(&claim, true, actions);
        }
    }

    /// Returns the claim to write over one whose holder is silent, if this instance is one of its
    /// voters.
    fn lost_slot(&self, now: Instant) -> Option<Claim> {
        let stagger = panel::rank(&self.me.instance, now.as_nanos()) % STAGGERS;
        let silence = self.options.silence + STAGGER.mul_f64(stagger as f64);
        let votes = |slots: u32, slot: Slot| {
            slots < panel::LEAST_SLOTS
                || self.tenures.iter().any(|tenure| {
                    tenure.is_active() && panel::voters(slot, slots).contains(&tenure.claim.slot)
                })
        };
        let lost = |known: &&Known| {
            let claim = &known.claim;
            !claim.released
                && known.version.is_some()
                && !self.is_mine(claim)
                && votes(claim.slots, claim.slot)
                && (claim.slots >= panel::LEAST_SLOTS || self.was_heard(known, now))
                && self.registry.is_silent(claim.slot, silence, now)
        };
        let known = self.registry.claims.values().find(lost)?;
        Some(Claim {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            term: known.claim.term + 1,
            settled: false,
            ..known.claim.clone()
        })
    }

    /// Whether the silence of a holder without voters is significant: its incarnation was heard
    /// before, or has not been heard for [`UNHEARD_TIMEOUT`].
    fn was_heard(&self, known: &Known, now: Instant) -> bool {
        let claim = &known.claim;
        let heard = self.registry.run(&claim.instance) == Some(claim.incarnation);
        heard || now.since(known.since) >= UNHEARD
    }

    /// Asks an instance that holds several slots to release one.
    fn seek(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.tenures.is_empty() || now.since(self.sought_at) < SEEK_EVERY {
            return;
        }
        self.sought_at = now;
        let mut seen = IndexSet::new();
        let twice = self.registry.holders().find(|holder| !seen.insert(*holder));
        actions.extend(twice.map(|holder| Action::Send {
            to: holder.clone(),
            message: Message::Seek,
        }));
    }

    /// Releases the highest slot that is still in use by the configured number of slots, if this
    /// instance holds several.
    pub(super) fn on_seek(&mut self, now: Instant) {
        let slots = self.slots;
        let held = |tenure: &&mut Tenure| {
            tenure.is_active() && !tenure.stopping && tenure.claim.slot.get() < slots
        };
        let mut tenures: Vec<_> = self.tenures.iter_mut().filter(held).collect();
        if tenures.len() < 2 {
            return;
        }
        tenures.sort_by_key(|tenure| tenure.claim.slot);
        if let Some(tenure) = tenures.pop() {
            tenure.stopping = true;
        }
        self.rebase(now);
    }
}
