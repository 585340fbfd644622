//! The state machine of one instance.

use sg_types::prelude::*;

use crate::{
    Action, Event,
    budget::{self, Budget, Exhausted},
    report,
};

/// Limits and periods of an engine. All instances of a fleet use the same.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a confirmation of a claim lasts, from the moment that it was asked for.
    pub validity: Span,
    /// How often the driver calls [`Engine::tick`].
    pub interval: Span,
    /// How long a loan lasts, from the moment that the borrower asked for it.
    pub loan: Span,
    /// The greatest error of an instance's clock rate.
    pub drift: Percent,
    /// The longest time without the store that vouching bridges.
    pub outage: Span,
    /// Spreads the contacts and delays of instances.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            validity: Span::from_secs(5),
            interval: Span::from_millis(250),
            loan: Span::from_secs(8),
            drift: Percent::from_ppm(10_000),
            outage: Span::from_secs(4 * 3600),
            seed: 0,
        }
    }
}

/// Another instance, as the membership has it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The instance.
    pub instance: id::Instance,
    /// Its run.
    pub incarnation: Incarnation,
}

/// Holds one instance's claims, shares and loans.
#[derive(Debug)]
pub struct Engine {
    _options: Options,
}

impl Engine {
    /// An engine without claims or budgets.
    #[must_use]
    pub fn new(
        _me: id::Instance,
        _incarnation: Incarnation,
        options: Options,
        _now: Instant,
    ) -> Self {
        Self { _options: options }
    }

    /// Puts the budgets and the number of slots of a revision in force. Older revisions are ignored.
    pub fn configure(
        &mut self,
        _revision: Revision,
        _slots: u32,
        _budgets: IndexMap<budget::Id, Budget>,
        _now: Instant,
    ) {
    }

    /// Tells which instances there may be. The list may be stale, doubled or incomplete.
    pub fn peers(&mut self, _peers: Vec<Peer>, _now: Instant) {}

    /// Does periodic work. To be called every [`Options::interval`].
    pub fn tick(&mut self, _now: Instant) -> Vec<Action> {
        Vec::new()
    }

    /// Does work that refused takes called for. To be called soon after [`Exhausted::may_borrow`].
    pub fn poll(&mut self, _now: Instant) -> Vec<Action> {
        Vec::new()
    }

    /// Handles what the driver reports.
    pub fn handle(&mut self, _event: Event, _now: Instant) -> Vec<Action> {
        Vec::new()
    }

    /// Begins a planned stop: hands the share on. Go on calling the other functions until
    /// [`Engine::has_left`] or the process's own deadline.
    pub fn leave(&mut self, _now: Instant) -> Vec<Action> {
        Vec::new()
    }

    /// Whether everything was handed on after [`Engine::leave`].
    #[must_use]
    pub fn has_left(&self) -> bool {
        true
    }

    /// Takes `units` of a budget.
    ///
    /// # Errors
    /// [`Exhausted`] if the share held here does not cover them now.
    pub fn take(&mut self, _id: &budget::Id, _units: u32, _now: Instant) -> Result<(), Exhausted> {
        Err(Exhausted {
            retry_after: Span::ZERO,
            may_borrow: false,
        })
    }

    /// Whether at least one claim is held and each is confirmed.
    #[must_use]
    pub fn is_confirmed(&self, _now: Instant) -> bool {
        false
    }

    /// The lowest slot held.
    #[must_use]
    pub fn slot(&self) -> Option<Slot> {
        None
    }

    /// What the engine holds.
    #[must_use]
    pub fn report(&self) -> report::Engine {
        report::Engine {
            confirmed: false,
            revision: Revision::default(),
            claims: Vec::new(),
            budgets: Vec::new(),
            counters: report::Counters::default(),
        }
    }
}
