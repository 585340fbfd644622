//! The state machine of one instance: claims, vouching, and the share of every budget.

mod claiming;
mod moving;
mod options;
mod state;
mod takeover;
mod vouching;

use sg_types::prelude::*;

use crate::{
    Action, Event, Message,
    budget::{self, Budget, Exhausted},
    drift::Drift,
    ledger::{Ledger, Terms},
    panel,
    part::Part,
    registry::Registry,
    report,
    tenure::Tenure,
};

pub use options::{Fault, Options};

/// Runs that were silent for this long are forgotten.
const FORGET: Span = Span::from_secs(600);
/// The shortest time between rounds of requests that refused takes call for.
const POLL_GAP: Span = Span::from_millis(10);
/// The budget of a ledger that was removed from the settings.
const NOTHING: Budget = Budget {
    rate: Rate::ZERO,
    burst: 0,
};
/// Requests whose sending times are remembered.
const REMEMBERED: usize = 16;

/// Another instance, as the membership has it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The instance.
    pub instance: id::Instance,
    /// Its run.
    pub incarnation: Incarnation,
}

/// A request that was sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    number: u64,
    at: Instant,
}

/// Holds one instance's claims, shares and loans.
#[derive(Debug)]
pub struct Engine {
    me: Peer,
    options: Options,
    drift: Drift,
    /// The revision in force, and the number of slots that it cuts budgets into.
    revision: Revision,
    slots: u32,
    ledgers: IndexMap<budget::Id, Ledger>,
    tenures: Vec<Tenure>,
    registry: Registry,
    members: IndexSet<id::Instance>,
    contacts: IndexMap<id::Instance, moving::Contact>,
    /// The newest request handled of each borrower.
    orders: IndexMap<Peer, u64>,
    /// When borrowers were last nudged.
    nudges: IndexMap<id::Instance, Instant>,
    started: Instant,
    /// Until when all claims in use are confirmed.
    valid_until: Instant,
    number: u64,
    confirms: std::collections::VecDeque<Sent>,
    confirmed_at: Option<Instant>,
    read_at: Option<Instant>,
    read_soon: bool,
    trial: Option<takeover::Trial>,
    writing: Option<claiming::Writing>,
    sought_at: Instant,
    leaving: bool,
    /// Whether a take was refused that a loan may help.
    pressed: bool,
    polled: Option<Instant>,
    counters: report::Counters,
}

impl Engine {
    /// An engine without claims or budgets.
    #[must_use]
    pub fn new(me: id::Instance, incarnation: Incarnation, options: Options, now: Instant) -> Self {
        // Numbers of requests start at a place of the run's own and stay exact in JSON.
        const NUMBER_BITS: u64 = (1 << 40) - 1;
        Self {
            drift: Drift::new(options.drift),
            number: incarnation.get() & NUMBER_BITS,
            me: Peer {
                instance: me,
                incarnation,
            },
            options,
            revision: Revision::default(),
            slots: 0,
            ledgers: IndexMap::new(),
            tenures: Vec::new(),
            registry: Registry::default(),
            members: IndexSet::new(),
            contacts: IndexMap::new(),
            orders: IndexMap::new(),
            nudges: IndexMap::new(),
            started: now,
            valid_until: Instant::START,
            confirms: std::collections::VecDeque::new(),
            confirmed_at: None,
            read_at: None,
            read_soon: true,
            trial: None,
            writing: None,
            sought_at: now,
            leaving: false,
            pressed: false,
            polled: None,
            counters: report::Counters::default(),
        }
    }

    /// Puts the budgets and the number of slots of a revision in force. Older revisions are ignored.
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
        self.recut(slots);
        let terms = self.terms();
        for (_, ledger) in self
            .ledgers
            .iter_mut()
            .filter(|(id, _)| !budgets.contains_key(*id))
        {
            ledger.settle(now, terms);
            ledger.budget = NOTHING;
            ledger.retired = true;
        }
        for (id, budget) in budgets {
            let ledger = self
                .ledgers
                .entry(id)
                .or_insert_with(|| Ledger::new(budget, now));
            ledger.settle(now, terms);
            ledger.budget = budget;
            ledger.retired = false;
        }
        self.rebase(now);
    }

    /// Until all claims say that their holders know the new number, the lesser share holds.
    fn recut(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        let at_once = self.options.fault == Some(Fault::GrowAtOnce);
        for tenure in &mut self.tenures {
            if at_once {
                tenure.cuts.clear();
            }
            if at_once || !tenure.cuts.is_empty() {
                tenure.cuts.push(slots);
            }
        }
    }

    /// Tells which instances there may be. The list may be stale, doubled or incomplete.
    pub fn peers(&mut self, peers: Vec<Peer>, _now: Instant) {
        self.members = peers.into_iter().map(|peer| peer.instance).collect();
        self.members.shift_remove(&self.me.instance);
        self.reconnect();
    }

    /// Does periodic work. To be called every [`Options::interval`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.registry.prune(FORGET, now);
        self.vote_for_self(now);
        self.refresh(now);
        self.read(now, &mut actions);
        self.advance(now, &mut actions);
        self.claim(now, &mut actions);
        self.confirm(now, &mut actions);
        self.move_share(now, &mut actions);
        self.refresh(now);
        self.ledgers.retain(|_, ledger| !ledger.is_over());
        actions
    }

    /// Does work that refused takes called for. To be called when [`Exhausted::may_borrow`] is set;
    /// calls that come at once are cheap.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_soon = self.polled.is_some_and(|last| now.since(last) < POLL_GAP);
        if self.pressed && !is_soon {
            self.pressed = false;
            self.polled = Some(now);
            self.request_all(now, &mut actions);
            self.nudge_all(now, &mut actions);
        }
        actions
    }

    /// Handles what the driver reports.
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
        self.refresh(now);
        if self.read_soon {
            self.read(now, &mut actions);
        }
        actions
    }

    fn receive(&mut self, from: &Peer, message: Message, now: Instant, actions: &mut Vec<Action>) {
        if from.instance == self.me.instance {
            self.counters.stale_messages += 1;
            return;
        }
        self.registry.hear(from, now);
        match message {
            Message::Confirm { n, s } => self.on_confirm(from, n, &s, now, actions),
            Message::Vouch { n, s, v, x } => self.on_vouch(n, &s, &v, &x, now),
            Message::Yield { c, trial } => self.on_yield(from, &c, trial, now, actions),
            Message::Yielded { s, trial, v } => self.on_yielded(s, trial, &v),
            Message::Borrow { n, l } => self.on_borrow(from, n, &l, now, actions),
            Message::Lend { n, l } => self.on_lend(from, n, &l, now, actions),
            Message::Nudge { b } => self.on_nudge(from, b, now, actions),
            Message::Seek => self.on_seek(now),
        }
    }

    /// Begins a planned stop: hands the share on. Go on calling the other functions until
    /// [`Engine::has_left`] or the process's own deadline.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.leaving = true;
        for tenure in &mut self.tenures {
            tenure.stopping = true;
        }
        self.rebase(now);
        self.tick(now)
    }

    /// Whether everything was handed on after [`Engine::leave`].
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.leaving && self.tenures.is_empty()
    }

    /// Takes `units` of a budget. Allocates nothing.
    ///
    /// # Errors
    /// [`Exhausted`] if the share held here does not cover them now.
    pub fn take(&mut self, id: &budget::Id, units: u32, now: Instant) -> Result<(), Exhausted> {
        const RETRY: Span = Span::from_secs(1);
        let terms = self.terms();
        let ledger = self.ledgers.get_mut(id).filter(|ledger| !ledger.retired);
        let Some(ledger) = ledger else {
            self.counters.refused_unknown += 1;
            return Err(Exhausted {
                retry_after: RETRY,
                may_borrow: false,
            });
        };
        let taken = ledger.take(units, now, terms);
        match &taken {
            Ok(()) => self.counters.admitted += u64::from(units),
            Err(exhausted) => {
                self.pressed |= exhausted.may_borrow;
                let reason = if units > ledger.budget.burst {
                    &mut self.counters.refused_oversized
                } else if ledger.held(now, terms).is_empty() {
                    &mut self.counters.refused_unconfirmed
                } else {
                    &mut self.counters.refused_exhausted
                };
                *reason += 1;
            }
        }
        taken
    }

    /// Tells whether [`Engine::take`] would refuse now, and takes nothing. A refusal without hope of
    /// a loan is counted like one of `take`, since the request ends with it.
    ///
    /// # Errors
    /// [`Exhausted`] if the share held here does not cover the units now.
    pub fn peek(&mut self, id: &budget::Id, units: u32, now: Instant) -> Result<(), Exhausted> {
        let terms = self.terms();
        let ledger = self.ledgers.get_mut(id).filter(|ledger| !ledger.retired);
        match ledger.map(|ledger| ledger.peek(units, now, terms)) {
            Some(Ok(())) => Ok(()),
            Some(Err(exhausted)) if exhausted.may_borrow => Err(exhausted),
            _ => self.take(id, units, now),
        }
    }

    fn terms(&self) -> Terms {
        Terms {
            valid_until: self.valid_until,
            loan: self.options.loan,
            drift: self.drift,
            fault: self.options.fault,
            leaving: self.leaving,
        }
    }

    /// The next number of a request.
    fn next(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Puts the base shares of the slots in use in force.
    fn rebase(&mut self, now: Instant) {
        let terms = self.terms();
        for ledger in self.ledgers.values_mut() {
            let whole = Part::whole(ledger.budget);
            let base = base(&self.tenures, whole);
            ledger.rebase(base, now, terms);
        }
    }

    /// Renews or ends the validity of the base shares. Tokens up to now follow the old one.
    fn refresh(&mut self, now: Instant) {
        let validity = self.options.validity;
        let outage = self.options.outage;
        let until = self
            .tenures
            .iter()
            .filter(|tenure| tenure.is_active())
            .map(|tenure| tenure.until(validity, outage))
            .min()
            .unwrap_or(Instant::START);
        if until == self.valid_until {
            return;
        }
        let terms = self.terms();
        for ledger in self.ledgers.values_mut() {
            ledger.settle(now, terms);
        }
        self.valid_until = until;
    }

    /// Chooses the peers to ask for share anew: holders of slots, or anyone while none is known.
    fn reconnect(&mut self) {
        let holders = self.registry.holders().cloned();
        let mut members: IndexSet<_> = holders
            .filter(|holder| *holder != self.me.instance)
            .collect();
        if members.is_empty() {
            members.clone_from(&self.members);
        }
        let chosen = panel::contacts(&self.me.instance, members, self.options.seed);
        self.contacts.retain(|contact, _| chosen.contains(contact));
        for instance in chosen {
            self.contacts.entry(instance).or_default();
        }
        let contacts = &self.contacts;
        for ledger in self.ledgers.values_mut() {
            ledger.forget(|lender| contacts.contains_key(&lender.instance));
        }
    }
}

/// The shares of all slots in use together.
fn base(tenures: &[Tenure], whole: Part) -> Part {
    tenures
        .iter()
        .map(|tenure| tenure.share(whole))
        .fold(Part::default(), Part::plus)
}
