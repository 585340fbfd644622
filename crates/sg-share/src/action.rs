//! Inputs and outputs of the engine: the events that a driver reports and the actions that it
//! carries out.

use sg_types::prelude::*;

use crate::{Message, claim::Claim};

/// An operation that the engine requests from its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message to a peer. The message may be lost, delayed, duplicated or reordered.
    Send {
        /// Instance that receives the message.
        to: id::Instance,
        /// Content of the message.
        message: Message,
    },
    /// Reads all claims from the store in one linearizable call and reports [`Event::Claims`]. If
    /// the call fails, the driver reports nothing, and the engine requests another read later.
    ReadClaims,
    /// Writes a claim without a lease if the version of the slot's key still equals `expect`. The
    /// driver reports [`Event::Written`] on success and [`Event::NotWritten`] on failure, including
    /// a lost answer.
    WriteClaim {
        /// Claim to write.
        claim: Claim,
        /// Store version of the claim that is replaced, or `None` if the key must be absent.
        expect: Option<u64>,
    },
}

/// A claim as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// Content of the claim.
    pub claim: Claim,
    /// Store version of the claim.
    pub version: u64,
}

/// An event that the driver reports to the engine.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A peer sent a message.
    Message {
        /// Instance that sent the message.
        from: id::Instance,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Content of the message.
        message: Message,
    },
    /// The store returned all claims.
    Claims {
        /// Time at which the read was sent, by the clock of this instance.
        sent: Instant,
        /// Claims found in the store.
        claims: Vec<StoredClaim>,
    },
    /// The store accepted a claim.
    Written {
        /// Time at which the write was sent, by the clock of this instance.
        sent: Instant,
        /// Claim that was written.
        claim: Claim,
        /// Store version of the claim.
        version: u64,
    },
    /// A claim was not written because the store holds another version, or the store gave no answer
    /// and may have written the claim.
    NotWritten {
        /// Slot of the claim.
        slot: Slot,
    },
}
