//! What is shared: a rate and a burst, counted over all instances together.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// What a budget is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Id {
    /// The requests of a client account.
    Account(id::Account),
    /// The requests of a service that a region has capacity for.
    Capacity(id::Service, id::Region),
    /// The traffic of a service on the link between two regions, in answers.
    Link(id::Service, id::Region, id::Region),
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Account(account) => write!(f, "account {account}"),
            Self::Capacity(service, region) => write!(f, "capacity of {service} in {region}"),
            Self::Link(service, a, b) => write!(f, "link of {service} from {a} to {b}"),
        }
    }
}

/// A budget: at most `burst + rate * T` units in any window `T`, over the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Units a second.
    pub rate: Rate,
    /// Units at once.
    pub burst: u32,
}

/// A budget is used up here and now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the budget is used up; try again in {retry_after}")]
pub struct Exhausted {
    /// When to try again.
    pub retry_after: Span,
    /// Whether peers may lend share within moments, so that waiting a little is worth it.
    pub may_borrow: bool,
}
