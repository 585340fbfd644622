//! What the engine wants done, and what it is told.

use sg_types::prelude::*;

use crate::{Message, claim::Claim};

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer. It may be lost, late, doubled or out of order.
    Send {
        /// The peer.
        to: id::Instance,
        /// The message.
        message: Message,
    },
    /// Read all claims from the store in one linearizable call, and report [`Event::Claims`].
    /// Nothing is reported if the call fails; the engine asks again by itself.
    ReadClaims,
    /// Write a claim, without a lease, if the slot's key is still at `expect` (`None`: absent).
    /// Report [`Event::Written`], or [`Event::NotWritten`] also when the answer was lost.
    WriteClaim {
        /// The claim.
        claim: Claim,
        /// The store's version of what is replaced.
        expect: Option<u64>,
    },
}

/// A claim as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// The claim.
    pub claim: Claim,
    /// The store's version of it.
    pub version: u64,
}

/// What the driver tells the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message came from a peer.
    Message {
        /// The peer.
        from: id::Instance,
        /// The peer's run.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// All claims, as read by a call that was sent at `sent`.
    Claims {
        /// When the call was sent, by this instance's clock.
        sent: Instant,
        /// What was found.
        claims: Vec<Standing>,
    },
    /// A claim was written.
    Written {
        /// When the call was sent, by this instance's clock.
        sent: Instant,
        /// The claim.
        claim: Claim,
        /// The store's version of it.
        version: u64,
    },
    /// A claim was not written, because another stands there or the store gave no answer.
    NotWritten {
        /// The slot.
        slot: Slot,
    },
}
