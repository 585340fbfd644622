//! What a target says of itself in its responses.

use sg_types::prelude::*;

use crate::member::LoadReport;

/// When a target that turned a request away wants the next request of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// No sooner than after this time.
    In(Span),
    /// The target stated a time that can't be read.
    Unreadable,
}

/// What a target says of itself in one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SelfReport {
    /// The target's load.
    pub load: Option<LoadReport>,
    /// Requests per second that the target takes from all instances together.
    pub rate_limit: Option<Rate>,
    /// Whether the target is about to stop and takes no new requests.
    pub is_leaving: bool,
    /// When the target wants the next request of this instance, if it turned a request away.
    pub retry_after: Option<RetryAfter>,
}
