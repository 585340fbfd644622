//! A client account's rate and burst, divided into shares that instances lend each other.
//!
//! Each instance that holds a part of the budget, a holder, refills its part of the rate up to its
//! part of the burst. Tokens are debited at the lender before they are credited to the borrower, so
//! a lost message loses tokens and never creates any. Borrowed tokens expire soon, so that they do
//! not accumulate, and the lender refills the lent tokens only after they have expired. In any
//! window, all instances together thus admit at most the burst plus the rate over the window, as
//! long as the holders' parts add up to at most one and loans arrive within the maximum trip time
//! or not at all.
//!
//! A direct token is lent for a request that waits for it. Its lifetime counts from the ask, by the
//! borrower's clock, and thus ends before the lender refills the token, however long the datagrams
//! take.
//!
//! A small account has few holders: a burst divided into parts of only a few tokens would refuse
//! requests that come one at a time.

use std::collections::VecDeque;

use sg_types::prelude::*;

use crate::hash::Object;

/// How long borrowed tokens can be used. The time is well below the window over which a quota is
/// evaluated.
const LOAN_LIFETIME: Span = Span::from_millis(500);
/// Maximum trip time of a loan, between regions over a bad link. The lender refills lent tokens
/// only after this time plus the lifetime of the loan.
const MAX_LOAN_TRIP: Span = Span::from_millis(250);
/// How long after its ask a direct token can be used: a round trip to another region, with spare time
/// for delays. The lender refills the token only after this time from lending.
const DIRECT_LIFETIME: Span = Span::from_millis(150);
/// Maximum number of borrowed tokens that an instance holds, in seconds of its own demand.
const MAX_BORROWED_SECONDS: f64 = 1.0;
/// How long an instance does not ask for tokens after the holders had none to lend.
const BORROW_PAUSE: Span = Span::from_millis(300);
/// Number of consecutive replies without tokens after which the holders count as out of tokens.
const MAX_EMPTY_REPLIES: u32 = 2;
/// Minimum number of tokens to ask for ahead of requests. Below, each request asks for its own
/// token.
const MIN_PREFETCH: f64 = 2.0;
/// Minimum part of the burst that one holder has, in tokens.
const MIN_HOLDER_BURST: f64 = 6.0;
/// Time constant of the demand average.
const DEMAND_DECAY_SECONDS: f64 = 1.0;
/// Time over which a holder reserves tokens for its own expected demand; it lends the rest.
const RESERVE_SECONDS: f64 = 0.4;
/// Time of its own demand below which an instance asks for tokens.
const LOW_WATER_SECONDS: f64 = 0.2;
/// Time of its own demand that an instance asks tokens for. It is shorter than the lifetime of a loan,
/// because tokens that are not used in that time are lost.
const PREFETCH_SECONDS: f64 = 0.4;
/// Number of tokens asked of one holder, if there are enough holders. Holders that were not asked keep
/// their tokens for others.
const TOKENS_PER_HOLDER: u32 = 2;
/// Maximum fraction of its burst that a holder reserves for itself.
const MAX_RESERVE_FRACTION: f64 = 0.25;

/// Fleet-wide rate limit of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Requests per second.
    pub rate: f64,
    /// Requests that are admitted beyond the rate in any window.
    pub burst: f64,
}

/// One instance's share of an account's budget, as a token bucket.
#[derive(Debug, Clone)]
pub struct TokenShare {
    tokens: f64,
    borrowed: Loans,
    lent: Loans,
    empty_replies: u32,
    borrowing_paused_until: Instant,
    /// Last replies of holders, as far as they still count.
    replies: IndexMap<id::Instance, Reply>,
    /// Decaying average of the requests per second that arrive at this instance.
    demand: f64,
    refilled_at: Instant,
}

/// Reply of a holder to an ask.
#[derive(Debug, Clone, Copy)]
struct Reply {
    at: Instant,
    is_empty: bool,
}

/// Returns the fraction of an account's budget that the instance `own` holds. `available` is the
/// fraction that the whole fleet of `fleet_size` instances may use. All instances hold equal parts
/// if the burst is large enough; otherwise only the highest-ranked instances hold a part.
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
    /// Creates a share without tokens. An earlier run of this instance may have just used them.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            borrowed: Loans::default(),
            lent: Loans::default(),
            empty_replies: 0,
            borrowing_paused_until: now,
            replies: IndexMap::new(),
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

    /// Takes one token for a request that already counted as demand, and returns whether there was
    /// one.
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

    /// Returns a token that was taken `held` ago and not used. What the account's bucket has refilled since
    /// then is not returned, because the bucket may have been full without the token.
    pub fn return_token(&mut self, bounds: Bounds, fraction: f64, held: Span) {
        let refilled = bounds.rate * held.as_secs_f64();
        let returned = (1.0 - refilled).max(0.0);
        self.tokens = (self.tokens + returned).min(self.headroom(bounds, fraction));
    }

    /// Returns how many tokens to ask other instances for.
    #[must_use]
    pub fn wanted_tokens(&self, bounds: Bounds, fraction: f64) -> u32 {
        let held = self.held_tokens();
        if self.demand <= bounds.rate * fraction || held > self.demand * LOW_WATER_SECONDS {
            return 0;
        }
        let prefetch = self.demand * PREFETCH_SECONDS - held;
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

    /// Takes out up to `wanted` direct tokens to lend and returns their number. Nothing is reserved
    /// for expected requests of this instance, because other requests already wait.
    pub fn lend_direct(&mut self, wanted: u32) -> u32 {
        let lent = (self.tokens as u32).min(wanted);
        self.tokens -= f64::from(lent);
        self.lent
            .add_loan(f64::from(lent), self.refilled_at + DIRECT_LIFETIME);
        lent
    }

    /// Returns how many tokens the share may hold besides borrowed ones. Lent tokens are subtracted
    /// as long as another instance may use them.
    fn headroom(&self, bounds: Bounds, fraction: f64) -> f64 {
        (capacity(bounds, fraction) - self.lent.total()).max(0.0)
    }

    /// Adds borrowed tokens. Zero tokens mean that the lender has none to spare.
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

    /// Adds direct tokens that a holder lent for an ask of `asked_at`. They are lost if the reply comes
    /// too late.
    pub fn credit_direct(&mut self, tokens: u32, asked_at: Instant, now: Instant) {
        let until = asked_at.min(now) + DIRECT_LIFETIME;
        if now < until && tokens > 0 {
            self.borrowed.add_loan(f64::from(tokens), until);
            self.borrowing_paused_until = now;
        }
    }

    /// Records a reply of `holder` to an ask for a waiting request.
    pub fn record_reply(&mut self, holder: id::Instance, is_empty: bool, now: Instant) {
        self.replies
            .retain(|_, reply| now.since(reply.at) < BORROW_PAUSE);
        self.replies.insert(holder, Reply { at: now, is_empty });
    }

    /// Returns when `holder` replied last, if it did so lately.
    #[must_use]
    pub fn replied_at(&self, holder: &id::Instance) -> Option<Instant> {
        Some(self.replies.get(holder)?.at)
    }

    /// Returns whether `holder` had no tokens to spare lately, so that it is not asked.
    #[must_use]
    pub fn is_dry(&self, holder: &id::Instance, now: Instant) -> bool {
        let reply = self.replies.get(holder);
        reply.is_some_and(|reply| reply.is_empty && now.since(reply.at) < BORROW_PAUSE)
    }

    /// Returns whether a request that found no token may ask other instances for one. Requests do
    /// not ask while the holders are known to be out of tokens.
    #[must_use]
    pub fn may_borrow(&self, now: Instant) -> bool {
        now >= self.borrowing_paused_until
    }

    /// Records that a request waited for a token in vain. Further requests do not ask for a while.
    pub fn record_failed_wait(&mut self, now: Instant) {
        self.empty_replies = 0;
        self.borrowing_paused_until = now + BORROW_PAUSE;
    }

    /// Returns the time until the share refills its next token, at most 1 second, or until the instance
    /// may borrow again if it holds no part of the budget.
    #[must_use]
    pub fn time_to_next_token(&self, bounds: Bounds, fraction: f64) -> Span {
        let rate = bounds.rate * fraction;
        if rate <= 0.0 {
            return BORROW_PAUSE;
        }
        Span::from_secs(1).mul_f64(((1.0 - self.tokens) / rate).clamp(0.0, 1.0))
    }
}

/// Divides `wanted` tokens among holders and returns how many to ask of each: the first item of the
/// holder at index 0, and so on. All items together exceed `wanted` by less than one token a holder.
#[must_use]
pub fn divide_request(wanted: u32, holders: usize) -> Vec<u32> {
    let asked = (wanted.div_ceil(TOKENS_PER_HOLDER) as usize).min(holders);
    if asked == 0 {
        return Vec::new();
    }
    vec![wanted.div_ceil(asked as u32); asked]
}

/// Lent or borrowed tokens, each with the time at which they expire.
#[derive(Debug, Clone, Default)]
struct Loans(VecDeque<(Instant, f64)>);

impl Loans {
    /// Adds tokens behind those that expire earlier.
    fn add_loan(&mut self, tokens: f64, until: Instant) {
        if tokens > 0.0 {
            let index = self.0.partition_point(|(other, _)| *other <= until);
            self.0.insert(index, (until, tokens));
        }
    }

    fn expire(&mut self, now: Instant) {
        self.0.retain(|(until, _)| now < *until);
    }

    fn total(&self) -> f64 {
        self.0.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Takes one token from the loan that expires first of those that have one.
    fn take_token(&mut self) -> bool {
        let Some((_, tokens)) = self.0.iter_mut().find(|(_, tokens)| *tokens >= 1.0) else {
            return false;
        };
        *tokens -= 1.0;
        self.0.retain(|(_, tokens)| *tokens > 0.0);
        true
    }
}

/// Number of borrowed tokens that an instance may always hold, whatever its demand: several
/// requests may arrive at once after a quiet period.
const MIN_BORROWED_LIMIT: f64 = 2.0;

/// Returns the maximum number of tokens of a holder. The maximum is at least 1, or the holder could
/// never admit a request.
fn capacity(bounds: Bounds, fraction: f64) -> f64 {
    if fraction <= 0.0 {
        return 0.0;
    }
    (bounds.burst * fraction).max(1.0)
}
