//! The slots in use.

use sg_place::hash::Object;
use sg_types::prelude::*;

use crate::{
    group::Place,
    message::{Lease, Ticket},
};

/// Ratio of the age of a lease to its expected work above which the lease counts as long-running. Response
/// times vary by about a half, so that a lease twice as old is no variation.
const LONG_RATIO: f64 = 2.0;

/// A slot in use.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub place: Place,
    pub object: Option<Object>,
    pub since: Instant,
    /// When the asking instance has given up on the request.
    pub until: Instant,
    /// Expected work of the request at the expected pace of the target's machine.
    pub work_seconds: f64,
    /// Expected work if the object is warm, and if it is cold.
    pub warm_seconds: f64,
    pub cold_seconds: f64,
    /// Number of objects that the target began after this one, if the object is warm there.
    pub depth: Option<usize>,
}

impl Held {
    /// Returns the lease that an asking instance describes as `lease`, at `place`.
    pub fn adopted(lease: &Lease, place: Place, now: Instant) -> Self {
        Self {
            place,
            object: lease.object,
            since: now - lease.age,
            until: now + lease.deadline_left,
            work_seconds: lease.work.as_secs_f64(),
            warm_seconds: lease.work.as_secs_f64(),
            cold_seconds: lease.work.as_secs_f64(),
            depth: None,
        }
    }

    /// Returns the work that was expected of a target that is not slow, in seconds.
    pub fn base_seconds(&self) -> f64 {
        match self.depth {
            Some(_) => self.warm_seconds,
            None => self.cold_seconds,
        }
    }

    /// Returns whether the request runs for much longer than expected.
    pub fn is_long_running(&self, now: Instant) -> bool {
        now.since(self.since).as_secs_f64() > self.work_seconds * LONG_RATIO
    }

    /// Returns whether `work_seconds` of usual work show that the object was cold. `None` if they show
    /// neither, because the request itself needs more work than others.
    pub fn was_cold(&self, work_seconds: f64) -> Option<bool> {
        let (warm, cold) = (self.warm_seconds, self.cold_seconds);
        if cold <= warm || work_seconds > cold * LONG_RATIO {
            return None;
        }
        Some(work_seconds > (warm + cold) / 2.0)
    }
}

/// The slots in use by ticket.
#[derive(Debug, Clone, Default)]
pub(crate) struct Leases {
    pub held: IndexMap<Ticket, Held>,
}

impl Leases {
    /// Removes the leases whose time is over and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Held)> {
        let mut expired = Vec::new();
        self.held.retain(|ticket, held| {
            let is_over = held.until <= now;
            if is_over {
                expired.push((*ticket, held.clone()));
            }
            !is_over
        });
        expired
    }
}
