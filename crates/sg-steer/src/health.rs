//! Health of a target, judged by this instance's own requests and by probes.
//!
//! Own requests take precedence over probes: a failing probe alone ejects a target only within the
//! ejection cap, and only if no own request succeeded recently. A probe whose connection is refused
//! marks the target as down, unless a request succeeded after it.

use sg_types::prelude::*;

use crate::{Completion, report::Restriction};

/// Number of consecutive failures that eject a target.
const EJECTION_THRESHOLD: u32 = 5;
/// Number of consecutive attempts without a response that mark a target as down when its probe
/// fails too.
const DOWN_THRESHOLD_WITH_FAILED_PROBE: u32 = 2;
/// Number of consecutive attempts without a response that mark a target as down without a recent
/// probe.
const DOWN_THRESHOLD_WITHOUT_PROBE: u32 = 3;
/// Weight of one attempt in the moving average of failures.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Number of attempts that are needed before the failure rate is used.
const MIN_SAMPLES: u32 = 20;
/// Failure rate above which a target is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Duration of the first exclusion. The duration doubles with each further exclusion.
const BASE_EXCLUSION_TIME: Span = Span::from_secs(5);
/// Maximum number of times that an exclusion doubles. A hold-down doubles at most one time less.
const MAX_DOUBLINGS: u32 = 4;
/// Time without a new exclusion after which the duration starts again at
/// [`BASE_EXCLUSION_TIME`].
const EXCLUSION_RESET_TIME: Span = Span::from_secs(300);
/// Time for which a target is not used after it announced that it leaves. The time doubles whenever
/// the target returns and announces again that it leaves.
const LEAVING_HOLD_DOWN: Span = Span::from_secs(10);
/// First back-off after a target refused a request for load. The back-off doubles with each further
/// refusal.
const INITIAL_BACKOFF: Span = Span::from_millis(100);
/// Maximum number of times that a back-off doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// The target reported that it works or that it leaves.
    Healthy,
    /// The target reported that it does not work, or did not respond in time.
    Unhealthy,
    /// The address of the target refused the connection.
    Refused,
}

/// Action that follows from the health of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Action {
    /// Leave the state of the target unchanged.
    Keep,
    /// Eject the target if the ejection cap allows.
    Eject(Restriction),
    /// Exclude the target as down. The ejection cap does not apply.
    MarkDown,
}

/// A period for which a target gets no requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Exclusion {
    pub(crate) restriction: Restriction,
    pub(crate) until: Instant,
}

/// Health record of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    /// Attempts in a row that failed to connect, lost the connection or timed out.
    consecutive_unanswered: u32,
    failure_rate: f64,
    samples: u32,
    last_success: Option<Instant>,
    last_probe: Option<(Instant, ProbeResult)>,
    last_leaving: Option<Instant>,
    return_count: u32,
    exclusion: Option<Exclusion>,
    exclusion_count: u32,
    last_excluded: Instant,
    on_trial: bool,
    backoff_until: Instant,
    consecutive_sheds: u32,
}

impl Health {
    /// Records how an attempt ended.
    pub(crate) fn record_completion(&mut self, completion: Completion, now: Instant) {
        match completion {
            Completion::Responded { failed: false, .. } => self.record_success(now),
            Completion::Responded { failed: true, .. } => {
                self.consecutive_unanswered = 0;
                self.record_failure();
            }
            Completion::Shed => {
                self.backoff_until = now
                    + doubled(
                        INITIAL_BACKOFF,
                        self.consecutive_sheds.min(MAX_BACKOFF_DOUBLINGS),
                    );
                self.consecutive_sheds += 1;
            }
            Completion::Leaving => self.record_leaving(now),
            Completion::ConnectFailed | Completion::ConnectionLost | Completion::TimedOut => {
                self.consecutive_unanswered += 1;
                self.record_failure();
            }
            Completion::Cancelled => {}
        }
    }

    fn record_success(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        self.consecutive_unanswered = 0;
        self.consecutive_sheds = 0;
        self.on_trial = false;
        self.return_count = 0;
        self.last_success = Some(now);
        self.record_sample(0.0);
    }

    fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        self.record_sample(1.0);
    }

    fn record_sample(&mut self, failure: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += (failure - self.failure_rate) * AVERAGE_WEIGHT;
    }

    /// Records that the target announced that it leaves.
    pub(crate) fn record_leaving(&mut self, now: Instant) {
        self.last_leaving = Some(now);
    }

    /// Records a probe. Returns whether the target can be used again after it had announced that it
    /// leaves.
    pub(crate) fn record_probe(
        &mut self,
        probe_result: ProbeResult,
        leaving: bool,
        now: Instant,
    ) -> bool {
        self.last_probe = Some((now, probe_result));
        if leaving {
            self.record_leaving(now);
            return false;
        }
        let hold_down = doubled(LEAVING_HOLD_DOWN, self.return_count.min(MAX_DOUBLINGS - 1));
        let has_returned = probe_result == ProbeResult::Healthy
            && self.last_leaving.is_some_and(|at| now >= at + hold_down);
        if has_returned {
            self.last_leaving = None;
            self.return_count += 1;
            self.on_trial = true;
        }
        has_returned
    }

    /// Returns the action to take for the target. `stale_after` is the age at which a probe no
    /// longer counts.
    pub(crate) fn next_action(&self, stale_after: Span, now: Instant) -> Action {
        if self.exclusion.is_some() {
            return Action::Keep;
        }
        if self.on_trial {
            return match self.consecutive_failures {
                0 => Action::Keep,
                _ if self.is_down(stale_after, now) => Action::MarkDown,
                _ => Action::Eject(Restriction::Failures),
            };
        }
        if self.is_down(stale_after, now) {
            return Action::MarkDown;
        }
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            return Action::Eject(Restriction::Failures);
        }
        if self.samples >= MIN_SAMPLES && self.failure_rate > MAX_FAILURE_RATE {
            return Action::Eject(Restriction::FailureShare);
        }
        let succeeds = self
            .last_success
            .is_some_and(|at| now.since(at) < stale_after);
        match self.recent_probe(stale_after, now) {
            Some(ProbeResult::Unhealthy | ProbeResult::Refused) if !succeeds => {
                Action::Eject(Restriction::Probe)
            }
            _ => Action::Keep,
        }
    }

    fn is_down(&self, stale_after: Span, now: Instant) -> bool {
        match self.recent_probe(stale_after, now) {
            Some(ProbeResult::Healthy) => false,
            Some(ProbeResult::Refused) => !self.succeeded_since_probe(),
            Some(ProbeResult::Unhealthy) => {
                self.consecutive_unanswered >= DOWN_THRESHOLD_WITH_FAILED_PROBE
            }
            None => self.consecutive_unanswered >= DOWN_THRESHOLD_WITHOUT_PROBE,
        }
    }

    fn recent_probe(&self, stale_after: Span, now: Instant) -> Option<ProbeResult> {
        let (at, probe_result) = self.last_probe?;
        (now.since(at) < stale_after).then_some(probe_result)
    }

    /// Returns whether a request succeeded after the last probe. A refused connection can't be a
    /// false report, but it is outdated once a later request has succeeded.
    fn succeeded_since_probe(&self) -> bool {
        let probed_at = self.last_probe.map(|(at, _)| at);
        self.last_success >= probed_at && self.last_success.is_some()
    }

    /// Excludes the target for a limited time. Returns the end of the exclusion.
    pub(crate) fn exclude(&mut self, restriction: Restriction, now: Instant) -> Instant {
        if now.since(self.last_excluded) > EXCLUSION_RESET_TIME {
            self.exclusion_count = 0;
        }
        self.last_excluded = now;
        let until = now + doubled(BASE_EXCLUSION_TIME, self.exclusion_count.min(MAX_DOUBLINGS));
        self.exclusion_count = self.exclusion_count.saturating_add(1);
        self.exclusion = Some(Exclusion { restriction, until });
        until
    }

    /// Starts a trial, in which the target gets one request at a time. A trial is due when the
    /// exclusion has expired, or when the target was excluded by a probe or as down and its probe
    /// succeeds again. Returns whether a trial was started.
    pub(crate) fn start_trial_if_due(&mut self, stale_after: Span, now: Instant) -> bool {
        let Some(exclusion) = self.exclusion else {
            return false;
        };
        let probe_succeeds = self.recent_probe(stale_after, now) == Some(ProbeResult::Healthy);
        let is_restored_by_probe = matches!(
            exclusion.restriction,
            Restriction::Probe | Restriction::Down
        ) && probe_succeeds;
        if now < exclusion.until && !is_restored_by_probe {
            return false;
        }
        self.exclusion = None;
        self.on_trial = true;
        self.consecutive_failures = 0;
        self.consecutive_unanswered = 0;
        self.failure_rate = 0.0;
        self.samples = 0;
        true
    }

    /// Returns the current exclusion of the target.
    pub(crate) const fn exclusion(&self) -> Option<Exclusion> {
        self.exclusion
    }

    /// Returns whether the target is limited to one trial request at a time.
    pub(crate) const fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// Returns whether the target is considered healthy. A target on trial is healthy only while
    /// its probe succeeds.
    pub(crate) fn is_healthy(&self, stale_after: Span, now: Instant) -> bool {
        let is_proven =
            !self.on_trial || self.recent_probe(stale_after, now) == Some(ProbeResult::Healthy);
        self.exclusion.is_none() && is_proven
    }

    /// Returns whether the target announced that it leaves.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.last_leaving.is_some()
    }

    /// Returns the end of the back-off after the target refused a request for load.
    pub(crate) const fn backoff_until(&self) -> Instant {
        self.backoff_until
    }
}

/// Returns `span` doubled `times` times.
fn doubled(span: Span, times: u32) -> Span {
    Span::from_nanos(span.as_nanos() << times)
}
