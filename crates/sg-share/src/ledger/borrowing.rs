//! Borrows share from peers: computes requests, receives grants and expires loans.

use sg_types::prelude::*;

use super::{Ledger, NANOS, Terms};
use crate::{
    budget,
    engine::{Fault, Peer},
    message::{Ask, Grant},
    part::Part,
};

/// The factor by which a borrower requests more than its demand.
const ROOM: f64 = 1.25;
/// The maximum time between requests to a lender while the bucket is too small for a waiting
/// caller.
const STARVED_PAUSE: Span = Span::from_millis(100);
/// The initial time between requests to a lender that could not grant everything.
const FIRST_PAUSE: Span = Span::from_millis(100);
/// The maximum time between requests to a lender that repeatedly granted nothing.
const MOST_PAUSE: Span = Span::from_secs(4);
/// The maximum time between requests to a lender while callers wait.
const URGENT_PAUSE: Span = Span::from_millis(500);
/// The number of lenders asked in one round if tokens are short only for a moment.
const ASKED_AT_ONCE: usize = 2;
/// The minimum time between such rounds.
const ASK_GAP: Span = Span::from_millis(50);
/// The time within which most answers arrive.
const ANSWER: Span = Span::from_millis(200);
/// The minimum number of granted tokens, in millionths, after which a lender is asked again soon.
const WORTH: u64 = rate::MICRO / 10;
/// A reduction by less than one part in this many waits for the next regular request.
const SLIGHT: u64 = 8;
/// The fraction of a loan's duration that remains when the loan is renewed.
const RENEW: f64 = 0.3;
/// A base burst below this many of the largest takes is too small to be used alone.
const LEAST_TAKES: u64 = 2;

/// A loan received from one lender. An empty loan is kept, because it records when to ask the
/// lender again.
#[derive(Debug, Clone)]
pub(crate) struct Loan {
    pub(crate) from: Peer,
    pub(crate) part: Part,
    /// Expiry, by the clock of this instance.
    until: Instant,
    /// Tokens to return with the next request, in millionths.
    back: u64,
    /// Time of the newest request to the lender.
    asked: Instant,
    pause: Span,
    /// Whether the lender granted less than was requested.
    dry: bool,
    /// Whether `part` equals the lender's newest grant, in answer to the newest request.
    whole: bool,
}

/// How urgently this instance needs share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// No caller was refused recently.
    Usual,
    /// A caller was refused within the last moments.
    Urgent,
    /// A caller was refused within the last moments, and the bucket is too small for its take.
    Starved,
}

impl Loan {
    fn new(from: Peer) -> Self {
        Self {
            from,
            part: Part::default(),
            until: Instant::START,
            back: 0,
            asked: Instant::START,
            pause: FIRST_PAUSE,
            dry: false,
            whole: false,
        }
    }

    /// Returns the end of the time, up to `now`, during which the loan may be used.
    pub(super) fn end(&self, now: Instant, fault: Option<Fault>) -> Instant {
        if fault == Some(Fault::IgnoreExpiry) {
            return now;
        }
        self.until.min(now)
    }

    /// Clears the loan if it has expired, and returns whether it did.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let over = now >= self.until && !self.part.is_empty();
        if over {
            self.part = Part::default();
            self.back = 0;
            self.whole = false;
        }
        over
    }

    fn slow_down(&mut self, now: Instant) {
        self.asked = now;
        self.pause = (self.pause + self.pause).min(MOST_PAUSE);
    }

    /// Whether an answer may still arrive within moments.
    fn is_awaited(&self, now: Instant) -> bool {
        self.asked != Instant::START && now.since(self.asked) < ANSWER
    }

    /// Whether enough time has passed to ask the lender again.
    fn is_due(&self, need: Need, now: Instant) -> bool {
        let most = match need {
            Need::Starved => STARVED_PAUSE,
            Need::Urgent => URGENT_PAUSE,
            Need::Usual => MOST_PAUSE,
        };
        self.asked == Instant::START || now.since(self.asked) >= self.pause.min(most)
    }
}

impl Ledger {
    pub(super) fn borrowed(&self, now: Instant, terms: Terms) -> Part {
        let is_open = |loan: &&Loan| now < loan.until || terms.fault == Some(Fault::IgnoreExpiry);
        self.loans
            .iter()
            .filter(is_open)
            .fold(Part::default(), |sum, loan| sum.plus(loan.part))
    }

    /// Whether a lender may still grant something.
    pub(super) fn may_borrow(&self, now: Instant, terms: Terms) -> bool {
        let need = self.need(now, terms);
        self.loans.is_empty()
            || need == Need::Starved
            || self
                .loans
                .iter()
                .any(|loan| loan.is_due(need, now) || loan.is_awaited(now))
    }

    /// Returns the part that this instance needs beyond its base share.
    fn want(&self, now: Instant, terms: Terms) -> Part {
        if terms.leaving || !self.demand.is_active(now) {
            return Part::default();
        }
        let base = self.usable_base(now, terms);
        let rate = self.short_rate(base, now, terms);
        if rate == 0 && !self.is_small(base) && !self.demand.is_pressed(now) {
            return Part::default();
        }
        let whole = Part::whole(self.budget);
        Part {
            rate: rate.min(whole.rate),
            burst: whole.burst.saturating_sub(base.burst),
        }
    }

    fn usable_base(&self, now: Instant, terms: Terms) -> Part {
        if now < terms.valid_until {
            self.base
        } else {
            Part::default()
        }
    }

    /// Returns the demand, with headroom, that exceeds the base rate. Returns zero while the base
    /// rate covers the demand without a loan.
    fn short_rate(&self, base: Part, now: Instant, terms: Terms) -> u64 {
        let does_without = self.demand.rate_micros(1.0) <= base.rate
            && !self.demand.is_pressed(now)
            && self.borrowed(now, terms).rate == 0;
        if does_without {
            return 0;
        }
        self.demand.rate_micros(ROOM).saturating_sub(base.rate)
    }

    /// Returns the rate to request from one lender: the rate that it already grants, and its
    /// portion of the rate that is still missing.
    fn rate_from(&self, place: usize, lacking: u64, now: Instant, terms: Terms) -> u64 {
        let borrowed = self.borrowed(now, terms).rate;
        let given = self.loans[place].part.rate;
        if borrowed >= lacking {
            let scaled = u128::from(given) * u128::from(lacking) / u128::from(borrowed.max(1));
            return u64::try_from(scaled).unwrap_or(given);
        }
        let open = self.loans.iter().filter(|loan| !loan.dry).count();
        let parts = if self.loans[place].dry {
            self.loans.len()
        } else {
            open
        };
        given + (lacking - borrowed).div_ceil(parts.max(1) as u64)
    }

    fn need(&self, now: Instant, terms: Terms) -> Need {
        if !self.demand.is_urgent(now) {
            return Need::Usual;
        }
        if self.held(now, terms).burst < self.demand.largest_micros() {
            return Need::Starved;
        }
        Need::Urgent
    }

    /// Returns the number of lenders that can together enlarge the bucket to the largest take, and
    /// one spare lender.
    fn lenders_for_one(&self, base: Part, now: Instant, terms: Terms) -> usize {
        let cap = self.held(now, terms).burst;
        let missing = self.demand.largest_micros().saturating_sub(cap);
        let each = base.burst.max(1);
        usize::try_from(missing.div_ceil(each)).map_or(usize::MAX, |lenders| lenders + 2)
    }

    /// Whether the base burst is too small for [`MIN_TAKES_PER_BURST`] of the largest takes.
    fn is_small(&self, base: Part) -> bool {
        base.burst < self.demand.largest_micros().saturating_mul(LEAST_TAKES)
    }

    /// Begins a round of requests to the lenders and sets how many of them may be asked.
    pub(crate) fn begin_round(&mut self, now: Instant, terms: Terms) {
        let base = self.usable_base(now, terms);
        let cap = self.held(now, terms).burst.saturating_mul(NANOS);
        let runs_out = self.tokens < cap / 2 && self.demand.rate_micros(1.0) > base.rate;
        let lasting = runs_out || self.is_small(base);
        let is_soon = self.asked != Instant::START && now.since(self.asked) < ASK_GAP;
        let starved = self.need(now, terms) == Need::Starved;
        self.asks_left = match (lasting, is_soon) {
            (_, false) if starved => self.lenders_for_one(base, now, terms),
            (_, true) if starved => 0,
            (true, _) => usize::MAX,
            (false, true) => 0,
            (false, false) => ASKED_AT_ONCE,
        };
    }

    /// Returns the request to send to `peer` now, if any. Returned tokens are debited here.
    pub(crate) fn ask(
        &mut self,
        id: &budget::Id,
        peer: &Peer,
        forced: bool,
        now: Instant,
        terms: Terms,
    ) -> Option<Ask> {
        self.settle(now, terms);
        let want = self.want(now, terms);
        let need = self.need(now, terms);
        let place = self.place(peer, !want.is_empty())?;
        let loan = &mut self.loans[place];
        let idle = want.is_empty();
        if idle {
            loan.pause = FIRST_PAUSE;
        }
        if idle && loan.part.is_empty() && loan.back == 0 {
            return None;
        }
        let renew = !loan.part.is_empty() && now + terms.loan.mul_f64(RENEW) >= loan.until;
        let due =
            loan.is_due(need, now) && (need != Need::Usual || loan.part.is_empty() || loan.dry);
        let due = due && self.asks_left > 0;
        if !(forced || idle || renew || due) {
            return None;
        }
        if due {
            self.asks_left -= 1;
            self.asked = now;
        }
        loan.slow_down(now);
        if idle {
            self.reduce(place, Part::default(), now, terms);
        } else if need != Need::Usual {
            self.free_room(place, now, terms);
        }
        let rate = self.rate_from(place, want.rate, now, terms);
        let loan = &mut self.loans[place];
        // Until this request is answered, the lender may have granted something else.
        let whole = std::mem::take(&mut loan.whole);
        Some(Ask {
            id: id.clone(),
            keep: Some(loan.part).filter(|_| !whole),
            back: std::mem::take(&mut loan.back),
            want: Part { rate, ..want },
            starved: need == Need::Starved && !idle,
        })
    }

    fn place(&mut self, peer: &Peer, create: bool) -> Option<usize> {
        let found = self.loans.iter().position(|loan| loan.from == *peer);
        if found.is_none() && create {
            self.loans.push(Loan::new(peer.clone()));
            return Some(self.loans.len() - 1);
        }
        found
    }

    /// Reduces the part of a loan in use and sets the excess tokens aside for the lender.
    fn reduce(&mut self, place: usize, part: Part, now: Instant, terms: Terms) {
        let freed = self.loans[place].part.burst.saturating_sub(part.burst);
        self.loans[place].part = part;
        self.loans[place].whole = false;
        let cap = self.held(now, terms).burst.saturating_mul(NANOS);
        let over = self.tokens.saturating_sub(cap) / NANOS;
        self.loans[place].back += over.min(freed);
        self.settle(now, terms);
    }

    /// Returns the part of a loan's burst that no tokens fill, so that it can be granted again
    /// together with tokens.
    fn free_room(&mut self, place: usize, now: Instant, terms: Terms) {
        let room = self
            .held(now, terms)
            .burst
            .saturating_sub(self.tokens / NANOS + 1);
        let part = self.loans[place].part;
        let keep = Part {
            burst: part.burst.saturating_sub(room),
            ..part
        };
        if keep != part {
            self.reduce(place, keep, now, terms);
        }
    }

    /// Applies a grant that answers a request sent at `sent`. Returns whether a part has to be
    /// given back with another request.
    pub(crate) fn receive(
        &mut self,
        from: &Peer,
        grant: &Grant,
        sent: Instant,
        now: Instant,
        terms: Terms,
    ) -> bool {
        self.settle(now, terms);
        let until = sent + terms.loan;
        let is_over = now >= until && terms.fault != Some(Fault::IgnoreExpiry);
        let Some(place) = self.place(from, true).filter(|_| !is_over) else {
            return false;
        };
        let old = self.loans[place].part;
        self.reduce(place, old.min(grant.part), now, terms);
        let added = grant.part.burst.saturating_sub(old.burst);
        let loan = &mut self.loans[place];
        loan.part = grant.part;
        if grant.tokens >= WORTH {
            loan.pause = FIRST_PAUSE;
        }
        loan.whole = true;
        loan.until = until;
        self.tokens = self.tokens.saturating_add(grant.tokens.min(added) * NANOS);
        self.settle(now, terms);
        let want = self.want(now, terms);
        let short = self.borrowed(now, terms).rate < want.rate;
        self.loans[place].dry = short && grant.part.rate <= old.rate;
        old.burst - old.burst / SLIGHT > grant.part.burst
            || old.rate - old.rate / SLIGHT > grant.part.rate
    }

    /// Forgets empty loans whose lenders fail the `keep` check.
    pub(crate) fn forget(&mut self, keep: impl Fn(&Peer) -> bool) {
        self.loans
            .retain(|loan| !loan.part.is_empty() || keep(&loan.from));
    }
}
