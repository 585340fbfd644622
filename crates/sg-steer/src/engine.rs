//! Steering engine of one instance, with one pool of targets per service.

mod guard;
mod selector;

use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    link::Links,
    observation::{self, Probe},
    pool::Pool,
    report,
    split::{ServiceSplit, Split},
};

pub use guard::Guard;

/// Identity and initial settings of this instance.
#[derive(Debug, Clone)]
pub struct Options {
    /// The region that this instance is in.
    pub region: id::Region,
    /// The failure domain that this instance is in.
    pub domain: id::Domain,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Assumed number of instances until [`Engine::set_instances`] sets it.
    pub instances: u32,
}

type Pools = IndexMap<id::Service, Arc<Pool>>;

/// Steering engine. Clones share their state. No call blocks on I/O: the request path takes one
/// short lock of the service's pool and, for a target in another region, one of the links.
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
    instances: AtomicU32,
}

impl Engine {
    /// Returns an engine without services.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let inner = Inner {
            instances: AtomicU32::new(options.instances.max(1)),
            options,
            pools: ArcSwap::default(),
            view: ArcSwapOption::empty(),
            links: Links::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Applies a revision of the tree. The state of targets that remain is kept, and the current
    /// splits move to the new ones in steps limited by the shift cap.
    pub fn configure(&self, view: &Arc<View>, now: Instant) {
        let previous = self.inner.pools.load();
        let pools = view.services.values().map(|service| {
            let pool = previous.get(&service.name).map_or_else(
                || Arc::new(Pool::new(service, &self.inner.options)),
                Arc::clone,
            );
            pool.configure(view, service, now);
            (service.name.clone(), pool)
        });
        self.inner.pools.store(Arc::new(pools.collect()));
        self.inner.view.store(Some(Arc::clone(view)));
        self.set_instances(self.inner.instances.load(Ordering::Relaxed), now);
    }

    /// Sets the number of alive instances, which share slots, connections and links.
    pub fn set_instances(&self, instances: u32, now: Instant) {
        let instances = instances.max(1);
        self.inner.instances.store(instances, Ordering::Relaxed);
        for pool in self.inner.pools.load().values() {
            pool.set_instances(instances, now);
        }
        if let Some(view) = self.inner.view.load().as_deref() {
            self.inner
                .links
                .configure(self.home_links(view), instances, now);
        }
    }

    /// Returns the regions that have a link to this instance's region, and the bandwidth of each
    /// link.
    fn home_links(&self, view: &View) -> Vec<(id::Region, Bandwidth)> {
        let home = &self.inner.options.region;
        let links = view.links.iter().filter_map(|link| match link {
            link if link.a == *home => Some((link.b.clone(), link.bandwidth)),
            link if link.b == *home => Some((link.a.clone(), link.bandwidth)),
            _ => None,
        });
        links.collect()
    }

    /// Adopts the current splits of other instances, before the first request.
    ///
    /// An instance that starts during a shift would otherwise begin with the split of the tree and
    /// so move its share of the traffic at once.
    pub fn adopt_splits(&self, service_splits: &[ServiceSplit], now: Instant) {
        for (service, pool) in self.inner.pools.load().iter() {
            let matching = service_splits
                .iter()
                .filter(|split| split.service == *service);
            let splits: Vec<&Split> = matching.map(|service_split| &service_split.split).collect();
            pool.adopt(&splits, now);
        }
    }

    /// Returns the current splits, for instances that start.
    #[must_use]
    pub fn service_splits(&self) -> Vec<ServiceSplit> {
        let pools = self.inner.pools.load();
        pools.values().map(|pool| pool.service_split()).collect()
    }

    /// Records the result of a probe.
    pub fn record_probe(
        &self,
        service: &id::Service,
        target: &id::Target,
        observed: observation::Observation,
        now: Instant,
    ) {
        if let Some(pool) = self.inner.pools.load().get(service) {
            pool.record_probe(target, observed, now);
        }
    }

    /// Handles a notice from another instance.
    pub fn handle_notice(&self, notice: &Notice, now: Instant) {
        if let Notice::Leaving { service, target } = notice
            && let Some(pool) = self.inner.pools.load().get(service)
        {
            pool.mark_leaving(target, now);
        }
    }

    /// Runs timers that are due and advances shifts. Must be called several times a second.
    pub fn tick(&self, now: Instant) {
        for pool in self.inner.pools.load().values() {
            pool.tick(&self.inner.links, now);
        }
    }

    /// Returns the targets to probe.
    #[must_use]
    pub fn probes(&self) -> Vec<Probe> {
        let pools = self.inner.pools.load();
        pools.values().flat_map(|pool| pool.probes()).collect()
    }

    /// Returns the requests per second that all instances together may send to each region under
    /// the current tree. Empty if the service is unknown.
    #[must_use]
    pub fn capacity(&self, service: &id::Service) -> IndexMap<id::Region, Rate> {
        let pool = self.pool(service);
        pool.map_or_else(IndexMap::new, |pool| pool.capacity())
    }

    /// Returns the state of the engine for operators.
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
