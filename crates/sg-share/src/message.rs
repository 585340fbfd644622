//! Messages between the engines of different instances.
//!
//! Fields have one-letter names on the wire because messages are sent as JSON.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{
    budget,
    claim::Claim,
    part::{Part, is_zero},
};

/// A message between engines. The number of a request is unique within the sender's incarnation, and
/// the answer carries the same number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "kebab-case")]
pub enum Message {
    /// Asks a voter to confirm claims. The message also serves as a heartbeat.
    Confirm {
        /// Number of the request.
        #[serde(rename = "n")]
        request: u64,
        /// Claims that the sender holds.
        #[serde(rename = "s")]
        claims: Vec<ClaimId>,
    },
    /// Answers [`Message::Confirm`] with the confirmed claims.
    Vouch {
        /// Number of the request.
        #[serde(rename = "n")]
        request: u64,
        /// Claims that the voter confirms.
        #[serde(rename = "s")]
        claims: Vec<ClaimId>,
        /// Slots that the voter holds and votes with.
        #[serde(rename = "v")]
        votes: Vec<Slot>,
        /// Claims known to the voter that contradict claims in the request.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        newer_claims: Vec<Claim>,
    },
    /// Asks a voter to stop vouching for the earlier holders of a slot.
    Yield {
        /// Claim that the sender wrote or, in a trial, would write.
        #[serde(rename = "c")]
        claim: Claim,
        /// Whether the sender only asks if the holder is silent to the voter too, without a promise.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        trial: bool,
    },
    /// Answers [`Message::Yield`]: the voter promises not to vouch for the earlier holders of a slot
    /// or, in a trial, agrees that the holder is silent.
    Yielded {
        /// Claim in the answered message.
        #[serde(rename = "s")]
        claim: ClaimId,
        /// Whether the message answers a trial.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        trial: bool,
        /// Slots that the voter holds and votes with.
        #[serde(rename = "v")]
        votes: Vec<Slot>,
    },
    /// Requests loans, renews them and returns parts that are not needed.
    Borrow {
        /// Number of the request.
        #[serde(rename = "n")]
        request: u64,
        /// One entry for each budget.
        #[serde(rename = "l")]
        loans: Vec<LoanRequest>,
    },
    /// Answers [`Message::Borrow`].
    Lend {
        /// Number of the request.
        #[serde(rename = "n")]
        request: u64,
        /// One entry for each requested budget.
        #[serde(rename = "l")]
        loans: Vec<LoanGrant>,
    },
    /// Asks the receiver to send [`Message::Borrow`] now, because the part that the receiver may hold
    /// has changed.
    Nudge {
        /// Budgets whose parts have changed.
        #[serde(rename = "b")]
        budgets: Vec<budget::Id>,
    },
    /// Asks a holder of several slots to release one, because the sender holds none.
    Seek,
}

/// Identifies a claim by its slot and term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimId {
    /// Slot of the claim.
    #[serde(rename = "s")]
    pub slot: Slot,
    /// Term of the claim.
    #[serde(rename = "t")]
    pub term: u64,
}

/// A borrower's request for one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Budget that is requested.
    #[serde(rename = "i")]
    pub id: budget::Id,
    /// Part of earlier loans that the borrower continues to use. If absent, the borrower uses the
    /// whole part of the newest grant.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub keep: Option<Part>,
    /// Tokens that the borrower returns with the part that it no longer uses, in millionths.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub returned_tokens: u64,
    /// Part that the borrower would like to hold.
    #[serde(rename = "w", default, skip_serializing_if = "is_empty")]
    pub want: Part,
    /// Whether a refused caller waits.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub urgent: bool,
}

/// A lender's answer for one budget, valid from the time of the borrower's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Budget that is lent.
    #[serde(rename = "i")]
    pub id: budget::Id,
    /// Total part that the borrower may hold from this lender. The value replaces that of
    /// the earlier grant.
    #[serde(rename = "p", default, skip_serializing_if = "is_empty")]
    pub part: Part,
    /// Tokens granted together with the added part, in millionths.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub tokens: u64,
}

fn is_empty(part: &Part) -> bool {
    part.is_empty()
}
