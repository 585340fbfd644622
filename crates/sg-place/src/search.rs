//! The search of a waiting request for a token of its account's quota at the other instances that
//! hold parts of the quota.

use sg_types::prelude::*;

use crate::{location::Location, quota::TokenShare};

/// Time without a reply after which the next holder is asked: several round trips in the own region.
const NEAR_REPLY_TIMEOUT: Span = Span::from_millis(30);
/// Time without a reply after which the next holder is asked if the asked one is in another region:
/// a usual round trip of 72 ms with some spare time.
const FAR_REPLY_TIMEOUT: Span = Span::from_millis(90);
/// Maximum number of asks to one holder in a search. The second ask replaces a lost datagram.
const MAX_ASKS: u32 = 2;

/// Search of one request for a token.
#[derive(Debug)]
pub struct Search {
    candidates: Vec<Candidate>,
    /// Index of the candidate that was asked last.
    current: Option<usize>,
    deadline: Instant,
}

#[derive(Debug)]
struct Candidate {
    holder: id::Instance,
    reply_timeout: Span,
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
    /// All holders had no tokens to spare.
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
            holder,
            asks: 0,
            asked_at: Instant::START,
        };
        Self {
            candidates: holders.into_iter().map(candidate).collect(),
            current: None,
            deadline,
        }
    }

    /// Returns what the request does next if `share` has no token for it at `now`. A holder in
    /// [`Step::Ask`] counts as asked at `now`.
    pub fn next_step(&mut self, share: &TokenShare, now: Instant) -> Step {
        let is_dry = |one: &Candidate| share.is_dry(&one.holder, now);
        if self.candidates.iter().all(is_dry) {
            return Step::Refuse(Shortage::OutOfTokens);
        }
        if now >= self.deadline {
            return Step::Refuse(Shortage::NoReply);
        }
        if let Some(current) = self.current.map(|index| &self.candidates[index]) {
            let timeout = current.asked_at + current.reply_timeout;
            if now < timeout && !current.has_reply(share) {
                return Step::Wait(timeout.min(self.deadline));
            }
        }
        let usable = |asks| move |one: &Candidate| one.asks == asks && !is_dry(one);
        let next = (0..MAX_ASKS).find_map(|asks| self.candidates.iter().position(usable(asks)));
        let Some(index) = next else {
            return Step::Wait(self.deadline);
        };
        self.current = Some(index);
        let candidate = &mut self.candidates[index];
        candidate.asks += 1;
        candidate.asked_at = now;
        Step::Ask(candidate.holder.clone())
    }
}

impl Candidate {
    /// Returns whether the holder replied after it was asked last.
    fn has_reply(&self, share: &TokenShare) -> bool {
        let replied_at = share.replied_at(&self.holder);
        replied_at.is_some_and(|at| at > self.asked_at)
    }
}
