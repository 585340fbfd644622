//! Finds out whether this instance has lost its paths to all targets.

use std::net::SocketAddr;

use rand::seq::{IndexedRandom, SliceRandom};
use sg_place::Target;
use sg_types::prelude::*;

use crate::{Core, state::State};

/// Maximum number of failure domains in which a target is checked in one round.
const MAX_CHECKED_DOMAINS: usize = 8;

impl State {
    /// Returns the targets that may be sent to, by failure domain.
    fn targets_by_domain(&self, now: Instant) -> IndexMap<&id::Domain, Vec<&Target>> {
        let mut by_domain: IndexMap<&id::Domain, Vec<&Target>> = IndexMap::new();
        let members = self.pools.values().flat_map(sg_place::Pool::members);
        let usable = members.filter(|m| m.is_staying() && !m.pause.is_active(now));
        for target in usable.map(|member| &member.target) {
            if !self.closed_domains.contains(&target.domain) {
                by_domain.entry(&target.domain).or_default().push(target);
            }
        }
        by_domain
    }
}

impl<D> Core<D> {
    /// Returns whether this instance is cut off from all targets.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.state.lock().reach.is_cut_off()
    }

    /// Records that `target` could not be reached, or did not respond. `is_new` says whether the request
    /// had a connection of its own.
    pub(crate) fn record_unanswered(&self, target: &Target, is_new: bool) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        state
            .reach
            .record_unanswered(&target.id, &target.domain, now);
        if is_new {
            state
                .reach
                .record_unreached(&target.id, &target.domain, now);
        }
    }

    /// Returns a target of each failure domain for a round of health checks, with its address and the path
    /// to request, while this instance may be cut off from all targets. Targets that have not failed lately
    /// come first: if the targets are at fault, only these respond.
    #[must_use]
    pub fn reach_checks(&self) -> Vec<(id::Target, SocketAddr, Arc<str>)> {
        let Some(catalog) = self.catalog() else {
            return Vec::new();
        };
        let now = self.timer.now();
        let state = self.state.lock();
        let by_domain = state.targets_by_domain(now);
        let targets = by_domain.values().map(Vec::len).sum();
        if !state.reach.needs_check(targets, by_domain.len(), now) {
            return Vec::new();
        }
        let mut rng = rand::rng();
        let chosen = by_domain.values().filter_map(|all| {
            let others = all.iter().filter(|t| !state.reach.has_failed(&t.id, now));
            let others: Vec<&Target> = others.copied().collect();
            let candidates = if others.is_empty() { all } else { &others };
            candidates.choose(&mut rng).copied()
        });
        let checks = chosen.filter_map(|target| {
            let service = catalog.services.get(&target.service)?;
            let path = service.health_path.clone();
            Some((target.id.clone(), target.address, path))
        });
        let mut checks: Vec<_> = checks.collect();
        checks.shuffle(&mut rng);
        checks.truncate(MAX_CHECKED_DOMAINS);
        checks
    }

    /// Records a round of health checks. `is_reached` says whether any target responded.
    pub fn record_reach_round(&self, is_reached: bool) {
        if is_reached {
            self.record_reached();
            return;
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(since) = state.reach.record_failed_round(now) else {
            return;
        };
        state.quarantine.forget_losses(None, since);
        drop(state);
        log::warn!("cut off from all targets");
    }

    /// Records that a target responded on a new connection.
    pub fn record_reached(&self) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(since) = state.reach.record_reached() else {
            return;
        };
        for pool in state.pools.values_mut() {
            pool.forget_failures(since, now);
        }
        drop(state);
        log::info!(after_ms = now.since(since).as_millis(); "targets reached again");
    }
}
