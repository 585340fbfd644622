//! Finds out whether this instance has lost its paths to all targets.

use std::io;

use rand::seq::{IndexedRandom, SliceRandom};
use sg_place::{
    Target,
    member::Member,
    reach::{Cause, FAILURE_LIFETIME},
};
use sg_types::prelude::*;

use crate::{
    Core, Dialect,
    connections::{Opening, SendError},
    state::State,
};

/// Time for which a connection that is late is waited for. After that, its lateness counts no more either.
const LATE_CONNECT_TIMEOUT: Span = FAILURE_LIFETIME;
/// Maximum number of failure domains in which a target is checked in one round.
const MAX_CHECKED_DOMAINS: usize = 8;

impl State {
    /// Returns the targets that may be sent to, by failure domain.
    fn targets_by_domain(&self, now: Instant) -> IndexMap<&id::Domain, Vec<&Member>> {
        let mut by_domain: IndexMap<&id::Domain, Vec<&Member>> = IndexMap::new();
        let members = self.pools.values().flat_map(sg_place::Pool::members);
        let usable = members.filter(|m| m.is_staying() && !m.pause.is_active(now));
        for member in usable {
            let domain = &member.target.domain;
            if !self.closed_domains.contains(domain) {
                by_domain.entry(domain).or_default().push(member);
            }
        }
        by_domain
    }

    /// Returns a random target of each domain that has room for a health check. Targets that have not
    /// failed lately come first: if the targets are at fault, only these respond.
    fn targets_for_reach_checks(
        &self,
        by_domain: &IndexMap<&id::Domain, Vec<&Member>>,
        now: Instant,
    ) -> Vec<Target> {
        let mut rng = rand::rng();
        let chosen = by_domain.values().filter_map(|all| {
            let open = all.iter().filter(|member| member.rate_limit.has_room(now));
            let open = open.map(|member| &member.target);
            let sound = open
                .clone()
                .filter(|target| !self.reach.has_failed(&target.id, now));
            let sound: Vec<&Target> = sound.collect();
            let candidates = if sound.is_empty() {
                open.collect()
            } else {
                sound
            };
            candidates.choose(&mut rng).copied().cloned()
        });
        let mut chosen: Vec<Target> = chosen.collect();
        chosen.shuffle(&mut rng);
        chosen.truncate(MAX_CHECKED_DOMAINS);
        chosen
    }
}

impl<D> Core<D> {
    /// Returns whether this instance is cut off from all targets.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.state.lock().reach.is_cut_off()
    }

    /// Records that another instance of this one's failure domain is newly cut off from all targets.
    pub fn record_neighbor_cut(&self) {
        let now = self.timer.now();
        self.state.lock().reach.record_neighbor_cut(now);
    }

    /// Records that `target` could not be reached, or did not respond. `cause` is how the connection failed
    /// that was opened for the request; `None` if the request had an open one.
    pub(crate) fn record_unanswered(&self, target: &Target, cause: Option<Cause>) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        state
            .reach
            .record_unanswered(&target.id, &target.domain, now);
        if let Some(cause) = cause {
            state
                .reach
                .record_unreached(&target.id, &target.domain, cause, now);
        }
    }

    /// Returns a time limit that is usually `usual`, and longer if connections to targets have lately taken long to
    /// open.
    #[must_use]
    pub fn stretch(&self, usual: Span) -> Span {
        let now = self.timer.now();
        self.state.lock().reach.stretch(usual, now)
    }

    /// Returns a target of each failure domain for a round of health checks, with the path to request, while this
    /// instance may be cut off from all targets.
    #[must_use]
    pub fn reach_checks(&self) -> Vec<(Target, Arc<str>)> {
        let Some(catalog) = self.catalog() else {
            return Vec::new();
        };
        let now = self.timer.now();
        let mut state = self.state.lock();
        let by_domain = state.targets_by_domain(now);
        let targets = by_domain.values().map(Vec::len).sum();
        if !state.reach.needs_check(targets, by_domain.len(), now) {
            return Vec::new();
        }
        let mut checks = Vec::new();
        for target in state.targets_for_reach_checks(&by_domain, now) {
            let Some(service) = catalog.services.get(&target.service) else {
                continue;
            };
            if let Some(member) = state.member_mut(&target.id) {
                member.rate_limit.take(now);
            }
            checks.push((target, service.health_path.clone()));
        }
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
        let evidence = state.reach.evidence(now);
        let Some(since) = state.reach.record_failed_round(now) else {
            return;
        };
        state.quarantine.forget_losses(None, since);
        drop(state);
        log::warn!(
            connects_timed_out = evidence.connects_timed_out,
            connects_failed = evidence.connects_failed,
            unanswered = evidence.unanswered,
            response_age_ms = evidence.response_age.map(Span::as_millis);
            "cut off from all targets"
        );
    }

    /// Records that a target responded on a new connection.
    pub fn record_reached(&self) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(since) = state.reach.record_reached(now) else {
            return;
        };
        for pool in state.pools.values_mut() {
            pool.forget_failures(since, now);
        }
        drop(state);
        log::info!(after_ms = now.since(since).as_millis(); "targets reached again");
    }
}

impl<D: Dialect> Core<D> {
    /// Records that a health check of `target` in a round got no response, for the reason `error` if nothing was
    /// sent. The check counts for nothing if the suspicion was refuted meanwhile: busy targets fail checks as well.
    pub fn record_failed_check(self: &Arc<Self>, target: &Target, error: Option<SendError>) {
        let now = self.timer.now();
        if self.state.lock().reach.suspected_since(now).is_none() {
            return;
        }
        match error {
            Some(error) => self.record_send_failure(target, error, now),
            None => self.record_unanswered(target, None),
        }
    }

    /// Records that a send to `target` failed at `now`. A connection that is late is waited for further, and the
    /// failure is withdrawn if the connection opens after all.
    pub(crate) fn record_send_failure(
        self: &Arc<Self>,
        target: &Target,
        error: SendError,
        now: Instant,
    ) {
        match error {
            SendError::Late { opening, .. } => {
                self.record_unanswered(target, Some(Cause::ConnectTimedOut));
                if let Some(opening) = opening {
                    tokio::spawn(finish_late(self.clone(), target.clone(), opening, now));
                }
            }
            SendError::NotSent(error) if error.kind() == io::ErrorKind::TimedOut => {
                self.record_unanswered(target, Some(Cause::ConnectTimedOut));
            }
            SendError::NotSent(_) => {
                self.record_unanswered(target, Some(Cause::ConnectFailed));
                self.connections.close_idle(target.address);
            }
            SendError::Lost { is_new, .. } => {
                self.record_unanswered(target, is_new.then_some(Cause::NoResponse));
            }
            SendError::Withdrawn => {}
        }
    }

    /// Waits for a late connection to another instance, so that a further request can use it.
    pub(crate) fn keep_late_connection(self: &Arc<Self>, opening: Option<Opening>) {
        let Some(opening) = opening else {
            return;
        };
        let core = self.clone();
        tokio::spawn(async move {
            if let Err(error) = core.connections.finish(opening, LATE_CONNECT_TIMEOUT).await {
                log::debug!(error:% = error; "instance not reached");
            }
        });
    }
}

/// Waits for a late connection to `target`. If the connection opens, withdraws the failure, and the ban that began
/// at `failed_at`; otherwise closes the idle connections, unless the target has responded on one of them.
async fn finish_late<D: Dialect>(
    core: Arc<Core<D>>,
    target: Target,
    opening: Opening,
    failed_at: Instant,
) {
    let started = opening.started();
    let opened = core.connections.finish(opening, LATE_CONNECT_TIMEOUT).await;
    let now = core.timer.now();
    let mut state = core.state.lock();
    if let Err(error) = opened {
        log::debug!(target_id:% = target.id, error:% = error; "connection did not open");
        let member = state.member_mut(&target.id);
        let is_silent = member.is_none_or(|member| !member.has_responded_since(started));
        drop(state);
        if is_silent {
            core.connections.close_idle(target.address);
        }
        return;
    }
    state.reach.record_late_connect(&target.id, started, now);
    if let Some(member) = state.member_mut(&target.id) {
        member.lift_ban(failed_at, now);
    }
}
