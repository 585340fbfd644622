//! Claims of slots: reading, writing, taking over, recutting and giving up.

use sg_types::prelude::*;

use super::{Engine, Fault, base};
use crate::{
    Action, Message,
    action::Standing,
    claim::Claim,
    message::Term,
    panel,
    part::Part,
    registry::Known,
    tenure::{Stage, Tenure},
};

/// The shortest time between reads of all claims.
const LEAST_READ_GAP: Span = Span::from_millis(200);
/// How long an answer of the store is awaited before the next attempt.
const STORE_PATIENCE: Span = Span::from_secs(2);
/// How long voters are asked whether they lost sight of a holder.
const TRIAL: Span = Span::from_secs(3);
/// The step of the delays that keep survivors from claiming a slot at once.
const STAGGER: Span = Span::from_millis(250);
/// The number of such delays.
const STAGGERS: u64 = 4;
/// How often an instance without a slot asks for one.
const SEEK_EVERY: Span = Span::from_secs(1);

/// An attempt to find out whether a majority of voters lost sight of a holder.
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

/// A claim that is being written.
#[derive(Debug)]
pub(super) struct Writing {
    slot: Slot,
    since: Instant,
}

impl Engine {
    /// Reads all claims when it is time.
    pub(super) fn read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let gap = if self.read_soon {
            LEAST_READ_GAP
        } else {
            self.options.read_every
        };
        if self.read_at.is_some_and(|last| now.since(last) < gap) {
            return;
        }
        self.read_at = Some(now);
        self.read_soon = false;
        actions.push(Action::ReadClaims);
    }

    pub(super) fn on_claims(&mut self, sent: Instant, claims: &[Standing], now: Instant) {
        let before = self.registry.claims.len();
        self.registry.learn_all(claims, sent, now);
        for standing in claims {
            self.adopt(standing, now);
        }
        self.drop_replaced(now);
        self.drop_missing(sent, claims, now);
        self.confirm_read(sent, claims);
        self.grow(claims);
        self.rebase(now);
        if self.registry.claims.len() != before || self.contacts.is_empty() {
            self.reconnect(now);
        }
    }

    /// Takes up a claim of this run that stands in the store, also when the answer to its writing
    /// was lost.
    fn adopt(&mut self, standing: &Standing, now: Instant) {
        let claim = &standing.claim;
        let newest = self.registry.term(claim.slot) == claim.term;
        let held = self.tenures.iter().any(|t| t.claim.slot == claim.slot);
        if !self.is_mine(claim) || claim.released || !newest || held {
            return;
        }
        let is_fresh = self
            .registry
            .claims
            .get(&claim.slot)
            .is_some_and(|known| known.is_fresh);
        let stage = if is_fresh {
            Stage::Lapse { ready: now }
        } else {
            self.counters.takeovers += 1;
            Stage::Promises {
                written: now,
                promised: IndexSet::new(),
            }
        };
        let mut tenure = Tenure::new(claim.clone(), standing.version, stage, now);
        tenure.stopping = self.leaving;
        self.tenures.push(tenure);
        self.read_soon = true;
    }

    fn is_mine(&self, claim: &Claim) -> bool {
        claim.instance == self.me.instance && claim.incarnation == self.me.incarnation
    }

    /// Drops claims that others replaced.
    pub(super) fn drop_replaced(&mut self, now: Instant) {
        let registry = &self.registry;
        let is_replaced = |tenure: &Tenure| registry.term(tenure.claim.slot) > tenure.claim.term;
        let lost = self.tenures.iter().filter(|t| is_replaced(t));
        let (released, taken): (Vec<_>, Vec<_>) = lost.partition(|tenure| tenure.stopping);
        if released.is_empty() && taken.is_empty() {
            return;
        }
        self.counters.releases += released.len() as u64;
        self.counters.claims_lost += taken.len() as u64;
        self.tenures.retain(|tenure| !is_replaced(tenure));
        self.refresh(now);
        self.rebase(now);
    }

    /// Drops claims that an operator removed from the store.
    fn drop_missing(&mut self, sent: Instant, claims: &[Standing], now: Instant) {
        let stands = |slot: Slot| claims.iter().any(|standing| standing.claim.slot == slot);
        let before = self.tenures.len();
        self.tenures
            .retain(|tenure| sent <= tenure.acquired || stands(tenure.claim.slot));
        let lost = before - self.tenures.len();
        self.counters.claims_lost += lost as u64;
        if self.registry.read == Some(sent) {
            let read = |known: &Known| known.version.is_some() && known.since < sent;
            self.registry
                .claims
                .retain(|slot, known| stands(*slot) || !read(known));
        }
        if lost > 0 {
            self.refresh(now);
        }
    }

    /// Confirms claims by a read, and puts those in use whose predecessors have lapsed.
    fn confirm_read(&mut self, sent: Instant, claims: &[Standing]) {
        for tenure in &mut self.tenures {
            let found = claims.iter().find(|standing| {
                standing.claim.slot == tenure.claim.slot && standing.claim.term == tenure.claim.term
            });
            let Some(standing) = found else {
                continue;
            };
            if standing.version > tenure.version {
                tenure.version = standing.version;
                tenure.claim = standing.claim.clone();
                tenure.rewriting.clear();
            }
            tenure.read = tenure.read.max(Some(sent));
            if matches!(tenure.stage, Stage::Lapse { ready } if sent >= ready) {
                tenure.stage = Stage::Active;
            }
        }
    }

    /// Puts the number of slots in force once every claim says that its holder knows it.
    fn grow(&mut self, claims: &[Standing]) {
        let slots = self.slots;
        let known_by_all = claims
            .iter()
            .filter(|standing| !standing.claim.released)
            .all(|standing| standing.claim.slots == slots);
        let at_once = self.options.fault == Some(Fault::GrowAtOnce);
        if !known_by_all && !at_once {
            return;
        }
        for tenure in &mut self.tenures {
            let stands = |standing: &Standing| {
                standing.claim.slot == tenure.claim.slot && standing.version == tenure.version
            };
            let settled = claims.iter().any(stands) && tenure.rewriting.is_empty();
            if tenure.is_active() && (settled || at_once) {
                tenure.cuts = vec![slots];
            }
        }
    }

    /// Moves claims on: promises, waiting, recutting and giving up.
    pub(super) fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for index in 0..self.tenures.len() {
            match self.tenures[index].stage.clone() {
                Stage::Promises { written, .. } => self.ask_promises(index, written, now, actions),
                Stage::Lapse { ready } => self.read_soon |= now >= ready,
                Stage::Active => self.rewrite(index, now, actions),
            }
        }
        if self.read_soon {
            self.read(now, actions);
        }
    }

    fn ask_promises(
        &mut self,
        index: usize,
        written: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let lapse =
            self.drift.outlast(self.options.validity) + self.drift.outlast(self.options.loan);
        let forced = written + self.drift.outlast(self.options.outage);
        let fault = self.options.fault;
        let tenure = &mut self.tenures[index];
        if tenure.is_promised() || now >= forced || fault == Some(Fault::SkipMajority) {
            let wait = if fault == Some(Fault::SkipWait) {
                Span::ZERO
            } else {
                lapse
            };
            tenure.stage = Stage::Lapse { ready: now + wait };
            return;
        }
        let claim = tenure.claim.clone();
        self.send_yield(&claim, false, actions);
    }

    fn send_yield(&self, claim: &Claim, trial: bool, actions: &mut Vec<Action>) {
        let asked: IndexSet<_> = panel::voters(claim.slot, claim.slots)
            .into_iter()
            .filter_map(|voter| self.registry.holder(voter))
            .filter(|holder| **holder != self.me.instance)
            .cloned()
            .collect();
        actions.extend(asked.into_iter().map(|to| Action::Send {
            to,
            message: Message::Yield {
                c: claim.clone(),
                trial,
            },
        }));
    }

    /// Writes a claim in use anew if the number of slots changed or it is being given up.
    fn rewrite(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let tenure = &self.tenures[index];
        let dropped = tenure.claim.slot.get() >= self.slots;
        let grown = tenure.cuts == [self.slots];
        if dropped && grown {
            self.tenures[index].stopping = true;
        }
        let tenure = &self.tenures[index];
        let recut = tenure.claim.slots != self.slots || !tenure.rewriting.is_empty();
        let waits =
            tenure.rewritten != Instant::START && now.since(tenure.rewritten) < STORE_PATIENCE;
        if waits || !(recut || tenure.stopping) || !self.fits() {
            return;
        }
        let mut claim = tenure.claim.clone();
        if tenure.stopping {
            claim.term += 1;
            claim.released = true;
        } else {
            claim.slots = self.slots;
        }
        let expect = Some(tenure.version);
        let slots = self.slots;
        let tenure = &mut self.tenures[index];
        tenure.rewritten = now;
        if !tenure.stopping {
            tenure.rewriting.push(slots);
        }
        actions.push(Action::WriteClaim { claim, expect });
    }

    /// Whether all that is lent fits the base shares now in force.
    fn fits(&self) -> bool {
        self.ledgers.values().all(|ledger| {
            let whole = Part::whole(ledger.budget);
            ledger.fits(base(&self.tenures, whole))
        })
    }

    pub(super) fn on_written(&mut self, claim: &Claim, version: u64, now: Instant) {
        self.registry.learn(claim, Some(version), now);
        if self.writing.as_ref().is_some_and(|w| w.slot == claim.slot) {
            self.writing = None;
        }
        for tenure in &mut self.tenures {
            if tenure.term().slot == claim.slot
                && tenure.claim.term == claim.term
                && tenure.version < version
            {
                tenure.version = version;
                tenure.claim = claim.clone();
                tenure.rewriting.clear();
            }
        }
        self.drop_replaced(now);
        let standing = Standing {
            claim: claim.clone(),
            version,
        };
        self.adopt(&standing, now);
        self.read_soon = true;
    }

    pub(super) fn on_not_written(&mut self, slot: Slot, _now: Instant) {
        if self.writing.as_ref().is_some_and(|w| w.slot == slot) {
            self.writing = None;
        }
        self.read_soon = true;
    }

    /// Claims a slot: a free one, or one whose holder was lost.
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
        if let Some(slot) = self.free_slot(now) {
            self.write(slot, now, actions);
            return;
        }
        self.take_over(now, actions);
        self.seek(now, actions);
    }

    /// A slot that nobody holds. Those that have one already wait, so that others come first.
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
        let free: Vec<_> = (0..self.slots).map(Slot::new).filter(is_free).collect();
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
            // Voters of the earlier holder decide, by the number of slots that it went by.
            slots: taken.map_or(self.slots, |known| known.claim.slots),
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

    /// Finds out whether voters lost sight of a holder, then writes a claim over its own.
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

    /// The claim to write over one whose holder this instance, as a voter, lost sight of.
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
                && self.registry.is_silent(claim.slot, silence, now)
        };
        let known = self.registry.claims.values().find(lost)?;
        Some(Claim {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            term: known.claim.term + 1,
            ..known.claim.clone()
        })
    }

    /// Asks a holder of several slots for one.
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

    pub(super) fn on_seek(&mut self) {
        let held = |tenure: &&mut Tenure| tenure.is_active() && !tenure.stopping;
        let mut tenures: Vec<_> = self.tenures.iter_mut().filter(held).collect();
        if tenures.len() < 2 {
            return;
        }
        tenures.sort_by_key(|tenure| tenure.claim.slot);
        if let Some(tenure) = tenures.pop() {
            tenure.stopping = true;
        }
    }
}
