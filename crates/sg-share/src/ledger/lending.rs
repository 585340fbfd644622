//! Lends share to peers: decides how much each borrower receives.
//!
//! A lender debits its own share before it answers a request. It counts the greater of the part
//! that the borrower still uses and the part that it is granted. The lender takes the loan back
//! after the borrower's loan has certainly expired, or once the borrower has reported that it no
//! longer uses the part.

use sg_types::prelude::*;

use super::{Ledger, NANOS, Terms};
use crate::{
    engine::{Fault, Peer},
    message::{Ask, Grant},
    panel,
    part::Part,
};

/// The factor by which a lender keeps more than its own demand.
const OWN_ROOM: f64 = 1.25;
/// The fraction of its burst that a lender with callers of its own keeps: one of two parts.
const OWN_BURST: (u64, u64) = (1, 2);
/// The base burst, in millionths, below which the burst is not divided and goes to one user as a
/// whole.
const LEAST_BURST: u64 = 2 * rate::MICRO;

/// The time for which a borrower counts as starved after its report.
const STARVED: Span = Span::from_millis(120);

/// The time for which a borrower's request for more burst counts.
const FRESH: Span = Span::from_millis(500);
/// The time for which a borrower keeps an undivided burst, so that the burst is used between two
/// transfers.
const HOLD: Span = Span::from_millis(100);

/// A loan granted to one borrower.
#[derive(Debug, Clone)]
pub(crate) struct Lent {
    pub(crate) to: Peer,
    /// Greater of the part that the borrower uses and the part that it was granted last.
    pub(crate) part: Part,
    granted: Part,
    pub(crate) until: Instant,
    want: Part,
    /// Time at which the borrower reported that its bucket is too small for a waiting caller.
    starved: Option<Instant>,
    asked: Instant,
    /// Time since which the borrower has held a part without interruption.
    since: Instant,
}

impl Lent {
    /// Returns the requested burst if the request is recent, and at most the current burst
    /// otherwise.
    fn burst_wanted(&self, now: Instant) -> u64 {
        if now.since(self.asked) < FRESH {
            self.want.burst
        } else {
            self.want.burst.min(self.part.burst)
        }
    }

    fn is_new(&self, now: Instant) -> bool {
        !self.part.is_empty() && now.since(self.since) < HOLD
    }

    fn is_starved(&self, now: Instant) -> bool {
        self.starved.is_some_and(|at| now.since(at) < STARVED)
    }
}

/// Identifies the lender when borrowers are ordered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lender<'a> {
    pub(crate) instance: &'a id::Instance,
    pub(crate) seed: u64,
}

impl Lender<'_> {
    /// Returns the sort key of a claimant. Starved claimants come first, in an order that all
    /// lenders share, so that they receive whole units. The others follow in an order that depends
    /// on the lender, so that lenders favour different claimants.
    fn order(&self, claimant: &id::Instance, starved: bool) -> (bool, u64) {
        if starved {
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
    order: (bool, u64),
    want: u64,
}

impl Ledger {
    pub(super) fn lent_part(&self, now: Instant) -> Part {
        self.lent
            .iter()
            .filter(|lent| now < lent.until)
            .fold(Part::default(), |sum, lent| sum.plus(lent.part))
    }

    /// Handles a borrower's request and returns the grant. The lender's base share must be valid
    /// now.
    pub(crate) fn lend(
        &mut self,
        to: &Peer,
        ask: &Ask,
        me: &Lender<'_>,
        now: Instant,
        terms: Terms,
    ) -> Grant {
        self.settle(now, terms);
        let before = self.lent_to(to);
        let keep = ask.keep.unwrap_or_else(|| self.granted_to(to)).min(before);
        self.credit(ask.back, before.burst - keep.burst);
        self.record(to, ask, keep, now, terms);
        let part = self.grant(to, me, now);
        let added = part.burst.saturating_sub(keep.burst);
        let tokens = (self.tokens / NANOS).min(added);
        self.tokens -= tokens * NANOS;
        self.debit(to, keep, part, terms.fault);
        self.check_lent(part, before);
        self.settle(now, terms);
        Grant {
            id: ask.id.clone(),
            part,
            tokens,
        }
    }

    fn lent_to(&self, to: &Peer) -> Part {
        self.lent
            .iter()
            .find(|lent| lent.to == *to)
            .map_or(Part::default(), |lent| lent.part)
    }

    fn granted_to(&self, to: &Peer) -> Part {
        self.lent
            .iter()
            .find(|lent| lent.to == *to)
            .map_or(Part::default(), |lent| lent.granted)
    }

    fn credit(&mut self, back: u64, freed: u64) {
        self.tokens = self.tokens.saturating_add(back.min(freed) * NANOS);
    }

    fn record(&mut self, to: &Peer, ask: &Ask, keep: Part, now: Instant, terms: Terms) {
        let since = self.lent.iter().find(|lent| lent.to == *to);
        let since = since.filter(|lent| !lent.part.is_empty());
        let since = since.map_or(now, |lent| lent.since);
        self.lent.retain(|lent| lent.to != *to);
        if ask.want.is_empty() && keep.is_empty() {
            return;
        }
        self.lent.push(Lent {
            to: to.clone(),
            part: keep,
            granted: keep,
            until: now + terms.drift.outlast(terms.loan),
            want: ask.want,
            starved: ask.starved.then_some(now),
            asked: now,
            since,
        });
    }

    fn debit(&mut self, to: &Peer, keep: Part, granted: Part, fault: Option<Fault>) {
        if let Some(lent) = self.lent.iter_mut().find(|lent| lent.to == *to) {
            lent.granted = granted;
            if fault != Some(Fault::LendTwice) {
                lent.part = granted.max(keep);
            }
        }
    }

    /// Checks that all grants fit into the base share if the newest grant grew. The check uses the
    /// grants instead of the debited parts.
    fn check_lent(&mut self, part: Part, before: Part) {
        let granted = self
            .lent
            .iter()
            .fold(Part::default(), |sum, lent| sum.plus(lent.granted));
        let holds = (part.rate <= before.rate || granted.rate <= self.base.rate)
            && (part.burst <= before.burst || granted.burst <= self.base.burst);
        self.violations += u64::from(!holds);
        debug_assert!(holds, "more is lent than the base share");
    }

    fn grant(&self, to: &Peer, me: &Lender<'_>, now: Instant) -> Part {
        let others = self
            .lent
            .iter()
            .filter(|lent| lent.to != *to)
            .fold(Part::default(), |sum, lent| sum.plus(lent.part));
        let target = self.target(to, me, now);
        let kept = self.lent_to(to);
        let steady = Part {
            rate: steady(kept.rate, target.rate),
            burst: steady(kept.burst, target.burst),
        };
        steady.min(self.base.minus(others))
    }

    /// Returns the part that a borrower should hold, by its own request and those of the others. If
    /// the burst is too small to divide, the rate goes with it in proportion, because the remaining
    /// burst holds no tokens.
    fn target(&self, to: &Peer, me: &Lender<'_>, now: Instant) -> Part {
        let burst = self.target_burst(to, me, now);
        let rate = if self.base.burst < LEAST_BURST {
            let along =
                u128::from(self.base.rate) * u128::from(burst) / u128::from(self.base.burst.max(1));
            u64::try_from(along).unwrap_or(0)
        } else {
            self.target_rate(to, now)
        };
        Part { rate, burst }
    }

    fn target_rate(&self, to: &Peer, now: Instant) -> u64 {
        let own = self.own_rate(now);
        let free = self.base.rate.saturating_sub(own);
        let wants = |lent: &Lent| match lent.want.is_empty() {
            true => 0,
            false => lent.want.rate.max(1),
        };
        let sum: u64 = self.lent.iter().map(wants).sum();
        let mine = self
            .lent
            .iter()
            .find(|lent| lent.to == *to)
            .map_or(0, wants);
        if sum == 0 {
            return 0;
        }
        if sum <= free && own > 0 {
            return mine;
        }
        if sum <= free {
            let scaled = u128::from(free) * u128::from(mine) / u128::from(sum);
            return u64::try_from(scaled).unwrap_or(free);
        }
        let all: Vec<_> = self.lent.iter().map(wants).collect();
        mine.min(level(&all, free))
    }

    /// Returns the rate that the lender's own callers need.
    fn own_rate(&self, now: Instant) -> u64 {
        if self.demand.is_active(now) {
            self.demand.rate_micros(OWN_ROOM)
        } else {
            0
        }
    }

    fn target_burst(&self, to: &Peer, me: &Lender<'_>, now: Instant) -> u64 {
        let own = if self.demand.is_active(now) {
            self.base.burst
        } else {
            0
        };
        let Some(mine) = self.lent.iter().find(|lent| lent.to == *to) else {
            return 0;
        };
        if self.base.burst < LEAST_BURST {
            return self.whole_burst(mine, own, me, now);
        }
        let free = self.base.burst - own / OWN_BURST.1 * OWN_BURST.0;
        let others = self.lent.iter().filter(|lent| lent.to != mine.to);
        let mut wants: Vec<_> = others.map(|lent| lent.burst_wanted(now)).collect();
        wants.push(mine.want.burst);
        mine.want.burst.min(level(&wants, free))
    }

    /// Returns a borrower's portion of a burst that is too small to divide, which goes to one
    /// claimant after the other.
    fn whole_burst(&self, mine: &Lent, own: u64, me: &Lender<'_>, now: Instant) -> u64 {
        let order = |lent: &Lent| {
            if lent.is_new(now) {
                return (false, 0);
            }
            me.order(&lent.to.instance, lent.is_starved(now))
        };
        let starved = self.demand.is_urgent(now);
        let suffices = own >= self.demand.largest_micros();
        let own = Claimant {
            order: match suffices {
                true => (false, 0),
                false => me.order(me.instance, starved),
            },
            want: own,
        };
        let claimants = self.lent.iter().map(|lent| Claimant {
            order: order(lent),
            want: lent.want.burst,
        });
        let place = order(mine);
        let ahead = claimants
            .chain([own])
            .filter(|claimant| claimant.order < place)
            .map(|claimant| claimant.want)
            .fold(0, u64::saturating_add);
        mine.want.burst.min(self.base.burst.saturating_sub(ahead))
    }

    /// Returns the borrowers that should send a new request, because they hold more than they
    /// should or may receive more.
    pub(crate) fn nudged(&self, me: &Lender<'_>, now: Instant) -> Vec<Peer> {
        let free = self.base.minus(self.lent_part(now));
        let is_off = |lent: &&Lent| {
            let target = self.target(&lent.to, me, now);
            let over = is_above(lent.part.rate, target.rate, self.base.rate)
                || is_above(lent.part.burst, target.burst, self.base.burst);
            let under = Part {
                rate: lent.part.rate.saturating_add(free.rate).min(target.rate),
                burst: lent.part.burst.saturating_add(free.burst).min(target.burst),
            };
            over || is_above(under.rate, lent.part.rate, self.base.rate)
                || is_above(under.burst, lent.part.burst, self.base.burst)
        };
        self.lent
            .iter()
            .filter(is_off)
            .map(|lent| lent.to.clone())
            .collect()
    }
}

/// Returns `kept` if it differs from `target` by at most an eighth of `target`, and `target`
/// otherwise. Loans therefore do not change at every request.
fn steady(kept: u64, target: u64) -> u64 {
    let is_near = kept <= target.saturating_add(target / 8) && kept >= target - target / 8;
    if is_near { kept } else { target }
}

/// Whether `value` exceeds `target` by more than an eighth of `whole`.
fn is_above(value: u64, target: u64, whole: u64) -> bool {
    value > target.saturating_add(whole / 8)
}

/// Returns the greatest limit for which the wants, each capped at the limit, add up to at most
/// `total`.
fn level(wants: &[u64], total: u64) -> u64 {
    let mut sorted = wants.to_vec();
    sorted.sort_unstable();
    let mut left = total;
    for (index, want) in sorted.iter().enumerate() {
        let share = left / (sorted.len() - index) as u64;
        if *want > share {
            return share;
        }
        left -= want;
    }
    total
}
