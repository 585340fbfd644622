//! The messages between asking instances and a dispatcher.

use sg_place::hash::Object;
use sg_types::prelude::*;

use crate::message::{Ask, Decision, End, Lease, Ticket};

/// Names a service in a message. A message with an unknown key is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(u32);

impl ServiceKey {
    /// Returns the key of `service`, which is the same on all instances.
    #[must_use]
    pub fn of(service: &id::Service) -> Self {
        Self(Object::new("slots", service.as_str()).to_bits() as u32)
    }

    /// Creates a key from its number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// A message about one ask. The ticket's sender is the asking instance in both directions.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// An instance asks for a slot.
    Ask(Ask),
    /// The use of a granted slot has ended.
    End {
        /// Identifies the ask.
        ticket: Ticket,
        /// How the use ended.
        end: End,
    },
    /// The asking instance no longer needs the slot and has not used it.
    Cancel {
        /// Identifies the ask.
        ticket: Ticket,
    },
    /// A slot in use that another dispatcher granted.
    Adopt(Lease),
    /// The dispatcher's answer to an ask.
    Decision(Decision),
}

impl Message {
    /// Returns the ticket that the message is about.
    #[must_use]
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Ask(ask) => ask.ticket,
            Self::End { ticket, .. } | Self::Cancel { ticket } => *ticket,
            Self::Adopt(lease) => lease.ticket,
            Self::Decision(decision) => decision.ticket(),
        }
    }
}

impl Decision {
    /// Returns the ticket of the ask that the decision is about.
    #[must_use]
    pub const fn ticket(&self) -> Ticket {
        match self {
            Self::Grant { ticket, .. }
            | Self::Wait { ticket, .. }
            | Self::Reject { ticket, .. } => *ticket,
        }
    }
}
