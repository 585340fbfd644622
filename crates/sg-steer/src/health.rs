//! Whether a target works, judged by this instance's own requests and by probes.
//!
//! Own requests go before probes: a probe alone takes a target out only within the ejection cap,
//! and not while own requests succeed.

use sg_types::prelude::*;

use crate::{End, report::Why};

/// Failures in a row that eject a target.
const FAILURES: u32 = 5;
/// Connections lost or refused in a row that count as down when a probe fails too.
const LOSSES_WITH_PROBE: u32 = 2;
/// Connections lost or refused in a row that count as down when no probe says otherwise.
const LOSSES_ALONE: u32 = 3;
/// The weight of one answer in the share of failures.
const ANSWER_WEIGHT: f64 = 0.05;
/// Answers before the share of failures is looked at.
const LEAST_ANSWERS: u32 = 20;
/// The share of failures that ejects a target.
const FAILURE_SHARE: f64 = 0.5;
/// How long a first ejection lasts. It doubles each time.
const FIRST_OUT: Span = Span::from_secs(5);
/// How many times an ejection doubles.
const MOST_DOUBLINGS: u32 = 4;
/// How long after an ejection it no longer counts.
const FORGIVEN_AFTER: Span = Span::from_secs(300);
/// How long a target is left out after a sign that it leaves. It doubles when it comes back and
/// says so again.
const LEAVING_HOLD: Span = Span::from_secs(10);
/// The first wait after a refusal for load. It doubles each time.
const FIRST_BACKOFF: Span = Span::from_millis(100);
/// How many times a back-off doubles.
const MOST_BACKOFFS: u32 = 5;

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probed {
    /// The target said that it works, or that it leaves.
    Works,
    /// It answered that it does not work, or not in time.
    Fails,
    /// Its address refused the connection.
    Refused,
}

/// What should become of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It stays as it is.
    Stay,
    /// It should go out, if the ejection cap allows.
    Eject(Why),
    /// It is gone; the cap does not apply.
    Down,
}

/// A target that gets no requests for now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Out {
    pub(crate) why: Why,
    pub(crate) until: Instant,
}

/// The record of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    failures: u32,
    losses: u32,
    failure_share: f64,
    answers: u32,
    success: Option<Instant>,
    probe: Option<(Instant, Probed)>,
    leaving: Option<Instant>,
    returns: u32,
    out: Option<Out>,
    outs: u32,
    last_out: Instant,
    trial: bool,
    backoff: Instant,
    sheds: u32,
}

impl Health {
    /// Takes in how an attempt ended.
    pub(crate) fn on_end(&mut self, end: End, now: Instant) {
        match end {
            End::Answered { failed: false, .. } => self.on_success(now),
            End::Answered { failed: true, .. } => {
                self.losses = 0;
                self.on_failure();
            }
            End::Shed => {
                self.backoff = now + doubled(FIRST_BACKOFF, self.sheds.min(MOST_BACKOFFS));
                self.sheds += 1;
            }
            End::Leaving => self.on_leaving(now),
            End::ConnectFailed | End::Lost | End::TimedOut => {
                self.losses += 1;
                self.on_failure();
            }
            End::Cancelled => {}
        }
    }

    fn on_success(&mut self, now: Instant) {
        self.failures = 0;
        self.losses = 0;
        self.sheds = 0;
        self.trial = false;
        self.returns = 0;
        self.success = Some(now);
        self.count(0.0);
    }

    fn on_failure(&mut self) {
        self.failures += 1;
        self.count(1.0);
    }

    fn count(&mut self, failure: f64) {
        self.answers = self.answers.saturating_add(1);
        self.failure_share += (failure - self.failure_share) * ANSWER_WEIGHT;
    }

    /// Takes in a sign that the target leaves.
    pub(crate) fn on_leaving(&mut self, now: Instant) {
        self.leaving = Some(now);
    }

    /// Takes in a probe. Returns whether the target came back after it left.
    pub(crate) fn on_probe(&mut self, probed: Probed, leaving: bool, now: Instant) -> bool {
        self.probe = Some((now, probed));
        if leaving {
            self.on_leaving(now);
            return false;
        }
        let hold = doubled(LEAVING_HOLD, self.returns.min(MOST_DOUBLINGS - 1));
        let is_back = probed == Probed::Works && self.leaving.is_some_and(|at| now >= at + hold);
        if is_back {
            self.leaving = None;
            self.returns += 1;
            self.trial = true;
        }
        is_back
    }

    /// What should become of the target. `stale` is the age at which a probe no longer counts.
    pub(crate) fn verdict(&self, stale: Span, now: Instant) -> Verdict {
        if self.out.is_some() {
            return Verdict::Stay;
        }
        if self.trial {
            return match self.failures {
                0 => Verdict::Stay,
                _ if self.is_lost(stale, now) => Verdict::Down,
                _ => Verdict::Eject(Why::Failures),
            };
        }
        if self.is_lost(stale, now) {
            return Verdict::Down;
        }
        if self.failures >= FAILURES {
            return Verdict::Eject(Why::Failures);
        }
        if self.answers >= LEAST_ANSWERS && self.failure_share > FAILURE_SHARE {
            return Verdict::Eject(Why::FailureShare);
        }
        let works = self.success.is_some_and(|at| now.since(at) < stale);
        match self.fresh_probe(stale, now) {
            Some(Probed::Fails | Probed::Refused) if !works => Verdict::Eject(Why::Probe),
            _ => Verdict::Stay,
        }
    }

    fn is_lost(&self, stale: Span, now: Instant) -> bool {
        match self.fresh_probe(stale, now) {
            Some(Probed::Works) => false,
            Some(Probed::Refused) => !self.succeeded_since_probe(),
            Some(Probed::Fails) => self.losses >= LOSSES_WITH_PROBE,
            None => self.losses >= LOSSES_ALONE,
        }
    }

    fn fresh_probe(&self, stale: Span, now: Instant) -> Option<Probed> {
        let (at, probed) = self.probe?;
        (now.since(at) < stale).then_some(probed)
    }

    /// A refused connection is no report that may lie, but one that is older than a success says
    /// nothing.
    fn succeeded_since_probe(&self) -> bool {
        let probed = self.probe.map(|(at, _)| at);
        self.success >= probed && self.success.is_some()
    }

    /// Takes the target out for a while.
    pub(crate) fn take_out(&mut self, why: Why, now: Instant) -> Instant {
        if now.since(self.last_out) > FORGIVEN_AFTER {
            self.outs = 0;
        }
        self.last_out = now;
        let until = now + doubled(FIRST_OUT, self.outs.min(MOST_DOUBLINGS));
        self.outs = self.outs.saturating_add(1);
        self.out = Some(Out { why, until });
        until
    }

    /// Lets a target whose time is over, or whose probe works again, be tried by one request.
    /// Returns whether it now is on trial.
    pub(crate) fn try_again(&mut self, stale: Span, now: Instant) -> bool {
        let Some(out) = self.out else {
            return false;
        };
        let probe_works = self.fresh_probe(stale, now) == Some(Probed::Works);
        let by_probe = matches!(out.why, Why::Probe | Why::Down) && probe_works;
        if now < out.until && !by_probe {
            return false;
        }
        self.out = None;
        self.trial = true;
        self.failures = 0;
        self.losses = 0;
        self.failure_share = 0.0;
        self.answers = 0;
        true
    }

    /// Whether the target is out, and why.
    pub(crate) const fn out(&self) -> Option<Out> {
        self.out
    }

    /// Whether one request tries the target.
    pub(crate) const fn is_trial(&self) -> bool {
        self.trial
    }

    /// Whether the target is thought to work. One on trial is so only while its probe says so.
    pub(crate) fn works(&self, stale: Span, now: Instant) -> bool {
        let is_proven = !self.trial || self.fresh_probe(stale, now) == Some(Probed::Works);
        self.out.is_none() && is_proven
    }

    /// Whether the target showed a sign that it leaves.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Until when the target is left alone after it refused for load.
    pub(crate) const fn backoff(&self) -> Instant {
        self.backoff
    }
}

/// `span` doubled `times` times.
fn doubled(span: Span, times: u32) -> Span {
    Span::from_nanos(span.as_nanos() << times)
}
