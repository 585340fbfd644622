//! Decides whether an instance fetches changes of the store from another instance that knows more.
//!
//! The load: after the loss of a whole fleet all instances read the store at the same time. Whoever is ready
//! first must not be asked for everything by all others, which are about to know the same, while the first
//! requests arrive.

use sg_types::prelude::*;

use crate::follower::StoreContact;

/// Time for the first listing of a prefix, in which no other instance is asked for the prefix.
const FIRST_LISTING_TIME: Span = Span::from_millis(300);
/// Time for which others have to know more before one of them is asked, while the store is silent but no
/// call has failed.
const SILENT_STORE_DELAY: Span = Span::from_secs(1);

/// Time without any change after which other failure domains are asked for changes of targets and instances.
/// Targets change all the time, so that an instance whose domain keeps up learns of changes more often.
const MAX_STANDSTILL: Span = Span::from_secs(1);

/// Time that a failure domain has to learn of an order or a configuration from its own follower before its
/// instances ask other domains. All would ask the one that knows first.
const HEAD_START: Span = Span::from_millis(300);

/// Time for which an instance that follows the store may lack a change that others know. A narrow link may need
/// longer for what the store returns than for what other instances do.
const SLOW_STORE_DELAY: Span = Span::from_millis(500);

/// Returns how long an instance that has been behind for `behind` still waits for the follower of its failure domain
/// before it asks other domains for orders and configurations.
#[must_use]
pub fn head_start_left(behind: Span) -> Option<Span> {
    let left = HEAD_START.saturating_sub(behind);
    (left > Span::ZERO).then_some(left)
}

/// Returns whether an instance that rests on a follower of its own failure domain, and has learnt of no change
/// for `standstill`, asks other domains that know more.
///
/// The load: targets write heartbeats all the time, and some other domain is always ahead by a few. Each
/// answer between regions carries all heartbeats since the last one.
#[must_use]
pub fn may_ask_other_domains(standstill: Span) -> bool {
    standstill >= MAX_STANDSTILL
}

/// How an instance stands that knows less of a prefix than another one.
#[derive(Debug, Clone, Copy)]
pub struct Lag {
    /// Whether the instance has read the prefix at least once.
    pub is_initialized: bool,
    /// Whether the instance follows the store itself.
    pub is_following: bool,
    /// The contact of the instance with the store.
    pub contact: StoreContact,
    /// Time without a successful call after which the store counts as silent.
    pub silence_timeout: Span,
    /// Time for which another instance has known more.
    pub behind: Span,
    /// Time for which another instance has known a change that has to be in force soon, and that this one lacks.
    pub lacking: Span,
}

impl Lag {
    /// Returns whether to fetch from an instance that knows more.
    ///
    /// That is so while calls to the store fail and while the instance doesn't follow the store, but not before
    /// its first listing had time to end. An instance that follows the store waits for the store unless the
    /// store is silent, or slow with a change that has to be in force soon.
    #[must_use]
    pub fn must_fetch(&self, now: Instant) -> bool {
        if self.contact.failing_since.is_some() {
            return true;
        }
        if !self.is_initialized {
            return self.behind >= FIRST_LISTING_TIME;
        }
        let Some(last_success) = self.contact.last_success else {
            return true;
        };
        let is_silent = now.since(last_success) > self.silence_timeout;
        let is_slow = self.lacking >= SLOW_STORE_DELAY;
        !self.is_following || is_slow || is_silent && self.behind >= SILENT_STORE_DELAY
    }
}
