//! What the request path needs from the rest of the system.

use std::{net::SocketAddr, sync::Arc};

use sg_tree::View;
use sg_types::prelude::*;

/// An account's budget is used up here and now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// When to try again.
    pub retry_after: Span,
    /// Whether share may arrive within moments, so that waiting a little is worth it.
    pub may_wait: bool,
}

/// Counts requests against fleet-wide budgets.
pub trait Admission: Send + Sync + 'static {
    /// Takes one request from the account's budget. Called after the last wait before the use.
    ///
    /// # Errors
    /// [`Refusal`] if this instance's share is used up or no longer valid.
    fn admit(&self, account: &id::Account, now: Instant) -> Result<(), Refusal>;
}

/// Tells whether this instance knows enough to serve keyed routes.
pub trait Freshness: Send + Sync + 'static {
    /// Whether a withdrawal of a key would have reached this instance.
    fn is_fresh(&self, now: Instant) -> bool;
}

/// The tree in force.
pub trait Tree: Send + Sync + 'static {
    /// The view in force; `None` until the first one is known.
    fn view(&self) -> Option<Arc<View>>;
}

/// Tells all instances something at once.
pub trait Announce: Send + Sync + 'static {
    /// Sends `notice` to the other instances, soon and without waiting.
    fn announce(&self, notice: Notice);
}

/// Knows the other instances.
pub trait Directory: Send + Sync + 'static {
    /// Where callers reach `instance`, if that run of it is believed to be alive.
    fn entry(&self, instance: &id::Instance, incarnation: Incarnation) -> Option<SocketAddr>;
}
