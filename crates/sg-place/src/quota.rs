//! A client account's rate and burst, cut into parts that instances lend each other.
//!
//! Each holder refills its part of the rate up to its part of the burst. Tokens move by debit first and
//! credit later, so a lost message loses tokens and never makes any; borrowed tokens lapse soon, so that
//! they do not pile up, and the lender refills what it lent only when they have. Whatever the instances do,
//! in any window all of them together admit no more than the burst and the rate over the window allow, as
//! long as the holders' parts add up to one at most and loans arrive within their trip or not at all.
//!
//! A small account has few holders: a burst that is cut into parts of less than a few tokens would refuse
//! requests that come one at a time.

use std::collections::VecDeque;

use sg_types::prelude::*;

use crate::hash::Object;

/// How long borrowed tokens can be used: well below the window that a quota is judged over.
const BORROWED_LIFE: Span = Span::from_millis(500);
/// The longest way of a loan that is reckoned with, between regions on a bad link. For that long and the
/// life of a loan the lender does not refill what it lent.
const LOAN_TRIP: Span = Span::from_millis(250);
/// The most borrowed tokens that an instance holds, in seconds of its own demand.
const BORROWED_SECONDS: f64 = 1.0;
/// How long an instance does not ask again after all holders had nothing to lend.
const DRY: Span = Span::from_millis(300);
/// Empty answers in a row after which an account is thought dry.
const EMPTY_ANSWERS: u32 = 2;
/// Tokens below which an instance does not ask ahead of requests: each request asks for its own then.
const LEAST_AHEAD: f64 = 2.0;
/// The tokens of a burst that one holder has at least.
const LEAST_PART: f64 = 6.0;
/// The time over which demand is averaged.
const DEMAND_SPAN: f64 = 1.0;
/// A holder keeps what it expects to need over this many seconds and lends the rest.
const KEEP_SECONDS: f64 = 0.4;
/// Below this many seconds of its own demand an instance asks for tokens.
const ASK_SECONDS: f64 = 0.5;
/// The most of its burst that a holder keeps for itself.
const KEEP_PART: f64 = 0.25;

/// The bound of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond that.
    pub burst: f64,
}

/// One instance's part of an account's budget.
#[derive(Debug, Clone)]
pub struct Share {
    tokens: f64,
    borrowed: Loans,
    lent: Loans,
    empty: u32,
    dry_until: Instant,
    demand: f64,
    at: Instant,
}

/// This instance's part of an account's budget, when `whole` of it is to be had by a fleet of
/// `instances`: the same for all while the burst is large, or else that of the first few in rank.
#[must_use]
pub fn part(
    account: &id::Account,
    bounds: Bounds,
    own: &id::Instance,
    instances: &[id::Instance],
    fleet: u32,
    whole: f64,
) -> f64 {
    let fleet = f64::from(fleet.max(1));
    let holders = (bounds.burst / LEAST_PART).floor().max(1.0);
    if holders >= fleet {
        return whole / fleet;
    }
    let scope = Object::new("quota", account.as_str());
    let score = |instance: &id::Instance| (scope.score(instance.as_str()), instance.as_str().len());
    let own = score(own);
    let ahead = instances.iter().filter(|other| score(other) > own).count();
    if (ahead as f64) < holders {
        whole / holders
    } else {
        0.0
    }
}

impl Share {
    /// Starts without tokens: an earlier run of this instance may just have used them.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            borrowed: Loans::default(),
            lent: Loans::default(),
            empty: 0,
            dry_until: now,
            demand: 0.0,
            at: now,
        }
    }

    /// Brings the share up to `now`; `part` is this instance's part of the fleet.
    pub fn refill(&mut self, bounds: Bounds, part: f64, now: Instant) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        self.demand *= (-seconds / DEMAND_SPAN).exp();
        self.lent.lapse(now);
        self.borrowed.lapse(now);
        let tokens = self.tokens + bounds.rate * part * seconds;
        self.tokens = tokens.min(self.room(bounds, part));
    }

    /// Takes one token; `false` if there is none. Either way the request counts as demand.
    pub fn take(&mut self) -> bool {
        self.demand += 1.0 / DEMAND_SPAN;
        self.take_again()
    }

    /// Takes one token for a request that was counted before.
    pub fn take_again(&mut self) -> bool {
        if self.borrowed.take() {
            return true;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// The tokens that are held, borrowed ones among them.
    #[must_use]
    pub fn held(&self) -> f64 {
        self.tokens + self.borrowed.sum()
    }

    /// Returns a token that was not used.
    pub fn put_back(&mut self, bounds: Bounds, part: f64) {
        self.tokens = (self.tokens + 1.0).min(self.room(bounds, part));
    }

    /// How many tokens this instance asks others for.
    #[must_use]
    pub fn wanted(&self, bounds: Bounds, part: f64) -> u32 {
        let held = self.held();
        if self.demand <= bounds.rate * part || held > self.demand * ASK_SECONDS {
            return 0;
        }
        let ahead = self.demand * ASK_SECONDS * 2.0 - held;
        if ahead < LEAST_AHEAD { 0 } else { ahead as u32 }
    }

    /// Takes up to `wanted` tokens out to lend them.
    pub fn lend(&mut self, wanted: u32, bounds: Bounds, part: f64) -> u32 {
        let kept = (self.demand * KEEP_SECONDS).min(most(bounds, part) * KEEP_PART);
        let spare = (self.tokens - kept).max(0.0) as u32;
        let lent = spare.min(wanted);
        self.tokens -= f64::from(lent);
        self.lent
            .add(f64::from(lent), self.at + BORROWED_LIFE + LOAN_TRIP);
        lent
    }

    /// The tokens that may be held beside those that are lent and may yet be used elsewhere.
    fn room(&self, bounds: Bounds, part: f64) -> f64 {
        (most(bounds, part) - self.lent.sum()).max(0.0)
    }

    /// Takes borrowed tokens in. None at all: the lender has nothing to spare.
    pub fn credit(&mut self, tokens: u32, now: Instant) {
        if tokens == 0 {
            self.empty += 1;
            if self.empty >= EMPTY_ANSWERS {
                self.waited(now);
            }
            return;
        }
        self.empty = 0;
        let most = (self.demand * BORROWED_SECONDS).max(LEAST_BORROWED);
        let tokens = f64::from(tokens).min(most - self.borrowed.sum()).floor();
        self.borrowed.add(tokens, now + BORROWED_LIFE);
        self.dry_until = now;
    }

    /// Whether a request that found no token may ask for one: the holders are not known to be dry.
    #[must_use]
    pub fn may_ask(&self, now: Instant) -> bool {
        now >= self.dry_until
    }

    /// A request waited in vain.
    pub fn waited(&mut self, now: Instant) {
        self.empty = 0;
        self.dry_until = now + DRY;
    }

    /// When the next token of its own comes.
    #[must_use]
    pub fn next(&self, bounds: Bounds, part: f64) -> Span {
        let rate = bounds.rate * part;
        if rate <= 0.0 {
            return Span::from_secs(1);
        }
        Span::from_secs(1).mul_f64(((1.0 - self.tokens) / rate).clamp(0.0, 1.0))
    }
}

/// Tokens that were lent, and until when they count.
#[derive(Debug, Clone, Default)]
struct Loans(VecDeque<(Instant, f64)>);

impl Loans {
    fn add(&mut self, tokens: f64, until: Instant) {
        if tokens > 0.0 {
            self.0.push_back((until, tokens));
        }
    }

    fn lapse(&mut self, now: Instant) {
        self.0.retain(|(until, _)| now < *until);
    }

    fn sum(&self) -> f64 {
        self.0.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Takes one token, of the oldest loan first.
    fn take(&mut self) -> bool {
        let Some((_, tokens)) = self.0.iter_mut().find(|(_, tokens)| *tokens >= 1.0) else {
            return false;
        };
        *tokens -= 1.0;
        self.0.retain(|(_, tokens)| *tokens > 0.0);
        true
    }
}

/// The least borrowed tokens that may be held, for requests that come at once after a quiet time.
const LEAST_BORROWED: f64 = 2.0;

/// The most tokens that a holder has. At least one, or it could never admit a request.
fn most(bounds: Bounds, part: f64) -> f64 {
    if part <= 0.0 {
        return 0.0;
    }
    (bounds.burst * part).max(1.0)
}
