//! One target of a pool.

use std::net::SocketAddr;

use sg_tree::view;
use sg_types::prelude::*;

use crate::{health::Health, load::Estimate, report::Restriction, settings::Settings};

/// Share of its usual traffic that a cold target starts with.
const MIN_WARMTH: f64 = 0.1;

/// Identity and address of a target, shared by the pool and the guards of attempts.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) target: id::Target,
    pub(crate) address: SocketAddr,
    pub(crate) region: id::Region,
}

/// State of a target.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) domain: id::Domain,
    /// Index of the region in the pool.
    pub(crate) region: usize,
    pub(crate) slots: u32,
    /// Whether the tree drains the target.
    pub(crate) drain: bool,
    pub(crate) in_flight: u32,
    pub(crate) health: Health,
    pub(crate) load: Estimate,
    /// Start of the current slow start, if any.
    pub(crate) cold_since: Option<Instant>,
    /// Index in the region's list of available targets, if listed.
    pub(crate) available_index: Option<usize>,
    /// Whether the region counts the target as usable.
    pub(crate) is_counted_usable: bool,
    /// Whether the region counts the target as ejected.
    pub(crate) is_counted_ejected: bool,
}

impl Member {
    /// Returns a target without any recorded state.
    pub(crate) fn new(name: &id::Target, target: &view::Target, region: usize) -> Self {
        let endpoint = Endpoint {
            target: name.clone(),
            address: target.address,
            region: target.region.clone(),
        };
        Self {
            endpoint: Arc::new(endpoint),
            domain: target.domain.clone(),
            region,
            slots: target.slots,
            drain: target.drain,
            in_flight: 0,
            health: Health::default(),
            load: Estimate::default(),
            cold_since: None,
            available_index: None,
            is_counted_usable: false,
            is_counted_ejected: false,
        }
    }

    /// Returns the target with the settings of a new revision, not yet counted by its region.
    pub(crate) fn reconfigured(self, target: &view::Target, region: usize) -> Self {
        Self {
            domain: target.domain.clone(),
            region,
            slots: target.slots,
            drain: target.drain,
            available_index: None,
            is_counted_usable: false,
            is_counted_ejected: false,
            ..self
        }
    }

    /// Returns whether the tree drains the target or the target announced that it leaves.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.drain || self.health.is_leaving()
    }

    /// Returns whether the target can take work, now or once it has a free slot.
    pub(crate) fn is_usable(&self, stale_after: Span, now: Instant) -> bool {
        !self.is_leaving() && self.health.is_healthy(stale_after, now)
    }

    /// Returns whether the target can take a request now.
    pub(crate) fn is_available(&self, settings: &Settings, now: Instant) -> bool {
        let is_included = !self.is_leaving() && self.health.exclusion().is_none();
        let is_backing_off = now < self.health.backoff_until();
        is_included && !is_backing_off && self.in_flight < self.in_flight_limit(settings, now)
    }

    /// Returns the maximum number of requests that this instance may have in flight on the target.
    ///
    /// The limit starts from this instance's share of the slots. If a trusted report is available,
    /// the limit is raised to the requests that this instance had in flight at the time of the
    /// report, where those exceed the share, plus half of the slots that the report shows as free.
    /// The limit never exceeds the slots or this instance's share of the connections.
    pub(crate) fn in_flight_limit(&self, settings: &Settings, now: Instant) -> u32 {
        if self.health.is_on_trial() {
            return 1;
        }
        let instances = settings.instances.max(1);
        let slots = self.load.effective_slots(self.slots);
        let own_share = (slots / instances).max(1);
        let additional = self
            .load
            .total_in_flight(settings.stale_after, now)
            .map_or(0, |total| {
                let own_excess = self
                    .load
                    .own_in_flight(settings.stale_after, now)
                    .saturating_sub(own_share);
                own_excess + slots.saturating_sub(total).div_ceil(2)
            });
        let limit = (own_share + additional).min(slots);
        let connections = (settings.max_connections / instances).max(1);
        let warmed_limit = f64::from(limit) * self.warmth(settings.slow_start, now);
        (warmed_limit.ceil() as u32).min(connections).max(1)
    }

    /// Returns the share of its usual traffic that the target gets, from [`MIN_WARMTH`] for a cold
    /// target to 1.
    pub(crate) fn warmth(&self, slow_start: Span, now: Instant) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        if slow_start == Span::ZERO {
            return 1.0;
        }
        let fraction = now.since(since).as_secs_f64() / slow_start.as_secs_f64();
        fraction.clamp(MIN_WARMTH, 1.0)
    }

    /// Returns the load score of the target, where lower is better: its requests in flight after
    /// one more request, as a fraction of its slots.
    pub(crate) fn score(&self, stale_after: Span, now: Instant) -> f64 {
        let in_flight =
            f64::from(self.in_flight + 1) + self.load.others_in_flight(stale_after, now);
        in_flight / f64::from(self.slots.max(1))
    }

    /// Returns the estimated number of requests in flight on the target from all instances.
    pub(crate) fn total_in_flight(&self, settings: &Settings, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        match self.load.total_in_flight(settings.stale_after, now) {
            Some(total) => f64::from(total),
            None => (own * f64::from(settings.instances)).min(f64::from(self.slots)),
        }
    }

    /// Returns why the target gets no requests or fewer than its share, if it does.
    pub(crate) fn restriction(&self, now: Instant) -> Option<Restriction> {
        if self.drain {
            return Some(Restriction::Drain);
        }
        if self.health.is_leaving() {
            return Some(Restriction::Leaving);
        }
        if let Some(exclusion) = self.health.exclusion() {
            return Some(exclusion.restriction);
        }
        if self.health.is_on_trial() {
            return Some(Restriction::Trial);
        }
        if now < self.health.backoff_until() {
            return Some(Restriction::Shed);
        }
        self.cold_since.map(|_| Restriction::Cold)
    }
}
