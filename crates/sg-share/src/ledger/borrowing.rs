//! The borrower's side: what to ask for, and when loans end.

use sg_types::prelude::*;

use super::{Ledger, NANOS, Terms};
use crate::{
    budget,
    engine::{Fault, Peer},
    message::{Ask, Grant},
    part::Part,
};

/// Room above the demand that a borrower asks for.
const ROOM: f64 = 1.25;
/// How long a lender that could not give all is not asked again, at first.
const FIRST_PAUSE: Span = Span::from_millis(250);
/// The same after many askings that brought nothing.
const MOST_PAUSE: Span = Span::from_secs(4);
/// The same while callers wait.
const URGENT_PAUSE: Span = Span::from_secs(1);
/// A bucket below this many of the largest takes asks for more burst.
const LEAST_TAKES: u64 = 2;

/// What one lender lends here. It stays when empty, to remember when to ask again.
#[derive(Debug, Clone)]
pub(crate) struct Loan {
    pub(crate) from: Peer,
    pub(crate) part: Part,
    /// The end, by this instance's clock.
    until: Instant,
    /// Tokens to give back with the next request, in millionths.
    back: u64,
    /// When it was last asked.
    asked: Instant,
    pause: Span,
    /// Whether the lender gave less than was wanted.
    dry: bool,
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
        }
    }

    /// The end of the time up to `now` in which the loan may be used.
    pub(super) fn end(&self, now: Instant, fault: Option<Fault>) -> Instant {
        if fault == Some(Fault::IgnoreExpiry) {
            return now;
        }
        self.until.min(now)
    }

    /// Ends the loan if its time is over; tells whether it did.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let over = now >= self.until && !self.part.is_empty();
        if over {
            self.part = Part::default();
            self.back = 0;
        }
        over
    }

    fn slow_down(&mut self, now: Instant) {
        self.asked = now;
        self.pause = (self.pause + self.pause).min(MOST_PAUSE);
    }

    /// Whether asking for more is worth it.
    fn is_due(&self, urgent: bool, now: Instant) -> bool {
        let most = if urgent { URGENT_PAUSE } else { MOST_PAUSE };
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

    /// Whether some lender may still have something.
    pub(super) fn may_borrow(&self, now: Instant) -> bool {
        self.loans.is_empty() || self.loans.iter().any(|loan| loan.is_due(true, now))
    }

    /// What this instance lacks, beyond its base share.
    fn want(&self, now: Instant, terms: Terms) -> Part {
        if terms.leaving || !self.demand.is_active(now) {
            return Part::default();
        }
        let need = self.demand.rate_micros(ROOM);
        let base = if now < terms.valid_until {
            self.base
        } else {
            Part::default()
        };
        let rate = need.saturating_sub(base.rate);
        let whole = Part::whole(self.budget);
        let few = self.demand.largest_micros().saturating_mul(LEAST_TAKES);
        let scarce = self.tokens / NANOS < few;
        let borrows = !self.borrowed(now, terms).is_empty();
        if rate == 0 && !scarce && !borrows && !self.demand.is_urgent(now) {
            return Part::default();
        }
        Part {
            rate: rate.min(whole.rate),
            burst: whole.burst.saturating_sub(base.burst),
        }
    }

    /// What to ask `peer` for now, if anything. Whatever is given back is debited here.
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
        let urgent = self.demand.is_urgent(now);
        let place = self.place(peer, !want.is_empty())?;
        let loan = &mut self.loans[place];
        let idle = want.is_empty();
        if idle {
            loan.pause = FIRST_PAUSE;
        }
        if idle && loan.part.is_empty() && loan.back == 0 {
            return None;
        }
        let renew = !loan.part.is_empty() && now + half(terms.loan) >= loan.until;
        let due = loan.is_due(urgent, now) && (urgent || loan.part.is_empty() || loan.dry);
        if !(forced || idle || renew || due) {
            return None;
        }
        loan.slow_down(now);
        if idle {
            self.reduce(place, Part::default(), now, terms);
        }
        let loan = &mut self.loans[place];
        Some(Ask {
            id: id.clone(),
            keep: loan.part,
            back: std::mem::take(&mut loan.back),
            want,
            urgent: urgent && !idle,
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

    /// Stops to use a part of a loan and sets its tokens aside for the lender.
    fn reduce(&mut self, place: usize, part: Part, now: Instant, terms: Terms) {
        let freed = self.loans[place].part.burst.saturating_sub(part.burst);
        self.loans[place].part = part;
        let cap = self.held(now, terms).burst.saturating_mul(NANOS);
        let over = self.tokens.saturating_sub(cap) / NANOS;
        self.loans[place].back += over.min(freed);
        self.settle(now, terms);
    }

    /// Takes a grant that answers a request sent at `sent`. Tells whether something has to go back.
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
        loan.until = until;
        if !grant.part.fits(old) {
            loan.pause = FIRST_PAUSE;
        }
        self.tokens = self.tokens.saturating_add(grant.tokens.min(added) * NANOS);
        self.settle(now, terms);
        let want = self.want(now, terms);
        self.loans[place].dry = !want.is_empty() && grant.part.rate < want.rate.max(1);
        !old.fits(grant.part)
    }

    /// Forgets lenders that are gone.
    pub(crate) fn forget(&mut self, keep: impl Fn(&Peer) -> bool) {
        self.loans
            .retain(|loan| !loan.part.is_empty() || keep(&loan.from));
    }
}

/// Half of a span.
fn half(span: Span) -> Span {
    span.mul_f64(0.5)
}
