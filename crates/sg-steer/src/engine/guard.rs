//! Guard of a started attempt.

use std::{net::SocketAddr, sync::Arc};

use sg_types::prelude::*;

use crate::{
    Attempt, Completion,
    pool::{Placement, Pool},
};

/// A started attempt of an [`crate::Engine`].
#[derive(Debug)]
pub struct Guard {
    pool: Arc<Pool>,
    placement: Placement,
    ended: bool,
}

impl Guard {
    pub(super) fn new(pool: Arc<Pool>, placement: Placement) -> Self {
        Self {
            pool,
            placement,
            ended: false,
        }
    }
}

impl Attempt for Guard {
    fn target(&self) -> &id::Target {
        &self.placement.endpoint.target
    }

    fn address(&self) -> SocketAddr {
        self.placement.endpoint.address
    }

    fn region(&self) -> &id::Region {
        &self.placement.endpoint.region
    }

    fn in_flight(&self) -> u32 {
        self.pool.in_flight(&self.placement)
    }

    fn finish(mut self, completion: Completion, now: Instant) {
        self.ended = true;
        self.pool.finish(&self.placement, completion, now);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.pool.finish(
                &self.placement,
                Completion::Cancelled,
                self.placement.started_at,
            );
        }
    }
}
