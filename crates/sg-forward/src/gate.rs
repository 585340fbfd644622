//! What the request path needs from the rest of the system.

use std::{net::SocketAddr, sync::Arc};

use sg_steer::Steer;
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

    /// Tells whether [`Admission::admit`] would refuse now, and takes nothing. Asked before a body is
    /// read, so that excess is refused at the price of its headers.
    ///
    /// # Errors
    /// [`Refusal`] if `admit` would refuse.
    fn peek(&self, account: &id::Account, now: Instant) -> Result<(), Refusal> {
        let _ = (account, now);
        Ok(())
    }
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

/// The parts that the request path is made with.
#[derive(Debug)]
pub struct Gates<T, A, F, S, N, D> {
    /// The tree in force.
    pub tree: T,
    /// Counts requests against budgets.
    pub admission: A,
    /// Tells whether keyed routes may be served.
    pub freshness: F,
    /// Chooses targets.
    pub steer: S,
    /// Tells all instances something.
    pub announce: N,
    /// Knows the other instances.
    pub directory: D,
}

/// The types of a [`Gates`], so that the modules of the request path carry one parameter.
pub trait Parts: Send + Sync + 'static {
    /// See [`Gates::tree`].
    type Tree: Tree;
    /// See [`Gates::admission`].
    type Admission: Admission;
    /// See [`Gates::freshness`].
    type Freshness: Freshness;
    /// See [`Gates::steer`].
    type Steer: Steer;
    /// See [`Gates::announce`].
    type Announce: Announce;
    /// See [`Gates::directory`].
    type Directory: Directory;

    /// The tree in force.
    fn tree(&self) -> &Self::Tree;
    /// Counts requests against budgets.
    fn admission(&self) -> &Self::Admission;
    /// Tells whether keyed routes may be served.
    fn freshness(&self) -> &Self::Freshness;
    /// Chooses targets.
    fn steer(&self) -> &Self::Steer;
    /// Tells all instances something.
    fn announce(&self) -> &Self::Announce;
    /// Knows the other instances.
    fn directory(&self) -> &Self::Directory;
}

impl<T, A, F, S, N, D> Parts for Gates<T, A, F, S, N, D>
where
    T: Tree,
    A: Admission,
    F: Freshness,
    S: Steer,
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
