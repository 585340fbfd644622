//! Traits through which the request path reaches the rest of the system.

use std::{net::SocketAddr, sync::Arc};

use sg_steer::Selector;
use sg_tree::View;
use sg_types::prelude::*;

/// A refusal because the account's budget is used up on this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetRefusal {
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
    /// [`BudgetRefusal`] if this instance's share is used up or no longer valid.
    fn admit(&self, account: &id::Account, now: Instant) -> Result<(), BudgetRefusal>;

    /// Checks whether [`Admission::admit`] would refuse now, without taking from the budget. Called
    /// before a body is read, so that excess requests are refused at the cost of reading their
    /// headers.
    ///
    /// # Errors
    /// [`BudgetRefusal`] if `admit` would refuse.
    fn check(&self, account: &id::Account, now: Instant) -> Result<(), BudgetRefusal> {
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
pub trait TreeProvider: Send + Sync + 'static {
    /// Returns the view in force; `None` until the first view is known.
    fn view(&self) -> Option<Arc<View>>;
}

/// Sends notices to all instances.
pub trait NoticeSender: Send + Sync + 'static {
    /// Queues `notice` for prompt delivery to the other instances without waiting.
    fn send_notice(&self, notice: Notice);
}

/// Finds the other instances.
pub trait Directory: Send + Sync + 'static {
    /// Returns the address at which callers reach `instance`, if that incarnation is believed to be
    /// alive.
    fn instance_address(
        &self,
        instance: &id::Instance,
        incarnation: Incarnation,
    ) -> Option<SocketAddr>;
}

/// The dependencies of the request path.
#[derive(Debug)]
pub struct Dependencies<T, A, F, S, N, D> {
    /// Provides the tree in force.
    pub tree: T,
    /// Counts requests against budgets.
    pub admission: A,
    /// Reports whether keyed routes may be served.
    pub freshness: F,
    /// Chooses targets.
    pub selector: S,
    /// Sends notices to all instances.
    pub notice_sender: N,
    /// Finds the other instances.
    pub directory: D,
}

/// The types of a [`Dependencies`] and access to its fields, so that the modules of the request
/// path need a single type parameter.
pub trait DependencySet: Send + Sync + 'static {
    /// See [`Dependencies::tree`].
    type TreeProvider: TreeProvider;
    /// See [`Dependencies::admission`].
    type Admission: Admission;
    /// See [`Dependencies::freshness`].
    type Freshness: Freshness;
    /// See [`Dependencies::selector`].
    type Selector: Selector;
    /// See [`Dependencies::notice_sender`].
    type NoticeSender: NoticeSender;
    /// See [`Dependencies::directory`].
    type Directory: Directory;

    /// Returns the provider of the tree in force.
    fn tree(&self) -> &Self::TreeProvider;
    /// Returns the counter of requests against budgets.
    fn admission(&self) -> &Self::Admission;
    /// Returns the check of whether keyed routes may be served.
    fn freshness(&self) -> &Self::Freshness;
    /// Returns the target selection.
    fn selector(&self) -> &Self::Selector;
    /// Returns the sender of notices.
    fn notice_sender(&self) -> &Self::NoticeSender;
    /// Returns the directory of instances.
    fn directory(&self) -> &Self::Directory;
}

impl<T, A, F, S, N, D> DependencySet for Dependencies<T, A, F, S, N, D>
where
    T: TreeProvider,
    A: Admission,
    F: Freshness,
    S: Selector,
    N: NoticeSender,
    D: Directory,
{
    type TreeProvider = T;
    type Admission = A;
    type Freshness = F;
    type Selector = S;
    type NoticeSender = N;
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

    fn selector(&self) -> &S {
        &self.selector
    }

    fn notice_sender(&self) -> &N {
        &self.notice_sender
    }

    fn directory(&self) -> &D {
        &self.directory
    }
}
