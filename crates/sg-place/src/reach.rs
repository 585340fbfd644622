//! Tells whether an instance has lost its paths to all targets.
//!
//! Failures at targets of several failure domains, with no success in between, raise the suspicion that the
//! fault is this instance's own. A round of health checks over all failure domains then confirms or refutes
//! the suspicion. Successes on open connections don't refute failures of new ones, because open
//! connections may outlive the path to a target.

use sg_types::prelude::*;

/// Number of targets that must fail before the instance suspects itself, unless there are fewer.
const MIN_FAILED_TARGETS: usize = 3;
/// Number of failure domains of these targets, unless there are fewer.
const MIN_FAILED_DOMAINS: usize = 2;
/// How long a failure counts.
const FAILURE_LIFETIME: Span = Span::from_secs(3);

/// Recent failures, by target.
#[derive(Debug, Clone, Default)]
struct Failures {
    by_target: IndexMap<id::Target, (id::Domain, Instant)>,
}

impl Failures {
    fn record(&mut self, target: &id::Target, domain: &id::Domain, now: Instant) {
        self.by_target
            .retain(|_, (_, at)| now.since(*at) < FAILURE_LIFETIME);
        self.by_target.insert(target.clone(), (domain.clone(), now));
    }

    /// Returns the time of the first recent failure.
    fn first(&self, now: Instant) -> Option<Instant> {
        let times = self.by_target.values().map(|(_, at)| *at);
        times.filter(|at| now.since(*at) < FAILURE_LIFETIME).min()
    }

    /// Returns whether the failures concern as many targets and domains as raise the suspicion, out of
    /// `targets` and `domains` that exist.
    fn are_widespread(&self, targets: usize, domains: usize, now: Instant) -> bool {
        let recent = self.by_target.values();
        let recent = recent.filter(|(_, at)| now.since(*at) < FAILURE_LIFETIME);
        let failed: Vec<&id::Domain> = recent.map(|(domain, _)| domain).collect();
        let failed_domains: IndexSet<&id::Domain> = failed.iter().copied().collect();
        targets > 0
            && failed.len() >= MIN_FAILED_TARGETS.min(targets)
            && failed_domains.len() >= MIN_FAILED_DOMAINS.min(domains)
    }
}

/// What this instance knows of its paths to targets.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// Failures of new connections since one of them carried a response.
    unreached: Failures,
    /// Requests without a response since the last response.
    unanswered: Failures,
    cut_off_since: Option<Instant>,
}

impl Reach {
    /// Records that a new connection to a target could not be opened, or ended without a response.
    pub fn record_unreached(&mut self, target: &id::Target, domain: &id::Domain, now: Instant) {
        self.unreached.record(target, domain, now);
    }

    /// Records that a target did not respond in time, or that the connection was lost before.
    pub fn record_unanswered(&mut self, target: &id::Target, domain: &id::Domain, now: Instant) {
        self.unanswered.record(target, domain, now);
    }

    /// Records that a target responded. `is_new` says whether the connection was opened for the request.
    pub fn record_response(&mut self, is_new: bool) {
        self.unanswered.by_target.clear();
        if is_new {
            self.unreached.by_target.clear();
        }
    }

    /// Returns whether health checks should find out if the instance is cut off, or still is. The
    /// arguments are the numbers of targets and of their failure domains.
    #[must_use]
    pub fn needs_check(&self, targets: usize, domains: usize, now: Instant) -> bool {
        self.is_cut_off()
            || self.unreached.are_widespread(targets, domains, now)
            || self.unanswered.are_widespread(targets, domains, now)
    }

    /// Returns whether the instance is cut off from all targets.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Records a round of health checks that no target responded to. Returns the time of the first failure
    /// if the instance was not known to be cut off.
    pub fn record_failed_round(&mut self, now: Instant) -> Option<Instant> {
        if self.is_cut_off() {
            return None;
        }
        let first = [&self.unreached, &self.unanswered];
        let first = first.into_iter().filter_map(|failures| failures.first(now));
        self.cut_off_since = Some(first.min().unwrap_or(now));
        self.cut_off_since
    }

    /// Records that a target responded to a health check on a new connection. Returns since when the
    /// instance was cut off, if it was: the time of the first failure.
    pub fn record_reached(&mut self) -> Option<Instant> {
        self.record_response(true);
        self.cut_off_since.take()
    }
}
