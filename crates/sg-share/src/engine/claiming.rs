//! Reads, confirms, rewrites and releases claims in the store.

use sg_types::prelude::*;

use super::{Engine, Fault, base};
use crate::{
    Action, Message,
    action::Standing,
    claim::Claim,
    panel,
    part::Part,
    registry::Known,
    tenure::{Stage, Tenure},
};

/// The minimum time between reads of all claims.
const LEAST_READ_GAP: Span = Span::from_millis(200);
/// The time to wait for an answer of the store before the next attempt.
pub(super) const STORE_PATIENCE: Span = Span::from_secs(2);

/// A claim for a new slot whose write the store has not answered yet.
#[derive(Debug)]
pub(super) struct Writing {
    pub(super) slot: Slot,
    pub(super) since: Instant,
}

impl Engine {
    /// Requests a read of all claims if the read interval has passed.
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
        if sent > now {
            // A time in the future would extend the confirmation of the claims too far.
            self.counters.violations += 1;
            return;
        }
        let before = self.registry.holders().cloned().collect::<IndexSet<_>>();
        self.registry.learn_all(claims, sent, now);
        for standing in claims {
            self.adopt(standing, now);
        }
        self.drop_replaced(now);
        self.drop_missing(sent, claims, now);
        self.confirm_read(sent, claims);
        self.grow(claims);
        self.rebase(now);
        if !self.registry.holders().eq(&before) || self.contacts.is_empty() {
            self.reconnect();
        }
    }

    /// Starts to hold a slot whose claim in the store belongs to this incarnation. This also covers
    /// a write whose answer was lost.
    fn adopt(&mut self, standing: &Standing, now: Instant) {
        let claim = &standing.claim;
        let newest = self.registry.term(claim.slot) == claim.term;
        let held = self.tenures.iter().any(|t| t.claim.slot == claim.slot);
        if !self.is_mine(claim) || claim.released || !newest || held {
            return;
        }
        let stage = self.first_stage(claim, now);
        let mut tenure = Tenure::new(claim.clone(), standing.version, stage, now);
        tenure.stopping = self.leaving;
        self.tenures.push(tenure);
        self.read_soon = true;
    }

    /// Returns the first stage of a new claim. The claim waits for nothing if the slot had no
    /// holder, for outstanding loans if the earlier holder is known to have stopped, and for the
    /// promises of voters otherwise.
    fn first_stage(&mut self, claim: &Claim, now: Instant) -> Stage {
        let known = self.registry.claims.get(&claim.slot);
        if known.is_some_and(|known| known.is_fresh) {
            return Stage::Lapse { ready: now };
        }
        self.counters.takeovers += 1;
        if claim.settled {
            let ready = now + self.drift.outlast(self.options.loan);
            return Stage::Lapse { ready };
        }
        Stage::Promises {
            written: now,
            promised: IndexSet::new(),
        }
    }

    pub(super) fn is_mine(&self, claim: &Claim) -> bool {
        claim.instance == self.me.instance && claim.incarnation == self.me.incarnation
    }

    /// Drops held slots that have a claim with a newer term.
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

    /// Drops held slots whose claims an operator removed from the store.
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

    /// Confirms the claims that a read returned, and activates those whose predecessors'
    /// confirmations and loans have lapsed.
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

    /// Applies the configured number of slots once every claim in the store shows that its holder
    /// knows the number.
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

    /// Advances each held slot: requests promises, waits for earlier holders to lapse, or rewrites
    /// the claim.
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

    pub(super) fn send_yield(&self, claim: &Claim, trial: bool, actions: &mut Vec<Action>) {
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

    /// Rewrites an active claim if the number of slots changed, the claim is not settled yet, or
    /// the slot is being released.
    fn rewrite(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let tenure = &self.tenures[index];
        let dropped = tenure.claim.slot.get() >= self.slots;
        let grown = tenure.cuts == [self.slots];
        if dropped && grown {
            self.tenures[index].stopping = true;
        }
        let tenure = &self.tenures[index];
        let recut = tenure.claim.slots != self.slots || !tenure.rewriting.is_empty();
        let recut = recut || !tenure.claim.settled;
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
            claim.settled = true;
        }
        let expect = Some(tenure.version);
        let slots = self.slots;
        let tenure = &mut self.tenures[index];
        tenure.rewritten = now;
        tenure.releasing |= tenure.stopping;
        if !tenure.stopping {
            tenure.rewriting.push(slots);
        }
        actions.push(Action::WriteClaim { claim, expect });
    }

    /// Whether all outgoing loans fit into the current base shares.
    fn fits(&self) -> bool {
        self.ledgers.values().all(|ledger| {
            let whole = Part::whole(ledger.budget);
            ledger.fits(base(&self.tenures, whole))
        })
    }

    pub(super) fn on_written(&mut self, claim: &Claim, version: u64, now: Instant) {
        let standing = Standing {
            claim: claim.clone(),
            version,
        };
        self.registry.learn_standing(&standing, now, now);
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
        self.adopt(&standing, now);
        self.read_soon = true;
    }

    pub(super) fn on_not_written(&mut self, slot: Slot, _now: Instant) {
        if self.writing.as_ref().is_some_and(|w| w.slot == slot) {
            self.writing = None;
        }
        self.read_soon = true;
    }
}
