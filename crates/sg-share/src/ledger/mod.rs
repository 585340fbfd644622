//! The state of one budget at one instance: its token bucket and the loans given and received.
//!
//! The size of the bucket is the base share, minus outgoing loans, plus incoming loans. Tokens
//! accrue only by the rates of these parts and never exceed the size. Only one instance uses a part
//! at a time, so the buckets of all instances together never hold more than the budget's burst.

mod borrowing;
mod demand;
mod lending;

use sg_types::prelude::*;

use crate::{
    Budget,
    budget::Exhausted,
    drift::Drift,
    engine::{Fault, Peer},
    part::Part,
    report,
};

pub(crate) use borrowing::IncomingLoan;
pub(crate) use demand::Demand;
pub(crate) use lending::{Lender, OutgoingLoan};

/// The nano-units in a millionth of a unit.
const NANOS_PER_MICRO: u64 = 1_000;
/// The minimum time after which a caller may try again.
const MIN_RETRY_AFTER: Span = Span::from_millis(1);
/// The maximum time after which a caller may try again.
const MAX_RETRY_AFTER: Span = Span::from_secs(5);

/// The conditions that apply to all budgets of an engine at a given moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Context {
    /// Time until which the base share may be used.
    pub(crate) valid_until: Instant,
    /// Duration of a loan.
    pub(crate) loan: Span,
    /// Maximum error of a clock's rate.
    pub(crate) drift: Drift,
    /// Fault that a test injects.
    pub(crate) fault: Option<Fault>,
    /// Whether the instance is about to stop and therefore returns all loans.
    pub(crate) leaving: bool,
}

/// The state of one budget at one instance.
#[derive(Debug)]
pub(crate) struct Ledger {
    pub(crate) budget: Budget,
    /// Base share of the slots that this instance holds.
    base: Part,
    /// Nano-units in the bucket.
    tokens: u64,
    /// Time up to which tokens have accrued.
    settled_at: Instant,
    outgoing: Vec<OutgoingLoan>,
    incoming: Vec<IncomingLoan>,
    pub(crate) demand: Demand,
    /// Number of lenders that may still be asked for a larger loan in this round.
    remaining_requests: usize,
    /// Time at which a lender was last asked for a larger loan.
    asked_at: Instant,
    /// Whether the budget was removed from the settings. The ledger is kept until no part of it is
    /// lent.
    pub(crate) retired: bool,
    /// Number of violated invariants.
    pub(crate) violations: u64,
    /// Number of incoming loans that expired.
    pub(crate) expired_loans: u64,
}

impl Ledger {
    pub(crate) fn new(budget: Budget, now: Instant) -> Self {
        Self {
            budget,
            base: Part::default(),
            tokens: 0,
            settled_at: now,
            outgoing: Vec::new(),
            incoming: Vec::new(),
            demand: Demand::default(),
            remaining_requests: 0,
            asked_at: Instant::START,
            retired: false,
            violations: 0,
            expired_loans: 0,
        }
    }

    /// Accrues tokens up to `now`, removes expired loans and caps the tokens at the size of the
    /// bucket.
    pub(crate) fn settle(&mut self, now: Instant, context: Context) {
        if now > self.settled_at {
            self.accrue(now, context);
            self.settled_at = now;
        }
        self.expire(now, context);
        let cap = self
            .held(now, context)
            .burst
            .saturating_mul(NANOS_PER_MICRO);
        self.tokens = self.tokens.min(cap);
    }

    fn accrue(&mut self, now: Instant, context: Context) {
        let until = if context.fault == Some(Fault::IgnoreValidity) {
            now
        } else {
            now.min(context.valid_until)
        };
        let own_rate = self.own_part(self.settled_at).rate;
        let mut new_tokens = accrued(own_rate, until.since(self.settled_at), context);
        for loan in &self.incoming {
            let span = loan.usable_until(now, context.fault).since(self.settled_at);
            new_tokens = new_tokens.saturating_add(accrued(loan.part.rate, span, context));
        }
        self.tokens = self.tokens.saturating_add(new_tokens);
    }

    fn expire(&mut self, now: Instant, context: Context) {
        self.outgoing.retain(|loan| now < loan.expires_at);
        if context.fault == Some(Fault::IgnoreExpiry) {
            return;
        }
        for loan in &mut self.incoming {
            self.expired_loans += u64::from(loan.expire(now));
        }
    }

    /// Returns the base share minus the outgoing loans.
    fn own_part(&self, now: Instant) -> Part {
        self.base.saturating_sub(self.lent_part(now))
    }

    /// Returns the part that may be used at `now`.
    pub(crate) fn held(&self, now: Instant, context: Context) -> Part {
        let valid = now < context.valid_until || context.fault == Some(Fault::IgnoreValidity);
        let own = if valid {
            self.own_part(now)
        } else {
            Part::default()
        };
        own.saturating_add(self.borrowed_part(now, context))
    }

    /// Changes the base share. Outgoing loans stay lent until they expire, even if the new base share
    /// no longer covers them.
    pub(crate) fn set_base(&mut self, base: Part, now: Instant, context: Context) {
        if base == self.base {
            return;
        }
        self.settle(now, context);
        self.base = base;
        self.settle(now, context);
    }

    /// Whether the outgoing loans fit into the given base share.
    pub(crate) fn lent_fits(&self, base: Part) -> bool {
        self.lent_part(self.settled_at).fits_within(base)
    }

    /// Takes `units`, or returns the time after which the caller may try again.
    pub(crate) fn take(
        &mut self,
        units: u32,
        now: Instant,
        context: Context,
    ) -> Result<(), Exhausted> {
        self.settle(now, context);
        self.demand.record_request(units, now);
        let needed = u64::from(units) * rate::MICRO * NANOS_PER_MICRO;
        if let Some(remaining) = self.tokens.checked_sub(needed) {
            self.tokens = remaining;
            self.demand.record_admission();
            return Ok(());
        }
        self.demand.record_refusal(units, now);
        Err(self.exhausted(units, now, context))
    }

    /// Checks whether [`Self::take`] would succeed now, without taking units or recording demand.
    pub(crate) fn peek(
        &mut self,
        units: u32,
        now: Instant,
        context: Context,
    ) -> Result<(), Exhausted> {
        self.settle(now, context);
        if self.tokens >= u64::from(units) * rate::MICRO * NANOS_PER_MICRO {
            return Ok(());
        }
        Err(self.exhausted(units, now, context))
    }

    fn exhausted(&self, units: u32, now: Instant, context: Context) -> Exhausted {
        let needed = u64::from(units) * rate::MICRO * NANOS_PER_MICRO;
        Exhausted {
            retry_after: self.retry_after(needed, now, context),
            may_borrow: units <= self.budget.burst && self.may_borrow(now, context),
        }
    }

    fn retry_after(&self, needed: u64, now: Instant, context: Context) -> Span {
        let held = self.held(now, context);
        let cap = held.burst.saturating_mul(NANOS_PER_MICRO);
        if held.rate == 0 || cap < needed {
            return self.fleet_unit_interval();
        }
        let missing = needed.saturating_sub(self.tokens) as f64 / NANOS_PER_MICRO as f64;
        let span = Span::from_secs(1).mul_f64(missing / held.rate as f64);
        span.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the time in which the fleet accrues one unit of the budget.
    fn fleet_unit_interval(&self) -> Span {
        let rate = self.budget.rate.as_f64();
        if rate <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        Span::from_secs(1)
            .mul_f64(1.0 / rate)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Whether the budget was removed and no part of it is lent.
    pub(crate) fn is_finished(&self) -> bool {
        self.retired && self.outgoing.is_empty()
    }

    pub(crate) fn report(&self, id: &crate::budget::Id, context: Context) -> report::Budget {
        let held = self.held(self.settled_at, context);
        report::Budget {
            id: id.clone(),
            rate: Rate::from_micros(held.rate),
            burst_micros: held.burst,
            tokens_micros: self.tokens / NANOS_PER_MICRO,
            lent: Rate::from_micros(self.lent_part(self.settled_at).rate),
            borrowed: Rate::from_micros(self.borrowed_part(self.settled_at, context).rate),
        }
    }

    /// Whether `peer` is a borrower or a lender of this budget.
    pub(crate) fn involves(&self, peer: &Peer) -> bool {
        self.outgoing.iter().any(|loan| loan.to == *peer)
            || self.incoming.iter().any(|loan| loan.from == *peer)
    }
}

fn accrued(rate: u64, span: Span, context: Context) -> u64 {
    if context.fault == Some(Fault::IgnoreDrift) {
        return Drift::new(Percent::ZERO).accrue(rate, span);
    }
    context.drift.accrue(rate, span)
}
