//! Borrows parts of a budget from peers: computes requests, receives grants and expires loans.

use sg_types::prelude::*;

use super::{Context, Ledger, NANOS_PER_MICRO};
use crate::{
    budget,
    engine::{Fault, Peer},
    message::{LoanGrant, LoanRequest},
    part::Part,
};

/// The ratio of the rate that a borrower seeks to its demand.
const DEMAND_HEADROOM: f64 = 1.25;
/// The maximum time between requests to a lender while the bucket is too small for a waiting
/// caller.
const STARVED_REQUEST_INTERVAL: Span = Span::from_millis(100);
/// The initial time between requests to a lender that could not grant everything.
const INITIAL_REQUEST_INTERVAL: Span = Span::from_millis(100);
/// The maximum time between requests to a lender that repeatedly granted nothing.
const MAX_REQUEST_INTERVAL: Span = Span::from_secs(4);
/// The maximum time between requests to a lender while callers wait.
const URGENT_REQUEST_INTERVAL: Span = Span::from_millis(500);
/// The number of lenders asked in one round if the shortage of tokens is not expected to last.
const LENDERS_PER_ROUND: usize = 2;
/// The minimum time between rounds that ask a limited number of lenders.
const MIN_ROUND_INTERVAL: Span = Span::from_millis(50);
/// The time within which most answers arrive.
const ANSWER_TIME: Span = Span::from_millis(200);
/// The minimum number of granted tokens, in millionths, that resets the time until the lender is
/// asked again.
const MIN_USEFUL_TOKENS_MICROS: u64 = rate::MICRO / 10;
/// A reduction of a loan by at most one part in this many waits for the next regular request.
const SLIGHT_REDUCTION_DIVISOR: u64 = 8;
/// The fraction of a loan's duration that remains when the loan is renewed.
const RENEWAL_FRACTION: f64 = 0.3;
/// A base burst that covers fewer than this many of the largest takes is too small without loans.
const MIN_TAKES_PER_BURST: u64 = 2;

/// A loan received from one lender. An empty loan is kept, because it records when to ask the
/// lender again.
#[derive(Debug, Clone)]
pub(crate) struct IncomingLoan {
    pub(crate) from: Peer,
    pub(crate) part: Part,
    /// Expiry, by the clock of this instance.
    expires_at: Instant,
    /// Tokens to return with the next request, in millionths.
    returned_tokens: u64,
    /// Time of the newest request to the lender.
    asked_at: Instant,
    /// Time from the newest request to the next one. A shorter limit applies while a caller waits.
    request_interval: Span,
    /// Whether the borrower still lacks rate and the newest grant added none.
    is_short: bool,
    /// Whether `part` still equals the lender's newest grant, which answered the newest request.
    matches_grant: bool,
}

/// The urgency with which this instance needs loans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// No refused caller waits.
    Normal,
    /// A refused caller waits.
    Urgent,
    /// A refused caller waits for more units than the bucket can hold.
    Starved,
}

impl IncomingLoan {
    fn new(from: Peer) -> Self {
        Self {
            from,
            part: Part::default(),
            expires_at: Instant::START,
            returned_tokens: 0,
            asked_at: Instant::START,
            request_interval: INITIAL_REQUEST_INTERVAL,
            is_short: false,
            matches_grant: false,
        }
    }

    /// Returns the expiry of the loan, or `now` if that is earlier.
    pub(super) fn usable_until(&self, now: Instant, fault: Option<Fault>) -> Instant {
        if fault == Some(Fault::IgnoreExpiry) {
            return now;
        }
        self.expires_at.min(now)
    }

    /// Clears the loan if it has expired, and returns whether it did.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let is_expired = now >= self.expires_at && !self.part.is_empty();
        if is_expired {
            self.part = Part::default();
            self.returned_tokens = 0;
            self.matches_grant = false;
        }
        is_expired
    }

    fn record_request(&mut self, now: Instant) {
        self.asked_at = now;
        self.request_interval =
            (self.request_interval + self.request_interval).min(MAX_REQUEST_INTERVAL);
    }

    /// Whether an answer to the newest request may still arrive soon.
    fn is_answer_pending(&self, now: Instant) -> bool {
        self.asked_at != Instant::START && now.since(self.asked_at) < ANSWER_TIME
    }

    /// Whether enough time has passed to ask the lender again.
    fn is_due(&self, need: Need, now: Instant) -> bool {
        let max_interval = match need {
            Need::Starved => STARVED_REQUEST_INTERVAL,
            Need::Urgent => URGENT_REQUEST_INTERVAL,
            Need::Normal => MAX_REQUEST_INTERVAL,
        };
        self.asked_at == Instant::START
            || now.since(self.asked_at) >= self.request_interval.min(max_interval)
    }
}

impl Ledger {
    /// Returns the sum of all incoming loans that have not expired.
    pub(super) fn borrowed_part(&self, now: Instant, context: Context) -> Part {
        let is_valid = |loan: &&IncomingLoan| {
            now < loan.expires_at || context.fault == Some(Fault::IgnoreExpiry)
        };
        self.incoming
            .iter()
            .filter(is_valid)
            .fold(Part::default(), |sum, loan| sum.saturating_add(loan.part))
    }

    /// Whether a loan may arrive soon, because a lender can be asked now or was asked recently.
    pub(super) fn may_borrow(&self, now: Instant, context: Context) -> bool {
        let need = self.need(now, context);
        self.incoming.is_empty()
            || need == Need::Starved
            || self
                .incoming
                .iter()
                .any(|loan| loan.is_due(need, now) || loan.is_answer_pending(now))
    }

    /// Returns the part that this instance needs beyond its base share.
    fn missing_part(&self, now: Instant, context: Context) -> Part {
        if context.leaving || !self.demand.is_active(now) {
            return Part::default();
        }
        let base = self.valid_base(now, context);
        let rate = self.missing_rate(base, now, context);
        if rate == 0 && !self.is_burst_small(base) && !self.demand.was_refused_recently(now) {
            return Part::default();
        }
        let whole = Part::whole(self.budget);
        Part {
            rate: rate.min(whole.rate),
            burst: whole.burst.saturating_sub(base.burst),
        }
    }

    /// Returns the base share while the claims are confirmed, and an empty part otherwise.
    fn valid_base(&self, now: Instant, context: Context) -> Part {
        if now < context.valid_until {
            self.base
        } else {
            Part::default()
        }
    }

    /// Returns the demand, with headroom, that exceeds the base rate. Returns zero while the base
    /// rate covers the demand without a loan.
    fn missing_rate(&self, base: Part, now: Instant, context: Context) -> u64 {
        let is_base_sufficient = self.demand.rate_micros(1.0) <= base.rate
            && !self.demand.was_refused_recently(now)
            && self.borrowed_part(now, context).rate == 0;
        if is_base_sufficient {
            return 0;
        }
        self.demand
            .rate_micros(DEMAND_HEADROOM)
            .saturating_sub(base.rate)
    }

    /// Returns the rate to request from one lender: the rate that the lender already grants, and a
    /// portion of the rate that is still missing. If the loans exceed the `wanted` rate, the request
    /// is reduced in proportion.
    fn rate_to_request(&self, index: usize, wanted: u64, now: Instant, context: Context) -> u64 {
        let borrowed = self.borrowed_part(now, context).rate;
        let granted = self.incoming[index].part.rate;
        if borrowed >= wanted {
            let scaled = u128::from(granted) * u128::from(wanted) / u128::from(borrowed.max(1));
            return u64::try_from(scaled).unwrap_or(granted);
        }
        let not_short = self.incoming.iter().filter(|loan| !loan.is_short).count();
        let parts = if self.incoming[index].is_short {
            self.incoming.len()
        } else {
            not_short
        };
        granted + (wanted - borrowed).div_ceil(parts.max(1) as u64)
    }

    fn need(&self, now: Instant, context: Context) -> Need {
        if !self.demand.is_urgent(now) {
            return Need::Normal;
        }
        if self.held(now, context).burst < self.demand.largest_micros() {
            return Need::Starved;
        }
        Need::Urgent
    }

    /// Returns the number of lenders whose loans together enlarge the bucket to the largest take, plus
    /// two in reserve.
    fn lenders_for_largest_take(&self, base: Part, now: Instant, context: Context) -> usize {
        let cap = self.held(now, context).burst;
        let missing = self.demand.largest_micros().saturating_sub(cap);
        let per_lender = base.burst.max(1);
        usize::try_from(missing.div_ceil(per_lender)).map_or(usize::MAX, |lenders| lenders + 2)
    }

    /// Whether the base burst is too small for [`MIN_TAKES_PER_BURST`] of the largest takes.
    fn is_burst_small(&self, base: Part) -> bool {
        base.burst
            < self
                .demand
                .largest_micros()
                .saturating_mul(MIN_TAKES_PER_BURST)
    }

    /// Begins a round of requests and sets how many lenders may be asked for larger loans.
    pub(crate) fn begin_round(&mut self, now: Instant, context: Context) {
        let base = self.valid_base(now, context);
        let cap = self
            .held(now, context)
            .burst
            .saturating_mul(NANOS_PER_MICRO);
        let runs_out = self.tokens < cap / 2 && self.demand.rate_micros(1.0) > base.rate;
        let is_shortage_lasting = runs_out || self.is_burst_small(base);
        let was_asked_recently =
            self.asked_at != Instant::START && now.since(self.asked_at) < MIN_ROUND_INTERVAL;
        let starved = self.need(now, context) == Need::Starved;
        self.remaining_requests = match (is_shortage_lasting, was_asked_recently) {
            (_, false) if starved => self.lenders_for_largest_take(base, now, context),
            (_, true) if starved => 0,
            (true, _) => usize::MAX,
            (false, true) => 0,
            (false, false) => LENDERS_PER_ROUND,
        };
    }

    /// Returns the request to send to `peer` now, if any. Tokens that the request returns are debited
    /// from the bucket.
    pub(crate) fn prepare_request(
        &mut self,
        id: &budget::Id,
        peer: &Peer,
        forced: bool,
        now: Instant,
        context: Context,
    ) -> Option<LoanRequest> {
        self.settle(now, context);
        let want = self.missing_part(now, context);
        let need = self.need(now, context);
        let index = self.loan_index(peer, !want.is_empty())?;
        let loan = &mut self.incoming[index];
        let is_idle = want.is_empty();
        if is_idle {
            loan.request_interval = INITIAL_REQUEST_INTERVAL;
        }
        if is_idle && loan.part.is_empty() && loan.returned_tokens == 0 {
            return None;
        }
        let needs_renewal = !loan.part.is_empty()
            && now + context.loan.mul_f64(RENEWAL_FRACTION) >= loan.expires_at;
        let is_due = loan.is_due(need, now)
            && (need != Need::Normal || loan.part.is_empty() || loan.is_short);
        let is_due = is_due && self.remaining_requests > 0;
        if !(forced || is_idle || needs_renewal || is_due) {
            return None;
        }
        if is_due {
            self.remaining_requests -= 1;
            self.asked_at = now;
        }
        loan.record_request(now);
        if is_idle {
            self.reduce_loan(index, Part::default(), now, context);
        } else if need != Need::Normal {
            self.return_unfilled_burst(index, now, context);
        }
        let rate = self.rate_to_request(index, want.rate, now, context);
        let loan = &mut self.incoming[index];
        // Until this request is answered, the lender may have granted something else.
        let matches_grant = std::mem::take(&mut loan.matches_grant);
        Some(LoanRequest {
            id: id.clone(),
            keep: Some(loan.part).filter(|_| !matches_grant),
            returned_tokens: std::mem::take(&mut loan.returned_tokens),
            want: Part { rate, ..want },
            urgent: need != Need::Normal && !is_idle,
        })
    }

    /// Returns the index of the loan from `peer`, which is created empty if `create` is set.
    fn loan_index(&mut self, peer: &Peer, create: bool) -> Option<usize> {
        let found = self.incoming.iter().position(|loan| loan.from == *peer);
        if found.is_none() && create {
            self.incoming.push(IncomingLoan::new(peer.clone()));
            return Some(self.incoming.len() - 1);
        }
        found
    }

    /// Reduces a loan to `part` and sets aside the tokens that no longer fit, to return them to the
    /// lender.
    fn reduce_loan(&mut self, index: usize, part: Part, now: Instant, context: Context) {
        let freed = self.incoming[index].part.burst.saturating_sub(part.burst);
        self.incoming[index].part = part;
        self.incoming[index].matches_grant = false;
        let cap = self
            .held(now, context)
            .burst
            .saturating_mul(NANOS_PER_MICRO);
        let excess = self.tokens.saturating_sub(cap) / NANOS_PER_MICRO;
        self.incoming[index].returned_tokens += excess.min(freed);
        self.settle(now, context);
    }

    /// Gives up the part of a loan's burst that no tokens fill, so that the lender can grant it again
    /// together with tokens.
    fn return_unfilled_burst(&mut self, index: usize, now: Instant, context: Context) {
        let unfilled = self
            .held(now, context)
            .burst
            .saturating_sub(self.tokens / NANOS_PER_MICRO + 1);
        let part = self.incoming[index].part;
        let keep = Part {
            burst: part.burst.saturating_sub(unfilled),
            ..part
        };
        if keep != part {
            self.reduce_loan(index, keep, now, context);
        }
    }

    /// Applies a grant that answers a request sent at `sent`. Returns whether the loan shrank so much
    /// that the lender has to be informed at once that the excess is no longer used.
    pub(crate) fn apply_grant(
        &mut self,
        from: &Peer,
        grant: &LoanGrant,
        sent: Instant,
        now: Instant,
        context: Context,
    ) -> bool {
        self.settle(now, context);
        let expires_at = sent + context.loan;
        let is_expired = now >= expires_at && context.fault != Some(Fault::IgnoreExpiry);
        let Some(index) = self.loan_index(from, true).filter(|_| !is_expired) else {
            return false;
        };
        let old = self.incoming[index].part;
        self.reduce_loan(index, old.min(grant.part), now, context);
        let added = grant.part.burst.saturating_sub(old.burst);
        let loan = &mut self.incoming[index];
        loan.part = grant.part;
        if grant.tokens >= MIN_USEFUL_TOKENS_MICROS {
            loan.request_interval = INITIAL_REQUEST_INTERVAL;
        }
        loan.matches_grant = true;
        loan.expires_at = expires_at;
        self.tokens = self
            .tokens
            .saturating_add(grant.tokens.min(added) * NANOS_PER_MICRO);
        self.settle(now, context);
        let want = self.missing_part(now, context);
        let is_short = self.borrowed_part(now, context).rate < want.rate;
        self.incoming[index].is_short = is_short && grant.part.rate <= old.rate;
        old.burst - old.burst / SLIGHT_REDUCTION_DIVISOR > grant.part.burst
            || old.rate - old.rate / SLIGHT_REDUCTION_DIVISOR > grant.part.rate
    }

    /// Forgets empty loans whose lenders fail the `keep` check.
    pub(crate) fn forget_lenders(&mut self, keep: impl Fn(&Peer) -> bool) {
        self.incoming
            .retain(|loan| !loan.part.is_empty() || keep(&loan.from));
    }
}
