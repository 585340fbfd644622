//! Implementation of [`Selector`] for the engine.

use sg_types::prelude::*;

use crate::{Engine, Query, Selector, pool::RequestKind};

use super::Guard;

impl Engine {
    fn begin(&self, kind: RequestKind, query: Query<'_>) -> Result<Guard, Reason> {
        let pool = self.pool(query.service).ok_or(Reason::NoTarget)?;
        let placement = pool.start(kind, query.tried, &self.inner.links, query.now)?;
        Ok(Guard::new(pool, placement))
    }
}

impl Selector for Engine {
    type Attempt = Guard;

    fn start_attempt(&self, query: Query<'_>) -> Result<Guard, Reason> {
        self.begin(RequestKind::New, query)
    }

    fn start_queued(&self, query: Query<'_>) -> Result<Guard, Reason> {
        self.begin(RequestKind::Queued, query)
    }

    fn take_retry(&self, service: &id::Service, _now: Instant) -> bool {
        self.pool(service).is_some_and(|pool| pool.take_retry())
    }
}
