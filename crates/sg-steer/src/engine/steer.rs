//! The request path's side of the engine.

use sg_types::prelude::*;

use crate::{Ask, Engine, Steer};

use super::Guard;

impl Steer for Engine {
    type Attempt = Guard;

    fn start(&self, ask: Ask<'_>) -> Result<Guard, Reason> {
        let pool = self.pool(ask.service).ok_or(Reason::NoTarget)?;
        let start = pool.start(ask.tried, ask.now)?;
        Ok(Guard::new(pool, start))
    }

    fn may_retry(&self, service: &id::Service, now: Instant) -> bool {
        self.pool(service).is_some_and(|pool| pool.may_retry(now))
    }
}
