//! The search of a waiting request for a token of its account's quota at the other instances that
//! hold parts of the quota.

use sg_types::prelude::*;

use crate::{location::Location, quota::TokenShare};

/// Time without a reply after which the next holder is asked: several round trips in the own region.
const NEAR_REPLY_TIMEOUT: Span = Span::from_millis(30);
/// Time without a reply after which the next holder is asked if the asked one is in another region:
/// a usual round trip of 72 ms with some spare time.
const FAR_REPLY_TIMEOUT: Span = Span::from_millis(90);
/// Remaining time below which no holder in another region is asked, a usual round trip.
const FAR_ROUND_TRIP: Span = Span::from_millis(72);
/// Minimum time of a search whose failure counts for other requests: two round trips to another region.
const LONG_SEARCH: Span = Span::from_millis(150);
/// Maximum number of asks to one holder in a search. The second ask replaces a lost datagram.
const MAX_ASKS: u32 = 2;

/// Search of one request for a token.
#[derive(Debug)]
pub struct Search {
    candidates: Vec<Candidate>,
    /// Index of the candidate that was asked last.
    current: Option<usize>,
    deadline: Instant,
    /// Whether the search has enough time that its failure counts for other requests.
    is_long: bool,
}

#[derive(Debug)]
struct Candidate {
    holder: id::Instance,
    reply_timeout: Span,
    /// Shortest time after which a reply is expected.
    round_trip: Span,
    asks: u32,
    asked_at: Instant,
}

/// What the request does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Asks this holder for a token.
    Ask(id::Instance),
    /// Waits for a reply, but not beyond this time.
    Wait(Instant),
    /// Gives up.
    Refuse(Shortage),
}

/// Why a request got no token from other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// All holders that could be asked had no tokens to spare.
    OutOfTokens,
    /// At least one holder did not reply in time.
    NoReply,
}

impl Shortage {
    /// Returns the label of the cause in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OutOfTokens => "out-of-tokens",
            Self::NoReply => "no-reply",
        }
    }
}

impl Search {
    /// Starts a search that ends by `deadline`. `holders` are asked in their order, but first those
    /// of the own region, and last those whose region is unknown, because they may be gone.
    #[must_use]
    pub fn new(mut holders: Vec<id::Instance>, location: &Location, deadline: Instant) -> Self {
        let is_near = |holder: &_| Some(&location.region) == location.region_of(holder);
        holders.sort_by_key(|holder| (!is_near(holder), location.region_of(holder).is_none()));
        let candidate = |holder| Candidate {
            reply_timeout: match is_near(&holder) {
                true => NEAR_REPLY_TIMEOUT,
                false => FAR_REPLY_TIMEOUT,
            },
            round_trip: match is_near(&holder) {
                true => Span::ZERO,
                false => FAR_ROUND_TRIP,
            },
            holder,
            asks: 0,
            asked_at: Instant::START,
        };
        Self {
            candidates: holders.into_iter().map(candidate).collect(),
            current: None,
            deadline,
            is_long: false,
        }
    }

    /// Returns what the request does next if `share` has no token for it at `now`. A holder in
    /// [`Step::Ask`] counts as asked at `now`. If all holders that could be asked had no tokens,
    /// further searches end at once for a while, unless the request itself had little time.
    pub fn next_step(&mut self, share: &mut TokenShare, now: Instant) -> Step {
        if self.current.is_none() {
            self.is_long = self.deadline.since(now) >= LONG_SEARCH;
            if !share.may_borrow(now) {
                return Step::Refuse(Shortage::OutOfTokens);
            }
        }
        if let Some(current) = self.current.map(|index| &self.candidates[index]) {
            let timeout = self.deadline.min(current.asked_at + current.reply_timeout);
            if now < timeout && !current.has_reply(share) {
                return Step::Wait(timeout);
            }
        }
        if let Some(index) = self.next_candidate(share, now) {
            self.current = Some(index);
            let candidate = &mut self.candidates[index];
            candidate.asks += 1;
            candidate.asked_at = now;
            return Step::Ask(candidate.holder.clone());
        }
        let is_empty =
            |one: &Candidate| (self.is_long && one.asks == 0) || share.is_dry(&one.holder, now);
        if self.candidates.iter().all(is_empty) {
            share.record_failed_wait(now);
            return Step::Refuse(Shortage::OutOfTokens);
        }
        if self.current.is_some() && now < self.deadline {
            return Step::Wait(self.deadline);
        }
        Step::Refuse(Shortage::NoReply)
    }

    /// Returns the index of the holder to ask at `now`, if any is left.
    fn next_candidate(&self, share: &TokenShare, now: Instant) -> Option<usize> {
        let is_usable = |one: &Candidate| {
            let is_in_time = now + one.round_trip < self.deadline;
            is_in_time && !share.is_dry(&one.holder, now)
        };
        let asked = |asks| move |one: &Candidate| one.asks == asks && is_usable(one);
        (0..MAX_ASKS).find_map(|asks| self.candidates.iter().position(asked(asks)))
    }
}

impl Candidate {
    /// Returns whether the holder replied after it was asked last.
    fn has_reply(&self, share: &TokenShare) -> bool {
        let replied_at = share.replied_at(&self.holder);
        replied_at.is_some_and(|at| at > self.asked_at)
    }
}
