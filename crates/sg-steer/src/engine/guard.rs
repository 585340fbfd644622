//! The guard of a started attempt.

use std::{net::SocketAddr, sync::Arc};

use sg_types::prelude::*;

use crate::{
    Attempt, End,
    pool::{Pool, Start},
};

/// A started attempt of an [`crate::Engine`].
#[derive(Debug)]
pub struct Guard {
    pool: Arc<Pool>,
    start: Start,
    ended: bool,
}

impl Guard {
    pub(super) fn new(pool: Arc<Pool>, start: Start) -> Self {
        Self {
            pool,
            start,
            ended: false,
        }
    }
}

impl Attempt for Guard {
    fn target(&self) -> &id::Target {
        &self.start.place.target
    }

    fn address(&self) -> SocketAddr {
        self.start.place.address
    }

    fn region(&self) -> &id::Region {
        &self.start.place.region
    }

    fn in_flight(&self) -> u32 {
        self.pool.in_flight(&self.start)
    }

    fn end(mut self, end: End, now: Instant) {
        self.ended = true;
        self.pool.end(&self.start, end, now);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.pool.end(&self.start, End::Cancelled, self.start.at);
        }
    }
}
