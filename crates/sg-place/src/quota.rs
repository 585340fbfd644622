//! A client account's rate and burst, divided into shares that instances lend each other.
//!
//! Each holder refills its part of the rate up to its part of the burst. Tokens are debited at the
//! lender before they are credited to the borrower, so a lost message loses tokens and never
//! creates any. Borrowed tokens expire soon, so that they do not accumulate, and the lender refills
//! what it lent only after they have expired. Whatever the instances do, in any window all of them
//! together admit at most the burst plus the rate over the window, as long as the holders' parts
//! add up to at most one and loans arrive within the maximum trip time or not at all.
//!
//! A small account has few holders: a burst divided into parts of only a few tokens would refuse
//! requests that come one at a time.

use std::collections::VecDeque;

use sg_types::prelude::*;

use crate::hash::Object;

/// How long borrowed tokens can be used: well below the window over which a quota is evaluated.
const LOAN_LIFETIME: Span = Span::from_millis(500);
/// Maximum trip time of a loan, between regions over a bad link. The lender does not refill what it
/// lent for this time plus the lifetime of the loan.
const MAX_LOAN_TRIP: Span = Span::from_millis(250);
/// Maximum of borrowed tokens that an instance holds, in seconds of its own demand.
const MAX_BORROWED_SECONDS: f64 = 1.0;
/// How long an instance stops asking for tokens after the holders had none to lend.
const BORROW_PAUSE: Span = Span::from_millis(300);
/// Number of empty answers in a row after which the holders count as out of tokens.
const MAX_EMPTY_REPLIES: u32 = 2;
/// Number of tokens below which an instance does not ask ahead of requests; each request then asks
/// for its own token.
const MIN_PREFETCH: f64 = 2.0;
/// Minimum tokens of the burst that one holder has.
const MIN_HOLDER_BURST: f64 = 6.0;
/// Time constant of the demand average, in seconds.
const DEMAND_DECAY_SECONDS: f64 = 1.0;
/// A holder reserves its expected demand over this many seconds and lends the rest.
const RESERVE_SECONDS: f64 = 0.4;
/// An instance asks for tokens while it holds less than this many seconds of its own demand.
const LOW_WATER_SECONDS: f64 = 0.5;
/// Maximum fraction of its burst that a holder reserves for itself.
const MAX_RESERVE_FRACTION: f64 = 0.25;

/// Fleet-wide rate limit of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate.
    pub burst: f64,
}

/// One instance's share of an account's budget.
#[derive(Debug, Clone)]
pub struct TokenShare {
    tokens: f64,
    borrowed: Loans,
    lent: Loans,
    empty_replies: u32,
    borrowing_paused_until: Instant,
    demand: f64,
    refilled_at: Instant,
}

/// Returns this instance's part of an account's budget, where `whole` of the budget is available to
/// a fleet of `fleet` instances. Parts are equal while the burst is large enough for all instances;
/// otherwise only the highest-ranked instances hold a part.
#[must_use]
pub fn holder_fraction(
    account: &id::Account,
    bounds: Bounds,
    own: &id::Instance,
    instances: &[id::Instance],
    fleet_size: u32,
    available: f64,
) -> f64 {
    let fleet_size = f64::from(fleet_size.max(1));
    let holders = (bounds.burst / MIN_HOLDER_BURST).floor().max(1.0);
    if holders >= fleet_size {
        return available / fleet_size;
    }
    let scope = Object::new("quota", account.as_str());
    let score = |instance: &id::Instance| (scope.score(instance.as_str()), instance.as_str().len());
    let own = score(own);
    let higher_ranked = instances.iter().filter(|other| score(other) > own).count();
    if (higher_ranked as f64) < holders {
        available / holders
    } else {
        0.0
    }
}

impl TokenShare {
    /// Creates a share without tokens, because an earlier run of this instance may have just used
    /// them.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            borrowed: Loans::default(),
            lent: Loans::default(),
            empty_replies: 0,
            borrowing_paused_until: now,
            demand: 0.0,
            refilled_at: now,
        }
    }

    /// Refills the share up to `now`. `fraction` is this instance's part of the account's budget.
    pub fn refill(&mut self, bounds: Bounds, fraction: f64, now: Instant) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.demand *= (-seconds / DEMAND_DECAY_SECONDS).exp();
        self.lent.expire(now);
        self.borrowed.expire(now);
        let tokens = self.tokens + bounds.rate * fraction * seconds;
        self.tokens = tokens.min(self.headroom(bounds, fraction));
    }

    /// Takes one token and returns whether there was one. The request counts as demand either way.
    pub fn take_token(&mut self) -> bool {
        self.demand += 1.0 / DEMAND_DECAY_SECONDS;
        self.take_counted_token()
    }

    /// Takes one token for a request that already counted as demand.
    pub fn take_counted_token(&mut self) -> bool {
        if self.borrowed.take_token() {
            return true;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the tokens held, including borrowed ones.
    #[must_use]
    pub fn held_tokens(&self) -> f64 {
        self.tokens + self.borrowed.total()
    }

    /// Returns a token that was not used.
    pub fn return_token(&mut self, bounds: Bounds, fraction: f64) {
        self.tokens = (self.tokens + 1.0).min(self.headroom(bounds, fraction));
    }

    /// Returns how many tokens to ask other instances for.
    #[must_use]
    pub fn wanted_tokens(&self, bounds: Bounds, fraction: f64) -> u32 {
        let held = self.held_tokens();
        if self.demand <= bounds.rate * fraction || held > self.demand * LOW_WATER_SECONDS {
            return 0;
        }
        let prefetch = self.demand * LOW_WATER_SECONDS * 2.0 - held;
        if prefetch < MIN_PREFETCH {
            0
        } else {
            prefetch as u32
        }
    }

    /// Takes out up to `wanted` tokens to lend and returns their number.
    pub fn lend(&mut self, wanted: u32, bounds: Bounds, fraction: f64) -> u32 {
        let reserve =
            (self.demand * RESERVE_SECONDS).min(capacity(bounds, fraction) * MAX_RESERVE_FRACTION);
        let spare = (self.tokens - reserve).max(0.0) as u32;
        let lent = spare.min(wanted);
        self.tokens -= f64::from(lent);
        self.lent.add_loan(
            f64::from(lent),
            self.refilled_at + LOAN_LIFETIME + MAX_LOAN_TRIP,
        );
        lent
    }

    /// Returns how many tokens of its own the share may hold, given those that are lent and may
    /// still be used elsewhere.
    fn headroom(&self, bounds: Bounds, fraction: f64) -> f64 {
        (capacity(bounds, fraction) - self.lent.total()).max(0.0)
    }

    /// Adds borrowed tokens. Zero means that the lender has none to spare.
    pub fn credit_loan(&mut self, tokens: u32, now: Instant) {
        if tokens == 0 {
            self.empty_replies += 1;
            if self.empty_replies >= MAX_EMPTY_REPLIES {
                self.record_failed_wait(now);
            }
            return;
        }
        self.empty_replies = 0;
        let limit = (self.demand * MAX_BORROWED_SECONDS).max(MIN_BORROWED_LIMIT);
        let tokens = f64::from(tokens).min(limit - self.borrowed.total()).floor();
        self.borrowed.add_loan(tokens, now + LOAN_LIFETIME);
        self.borrowing_paused_until = now;
    }

    /// Returns whether a request that found no token may ask for one, that is, whether the holders
    /// are not known to be out of tokens.
    #[must_use]
    pub fn may_borrow(&self, now: Instant) -> bool {
        now >= self.borrowing_paused_until
    }

    /// Records that a request waited for a token in vain, which stops further asking for a while.
    pub fn record_failed_wait(&mut self, now: Instant) {
        self.empty_replies = 0;
        self.borrowing_paused_until = now + BORROW_PAUSE;
    }

    /// Returns the time until the share's next token of its own, at most 1 second.
    #[must_use]
    pub fn time_to_next_token(&self, bounds: Bounds, fraction: f64) -> Span {
        let rate = bounds.rate * fraction;
        if rate <= 0.0 {
            return Span::from_secs(1);
        }
        Span::from_secs(1).mul_f64(((1.0 - self.tokens) / rate).clamp(0.0, 1.0))
    }
}

/// Lent or borrowed tokens, each with the time at which they expire.
#[derive(Debug, Clone, Default)]
struct Loans(VecDeque<(Instant, f64)>);

impl Loans {
    fn add_loan(&mut self, tokens: f64, until: Instant) {
        if tokens > 0.0 {
            self.0.push_back((until, tokens));
        }
    }

    fn expire(&mut self, now: Instant) {
        self.0.retain(|(until, _)| now < *until);
    }

    fn total(&self) -> f64 {
        self.0.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Takes one token from the oldest loan that has one.
    fn take_token(&mut self) -> bool {
        let Some((_, tokens)) = self.0.iter_mut().find(|(_, tokens)| *tokens >= 1.0) else {
            return false;
        };
        *tokens -= 1.0;
        self.0.retain(|(_, tokens)| *tokens > 0.0);
        true
    }
}

/// Minimum of the bound on borrowed tokens, for requests that come at once after a quiet period.
const MIN_BORROWED_LIMIT: f64 = 2.0;

/// Returns the maximum tokens of a holder. This is at least 1, or the holder could never admit a
/// request.
fn capacity(bounds: Bounds, fraction: f64) -> f64 {
    if fraction <= 0.0 {
        return 0.0;
    }
    (bounds.burst * fraction).max(1.0)
}
