//! The lender's side: what goes to whom.
//!
//! A lender debits itself before it answers, counts the greater of what the borrower still uses and
//! what it is granted, and takes it back after the borrower's time is certainly over, or once the
//! borrower said that it stopped to use it.

use sg_types::prelude::*;

use super::{Ledger, NANOS, Terms};
use crate::{
    engine::{Fault, Peer},
    message::{Ask, Grant},
    panel,
    part::Part,
};

/// Room above the own demand that a lender keeps.
const OWN_ROOM: f64 = 1.25;
/// The part of its burst that a lender with callers of its own keeps: three of four.
const OWN_BURST: (u64, u64) = (3, 4);
/// A base burst below this many millionths is too small to cut further; one user gets it whole.
const LEAST_BURST: u64 = 2 * rate::MICRO;

/// How long a borrower counts as starved after it said so.
const STARVED: Span = Span::from_millis(120);

/// How long a borrower keeps a burst that is too small to cut, so that it is used between moves.
const HOLD: Span = Span::from_millis(100);

/// What is lent to one borrower.
#[derive(Debug, Clone)]
pub(crate) struct Lent {
    pub(crate) to: Peer,
    /// The greater of what the borrower uses and what it was granted last.
    pub(crate) part: Part,
    granted: Part,
    pub(crate) until: Instant,
    want: Part,
    /// When it said that its bucket is too small for a caller that waits.
    starved: Option<Instant>,
    /// Since when it has held something.
    since: Instant,
}

impl Lent {
    fn is_new(&self, now: Instant) -> bool {
        !self.part.is_empty() && now.since(self.since) < HOLD
    }

    fn is_starved(&self, now: Instant) -> bool {
        self.starved.is_some_and(|at| now.since(at) < STARVED)
    }
}

/// Who lends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lender<'a> {
    pub(crate) instance: &'a id::Instance,
    pub(crate) seed: u64,
}

impl Lender<'_> {
    /// The place of a claimant. Starved ones come first, in an order that all lenders share, so that
    /// whole units come together. The others come in an order of the lender's own, so that lenders
    /// favour different ones.
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

/// One that wants a part of a lender's base share.
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

    /// Handles a borrower's request and answers it. The base share must be valid now.
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

    /// Asserts that a grant that grew leaves all grants within the base share, whatever was debited.
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

    /// What a borrower should hold, by its want and that of the others. Where the burst is too
    /// small to cut, the rate goes with it, because what is left of it fills no bucket.
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

    /// The rate that the callers here need.
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
        let wants: Vec<_> = self.lent.iter().map(|lent| lent.want.burst).collect();
        mine.want.burst.min(level(&wants, free))
    }

    /// A burst that is too small to cut goes to one after the other.
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

    /// Borrowers that should ask again: they hold more than they should, or may have more.
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

/// What is lent already if it is about what it should be, so that it doesn't change at every request.
fn steady(kept: u64, target: u64) -> u64 {
    let is_near = kept <= target.saturating_add(target / 8) && kept >= target - target / 8;
    if is_near { kept } else { target }
}

/// Whether `value` is above `target` by enough of `whole` to act on.
fn is_above(value: u64, target: u64, whole: u64) -> bool {
    value > target.saturating_add(whole / 8)
}

/// The greatest level so that the wants, each cut to it, add up to `total` at most.
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
