//! The state of one budget at one instance: its token bucket and the loans given and received.
//!
//! The size of the bucket is the base share, minus outgoing loans, plus incoming loans. Tokens
//! accrue only by the rates of the same parts and never exceed the size. Each part has one user at
//! a time, so the buckets of all instances together never hold more than the budget's burst.

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

pub(crate) use borrowing::Loan;
pub(crate) use demand::Demand;
pub(crate) use lending::{Lender, Lent};

/// The nano-units in a millionth of a unit.
const NANOS: u64 = 1_000;
/// The minimum time after which a caller may try again.
const LEAST_RETRY: Span = Span::from_millis(1);
/// The maximum time after which a caller may try again.
const MOST_RETRY: Span = Span::from_secs(5);

/// The conditions that apply to all budgets of an engine at a given moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    /// Time until which the base share may be used.
    pub(crate) valid_until: Instant,
    /// Duration of a loan.
    pub(crate) loan: Span,
    /// Maximum error of the clocks.
    pub(crate) drift: Drift,
    /// Fault that a test injects.
    pub(crate) fault: Option<Fault>,
    /// Whether the instance is about to stop and returns everything that it borrowed.
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
    last: Instant,
    lent: Vec<Lent>,
    loans: Vec<Loan>,
    pub(crate) demand: Demand,
    /// Number of lenders that may still be asked in this round.
    asks_left: usize,
    /// Time of the newest request to a lender that was not a renewal or an answer to a nudge.
    asked: Instant,
    /// Whether the budget was removed from the settings. The ledger is kept until no part of it is
    /// lent.
    pub(crate) retired: bool,
    /// Number of violated invariants.
    pub(crate) violations: u64,
    /// Number of incoming loans that expired.
    pub(crate) expired: u64,
}

impl Ledger {
    pub(crate) fn new(budget: Budget, now: Instant) -> Self {
        Self {
            budget,
            base: Part::default(),
            tokens: 0,
            last: now,
            lent: Vec::new(),
            loans: Vec::new(),
            demand: Demand::default(),
            asks_left: 0,
            asked: Instant::START,
            retired: false,
            violations: 0,
            expired: 0,
        }
    }

    /// Accrues tokens up to `now`, removes expired loans and caps the tokens at the size of the
    /// bucket.
    pub(crate) fn settle(&mut self, now: Instant, terms: Terms) {
        if now > self.last {
            self.accrue(now, terms);
            self.last = now;
        }
        self.expire(now, terms);
        let cap = self.held(now, terms).burst.saturating_mul(NANOS);
        self.tokens = self.tokens.min(cap);
    }

    fn accrue(&mut self, now: Instant, terms: Terms) {
        let until = if terms.fault == Some(Fault::IgnoreValidity) {
            now
        } else {
            now.min(terms.valid_until)
        };
        let own = self.own(self.last).rate;
        let mut fresh = accrued(own, until.since(self.last), terms);
        for loan in &self.loans {
            let span = loan.end(now, terms.fault).since(self.last);
            fresh = fresh.saturating_add(accrued(loan.part.rate, span, terms));
        }
        self.tokens = self.tokens.saturating_add(fresh);
    }

    fn expire(&mut self, now: Instant, terms: Terms) {
        self.lent.retain(|lent| now < lent.until);
        if terms.fault == Some(Fault::IgnoreExpiry) {
            return;
        }
        for loan in &mut self.loans {
            self.expired += u64::from(loan.expire(now));
        }
    }

    /// Returns the base share minus the outgoing loans.
    fn own(&self, now: Instant) -> Part {
        self.base.minus(self.lent_part(now))
    }

    /// Returns the part that may be used at `now`.
    pub(crate) fn held(&self, now: Instant, terms: Terms) -> Part {
        let valid = now < terms.valid_until || terms.fault == Some(Fault::IgnoreValidity);
        let own = if valid {
            self.own(now)
        } else {
            Part::default()
        };
        own.plus(self.borrowed(now, terms))
    }

    /// Changes the base share. Loans that the old base share allowed stay lent until they expire.
    pub(crate) fn rebase(&mut self, base: Part, now: Instant, terms: Terms) {
        if base == self.base {
            return;
        }
        self.settle(now, terms);
        self.base = base;
        self.settle(now, terms);
    }

    /// Whether the outgoing loans fit into the given base share.
    pub(crate) fn fits(&self, base: Part) -> bool {
        self.lent_part(self.last).fits(base)
    }

    /// Takes `units`, or returns when to try again.
    pub(crate) fn take(&mut self, units: u32, now: Instant, terms: Terms) -> Result<(), Exhausted> {
        self.settle(now, terms);
        self.demand.ask(units, now);
        let want = u64::from(units) * rate::MICRO * NANOS;
        if let Some(left) = self.tokens.checked_sub(want) {
            self.tokens = left;
            self.demand.admit();
            return Ok(());
        }
        self.demand.refuse(units, now);
        Err(self.exhausted(units, now, terms))
    }

    /// Checks whether [`Self::take`] would succeed now, without taking units or recording demand.
    pub(crate) fn peek(&mut self, units: u32, now: Instant, terms: Terms) -> Result<(), Exhausted> {
        self.settle(now, terms);
        if self.tokens >= u64::from(units) * rate::MICRO * NANOS {
            return Ok(());
        }
        Err(self.exhausted(units, now, terms))
    }

    fn exhausted(&self, units: u32, now: Instant, terms: Terms) -> Exhausted {
        let want = u64::from(units) * rate::MICRO * NANOS;
        Exhausted {
            retry_after: self.retry_after(want, now, terms),
            may_borrow: units <= self.budget.burst && self.may_borrow(now, terms),
        }
    }

    fn retry_after(&self, want: u64, now: Instant, terms: Terms) -> Span {
        let held = self.held(now, terms);
        let cap = held.burst.saturating_mul(NANOS);
        if held.rate == 0 || cap < want {
            return self.fleet_retry();
        }
        let missing = want.saturating_sub(self.tokens) as f64 / NANOS as f64;
        let span = Span::from_secs(1).mul_f64(missing / held.rate as f64);
        span.clamp(LEAST_RETRY, MOST_RETRY)
    }

    /// Returns the time in which the whole fleet accrues one more unit.
    fn fleet_retry(&self) -> Span {
        let rate = self.budget.rate.as_f64();
        if rate <= 0.0 {
            return MOST_RETRY;
        }
        Span::from_secs(1)
            .mul_f64(1.0 / rate)
            .clamp(LEAST_RETRY, MOST_RETRY)
    }

    /// Whether the budget was removed and no part of it is lent.
    pub(crate) fn is_over(&self) -> bool {
        self.retired && self.lent.is_empty()
    }

    pub(crate) fn report(&self, id: &crate::budget::Id, terms: Terms) -> report::Budget {
        let held = self.held(self.last, terms);
        report::Budget {
            id: id.clone(),
            rate: Rate::from_micros(held.rate),
            burst_micros: held.burst,
            tokens_micros: self.tokens / NANOS,
            lent: Rate::from_micros(self.lent_part(self.last).rate),
            borrowed: Rate::from_micros(self.borrowed(self.last, terms).rate),
        }
    }

    /// Whether `peer` is a borrower or a lender of this budget.
    pub(crate) fn involves(&self, peer: &Peer) -> bool {
        self.lent.iter().any(|lent| lent.to == *peer)
            || self.loans.iter().any(|loan| loan.from == *peer)
    }
}

fn accrued(rate: u64, span: Span, terms: Terms) -> u64 {
    if terms.fault == Some(Fault::IgnoreDrift) {
        return Drift::new(Percent::ZERO).accrue(rate, span);
    }
    terms.drift.accrue(rate, span)
}
