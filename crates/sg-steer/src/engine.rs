//! The steering engine of one instance: one pool of targets a service.

mod guard;
mod steer;

use arc_swap::ArcSwap;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    observation::{self, Probe},
    pool::Pool,
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

/// The steering engine. Clones share their state.
#[derive(Debug, Clone)]
pub struct Engine {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    pools: ArcSwap<Pools>,
}

impl Engine {
    /// An engine that knows no service yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let inner = Inner {
            options,
            pools: ArcSwap::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Takes a revision of the tree into force. What is known of targets that stay is kept.
    pub fn configure(&self, view: &Arc<View>, now: Instant) {
        let before = self.inner.pools.load();
        let pools = view.services.values().map(|service| {
            let pool = before.get(&service.name).map_or_else(
                || Arc::new(Pool::new(&service.name, &self.inner.options)),
                Arc::clone,
            );
            pool.configure(view, service, now);
            (service.name.clone(), pool)
        });
        self.inner.pools.store(Arc::new(pools.collect()));
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

    /// The targets to probe.
    #[must_use]
    pub fn probes(&self) -> Vec<Probe> {
        let pools = self.inner.pools.load();
        pools.values().flat_map(|pool| pool.probes()).collect()
    }

    fn pool(&self, service: &id::Service) -> Option<Arc<Pool>> {
        self.inner.pools.load().get(service).cloned()
    }
}
