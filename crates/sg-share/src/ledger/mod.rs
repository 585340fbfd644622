//! One budget at one instance: its token bucket, what is lent out and what is borrowed.
//!
//! The bucket's size is the base share less what is lent plus what is borrowed. Tokens come from
//! the rate of the same parts only; they never exceed the bucket. Each part has one user at a time,
//! so the buckets of all instances never hold more than the budget's burst together.

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

/// Nano-units in a millionth of a unit.
const NANOS: u64 = 1_000;
/// The shortest time after which a caller is told to try again.
const LEAST_RETRY: Span = Span::from_millis(1);
/// The longest time after which a caller is told to try again.
const MOST_RETRY: Span = Span::from_secs(5);

/// What holds for all budgets of an engine at a moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    /// Until when the base share may be used.
    pub(crate) valid_until: Instant,
    /// How long a loan lasts.
    pub(crate) loan: Span,
    /// The error of clocks.
    pub(crate) drift: Drift,
    /// The fault that a test switched on.
    pub(crate) fault: Option<Fault>,
    /// Whether the instance is about to stop and gives back all that it borrowed.
    pub(crate) leaving: bool,
}

/// One budget at one instance.
#[derive(Debug)]
pub(crate) struct Ledger {
    pub(crate) budget: Budget,
    /// The base share of the slots held.
    base: Part,
    /// Nano-units left in the bucket.
    tokens: u64,
    /// The time up to which tokens were counted.
    last: Instant,
    lent: Vec<Lent>,
    loans: Vec<Loan>,
    pub(crate) demand: Demand,
    /// How many more lenders may be asked in this round.
    asks_left: usize,
    /// When a lender was last asked only because tokens were short for a moment.
    asked: Instant,
    /// Whether the budget was removed from the settings; kept until nothing of it is lent.
    pub(crate) retired: bool,
    /// Invariants found violated.
    pub(crate) violations: u64,
    /// Loans that ended by their expiry.
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

    /// Counts tokens up to `now`, ends what expired and cuts the tokens to the bucket's size.
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

    /// The base share less what is lent.
    fn own(&self, now: Instant) -> Part {
        self.base.minus(self.lent_part(now))
    }

    /// What may be used at `now`.
    pub(crate) fn held(&self, now: Instant, terms: Terms) -> Part {
        let valid = now < terms.valid_until || terms.fault == Some(Fault::IgnoreValidity);
        let own = if valid {
            self.own(now)
        } else {
            Part::default()
        };
        own.plus(self.borrowed(now, terms))
    }

    /// Changes the base share. What was lent of a larger one stays lent until it expires.
    pub(crate) fn rebase(&mut self, base: Part, now: Instant, terms: Terms) {
        if base == self.base {
            return;
        }
        self.settle(now, terms);
        self.base = base;
        self.settle(now, terms);
    }

    /// Whether what is lent fits a base share that may come.
    pub(crate) fn fits(&self, base: Part) -> bool {
        self.lent_part(self.last).fits(base)
    }

    /// Takes `units`, or says when to try again.
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

    /// Tells whether [`Self::take`] would refuse now; takes and counts nothing.
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

    /// The time in which the whole fleet gets one more unit.
    fn fleet_retry(&self) -> Span {
        let rate = self.budget.rate.as_f64();
        if rate <= 0.0 {
            return MOST_RETRY;
        }
        Span::from_secs(1)
            .mul_f64(1.0 / rate)
            .clamp(LEAST_RETRY, MOST_RETRY)
    }

    /// Whether nothing of a budget that was removed is lent any more.
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

    /// Whether `peer` has a loan here or gave one.
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
