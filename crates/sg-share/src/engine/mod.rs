//! The state machine of one instance: its claims, and its share of every budget.

mod claims;
mod loans;
mod options;
mod state;
mod takeover;
mod vouching;

use sg_types::prelude::*;

use crate::{
    Action, Event, Message,
    budget::{self, Budget, Exhausted},
    drift::Drift,
    held_slot::HeldSlot,
    ledger::{Context, Ledger},
    panel,
    part::Part,
    registry::Registry,
    report,
};

pub use options::{Fault, Options};

/// The time after which a silent peer's incarnation is forgotten.
const PEER_RETENTION: Span = Span::from_secs(600);
/// The minimum time between rounds of requests that refused takes trigger.
const MIN_POLL_INTERVAL: Span = Span::from_millis(10);
/// The budget of a ledger after its budget was removed from the settings.
const EMPTY_BUDGET: Budget = Budget {
    rate: Rate::ZERO,
    burst: 0,
};
/// The number of confirmation requests whose sending times are kept.
const MAX_SENT_CONFIRMS: usize = 16;

/// Another instance of the fleet, as reported by the membership.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// The number and sending time of a request.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: u64,
    at: Instant,
}

/// The claims, shares and loans of one instance.
#[derive(Debug)]
pub struct Engine {
    local: Peer,
    options: Options,
    drift: Drift,
    /// Revision of the settings in force.
    revision: Revision,
    /// Number of slots into which the revision divides budgets.
    slots: u32,
    ledgers: IndexMap<budget::Id, Ledger>,
    held_slots: Vec<HeldSlot>,
    registry: Registry,
    members: IndexSet<id::Instance>,
    contacts: IndexMap<id::Instance, loans::Contact>,
    /// Number of the newest request that was handled for each borrower.
    newest_requests: IndexMap<Peer, u64>,
    /// Time of the newest [`Message::Nudge`] to each borrower.
    nudged_at: IndexMap<id::Instance, Instant>,
    started: Instant,
    /// Time at which the first of the active claims loses its confirmation.
    valid_until: Instant,
    last_request_number: u64,
    sent_confirms: std::collections::VecDeque<SentRequest>,
    confirms_sent_at: Option<Instant>,
    read_sent_at: Option<Instant>,
    read_requested: bool,
    trial: Option<takeover::Trial>,
    pending_write: Option<claims::PendingWrite>,
    slot_requested_at: Instant,
    leaving: bool,
    /// Whether, since the last poll, a take was refused that could succeed after a loan.
    poll_requested: bool,
    polled_at: Option<Instant>,
    counters: report::Counters,
}

impl Engine {
    /// Creates an engine without claims or budgets.
    #[must_use]
    pub fn new(me: id::Instance, incarnation: Incarnation, options: Options, now: Instant) -> Self {
        // Request numbers of different incarnations start at different values. The start has 40
        // bits, so that numbers are represented exactly in JSON.
        const NUMBER_MASK: u64 = (1 << 40) - 1;
        Self {
            drift: Drift::new(options.drift),
            last_request_number: incarnation.get() & NUMBER_MASK,
            local: Peer {
                instance: me,
                incarnation,
            },
            options,
            revision: Revision::default(),
            slots: 0,
            ledgers: IndexMap::new(),
            held_slots: Vec::new(),
            registry: Registry::default(),
            members: IndexSet::new(),
            contacts: IndexMap::new(),
            newest_requests: IndexMap::new(),
            nudged_at: IndexMap::new(),
            started: now,
            valid_until: Instant::START,
            sent_confirms: std::collections::VecDeque::new(),
            confirms_sent_at: None,
            read_sent_at: None,
            read_requested: true,
            trial: None,
            pending_write: None,
            slot_requested_at: now,
            leaving: false,
            poll_requested: false,
            polled_at: None,
            counters: report::Counters::default(),
        }
    }

    /// Applies the budgets and the number of slots of a revision. Older revisions are ignored.
    pub fn configure(
        &mut self,
        revision: Revision,
        slots: u32,
        budgets: IndexMap<budget::Id, Budget>,
        now: Instant,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.set_slot_count(slots);
        let context = self.ledger_context();
        for (_, ledger) in self
            .ledgers
            .iter_mut()
            .filter(|(id, _)| !budgets.contains_key(*id))
        {
            ledger.settle(now, context);
            ledger.budget = EMPTY_BUDGET;
            ledger.retired = true;
        }
        for (id, budget) in budgets {
            let ledger = self
                .ledgers
                .entry(id)
                .or_insert_with(|| Ledger::new(budget, now));
            ledger.settle(now, context);
            ledger.budget = budget;
            ledger.retired = false;
        }
        self.update_base_shares(now);
    }

    /// Records a new number of slots. Until all claims in the store carry the new number, each held
    /// slot uses the smallest of its shares by the old and the new numbers.
    fn set_slot_count(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        let at_once = self.options.fault == Some(Fault::GrowAtOnce);
        for held_slot in &mut self.held_slots {
            if at_once {
                held_slot.slot_counts.clear();
            }
            if at_once || !held_slot.slot_counts.is_empty() {
                held_slot.slot_counts.push(slots);
            }
        }
    }

    /// Sets the instances that may be part of the fleet. The list may be outdated, incomplete or
    /// contain duplicates.
    pub fn set_peers(&mut self, peers: Vec<Peer>, _now: Instant) {
        self.members = peers.into_iter().map(|peer| peer.instance).collect();
        self.members.shift_remove(&self.local.instance);
        self.update_contacts();
    }

    /// Performs periodic work. The driver calls this function every [`Options::interval`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.registry.prune(PEER_RETENTION, now);
        self.record_own_votes(now);
        self.update_validity(now);
        self.request_read(now, &mut actions);
        self.advance_claims(now, &mut actions);
        self.claim_slot(now, &mut actions);
        self.send_confirms(now, &mut actions);
        self.update_loans(now, &mut actions);
        self.update_validity(now);
        self.ledgers.retain(|_, ledger| !ledger.is_finished());
        actions
    }

    /// Requests loans after a refused take. The driver calls this function when
    /// [`Exhausted::may_borrow`] is set; repeated calls within a few milliseconds do nothing.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_too_soon = self
            .polled_at
            .is_some_and(|last| now.since(last) < MIN_POLL_INTERVAL);
        if self.poll_requested && !is_too_soon {
            self.poll_requested = false;
            self.polled_at = Some(now);
            self.request_loans(now, &mut actions);
            self.nudge_borrowers(now, &mut actions);
        }
        actions
    }

    /// Handles an event that the driver reports.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Message {
                from,
                incarnation,
                message,
            } => {
                let from = Peer {
                    instance: from,
                    incarnation,
                };
                self.receive(&from, message, now, &mut actions);
            }
            Event::Claims { sent, claims } => self.on_claims(sent, &claims, now),
            Event::Written { claim, version, .. } => self.on_written(&claim, version, now),
            Event::NotWritten { slot } => self.on_not_written(slot, now),
        }
        self.update_validity(now);
        if self.read_requested {
            self.request_read(now, &mut actions);
        }
        actions
    }

    fn receive(&mut self, from: &Peer, message: Message, now: Instant, actions: &mut Vec<Action>) {
        if from.instance == self.local.instance {
            self.counters.stale_messages += 1;
            return;
        }
        self.registry.record_message(from, now);
        match message {
            Message::Confirm { request, claims } => {
                self.on_confirm(from, request, &claims, now, actions);
            }
            Message::Vouch {
                request,
                claims,
                votes,
                newer_claims,
            } => self.on_vouch(request, &claims, &votes, &newer_claims, now),
            Message::Yield { claim, trial } => self.on_yield(from, &claim, trial, now, actions),
            Message::Yielded {
                claim,
                trial,
                votes,
            } => self.on_yielded(claim, trial, &votes),
            Message::Borrow { request, loans } => {
                self.on_borrow(from, request, &loans, now, actions);
            }
            Message::Lend { request, loans } => self.on_lend(from, request, &loans, now, actions),
            Message::Nudge { budgets } => self.on_nudge(from, budgets, now, actions),
            Message::Seek => self.on_seek(now),
        }
    }

    /// Begins a graceful stop, which releases all slots to the remaining instances. The driver
    /// continues to call the other functions until [`Engine::has_left`] returns `true` or the stop
    /// deadline of the process is reached.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.leaving = true;
        for held_slot in &mut self.held_slots {
            held_slot.releasing = true;
        }
        self.update_base_shares(now);
        self.tick(now)
    }

    /// Whether all slots have been released after [`Engine::leave`].
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.leaving && self.held_slots.is_empty()
    }

    /// Takes `units` of a budget. This function allocates no memory.
    ///
    /// # Errors
    /// Returns [`Exhausted`] if the share of this instance does not cover the units now.
    pub fn take(&mut self, id: &budget::Id, units: u32, now: Instant) -> Result<(), Exhausted> {
        const UNKNOWN_RETRY_AFTER: Span = Span::from_secs(1);
        let context = self.ledger_context();
        let ledger = self.ledgers.get_mut(id).filter(|ledger| !ledger.retired);
        let Some(ledger) = ledger else {
            self.counters.refused_unknown += 1;
            return Err(Exhausted {
                retry_after: UNKNOWN_RETRY_AFTER,
                may_borrow: false,
            });
        };
        let taken = ledger.take(units, now, context);
        match &taken {
            Ok(()) => self.counters.admitted += u64::from(units),
            Err(exhausted) => {
                self.poll_requested |= exhausted.may_borrow;
                let reason = if units > ledger.budget.burst {
                    &mut self.counters.refused_oversized
                } else if ledger.held(now, context).is_empty() {
                    &mut self.counters.refused_unconfirmed
                } else {
                    &mut self.counters.refused_exhausted
                };
                *reason += 1;
            }
        }
        taken
    }

    /// Checks whether [`Engine::take`] would succeed now, without taking units. A refusal that no
    /// loan can avert ends the request, so it is counted like a refusal of `take`.
    ///
    /// # Errors
    /// Returns [`Exhausted`] if the share of this instance does not cover the units now.
    pub fn peek(&mut self, id: &budget::Id, units: u32, now: Instant) -> Result<(), Exhausted> {
        let context = self.ledger_context();
        let ledger = self.ledgers.get_mut(id).filter(|ledger| !ledger.retired);
        match ledger.map(|ledger| ledger.peek(units, now, context)) {
            Some(Ok(())) => Ok(()),
            Some(Err(exhausted)) if exhausted.may_borrow => Err(exhausted),
            _ => self.take(id, units, now),
        }
    }

    fn ledger_context(&self) -> Context {
        Context {
            valid_until: self.valid_until,
            loan: self.options.loan,
            drift: self.drift,
            fault: self.options.fault,
            leaving: self.leaving,
        }
    }

    /// Increments and returns the number of the newest request.
    fn next_request_number(&mut self) -> u64 {
        self.last_request_number += 1;
        self.last_request_number
    }

    /// Updates the base share of every ledger from the active slots.
    fn update_base_shares(&mut self, now: Instant) {
        let context = self.ledger_context();
        for ledger in self.ledgers.values_mut() {
            let whole = Part::whole(ledger.budget);
            let base = base_share(&self.held_slots, whole);
            ledger.set_base(base, now, context);
        }
    }

    /// Updates the time until which the base shares are valid. Tokens accrue up to `now` by the
    /// previous value first.
    fn update_validity(&mut self, now: Instant) {
        let validity = self.options.validity;
        let outage = self.options.outage;
        let until = self
            .held_slots
            .iter()
            .filter(|held_slot| held_slot.is_active())
            .map(|held_slot| held_slot.valid_until(validity, outage))
            .min()
            .unwrap_or(Instant::START);
        if until == self.valid_until {
            return;
        }
        let context = self.ledger_context();
        for ledger in self.ledgers.values_mut() {
            ledger.settle(now, context);
        }
        self.valid_until = until;
    }

    /// Chooses the peers to borrow from: holders of slots, or any member while no other holder is
    /// known.
    fn update_contacts(&mut self) {
        let holders = self.registry.holders().cloned();
        let mut members: IndexSet<_> = holders
            .filter(|holder| *holder != self.local.instance)
            .collect();
        if members.is_empty() {
            members.clone_from(&self.members);
        }
        let chosen = panel::contacts(&self.local.instance, members, self.options.seed);
        self.contacts.retain(|contact, _| chosen.contains(contact));
        for instance in chosen {
            self.contacts.entry(instance).or_default();
        }
        let contacts = &self.contacts;
        for ledger in self.ledgers.values_mut() {
            ledger.forget_lenders(|lender| contacts.contains_key(&lender.instance));
        }
    }
}

/// Returns the sum of the shares of all slots in use.
fn base_share(held_slots: &[HeldSlot], whole: Part) -> Part {
    held_slots
        .iter()
        .map(|held_slot| held_slot.share(whole))
        .fold(Part::default(), Part::saturating_add)
}
