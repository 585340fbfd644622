//! One target of a pool.

use std::net::SocketAddr;

use sg_tree::view;
use sg_types::prelude::*;

use crate::{health::Health, load::Meter, report::Why, settings::Settings};

/// The part of the traffic that a cold target starts with.
const COLD_START: f64 = 0.1;

/// Where a target is. Shared by the pool and the guards of attempts.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) target: id::Target,
    pub(crate) address: SocketAddr,
    pub(crate) region: id::Region,
}

/// A target and what is known of it.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) place: Arc<Place>,
    pub(crate) domain: id::Domain,
    pub(crate) region: usize,
    pub(crate) slots: u32,
    pub(crate) drain: bool,
    pub(crate) in_flight: u32,
    pub(crate) health: Health,
    pub(crate) load: Meter,
    pub(crate) cold_since: Option<Instant>,
    /// The place in the region's list of open targets, if it is there.
    pub(crate) open_at: Option<usize>,
    /// Whether the region counts it among its able targets.
    pub(crate) is_counted: bool,
    /// Whether the region counts it among its ejected targets.
    pub(crate) is_ejected: bool,
}

impl Member {
    /// A target that nothing is known of.
    pub(crate) fn new(name: &id::Target, target: &view::Target, region: usize) -> Self {
        let place = Place {
            target: name.clone(),
            address: target.address,
            region: target.region.clone(),
        };
        Self {
            place: Arc::new(place),
            domain: target.domain.clone(),
            region,
            slots: target.slots,
            drain: target.drain,
            in_flight: 0,
            health: Health::default(),
            load: Meter::default(),
            cold_since: None,
            open_at: None,
            is_counted: false,
            is_ejected: false,
        }
    }

    /// The target under a new revision, not yet counted by its region.
    pub(crate) fn reconfigured(self, target: &view::Target, region: usize) -> Self {
        Self {
            domain: target.domain.clone(),
            region,
            slots: target.slots,
            drain: target.drain,
            open_at: None,
            is_counted: false,
            is_ejected: false,
            ..self
        }
    }

    /// Whether the target leaves by the tree or by its own sign.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.drain || self.health.is_leaving()
    }

    /// Whether the target is thought able to take work, now or as soon as it has room.
    pub(crate) fn is_able(&self, stale: Span, now: Instant) -> bool {
        !self.is_leaving() && self.health.works(stale, now)
    }

    /// Whether the target may be given a request now.
    pub(crate) fn is_open(&self, settings: &Settings, now: Instant) -> bool {
        let is_in = !self.is_leaving() && self.health.out().is_none();
        let waits = now < self.health.backoff();
        is_in && !waits && self.in_flight < self.limit(settings, now)
    }

    /// The most requests of this instance that may be in flight on the target.
    ///
    /// It is this instance's part of the slots, or what it had in flight when a believed report was
    /// made, and half of what that report says is free besides: never more than the slots or this
    /// instance's part of the connections.
    pub(crate) fn limit(&self, settings: &Settings, now: Instant) -> u32 {
        if self.health.is_trial() {
            return 1;
        }
        let entries = settings.entries.max(1);
        let slots = self.load.slots(self.slots);
        let part = (slots / entries).max(1);
        let extra = self.load.total(settings.stale, now).map_or(0, |total| {
            let used = self.load.own(settings.stale, now).saturating_sub(part);
            used + slots.saturating_sub(total).div_ceil(2)
        });
        let limit = (part + extra).min(slots);
        let connections = (settings.connections / entries).max(1);
        let warm = f64::from(limit) * self.warmth(settings.slow_start, now);
        (warm.ceil() as u32).min(connections).max(1)
    }

    /// How warm the target is, from the start of a cold one to 1.
    pub(crate) fn warmth(&self, slow_start: Span, now: Instant) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        if slow_start == Span::ZERO {
            return 1.0;
        }
        let part = now.since(since).as_secs_f64() / slow_start.as_secs_f64();
        part.clamp(COLD_START, 1.0)
    }

    /// The load that a next request would bring the target to, in parts of its slots.
    pub(crate) fn score(&self, stale: Span, now: Instant) -> f64 {
        let in_work = f64::from(self.in_flight + 1) + self.load.others(stale, now);
        in_work / f64::from(self.slots.max(1))
    }

    /// Requests in work on the target from all instances, as far as is known.
    pub(crate) fn busy(&self, settings: &Settings, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        match self.load.total(settings.stale, now) {
            Some(total) => f64::from(total),
            None => (own * f64::from(settings.entries)).min(f64::from(self.slots)),
        }
    }

    /// Why the target gets no work or less than its part, if so.
    pub(crate) fn why(&self, now: Instant) -> Option<Why> {
        if self.drain {
            return Some(Why::Drain);
        }
        if self.health.is_leaving() {
            return Some(Why::Leaving);
        }
        if let Some(out) = self.health.out() {
            return Some(out.why);
        }
        if self.health.is_trial() {
            return Some(Why::Trial);
        }
        if now < self.health.backoff() {
            return Some(Why::Shed);
        }
        self.cold_since.map(|_| Why::Cold)
    }
}
