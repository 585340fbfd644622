//! What engines of different instances tell each other.
//!
//! Field names are short, because a message is sent as JSON.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{
    budget,
    claim::Claim,
    part::{Part, is_zero},
};

/// A message between engines. A number `n` names a request of the sender's run; its answer repeats it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "kebab-case")]
pub enum Message {
    /// Asks a voter whether it still counts these holdings; doubles as a heartbeat.
    Confirm {
        /// The number of the request.
        n: u64,
        /// The sender's slots.
        s: Vec<Term>,
    },
    /// Vouches for holdings.
    Vouch {
        /// The number of the request.
        n: u64,
        /// The holdings that the voter counts.
        s: Vec<Term>,
        /// The slots that the voter votes with.
        v: Vec<Slot>,
        /// Claims that are newer than what was asked about.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        x: Vec<Claim>,
    },
    /// Asks a voter to stop vouching for a slot's earlier holders.
    Yield {
        /// The new claim, or the one that would be written.
        c: Claim,
        /// Whether this only asks if the voter has lost sight of the holder too.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        trial: bool,
    },
    /// Promises not to vouch for a slot's earlier holders.
    Yielded {
        /// What was promised for.
        s: Term,
        /// Whether it was a trial.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        trial: bool,
        /// The slots that the voter votes with.
        v: Vec<Slot>,
    },
    /// Asks for loans, renews them and returns what is not needed.
    Borrow {
        /// The number of the request.
        n: u64,
        /// One for each budget.
        l: Vec<Ask>,
    },
    /// Answers [`Message::Borrow`].
    Lend {
        /// The number of the request.
        n: u64,
        /// One for each budget asked for.
        l: Vec<Grant>,
    },
    /// Asks the receiver to send [`Message::Borrow`] now, because what it may have has changed.
    Nudge {
        /// The budgets.
        b: Vec<budget::Id>,
    },
    /// Asks a holder of several slots to release one, because the sender has none.
    Seek,
}

/// A slot and the term of a claim of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The slot.
    #[serde(rename = "s")]
    pub slot: Slot,
    /// The term.
    #[serde(rename = "t")]
    pub term: u64,
}

/// What a borrower holds and wants of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The budget.
    #[serde(rename = "i")]
    pub id: budget::Id,
    /// What the borrower uses of earlier loans from now on; all that it was granted if absent.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub keep: Option<Part>,
    /// Tokens that it gives back with the part that it stopped to use, in millionths.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub back: u64,
    /// What it would like to hold.
    #[serde(rename = "w", default, skip_serializing_if = "is_empty")]
    pub want: Part,
    /// Whether a caller waits and the borrower's bucket is too small for it.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub starved: bool,
}

/// What a borrower may hold of one budget, from its request on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    #[serde(rename = "i")]
    pub id: budget::Id,
    /// All that it may hold from this lender; replaces what it held.
    #[serde(rename = "p", default, skip_serializing_if = "is_empty")]
    pub part: Part,
    /// Tokens that come with what was added, in millionths.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub tokens: u64,
}

fn is_empty(part: &Part) -> bool {
    part.is_empty()
}
