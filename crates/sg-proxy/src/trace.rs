//! Record of one request, from which metrics are updated for every request, and a log line is
//! written for each unusual request and a sample of the others.

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_place::quota;
use sg_types::prelude::*;

use crate::{metrics::Metrics, send::SendOutcome};

/// One of this many ordinary responses is logged.
const SAMPLE_INTERVAL: u64 = 64;
/// Maximum number of log lines about requests per second, which amounts to about 10 kB per second.
const MAX_LINES_PER_SECOND: u32 = 40;
/// Multiple of the latency objective above which a response counts as slow and is always logged.
const SLOW_FACTOR: f64 = 2.0;

/// Limits the rate of log lines about requests.
#[derive(Debug, Default)]
pub struct LogLimiter {
    window: Mutex<(Instant, u32)>,
    responses: std::sync::atomic::AtomicU64,
}

impl LogLimiter {
    pub(crate) fn admit(&self, now: Instant) -> bool {
        let mut window = self.window.lock();
        if now.since(window.0) >= Span::from_secs(1) {
            *window = (now, 0);
        }
        window.1 += 1;
        window.1 <= MAX_LINES_PER_SECOND
    }

    fn should_sample(&self) -> bool {
        let ordering = std::sync::atomic::Ordering::Relaxed;
        self.responses
            .fetch_add(1, ordering)
            .is_multiple_of(SAMPLE_INTERVAL)
    }
}

/// One send of the request to a target.
#[derive(Debug, Clone)]
pub struct SendRecord {
    /// Target of the send.
    pub target: id::Target,
    /// Label of the outcome of the send, [`SendRecord::OPEN`] before the send has ended.
    pub outcome: &'static str,
    /// Time from the arrival of the request to the send.
    pub sent_after: Span,
    /// Whether the object was assumed to be warm at the target.
    pub warm: bool,
    /// Whether the target was the highest-ranked one for the object.
    pub is_highest_ranked: bool,
    /// Expected time until the response, in seconds.
    pub expected_seconds: f64,
}

impl SendRecord {
    /// Outcome of a send that has not ended.
    pub const OPEN: &'static str = "open";

    /// Returns whether the target may have run the request.
    fn may_have_run(&self) -> bool {
        let unrun = [
            SendOutcome::Unsent.as_str(),
            SendOutcome::Shed.as_str(),
            SendOutcome::Misdirected.as_str(),
        ];
        !unrun.contains(&self.outcome)
    }
}

/// How an attempt to pass the request on ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEnd {
    /// The attempt has not ended.
    Open,
    /// The other instance's response was passed back.
    Answered,
    /// No byte of the request was sent.
    Unsent,
    /// The other instance rejected the request by an older configuration.
    Outdated,
    /// The other instance stops, and has not run the request.
    Leaving,
    /// The connection was lost, or the response belongs to another request.
    Lost,
    /// The deadline passed.
    Late,
}

impl RelayEnd {
    /// Returns the label in the log and the metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => SendRecord::OPEN,
            Self::Answered => "answered",
            Self::Unsent => "unsent",
            Self::Outdated => "outdated",
            Self::Leaving => "leaving",
            Self::Lost => "lost",
            Self::Late => "late",
        }
    }

    /// Returns whether the request may have run because of the attempt.
    const fn may_have_run(self) -> bool {
        !matches!(self, Self::Unsent | Self::Outdated | Self::Leaving)
    }
}

/// One attempt to pass the request on to another instance.
#[derive(Debug, Clone)]
pub struct RelayRecord {
    /// The other instance.
    instance: id::Instance,
    end: RelayEnd,
}

impl RelayRecord {
    /// Creates a record of an attempt that has not ended.
    pub fn open(instance: id::Instance) -> Self {
        Self {
            instance,
            end: RelayEnd::Open,
        }
    }
}

impl std::fmt::Display for RelayRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.instance, self.end.as_str())
    }
}

/// Record of one request.
#[derive(Debug)]
pub struct Trace {
    /// Id of the request.
    pub id: Arc<str>,
    /// Time at which the head of the request was read from the caller's socket.
    pub arrived: Instant,
    /// Time at which the request began to be handled. A request on a connection with several requests waits
    /// for the responses to those before it.
    pub started: Instant,
    /// Time by which this instance has to respond, once the request's route is known.
    pub deadline: Option<Instant>,
    /// Route of the request.
    pub route: Option<id::Route>,
    /// Client account of the request.
    pub account: Option<id::Account>,
    /// Revision of the catalog that the request was handled with.
    pub revision: Revision,
    /// Latency objective of the route.
    pub objective: Span,
    /// Hash of the object that the request is about.
    pub object: u64,
    /// Sends in order.
    pub sends: Vec<SendRecord>,
    /// Attempts to pass the request on, in order.
    pub relays: Vec<RelayRecord>,
    /// Whether another instance passed the request on.
    pub is_relayed: bool,
    /// Whether the body of the request was not received, so that the connection closes.
    pub is_body_unread: bool,
    /// What the response of another instance says of the request.
    pub relayed_outcome: Option<Outcome>,
    /// State of the account's quota if the quota refused the request.
    pub quota: Option<QuotaSnapshot>,
    /// Time at which this instance began to stop, if it stops.
    pub draining_since: Option<Instant>,
    timer: Timer,
    finished: bool,
    metrics: Metrics,
    log_limiter: Arc<LogLimiter>,
}

/// State of an account's quota when it refused a request.
#[derive(Debug, Clone, Copy)]
pub struct QuotaSnapshot {
    /// Quota of the whole fleet.
    pub bounds: quota::Bounds,
    /// Fraction of the quota that belongs to this instance.
    pub fraction: f64,
    /// Tokens held by this instance.
    pub held: f64,
}

impl std::fmt::Display for QuotaSnapshot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let quota::Bounds { rate, burst } = self.bounds;
        write!(
            f,
            "rate={rate:.0}/s:burst={burst:.0}:part={:.3}:held={:.1}",
            self.fraction, self.held
        )
    }
}

impl Trace {
    /// Creates the record of a request that arrived at `arrived`, or now if that is not known.
    pub fn new(
        timer: Timer,
        metrics: Metrics,
        log_limiter: Arc<LogLimiter>,
        arrived: Option<Instant>,
    ) -> Self {
        metrics.in_progress.inc();
        let started = timer.now();
        Self {
            id: Arc::from(""),
            arrived: arrived.unwrap_or(started),
            started,
            deadline: None,
            route: None,
            account: None,
            revision: Revision::default(),
            objective: Span::ZERO,
            object: 0,
            sends: Vec::new(),
            relays: Vec::new(),
            is_relayed: false,
            is_body_unread: false,
            relayed_outcome: None,
            quota: None,
            draining_since: None,
            timer,
            finished: false,
            metrics,
            log_limiter,
        }
    }

    /// Returns whether a target may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        let mut relays = self.relays.iter();
        self.sends.iter().any(SendRecord::may_have_run)
            || relays.any(|relay| relay.end.may_have_run())
    }

    /// Records how the last attempt to pass the request on ended.
    pub fn end_relay(&mut self, end: RelayEnd) {
        if let Some(relay) = self.relays.last_mut() {
            relay.end = end;
        }
    }

    /// Records the response to the caller.
    pub fn finish(&mut self, outcome: Outcome, reason: Reason, status: u16) {
        self.finished = true;
        let now = self.timer.now();
        let elapsed = now.since(self.arrived);
        let route = self.route.as_ref().map_or("none", id::Route::as_str);
        self.metrics
            .record_response(route, outcome, reason, elapsed);
        if outcome == Outcome::Unknown {
            let is_stopping = self.draining_since.is_some();
            let cause = self.give_up_cause(reason);
            self.metrics.record_given_up(cause, is_stopping);
        }
        let is_slow = self.objective > Span::ZERO
            && elapsed.as_secs_f64() > self.objective.as_secs_f64() * SLOW_FACTOR;
        let is_ordinary =
            outcome == Outcome::Ran && self.sends.len() <= 1 && !is_slow && status < 500;
        if is_ordinary && !self.log_limiter.should_sample() {
            return;
        }
        self.log(outcome.as_str(), reason.as_str(), status, elapsed, now);
    }

    /// Returns why a request that may have run gets an answer of this instance: that it abandoned a target and no
    /// other one ran it, or the outcome of its last send, or the reason of the answer if the send was still open.
    fn give_up_cause(&self, reason: Reason) -> &'static str {
        let is_abandoned = |send: &SendRecord| send.outcome == SendOutcome::ABANDONED;
        if self.sends.iter().any(is_abandoned) && reason == Reason::ConnectionLost {
            return SendOutcome::ABANDONED;
        }
        let sent = self.sends.last().map(|send| send.outcome);
        let relayed = self.relays.last().map(|relay| relay.end.as_str());
        let last = relayed.or(sent).filter(|end| *end != SendRecord::OPEN);
        last.unwrap_or(reason.as_str())
    }

    fn log(&self, outcome: &str, reason: &str, status: u16, elapsed: Span, now: Instant) {
        if !self.log_limiter.admit(now) {
            self.metrics.omitted_log_lines.inc();
            return;
        }
        let sends: Vec<String> = self.sends.iter().map(SendRecord::to_string).collect();
        let relays: Vec<String> = self.relays.iter().map(RelayRecord::to_string).collect();
        log::info!(
            request = self.id.as_ref(),
            route = self.route.as_ref().map_or("", id::Route::as_str),
            account = self.account.as_ref().map_or("", id::Account::as_str),
            revision = self.revision.get(),
            outcome,
            reason,
            status,
            took_ms = elapsed.as_millis(),
            stop_ms = self.draining_since.map_or(0, |since| now.since(since).as_millis()),
            object = self.object,
            sent = sends.join(" ").as_str(),
            relayed = relays.join(" ").as_str(),
            quota = self.quota.map_or_else(String::new, |quota| quota.to_string()).as_str();
            "answered"
        );
    }
}

impl std::fmt::Display for SendRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let warmth = if self.warm { "warm" } else { "cold" };
        let rank = if self.is_highest_ranked {
            "first"
        } else {
            "other"
        };
        write!(
            f,
            "{}@{}ms:{}:{warmth}:{rank}:expected={:.0}ms",
            self.target,
            self.sent_after.as_millis(),
            self.outcome,
            self.expected_seconds * 1e3
        )
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.metrics.in_progress.dec();
        if !self.finished {
            self.metrics.callers_gone.inc();
            let now = self.timer.now();
            self.log("unknown", "caller-gone", 0, now.since(self.arrived), now);
        }
    }
}
