//! Joins the request path to the rest of the instance.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use sg_clock::Timer;
use sg_forward::gate::{Admission, Announce, Directory, Freshness, Refusal, Tree};
use sg_peer::{
    config, fresh,
    node::{Members, Notices, Shares},
};
use sg_share::budget;
use sg_steer::{Ask, Attempt, Steer};
use sg_tree::View;
use sg_types::prelude::*;

/// Whether the instance may serve: its steering has taken over the splits in force elsewhere.
#[derive(Debug, Clone, Default)]
pub struct Ready(Arc<AtomicBool>);

impl Ready {
    /// Lets the instance serve.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether the instance may serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The tree in force.
#[derive(Debug, Clone)]
pub struct Config {
    /// The configuration.
    pub config: config::Handle,
    /// No tree is in force for requests before the instance may serve.
    pub ready: Ready,
}

impl Tree for Config {
    fn view(&self) -> Option<Arc<View>> {
        self.ready.is_ready().then(|| self.config.view()).flatten()
    }
}

/// Counts requests of client accounts against the shares held here.
#[derive(Debug, Clone)]
pub struct Accounts(pub Shares);

impl Admission for Accounts {
    fn admit(&self, account: &id::Account, now: Instant) -> Result<(), Refusal> {
        let budget = budget::Id::Account(account.clone());
        self.0.take(&budget, 1, now).map_err(refusal)
    }

    fn peek(&self, account: &id::Account, now: Instant) -> Result<(), Refusal> {
        let budget = budget::Id::Account(account.clone());
        self.0.peek(&budget, 1, now).map_err(refusal)
    }
}

fn refusal(exhausted: budget::Exhausted) -> Refusal {
    Refusal {
        retry_after: exhausted.retry_after,
        may_wait: exhausted.may_borrow,
    }
}

/// Tells whether keyed routes may be served.
#[derive(Debug, Clone)]
pub struct Fresh(pub fresh::Handle);

impl Freshness for Fresh {
    fn is_fresh(&self, now: Instant) -> bool {
        self.0.is_fresh(now)
    }
}

/// Chooses targets, and counts each attempt against the shares of the region and of the link to it.
#[derive(Debug, Clone)]
pub struct Steering {
    /// Chooses targets.
    pub engine: sg_steer::Engine,
    /// The shares of regions and links.
    pub shares: Shares,
    /// The region that this instance is in.
    pub region: id::Region,
}

impl Steer for Steering {
    type Attempt = <sg_steer::Engine as Steer>::Attempt;

    fn start(&self, ask: Ask<'_>) -> Result<Self::Attempt, Reason> {
        self.count(self.engine.start(ask)?, ask)
    }

    fn start_again(&self, ask: Ask<'_>) -> Result<Self::Attempt, Reason> {
        self.count(self.engine.start_again(ask)?, ask)
    }

    fn may_retry(&self, service: &id::Service, now: Instant) -> bool {
        self.engine.may_retry(service, now)
    }
}

impl Steering {
    /// Counts an attempt against the region's share and the link's. A refused attempt is dropped,
    /// which cancels it.
    fn count<T: Attempt>(&self, attempt: T, ask: Ask<'_>) -> Result<T, Reason> {
        let there = attempt.region().clone();
        let capacity = budget::Id::Capacity(ask.service.clone(), there.clone());
        self.take(&capacity, ask.now)?;
        if there != self.region {
            let link = budget::Id::Link(ask.service.clone(), self.region.clone(), there);
            self.take(&link, ask.now)?;
        }
        Ok(attempt)
    }

    fn take(&self, budget: &budget::Id, now: Instant) -> Result<(), Reason> {
        self.shares
            .take(budget, 1, now)
            .map_err(|_| Reason::RegionFull)
    }
}

/// Tells all instances something, and this one's steering too.
#[derive(Debug, Clone)]
pub struct Speaker {
    /// Reaches the other instances.
    pub notices: Notices,
    /// This instance's steering.
    pub engine: sg_steer::Engine,
    /// The timer service.
    pub timer: Timer,
}

impl Announce for Speaker {
    fn announce(&self, notice: Notice) {
        self.engine.on_notice(&notice, self.timer.now());
        self.notices.announce(notice);
    }
}

/// Knows the other instances.
#[derive(Debug, Clone)]
pub struct Others {
    /// The membership.
    pub members: Members,
    /// The timer service.
    pub timer: Timer,
}

impl Directory for Others {
    fn entry(&self, instance: &id::Instance, incarnation: Incarnation) -> Option<SocketAddr> {
        self.members.entry(instance, incarnation, self.timer.now())
    }
}
