//! What the asking instances and the dispatcher of a group tell each other.

use sg_place::{hash::Object, member::LoadReport};
use sg_types::prelude::*;

use crate::order::Bid;

/// Identifies one ask for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// Run of the asking instance.
    pub sender: Incarnation,
    /// Number of the ask within that run.
    pub number: u64,
}

/// A request that needs a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// Identifies the ask.
    pub ticket: Ticket,
    /// Object that the request is about, if targets cache objects.
    pub object: Option<Object>,
    /// What a rejection would cost the caller.
    pub bid: Bid,
    /// Expected work at a target where the object is warm.
    pub warm_work: Span,
    /// Expected work at a target where the object is cold.
    pub cold_work: Span,
    /// Targets that the request may not use.
    pub excluded: Vec<id::Target>,
}

/// A target as the dispatcher knows it from the store and from health checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// Name of the target.
    pub id: id::Target,
    /// Requests that the target can run at once.
    pub slots: u32,
    /// Whether the target takes new requests.
    pub is_usable: bool,
    /// Whether the target is cold and takes only few requests.
    pub is_cold: bool,
}

/// How the use of a granted slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded.
    Answered,
    /// The target did not run the request, because it had no capacity or the asking instance could not use
    /// the grant.
    NotRun,
    /// The connection was lost.
    Lost,
    /// The asking instance gave up the send, because no response arrived in time. That says nothing against the
    /// target: the work varies, and the object may have been cold.
    Late,
}

/// The end of the use of a granted slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// How the use ended.
    pub outcome: Outcome,
    /// What the target reported of its load in its response.
    pub report: Option<LoadReport>,
    /// Time that the target worked on the request, if it was measured.
    pub work: Option<Span>,
}

/// A slot in use, as an asking instance tells a new dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Lease {
    /// Identifies the ask that the slot was granted for.
    pub ticket: Ticket,
    /// Target whose slot is in use.
    pub target: id::Target,
    /// Object that the request is about.
    pub object: Option<Object>,
    /// Expected work of the request.
    pub work: Span,
    /// Time since the request was sent.
    pub age: Span,
    /// Time until the response is due.
    pub deadline_left: Span,
}

/// A decision of the dispatcher about one ask.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request may be sent to the target now.
    Grant {
        /// Identifies the ask.
        ticket: Ticket,
        /// Target whose slot is granted.
        target: id::Target,
        /// Whether the request's object is warm at the target.
        is_warm: bool,
    },
    /// The request waits for a slot.
    Wait {
        /// Identifies the ask.
        ticket: Ticket,
        /// Expected time until the grant.
        expected: Span,
    },
    /// The request gets no slot.
    Reject {
        /// Identifies the ask.
        ticket: Ticket,
        /// Time after which the caller may expect capacity.
        retry_after: Span,
    },
}
