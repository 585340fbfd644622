//! Lends parts of the base share to peers and decides how much each borrower receives.
//!
//! A lender debits its own share before it answers a request. It counts the greater of the part
//! that the borrower still uses and the part that it is granted. The lender takes the loan back
//! after the borrower's loan has certainly expired, or once the borrower has reported that it no
//! longer uses the part.

use sg_types::prelude::*;

use super::{Context, Ledger, NANOS_PER_MICRO};
use crate::{
    engine::{Fault, Peer},
    message::{LoanGrant, LoanRequest},
    panel,
    part::Part,
};

/// The ratio of the rate that a lender keeps to its own demand.
const OWN_DEMAND_HEADROOM: f64 = 1.25;
/// The numerator and denominator of the fraction of its burst that a lender with callers of its own
/// keeps.
const OWN_BURST_FRACTION: (u64, u64) = (1, 2);
/// The base burst, in millionths, below which the whole burst goes to one user.
const MIN_DIVISIBLE_BURST_MICROS: u64 = 2 * rate::MICRO;

/// The time for which a borrower counts as urgent after it reported a waiting caller.
const URGENT_TIME: Span = Span::from_millis(120);

/// The time for which a borrower's request for more burst is considered.
const WANT_TIME: Span = Span::from_millis(500);
/// The time for which a borrower keeps an undivided burst, so that the burst is used between two
/// transfers.
const MIN_HOLD_TIME: Span = Span::from_millis(100);

/// A loan granted to one borrower.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingLoan {
    pub(crate) to: Peer,
    /// Greater of the part that the borrower uses and the part that it was granted last.
    pub(crate) part: Part,
    /// Part that the borrower was granted last.
    granted: Part,
    /// Expiry by this instance's clock, late enough that the borrower's loan has certainly expired.
    pub(crate) expires_at: Instant,
    /// Part that the borrower would like to hold.
    want: Part,
    /// Time at which the borrower reported a waiting caller.
    urgent_at: Option<Instant>,
    requested_at: Instant,
    /// Time since which the borrower has held a part without interruption.
    held_since: Instant,
}

impl OutgoingLoan {
    /// Returns the requested burst if the request is recent, and at most the current burst
    /// otherwise.
    fn wanted_burst(&self, now: Instant) -> u64 {
        if now.since(self.requested_at) < WANT_TIME {
            self.want.burst
        } else {
            self.want.burst.min(self.part.burst)
        }
    }

    fn is_recent(&self, now: Instant) -> bool {
        !self.part.is_empty() && now.since(self.held_since) < MIN_HOLD_TIME
    }

    fn is_urgent(&self, now: Instant) -> bool {
        self.urgent_at.is_some_and(|at| now.since(at) < URGENT_TIME)
    }
}

/// The lender's own name and the seed of the fleet, which determine the order of claimants.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lender<'a> {
    pub(crate) instance: &'a id::Instance,
    pub(crate) seed: u64,
}

impl Lender<'_> {
    /// Returns the sort key of a claimant. Urgent claimants come first, in an order that all
    /// lenders share, so that they receive whole units. The others follow in an order that depends
    /// on the lender, so that lenders favour different claimants.
    fn sort_key(&self, claimant: &id::Instance, urgent: bool) -> (bool, u64) {
        if urgent {
            return (false, panel::rank(claimant, self.seed));
        }
        if claimant == self.instance {
            return (true, 0);
        }
        let own_seed = panel::rank(self.instance, self.seed);
        (true, panel::rank(claimant, own_seed))
    }
}

/// A user of a lender's burst: a borrower, or the lender itself.
struct Claimant {
    sort_key: (bool, u64),
    want: u64,
}

impl Ledger {
    /// Returns the sum of all outgoing loans that have not expired.
    pub(super) fn lent_part(&self, now: Instant) -> Part {
        self.outgoing
            .iter()
            .filter(|loan| now < loan.expires_at)
            .fold(Part::default(), |sum, loan| sum.saturating_add(loan.part))
    }

    /// Handles a borrower's request and returns the grant. The caller checks that the base share is
    /// valid at `now`.
    pub(crate) fn lend(
        &mut self,
        to: &Peer,
        request: &LoanRequest,
        lender: &Lender<'_>,
        now: Instant,
        context: Context,
    ) -> LoanGrant {
        self.settle(now, context);
        let before = self.lent_to(to);
        let keep = request
            .keep
            .unwrap_or_else(|| self.granted_to(to))
            .min(before);
        self.credit(request.returned_tokens, before.burst - keep.burst);
        self.record_request(to, request, keep, now, context);
        let part = self.compute_grant(to, lender, now);
        let added = part.burst.saturating_sub(keep.burst);
        let tokens = (self.tokens / NANOS_PER_MICRO).min(added);
        self.tokens -= tokens * NANOS_PER_MICRO;
        self.debit(to, keep, part, context.fault);
        self.check_grants(part, before);
        self.settle(now, context);
        LoanGrant {
            id: request.id.clone(),
            part,
            tokens,
        }
    }

    fn lent_to(&self, to: &Peer) -> Part {
        self.outgoing
            .iter()
            .find(|loan| loan.to == *to)
            .map_or(Part::default(), |loan| loan.part)
    }

    fn granted_to(&self, to: &Peer) -> Part {
        self.outgoing
            .iter()
            .find(|loan| loan.to == *to)
            .map_or(Part::default(), |loan| loan.granted)
    }

    /// Credits returned tokens, up to the burst that the borrower freed.
    fn credit(&mut self, returned_tokens: u64, freed: u64) {
        self.tokens = self
            .tokens
            .saturating_add(returned_tokens.min(freed) * NANOS_PER_MICRO);
    }

    fn record_request(
        &mut self,
        to: &Peer,
        request: &LoanRequest,
        keep: Part,
        now: Instant,
        context: Context,
    ) {
        let previous = self.outgoing.iter().find(|loan| loan.to == *to);
        let previous = previous.filter(|loan| !loan.part.is_empty());
        let held_since = previous.map_or(now, |loan| loan.held_since);
        self.outgoing.retain(|loan| loan.to != *to);
        if request.want.is_empty() && keep.is_empty() {
            return;
        }
        self.outgoing.push(OutgoingLoan {
            to: to.clone(),
            part: keep,
            granted: keep,
            expires_at: now + context.drift.safe_wait(context.loan),
            want: request.want,
            urgent_at: request.urgent.then_some(now),
            requested_at: now,
            held_since,
        });
    }

    /// Debits a grant: the loan counts as the greater of the granted and the kept part.
    fn debit(&mut self, to: &Peer, keep: Part, granted: Part, fault: Option<Fault>) {
        if let Some(loan) = self.outgoing.iter_mut().find(|loan| loan.to == *to) {
            loan.granted = granted;
            if fault != Some(Fault::LendTwice) {
                loan.part = granted.max(keep);
            }
        }
    }

    /// Checks that all grants fit into the base share if the newest grant exceeds the earlier loan. The
    /// check uses the grants instead of the debited parts, so that it detects a missing debit.
    fn check_grants(&mut self, part: Part, before: Part) {
        let granted = self.outgoing.iter().fold(Part::default(), |sum, loan| {
            sum.saturating_add(loan.granted)
        });
        let holds = (part.rate <= before.rate || granted.rate <= self.base.rate)
            && (part.burst <= before.burst || granted.burst <= self.base.burst);
        self.violations += u64::from(!holds);
        debug_assert!(holds, "outgoing loans exceed the base share");
    }

    fn compute_grant(&self, to: &Peer, lender: &Lender<'_>, now: Instant) -> Part {
        let others = self
            .outgoing
            .iter()
            .filter(|loan| loan.to != *to)
            .fold(Part::default(), |sum, loan| sum.saturating_add(loan.part));
        let target = self.target_part(to, lender, now);
        let kept = self.lent_to(to);
        let part = Part {
            rate: keep_if_near(kept.rate, target.rate),
            burst: keep_if_near(kept.burst, target.burst),
        };
        part.min(self.base.saturating_sub(others))
    }

    /// Returns the part that a borrower should hold, given all current requests. If the burst is too
    /// small to divide, the rate is lent in proportion to the burst, because a rate without burst
    /// accrues no tokens.
    fn target_part(&self, to: &Peer, lender: &Lender<'_>, now: Instant) -> Part {
        let burst = self.target_burst(to, lender, now);
        let rate = if self.base.burst < MIN_DIVISIBLE_BURST_MICROS {
            let proportional =
                u128::from(self.base.rate) * u128::from(burst) / u128::from(self.base.burst.max(1));
            u64::try_from(proportional).unwrap_or(0)
        } else {
            self.target_rate(to, now)
        };
        Part { rate, burst }
    }

    fn target_rate(&self, to: &Peer, now: Instant) -> u64 {
        let own = self.own_rate(now);
        let free = self.base.rate.saturating_sub(own);
        let wanted_rate = |loan: &OutgoingLoan| match loan.want.is_empty() {
            true => 0,
            false => loan.want.rate.max(1),
        };
        let sum: u64 = self.outgoing.iter().map(wanted_rate).sum();
        let want = self
            .outgoing
            .iter()
            .find(|loan| loan.to == *to)
            .map_or(0, wanted_rate);
        if sum == 0 {
            return 0;
        }
        if sum <= free && own > 0 {
            return want;
        }
        if sum <= free {
            let scaled = u128::from(free) * u128::from(want) / u128::from(sum);
            return u64::try_from(scaled).unwrap_or(free);
        }
        let all_wants: Vec<_> = self.outgoing.iter().map(wanted_rate).collect();
        want.min(fair_limit(&all_wants, free))
    }

    /// Returns the rate that the lender's own callers need.
    fn own_rate(&self, now: Instant) -> u64 {
        if self.demand.is_active(now) {
            self.demand.rate_micros(OWN_DEMAND_HEADROOM)
        } else {
            0
        }
    }

    fn target_burst(&self, to: &Peer, lender: &Lender<'_>, now: Instant) -> u64 {
        let own = if self.demand.is_active(now) {
            self.base.burst
        } else {
            0
        };
        let Some(borrower) = self.outgoing.iter().find(|loan| loan.to == *to) else {
            return 0;
        };
        if self.base.burst < MIN_DIVISIBLE_BURST_MICROS {
            return self.undivided_burst(borrower, own, lender, now);
        }
        let free = self.base.burst - own / OWN_BURST_FRACTION.1 * OWN_BURST_FRACTION.0;
        let others = self.outgoing.iter().filter(|loan| loan.to != borrower.to);
        let mut wants: Vec<_> = others.map(|loan| loan.wanted_burst(now)).collect();
        wants.push(borrower.want.burst);
        borrower.want.burst.min(fair_limit(&wants, free))
    }

    /// Returns a borrower's portion of a burst that is too small to divide. The claimants are served
    /// one after the other, in the order of their sort keys.
    fn undivided_burst(
        &self,
        borrower: &OutgoingLoan,
        own: u64,
        lender: &Lender<'_>,
        now: Instant,
    ) -> u64 {
        let sort_key = |loan: &OutgoingLoan| {
            if loan.is_recent(now) {
                return (false, 0);
            }
            lender.sort_key(&loan.to.instance, loan.is_urgent(now))
        };
        let urgent = self.demand.is_urgent(now);
        let is_own_sufficient = own >= self.demand.largest_micros();
        let own = Claimant {
            sort_key: match is_own_sufficient {
                true => (false, 0),
                false => lender.sort_key(lender.instance, urgent),
            },
            want: own,
        };
        let claimants = self.outgoing.iter().map(|loan| Claimant {
            sort_key: sort_key(loan),
            want: loan.want.burst,
        });
        let borrower_key = sort_key(borrower);
        let ahead = claimants
            .chain([own])
            .filter(|claimant| claimant.sort_key < borrower_key)
            .map(|claimant| claimant.want)
            .fold(0, u64::saturating_add);
        borrower
            .want
            .burst
            .min(self.base.burst.saturating_sub(ahead))
    }

    /// Returns the borrowers that should send a new request, because they hold more than they
    /// should or may receive more.
    pub(crate) fn borrowers_to_nudge(&self, lender: &Lender<'_>, now: Instant) -> Vec<Peer> {
        let free = self.base.saturating_sub(self.lent_part(now));
        let needs_request = |loan: &&OutgoingLoan| {
            let target = self.target_part(&loan.to, lender, now);
            let over = exceeds(loan.part.rate, target.rate, self.base.rate)
                || exceeds(loan.part.burst, target.burst, self.base.burst);
            let under = Part {
                rate: loan.part.rate.saturating_add(free.rate).min(target.rate),
                burst: loan.part.burst.saturating_add(free.burst).min(target.burst),
            };
            over || exceeds(under.rate, loan.part.rate, self.base.rate)
                || exceeds(under.burst, loan.part.burst, self.base.burst)
        };
        self.outgoing
            .iter()
            .filter(needs_request)
            .map(|loan| loan.to.clone())
            .collect()
    }
}

/// Returns `kept` if it differs from `target` by at most an eighth of `target`, and `target`
/// otherwise. Loans therefore do not change at every request.
fn keep_if_near(kept: u64, target: u64) -> u64 {
    let is_near = kept <= target.saturating_add(target / 8) && kept >= target - target / 8;
    if is_near { kept } else { target }
}

/// Whether `value` exceeds `target` by more than an eighth of `whole`.
fn exceeds(value: u64, target: u64, whole: u64) -> bool {
    value > target.saturating_add(whole / 8)
}

/// Returns the greatest limit for which the wants, each capped at the limit, add up to at most
/// `total`.
fn fair_limit(wants: &[u64], total: u64) -> u64 {
    let mut sorted = wants.to_vec();
    sorted.sort_unstable();
    let mut remaining = total;
    for (index, want) in sorted.iter().enumerate() {
        let share = remaining / (sorted.len() - index) as u64;
        if *want > share {
            return share;
        }
        remaining -= want;
    }
    total
}
