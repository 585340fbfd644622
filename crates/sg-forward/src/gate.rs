//! Traits through which the request path reaches the rest of the system.

use std::{net::SocketAddr, sync::Arc};

use sg_steer::Selector;
use sg_tree::View;
use sg_types::prelude::*;

/// A refusal because the account's budget is used up on this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The time after which a retry may succeed.
    pub retry_after: Span,
    /// Whether budget may arrive within moments, so that a short wait is worthwhile.
    pub may_wait: bool,
}

/// Counts requests against fleet-wide budgets.
pub trait Admission: Send + Sync + 'static {
    /// Takes one request from the account's budget. Called after the last wait before the request
    /// is sent.
    ///
    /// # Errors
    /// [`Refusal`] if this instance's share is used up or no longer valid.
    fn admit(&self, account: &id::Account, now: Instant) -> Result<(), Refusal>;

    /// Checks whether [`Admission::admit`] would refuse now, without taking from the budget. Called
    /// before a body is read, so that excess requests are refused at the cost of reading their
    /// headers.
    ///
    /// # Errors
    /// [`Refusal`] if `admit` would refuse.
    fn peek(&self, account: &id::Account, now: Instant) -> Result<(), Refusal> {
        let _ = (account, now);
        Ok(())
    }
}

/// Reports whether this instance is up to date enough to serve keyed routes.
pub trait Freshness: Send + Sync + 'static {
    /// Returns whether a withdrawal of a key would have reached this instance.
    fn is_fresh(&self, now: Instant) -> bool;
}

/// Provides the tree in force.
pub trait Tree: Send + Sync + 'static {
    /// Returns the view in force; `None` until the first view is known.
    fn view(&self) -> Option<Arc<View>>;
}

/// Sends notices to all instances.
pub trait Announce: Send + Sync + 'static {
    /// Queues `notice` for prompt delivery to the other instances without waiting.
    fn announce(&self, notice: Notice);
}

/// Finds the other instances.
pub trait Directory: Send + Sync + 'static {
    /// Returns the address at which callers reach `instance`, if that incarnation is believed to be
    /// alive.
    fn entry(&self, instance: &id::Instance, incarnation: Incarnation) -> Option<SocketAddr>;
}

/// The dependencies of the request path.
#[derive(Debug)]
pub struct Gates<T, A, F, S, N, D> {
    /// Provides the tree in force.
    pub tree: T,
    /// Counts requests against budgets.
    pub admission: A,
    /// Reports whether keyed routes may be served.
    pub freshness: F,
    /// Chooses targets.
    pub steer: S,
    /// Sends notices to all instances.
    pub announce: N,
    /// Finds the other instances.
    pub directory: D,
}

/// The types of a [`Gates`], bundled so that the modules of the request path need a single type
/// parameter.
pub trait Parts: Send + Sync + 'static {
    /// See [`Gates::tree`].
    type Tree: Tree;
    /// See [`Gates::admission`].
    type Admission: Admission;
    /// See [`Gates::freshness`].
    type Freshness: Freshness;
    /// See [`Gates::steer`].
    type Steer: Selector;
    /// See [`Gates::announce`].
    type Announce: Announce;
    /// See [`Gates::directory`].
    type Directory: Directory;

    /// Returns the provider of the tree in force.
    fn tree(&self) -> &Self::Tree;
    /// Returns the counter of requests against budgets.
    fn admission(&self) -> &Self::Admission;
    /// Returns the check of whether keyed routes may be served.
    fn freshness(&self) -> &Self::Freshness;
    /// Returns the target selection.
    fn steer(&self) -> &Self::Steer;
    /// Returns the sender of notices.
    fn announce(&self) -> &Self::Announce;
    /// Returns the directory of instances.
    fn directory(&self) -> &Self::Directory;
}

impl<T, A, F, S, N, D> Parts for Gates<T, A, F, S, N, D>
where
    T: Tree,
    A: Admission,
    F: Freshness,
    S: Selector,
    N: Announce,
    D: Directory,
{
    type Tree = T;
    type Admission = A;
    type Freshness = F;
    type Steer = S;
    type Announce = N;
    type Directory = D;

    fn tree(&self) -> &T {
        &self.tree
    }

    fn admission(&self) -> &A {
        &self.admission
    }

    fn freshness(&self) -> &F {
        &self.freshness
    }

    fn steer(&self) -> &S {
        &self.steer
    }

    fn announce(&self) -> &N {
        &self.announce
    }

    fn directory(&self) -> &D {
        &self.directory
    }
}
