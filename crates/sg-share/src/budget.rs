//! Budgets: a rate and a burst that apply to all instances together.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

/// Identifies a budget by the resource that the budget limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Id {
    /// Requests of a client account.
    Account(id::Account),
    /// Requests that a service can handle in a region.
    Capacity(id::Service, id::Region),
    /// Answer traffic of a service on the link between two regions.
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

/// Limits the whole fleet to at most `burst + rate * T` units in any window `T`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Units per second.
    pub rate: Rate,
    /// Units that may be taken at once.
    pub burst: u32,
}

/// The error returned when this instance's share does not cover a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("share of the budget is exhausted; retry after {retry_after}")]
pub struct Exhausted {
    /// Time after which the caller may try again.
    pub retry_after: Span,
    /// Whether a loan may arrive soon, so that the caller should wait briefly and try again.
    pub may_borrow: bool,
}
