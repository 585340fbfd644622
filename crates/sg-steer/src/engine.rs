//! The steering engine of one instance: one pool of targets a service.

mod guard;
mod steer;

use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    link::Links,
    observation::{self, Probe},
    pool::Pool,
    report,
    split::{Position, Split},
};

pub use guard::Guard;

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct Options {
    /// The region that this instance is in.
    pub region: id::Region,
    /// The failure domain that this instance is in.
    pub domain: id::Domain,
    /// The seed of random choices.
    pub seed: u64,
    /// How many instances the fleet is thought to have until [`Engine::fleet`] is told.
    pub entries: u32,
}

type Pools = IndexMap<id::Service, Arc<Pool>>;

/// The steering engine. Clones share their state. No call waits; the request path takes one short
/// lock of the service's pool and, for another region, one of the links.
#[derive(Debug, Clone)]
pub struct Engine {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    pools: ArcSwap<Pools>,
    view: ArcSwapOption<View>,
    links: Links,
    entries: AtomicU32,
}

impl Engine {
    /// An engine that knows no service yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let inner = Inner {
            entries: AtomicU32::new(options.entries.max(1)),
            options,
            pools: ArcSwap::default(),
            view: ArcSwapOption::empty(),
            links: Links::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Takes a revision of the tree into force. What is known of targets that stay is kept, and
    /// the splits in force move to the new ones by capped steps.
    pub fn configure(&self, view: &Arc<View>, now: Instant) {
        let before = self.inner.pools.load();
        let pools = view.services.values().map(|service| {
            let pool = before.get(&service.name).map_or_else(
                || Arc::new(Pool::new(service, &self.inner.options)),
                Arc::clone,
            );
            pool.configure(view, service, now);
            (service.name.clone(), pool)
        });
        self.inner.pools.store(Arc::new(pools.collect()));
        self.inner.view.store(Some(Arc::clone(view)));
        self.fleet(self.inner.entries.load(Ordering::Relaxed), now);
    }

    /// Tells how many instances are alive. They share slots, connections and links.
    pub fn fleet(&self, entries: u32, now: Instant) {
        let entries = entries.max(1);
        self.inner.entries.store(entries, Ordering::Relaxed);
        for pool in self.inner.pools.load().values() {
            pool.fleet(entries, now);
        }
        if let Some(view) = self.inner.view.load().as_deref() {
            self.inner.links.set(self.links(view), entries, now);
        }
    }

    /// The links from this instance's region.
    fn links(&self, view: &View) -> Vec<(id::Region, Bandwidth)> {
        let home = &self.inner.options.region;
        let links = view.links.iter().filter_map(|link| match link {
            link if link.a == *home => Some((link.b.clone(), link.bandwidth)),
            link if link.b == *home => Some((link.a.clone(), link.bandwidth)),
            _ => None,
        });
        links.collect()
    }

    /// Takes over the splits that other instances have in force, before the first request.
    ///
    /// An instance that starts while a shift is on would otherwise begin with the tree's split and
    /// so move its part of the traffic at once.
    pub fn adopt(&self, positions: &[Position], now: Instant) {
        for (service, pool) in self.inner.pools.load().iter() {
            let theirs = positions.iter().filter(|p| p.service == *service);
            let splits: Vec<&Split> = theirs.map(|position| &position.split).collect();
            pool.adopt(&splits, now);
        }
    }

    /// The splits in force, for instances that start.
    #[must_use]
    pub fn positions(&self) -> Vec<Position> {
        let pools = self.inner.pools.load();
        pools.values().map(|pool| pool.position()).collect()
    }

    /// Takes in what a probe saw.
    pub fn observe(
        &self,
        service: &id::Service,
        target: &id::Target,
        seen: observation::Target,
        now: Instant,
    ) {
        if let Some(pool) = self.inner.pools.load().get(service) {
            pool.observe(target, seen, now);
        }
    }

    /// Takes in a notice of another instance.
    pub fn on_notice(&self, notice: &Notice, now: Instant) {
        if let Notice::Leaving { service, target } = notice
            && let Some(pool) = self.inner.pools.load().get(service)
        {
            pool.leaving(target, now);
        }
    }

    /// Works off timers and moves splits. Call it several times a second.
    pub fn tick(&self, now: Instant) {
        for pool in self.inner.pools.load().values() {
            pool.tick(&self.inner.links, now);
        }
    }

    /// The targets to probe.
    #[must_use]
    pub fn probes(&self) -> Vec<Probe> {
        let pools = self.inner.pools.load();
        pools.values().flat_map(|pool| pool.probes()).collect()
    }

    /// Requests a second that each region may be given by all instances together, by the tree in
    /// force. Empty if the service is not known.
    #[must_use]
    pub fn capacity(&self, service: &id::Service) -> IndexMap<id::Region, Rate> {
        let pool = self.pool(service);
        pool.map_or_else(IndexMap::new, |pool| pool.capacity())
    }

    /// What the engine is doing and why.
    #[must_use]
    pub fn report(&self, now: Instant) -> report::Engine {
        let pools = self.inner.pools.load();
        let services = pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.report(now)));
        report::Engine {
            services: services.collect(),
        }
    }

    fn pool(&self, service: &id::Service) -> Option<Arc<Pool>> {
        self.inner.pools.load().get(service).cloned()
    }
}
