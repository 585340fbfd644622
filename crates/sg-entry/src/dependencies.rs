//! Implements the dependencies of the request path on top of the other components.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use sg_clock::Timer;
use sg_forward::dependencies::{
    Admission, BudgetRefusal, Directory, Freshness, NoticeSender, TreeProvider,
};
use sg_peer::{
    config, fresh,
    node::{Members, Notices, Shares},
};
use sg_share::budget;
use sg_steer::{Attempt, Query, Selector};
use sg_tree::View;
use sg_types::prelude::*;

/// Flag that is set once steering has adopted the splits that other instances have in force. The
/// instance serves requests only from then on.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Marks the instance as ready.
    pub fn mark_ready(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether the instance is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Provides the tree in force to the request path.
#[derive(Debug, Clone)]
pub struct TreeSource {
    /// Configuration of the instance.
    pub config: config::Handle,
    /// Readiness of the instance. The request path gets no tree before the instance is ready.
    pub ready: Readiness,
}

impl TreeProvider for TreeSource {
    fn view(&self) -> Option<Arc<View>> {
        self.ready.is_ready().then(|| self.config.view()).flatten()
    }
}

/// Counts requests against the shares that this instance holds of client account budgets.
#[derive(Debug, Clone)]
pub struct AccountAdmission(pub Shares);

impl Admission for AccountAdmission {
    fn admit(&self, account: &id::Account, now: Instant) -> Result<(), BudgetRefusal> {
        let budget = budget::Id::Account(account.clone());
        self.0.take(&budget, 1, now).map_err(refusal_from)
    }

    fn check(&self, account: &id::Account, now: Instant) -> Result<(), BudgetRefusal> {
        let budget = budget::Id::Account(account.clone());
        self.0.peek(&budget, 1, now).map_err(refusal_from)
    }
}

fn refusal_from(exhausted: budget::Exhausted) -> BudgetRefusal {
    BudgetRefusal {
        retry_after: exhausted.retry_after,
        may_wait: exhausted.may_borrow,
    }
}

/// Decides whether keyed routes may be served: only while the instance is fresh.
#[derive(Debug, Clone)]
pub struct FreshnessCheck(pub fresh::Handle);

impl Freshness for FreshnessCheck {
    fn is_fresh(&self, now: Instant) -> bool {
        self.0.is_fresh(now)
    }
}

/// Chooses targets and counts each attempt against the shares of the target's region and of the
/// link to that region.
#[derive(Debug, Clone)]
pub struct BudgetedSelector {
    /// BudgetedSelector engine.
    pub engine: sg_steer::Engine,
    /// Shares of regions and links.
    pub shares: Shares,
    /// Region of this instance.
    pub region: id::Region,
}

impl Selector for BudgetedSelector {
    type Attempt = <sg_steer::Engine as Selector>::Attempt;

    fn start_attempt(&self, query: Query<'_>) -> Result<Self::Attempt, Reason> {
        self.charge(self.engine.start_attempt(query)?, query)
    }

    fn start_queued(&self, query: Query<'_>) -> Result<Self::Attempt, Reason> {
        self.charge(self.engine.start_queued(query)?, query)
    }

    fn take_retry(&self, service: &id::Service, now: Instant) -> bool {
        self.engine.take_retry(service, now)
    }
}

impl BudgetedSelector {
    /// Counts an attempt against the shares of its region and link. An attempt without a share is
    /// dropped, which cancels it.
    fn charge<T: Attempt>(&self, attempt: T, query: Query<'_>) -> Result<T, Reason> {
        let region = attempt.region().clone();
        let capacity = budget::Id::Capacity(query.service.clone(), region.clone());
        self.take_share(&capacity, query.now)?;
        if region != self.region {
            let link = budget::Id::Link(query.service.clone(), self.region.clone(), region);
            self.take_share(&link, query.now)?;
        }
        Ok(attempt)
    }

    fn take_share(&self, budget: &budget::Id, now: Instant) -> Result<(), Reason> {
        self.shares
            .take(budget, 1, now)
            .map_err(|_| Reason::RegionFull)
    }
}

/// Sends notices to all other instances and to the local steering engine.
#[derive(Debug, Clone)]
pub struct Announcer {
    /// Notices to and from other instances.
    pub notices: Notices,
    /// Local steering engine.
    pub engine: sg_steer::Engine,
    /// Timer service.
    pub timer: Timer,
}

impl NoticeSender for Announcer {
    fn send_notice(&self, notice: Notice) {
        self.engine.handle_notice(&notice, self.timer.now());
        self.notices.announce(notice);
    }
}

/// Resolves the addresses of other instances.
#[derive(Debug, Clone)]
pub struct PeerDirectory {
    /// Fleet membership.
    pub members: Members,
    /// Timer service.
    pub timer: Timer,
}

impl Directory for PeerDirectory {
    fn instance_address(
        &self,
        instance: &id::Instance,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        self.members.entry(instance, incarnation, self.timer.now())
    }
}
