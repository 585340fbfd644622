//! The request path's side of the engine.

use sg_types::prelude::*;

use crate::{Ask, Engine, Steer, pool::Kind};

use super::Guard;

impl Engine {
    fn begin(&self, kind: Kind, ask: Ask<'_>) -> Result<Guard, Reason> {
        let pool = self.pool(ask.service).ok_or(Reason::NoTarget)?;
        let start = pool.start(kind, ask.tried, &self.inner.links, ask.now)?;
        Ok(Guard::new(pool, start))
    }
}

impl Steer for Engine {
    type Attempt = Guard;

    fn start(&self, ask: Ask<'_>) -> Result<Guard, Reason> {
        self.begin(Kind::New, ask)
    }

    fn start_again(&self, ask: Ask<'_>) -> Result<Guard, Reason> {
        self.begin(Kind::Again, ask)
    }

    fn may_retry(&self, service: &id::Service, _now: Instant) -> bool {
        self.pool(service).is_some_and(|pool| pool.may_retry())
    }
}
