//! Implementation of [`Steer`] for the engine.

use sg_types::prelude::*;

use crate::{Ask, Engine, Steer, pool::RequestKind};

use super::Guard;

impl Engine {
    fn begin(&self, kind: RequestKind, ask: Ask<'_>) -> Result<Guard, Reason> {
        let pool = self.pool(ask.service).ok_or(Reason::NoTarget)?;
        let placement = pool.start(kind, ask.tried, &self.inner.links, ask.now)?;
        Ok(Guard::new(pool, placement))
    }
}

impl Steer for Engine {
    type Attempt = Guard;

    fn start(&self, ask: Ask<'_>) -> Result<Guard, Reason> {
        self.begin(RequestKind::New, ask)
    }

    fn start_again(&self, ask: Ask<'_>) -> Result<Guard, Reason> {
        self.begin(RequestKind::Queued, ask)
    }

    fn may_retry(&self, service: &id::Service, _now: Instant) -> bool {
        self.pool(service).is_some_and(|pool| pool.take_retry())
    }
}
