//! Bounds the requests per second that a target receives from all instances together, while the target
//! states such a limit.
//!
//! Only a few instances send to a limited target: the ones that rank highest for the target, those of
//! the target's region first. The rate is divided evenly over these senders, each of which keeps a token
//! bucket. There are at most as many senders as the target takes requests per second, so that the bursts
//! of their buckets add up to no more than the requests of one second.
//!
//! An instance that is no sender receives no responses that could tell it of a change. Instances
//! therefore announce to each other what targets state. If none of them hears of a target for a while,
//! because its senders have no requests for it, the next instances in rank take their turn.

use std::cmp::Reverse;

use sg_types::prelude::*;

use crate::{Target, hash::Object, location::Location};

/// Time for which an instance announces a statement that it received.
const ANNOUNCE_TIME: Span = Span::from_secs(10);
/// Time by which another instance's announcement that a limit was lifted must be newer than the known
/// statement. The ages in announcements leave out the time in transit.
const LIFT_MARGIN: Span = Span::from_secs(1);
/// Time for which responses have to omit the rate before the limit is lifted. A target may state the rate
/// in some of its responses only.
const LIFT_CONFIRMATION: Span = Span::from_secs(2);
/// Time without a statement after which it is the turn of the next senders, in addition to the time in
/// which a sender may send [`REQUESTS_PER_TURN`].
const TURN: Span = Span::from_secs(10);
/// Requests that a sender may send in a turn at least: the first and the last response without a rate
/// before the limit is lifted.
const REQUESTS_PER_TURN: f64 = 2.0;
/// Least rate at which the instances together send to a target, in requests per second. A target that
/// takes less is still asked now and then, so that the end of its limit is noticed.
const MIN_RATE: f64 = 1.0 / 30.0;

/// A change of the rate that a target states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The target states this rate, which it did not state before.
    Stated(Rate),
    /// The target no longer states a rate.
    Lifted,
}

/// What a target stated in a response, as one instance announces it to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Rate that the target takes from all instances together; `None` if it states no limit.
    pub rate: Option<Rate>,
    /// Time since the response arrived.
    pub age: Span,
}

/// Part of a target's rate that one instance may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be sent at once.
    pub burst: f64,
}

impl Share {
    /// Returns the share of the instance at `location` in the `rate` that `target` states. The shares of
    /// all instances add up to the rate if they know the same instances. In turn 0 the instances that
    /// rank highest send, in each further turn the next ones; the last of them may be fewer.
    #[must_use]
    pub fn of(rate: Rate, target: &Target, location: &Location, turn: usize) -> Self {
        let rate = rate.as_f64().max(MIN_RATE);
        let instances = location.instances.len().max(1);
        let senders = (rate.ceil() as usize).clamp(1, instances);
        let scope = Object::new("rate-limit", target.id.as_str());
        let rank = |instance: &id::Instance| {
            let is_near = location.region_of(instance) == Some(&target.region);
            (Reverse(is_near), Reverse(scope.score(instance)))
        };
        let own = rank(&location.instance);
        let higher = location.instances.iter().filter(|other| rank(other) < own);
        let own_turn = higher.count() / senders;
        if turn % instances.div_ceil(senders) != own_turn {
            return Self::default();
        }
        let rate = rate / senders as f64;
        Self {
            rate,
            burst: rate.max(1.0),
        }
    }
}

/// The rate that a target stated last, and the tokens of this instance's share.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateLimit {
    stated: Option<Rate>,
    stated_at: Instant,
    /// The last statement that this instance itself received, with its time.
    received: Option<(Option<Rate>, Instant)>,
    /// When the first response without a rate since the last statement arrived.
    unstated_since: Option<Instant>,
    share: Share,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Returns the rate in force, if the target states one.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.stated
    }

    /// Returns this instance's share of the rate.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Records what a response to a request of this instance states; `sent_at` is when the request was
    /// sent. Responses without a rate lift the limit if no instance hears of a rate for a while. Only
    /// requests that were sent after the last statement count, because responses overtake each other.
    pub fn record(
        &mut self,
        stated: Option<Rate>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if stated.is_none() && !self.confirms_lift(sent_at, now) {
            return None;
        }
        self.received = Some((stated, now));
        self.replace(stated, now, now)
    }

    /// Records a response without a rate. Returns whether the limit is lifted.
    fn confirms_lift(&mut self, sent_at: Instant, now: Instant) -> bool {
        if self.stated.is_none() || sent_at < self.stated_at {
            return false;
        }
        let since = *self.unstated_since.get_or_insert(now);
        now.since(since) >= LIFT_CONFIRMATION
    }

    /// Adopts what another instance announces, if that is newer than what is known.
    pub fn adopt(&mut self, announced: Statement, now: Instant) -> Option<Change> {
        let margin = match announced.rate {
            Some(_) => Span::ZERO,
            None => LIFT_MARGIN,
        };
        let is_newer = now.since(self.stated_at) > announced.age + margin;
        if !is_newer || (announced.rate.is_none() && self.stated.is_none()) {
            return None;
        }
        self.replace(announced.rate, now - announced.age, now)
    }

    /// Returns whose turn it is to send: 0 for the instances that rank highest. Each turn without a
    /// statement is followed by the next one.
    #[must_use]
    pub fn turn(&self, now: Instant) -> usize {
        let rate = self
            .stated
            .map_or(MIN_RATE, |rate| rate.as_f64().max(MIN_RATE));
        let request_interval = Span::from_secs(1).mul_f64(rate.ceil() / rate);
        let turn = TURN + request_interval.mul_f64(REQUESTS_PER_TURN);
        (now.since(self.stated_at).as_secs_f64() / turn.as_secs_f64()) as usize
    }

    /// Returns the statement that this instance received last, unless it is too old to be announced.
    #[must_use]
    pub fn announcement(&self, now: Instant) -> Option<Statement> {
        let (rate, at) = self.received?;
        let age = now.since(at);
        (age < ANNOUNCE_TIME).then_some(Statement { rate, age })
    }

    fn replace(&mut self, stated: Option<Rate>, at: Instant, now: Instant) -> Option<Change> {
        self.stated_at = at;
        self.unstated_since = None;
        let previous = std::mem::replace(&mut self.stated, stated);
        if previous == stated {
            return None;
        }
        if previous.is_none() {
            self.share = Share::default();
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        Some(stated.map_or(Change::Lifted, Change::Stated))
    }

    /// Replaces this instance's share. The tokens that accrued under the old one remain, up to the new
    /// burst.
    pub fn set_share(&mut self, share: Share, now: Instant) {
        self.tokens = self.available(now).min(share.burst);
        self.refilled_at = now;
        self.share = share;
    }

    /// Returns whether this instance may send one more request to the target.
    #[must_use]
    pub fn has_room(&self, now: Instant) -> bool {
        self.stated.is_none() || self.available(now) >= 1.0
    }

    /// Records a request to the target.
    pub fn take(&mut self, now: Instant) {
        if self.stated.is_some() {
            self.tokens = self.available(now) - 1.0;
            self.refilled_at = now;
        }
    }

    /// Returns when this instance may send the next request, in seconds from now; `None` if other
    /// instances use the whole rate.
    #[must_use]
    pub fn seconds_to_room(&self, now: Instant) -> Option<f64> {
        let missing = (1.0 - self.available(now)).max(0.0);
        (self.share.rate > 0.0).then(|| missing / self.share.rate)
    }

    fn available(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * self.share.rate).min(self.share.burst)
    }
}
