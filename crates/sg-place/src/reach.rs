//! Tells whether an instance has lost its paths to all targets.
//!
//! Failures at targets of several failure domains, with no success in between, raise the suspicion that the
//! fault is this instance's own. A round of health checks over all failure domains then confirms or refutes
//! the suspicion. Successes on open connections don't refute failures of new ones, because open
//! connections may outlive the path to a target.
//!
//! A link that is full looks alike for a while: new connections open late. While responses to requests that were
//! sent after the first failure arrive, or late connections open, failures that are only a lack of answers don't
//! confirm the suspicion for 3 s.
//!
//! An instance of the same failure domain that is newly cut off raises the suspicion as well, because the
//! instances of a domain often share the fault and have too few requests to notice at the same time.
//!
//! A quarantine that rests on losses of this instance raises the suspicion too: once requests are
//! quarantined, they are no longer sent, and no further failures would.

use sg_types::prelude::*;

/// Number of targets that must fail before the instance suspects itself, unless there are fewer.
const MIN_FAILED_TARGETS: usize = 3;
/// Number of failure domains of these targets, unless there are fewer.
const MIN_FAILED_DOMAINS: usize = 2;
/// How long a failure counts.
pub const FAILURE_LIFETIME: Span = Span::from_secs(3);
/// Time after the first failure for which responses on open connections keep late connects from confirming the
/// suspicion. The system repeats an unanswered attempt once within this time.
const MAX_DOUBT: Span = Span::from_secs(3);
/// How long an observed connect time counts.
const CONNECT_TIME_LIFETIME: Span = Span::from_secs(3);
/// Time limit of an exchange, as a multiple of the longest connect time that was observed lately: a connect and a
/// response, each of which may take twice as long as the last connect.
const EXCHANGE_CONNECT_TIMES: f64 = 4.0;
/// Greatest time from the start of a cut until this instance and the others know of the cut. Failures before
/// say nothing of the cut.
pub const DETECTION_TIME: Span = Span::from_secs(5);

/// How a target failed on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The connection was not open in time.
    ConnectTimedOut,
    /// The connection was refused, reset or could not be opened for another reason.
    ConnectFailed,
    /// The connection was open, and no response arrived.
    NoResponse,
}

/// What speaks for and against a cut. The counts are those of targets that failed lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Targets at which a new connection was not open in time.
    pub connects_timed_out: usize,
    /// Targets at which a new connection could not be opened for another reason.
    pub connects_failed: usize,
    /// Targets that did not respond on an open connection, new or not.
    pub unanswered: usize,
    /// Time since the last response of any target; `None` if there was none.
    pub response_age: Option<Span>,
}

/// The failures at one target since its last response.
#[derive(Debug, Clone)]
struct TargetFailures {
    domain: id::Domain,
    /// Cause of the last failure.
    cause: Cause,
    first: Instant,
    last: Instant,
}

impl TargetFailures {
    fn is_recent(&self, now: Instant) -> bool {
        now.since(self.last) < FAILURE_LIFETIME
    }
}

/// Recent failures, by target.
#[derive(Debug, Clone, Default)]
struct Failures {
    by_target: IndexMap<id::Target, TargetFailures>,
}

impl Failures {
    fn record(&mut self, target: &id::Target, domain: &id::Domain, cause: Cause, now: Instant) {
        self.by_target.retain(|_, failures| failures.is_recent(now));
        let failures = self.by_target.entry(target.clone());
        let failures = failures.or_insert_with(|| TargetFailures {
            domain: domain.clone(),
            cause,
            first: now,
            last: now,
        });
        failures.cause = cause;
        failures.last = now;
    }

    /// Returns the failures of targets that failed lately.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &TargetFailures> {
        let failures = self.by_target.values();
        failures.filter(move |failures| failures.is_recent(now))
    }

    /// Returns the time of the first failure at a target that still failed lately.
    fn first(&self, now: Instant) -> Option<Instant> {
        self.recent(now).map(|failures| failures.first).min()
    }

    fn contains(&self, target: &id::Target, now: Instant) -> bool {
        let failures = self.by_target.get(target);
        failures.is_some_and(|failures| failures.is_recent(now))
    }

    /// Returns whether the failures concern as many targets and domains as raise the suspicion, out of
    /// `targets` and `domains` that exist.
    fn are_widespread(&self, targets: usize, domains: usize, now: Instant) -> bool {
        let recent = self.recent(now);
        let failed: Vec<&id::Domain> = recent.map(|failures| &failures.domain).collect();
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
    /// The last time at which a request was quarantined because of losses of this instance.
    quarantined_at: Option<Instant>,
    /// The last time at which another instance of the failure domain was newly cut off.
    neighbor_cut_at: Option<Instant>,
    /// The time of the last response on any connection.
    response_at: Option<Instant>,
    /// The latest time at which something was sent that was answered: a request, or the attempt to open a
    /// connection.
    answered_sent_at: Option<Instant>,
    /// The longest connect time that was observed lately, and when.
    longest_connect: Option<(Span, Instant)>,
    cut_off_since: Option<Instant>,
}

impl Reach {
    /// Records that a new connection to a target could not be opened, or ended without a response.
    pub fn record_unreached(
        &mut self,
        target: &id::Target,
        domain: &id::Domain,
        cause: Cause,
        now: Instant,
    ) {
        self.unreached.record(target, domain, cause, now);
    }

    /// Records that a target did not respond in time, or that the connection was lost before.
    pub fn record_unanswered(&mut self, target: &id::Target, domain: &id::Domain, now: Instant) {
        self.unanswered
            .record(target, domain, Cause::NoResponse, now);
    }

    /// Records how long it took to open a connection.
    pub fn record_connect(&mut self, time: Span, now: Instant) {
        if self.longest_connect_time(now) <= time {
            self.longest_connect = Some((time, now));
        }
    }

    /// Records that the connection to `target` is open whose attempt began at `started` and was recorded as
    /// timed out.
    pub fn record_late_connect(&mut self, target: &id::Target, started: Instant, now: Instant) {
        self.record_connect(now.since(started), now);
        self.answered_sent_at = self.answered_sent_at.max(Some(started));
        let unreached = self.unreached.by_target.get(target);
        if unreached.is_some_and(|failures| failures.cause == Cause::ConnectTimedOut) {
            self.unreached.by_target.swap_remove(target);
            self.unanswered.by_target.swap_remove(target);
        }
    }

    fn longest_connect_time(&self, now: Instant) -> Span {
        let recent = self.longest_connect;
        let recent = recent.filter(|(_, at)| now.since(*at) < CONNECT_TIME_LIFETIME);
        recent.map_or(Span::ZERO, |(time, _)| time)
    }

    /// Returns the time limit of an exchange that is `usual`, or longer if connections have lately taken long to
    /// open, up to 3 s.
    #[must_use]
    pub fn stretch(&self, usual: Span, now: Instant) -> Span {
        let observed = self
            .longest_connect_time(now)
            .mul_f64(EXCHANGE_CONNECT_TIMES);
        observed.min(MAX_DOUBT).max(usual)
    }

    /// Records that a request is quarantined because of losses of this instance.
    pub fn record_quarantine(&mut self, now: Instant) {
        self.quarantined_at = Some(now);
    }

    /// Records that another instance of the failure domain is newly cut off.
    pub fn record_neighbor_cut(&mut self, now: Instant) {
        self.neighbor_cut_at = Some(now);
    }

    /// Returns whether a target failed lately and has not responded since.
    #[must_use]
    pub fn has_failed(&self, target: &id::Target, now: Instant) -> bool {
        self.unreached.contains(target, now) || self.unanswered.contains(target, now)
    }

    /// Records that a target responded to a request of the time `sent_at`. `is_new` says whether the connection
    /// carried no request before.
    pub fn record_response(&mut self, is_new: bool, sent_at: Instant, now: Instant) {
        self.response_at = Some(now);
        self.answered_sent_at = self.answered_sent_at.max(Some(sent_at));
        self.unanswered.by_target.clear();
        self.quarantined_at = None;
        if is_new {
            self.unreached.by_target.clear();
            self.neighbor_cut_at = None;
        }
    }

    /// Returns when another instance of the failure domain or a quarantine raised the suspicion.
    fn hinted_at(&self, now: Instant) -> Option<Instant> {
        let hints = [self.quarantined_at, self.neighbor_cut_at];
        let hints = hints.into_iter().flatten();
        hints.filter(|at| now.since(*at) < FAILURE_LIFETIME).min()
    }

    /// Returns when the first failure happened that still counts.
    fn first_failure(&self, now: Instant) -> Option<Instant> {
        let failures = [&self.unreached, &self.unanswered];
        let first = failures
            .into_iter()
            .filter_map(|failures| failures.first(now));
        first.min()
    }

    /// Returns when the suspicion began, by the first failure or else by a hint; `None` if it was refuted.
    #[must_use]
    pub fn suspected_since(&self, now: Instant) -> Option<Instant> {
        self.first_failure(now).or(self.hinted_at(now))
    }

    /// Returns whether late connects are more likely than a cut: what was sent since the suspicion began is
    /// answered, and no connection failed otherwise.
    fn is_doubtful(&self, now: Instant) -> bool {
        let began = self.suspected_since(now);
        let Some(began) = began.filter(|began| now.since(*began) < MAX_DOUBT) else {
            return false;
        };
        let mut unreached = self.unreached.recent(now);
        self.answered_sent_at.is_some_and(|at| at >= began)
            && unreached.all(|failures| failures.cause == Cause::ConnectTimedOut)
    }

    /// Returns whether health checks should find out if the instance is cut off, or still is. The
    /// arguments are the numbers of targets and of their failure domains.
    #[must_use]
    pub fn needs_check(&self, targets: usize, domains: usize, now: Instant) -> bool {
        self.is_cut_off()
            || self.hinted_at(now).is_some()
            || self.unreached.are_widespread(targets, domains, now)
            || self.unanswered.are_widespread(targets, domains, now)
    }

    /// Returns what speaks for and against a cut.
    #[must_use]
    pub fn evidence(&self, now: Instant) -> Evidence {
        let by_cause = |cause| {
            let recent = self.unreached.recent(now);
            recent.filter(|failures| failures.cause == cause).count()
        };
        let unanswered = self.unanswered.by_target.iter();
        let on_open_connections = unanswered.filter(|(target, failures)| {
            failures.is_recent(now) && !self.unreached.contains(target, now)
        });
        Evidence {
            connects_timed_out: by_cause(Cause::ConnectTimedOut),
            connects_failed: by_cause(Cause::ConnectFailed),
            unanswered: by_cause(Cause::NoResponse) + on_open_connections.count(),
            response_age: self.response_at.map(|at| now.since(at)),
        }
    }

    /// Returns whether the instance is cut off from all targets.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Records a round of health checks that no target responded to. Returns the time of the first failure,
    /// at most [`DETECTION_TIME`] ago, if the instance was not known to be cut off. The round counts for nothing
    /// if responses have refuted the suspicion meanwhile, or make it doubtful.
    pub fn record_failed_round(&mut self, now: Instant) -> Option<Instant> {
        if self.is_cut_off() || self.is_doubtful(now) {
            return None;
        }
        let hinted = self.hinted_at(now).map(|_| now);
        let first = self.first_failure(now).or(hinted)?;
        self.cut_off_since = Some(first.max(now - DETECTION_TIME));
        self.cut_off_since
    }

    /// Records that a target responded to a health check on a new connection. Returns since when the
    /// instance was cut off, if it was: the time of the first failure.
    pub fn record_reached(&mut self, now: Instant) -> Option<Instant> {
        self.record_response(true, now, now);
        self.cut_off_since.take()
    }
}
