//! Metrics of the request path.

use prometheus::{
    Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, core::Collector,
};
use sg_types::prelude::*;

use crate::{
    connections::{self, failure::Failure},
    memory, slots,
};

/// Upper bounds of the latency buckets, in seconds: from a warm response nearby to the longest
/// deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0];

/// Registers a metric and returns it.
fn registered<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: Result<M, prometheus::Error>,
) -> Result<M, prometheus::Error> {
    let metric = metric?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn latency_by_route() -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new("sg_latency_seconds", "Time to the answer of a request.");
    HistogramVec::new(
        options.buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
        &["route", "outcome"],
    )
}

fn timer_lateness() -> Result<Histogram, prometheus::Error> {
    let options = HistogramOpts::new("sg_timer_lateness_seconds", "How late timers fire.");
    Histogram::with_opts(options.buckets(LATENCY_BUCKETS_SECONDS.to_vec()))
}

/// Metrics of the request path.
#[derive(Debug, Clone)]
pub struct Metrics {
    responses: IntCounterVec,
    attempts: IntCounterVec,
    retries: IntCounterVec,
    abandoned: IntCounterVec,
    limited_sends: IntCounterVec,
    rate_limit_changes: IntCounterVec,
    relays: IntCounterVec,
    departures: IntCounterVec,
    refusals: IntCounterVec,
    quota_refusals: IntCounterVec,
    cut_responses: IntCounterVec,
    foreign_responses: IntCounterVec,
    given_up: IntCounterVec,
    connection_failures: IntCounterVec,
    latency: HistogramVec,
    body_refusals: IntCounterVec,
    memory_bytes: IntGaugeVec,
    memory_evictions: IntCounterVec,
    memory_refusals: IntCounterVec,
    /// Requests whose body was sent while it was read.
    pub streamed_requests: IntCounter,
    /// Pauses that targets asked for.
    pub target_pauses: IntCounter,
    /// Requests per second that this instance may send to all targets that state a rate limit.
    pub rate_limit_share: Gauge,
    /// Targets that this instance sends nothing to because they asked for a pause.
    pub paused_targets: IntGauge,
    /// Connections of callers that ended early, by cause.
    pub early_ends: IntCounterVec,
    /// Connections of callers that closed without the responses to requests, by whether these were read.
    pub unanswered: IntCounterVec,
    /// Requests that were started while earlier responses of their connection were due.
    pub started_early: IntCounter,
    /// Callers that disconnected before their response.
    pub callers_gone: IntCounter,
    /// Connections opened to targets.
    pub connections_opened: IntCounter,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Log lines about requests that were omitted to bound the log volume.
    pub omitted_log_lines: IntCounter,
    /// Time by which timers fire late, for lack of processor time.
    pub lateness: Histogram,
    /// Metrics of asks for slots.
    pub slots: slots::Metrics,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// Returns [`prometheus::Error`] if `registry` already has metrics of the same names.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            registered(registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let counter = |name, help| registered(registry, IntCounter::new(name, help));
        let gauge = |name, help| registered(registry, IntGauge::new(name, help));
        Ok(Self {
            responses: counters(
                "sg_answers_total",
                "Answers to callers.",
                &["outcome", "reason"],
            )?,
            attempts: counters(
                "sg_attempts_total",
                "Sends to targets.",
                &["service", "end"],
            )?,
            retries: counters(
                "sg_retries_total",
                "Sends beyond the first.",
                &["service", "after"],
            )?,
            abandoned: counters(
                "sg_abandoned_sends_total",
                "Sends after which the request was sent to another target as well, by their end; \"left\" if the other one responded first.",
                &["end"],
            )?,
            limited_sends: counters(
                "sg_limited_sends_total",
                "Sends to targets that state a rate limit.",
                &["service", "kind"],
            )?,
            rate_limit_changes: counters(
                "sg_rate_limit_changes_total",
                "Rate limits of targets that began, changed or ended, by who told of it.",
                &["change", "source"],
            )?,
            rate_limit_share: registered(
                registry,
                Gauge::new(
                    "sg_rate_limit_share",
                    "Requests per second that this instance may send to targets that state a rate limit.",
                ),
            )?,
            relays: counters(
                "sg_relays_total",
                "Requests passed on to other instances.",
                &["end"],
            )?,
            refusals: counters(
                "sg_refusals_total",
                "Requests refused before their first send, where an order of refusal is on.",
                &["reason", "priority"],
            )?,
            quota_refusals: counters(
                "sg_quota_refusals_total",
                "Requests refused for their account's rate where requests ask for direct tokens, by whether the holders had none.",
                &["cause"],
            )?,
            departures: counters(
                "sg_target_departures_total",
                "Targets that say that they are leaving, by who told of it.",
                &["source"],
            )?,
            cut_responses: counters(
                "sg_responses_cut_total",
                "Responses without an end that were cut off.",
                &["cause"],
            )?,
            foreign_responses: counters(
                "sg_foreign_responses_total",
                "Responses of targets that are not known to be those of the requests in flight, by why.",
                &["what"],
            )?,
            given_up: counters(
                "sg_given_up_total",
                "Requests that got an answer of this instance although a target may have run them, by cause and by whether the instance was stopping.",
                &["cause", "stopping"],
            )?,
            connection_failures: counters(
                "sg_target_connection_failures_total",
                "Connections to targets and other instances that failed, by when and by the error.",
                &["stage", "error"],
            )?,
            early_ends: counters(
                "sg_caller_connections_ended_early_total",
                "Connections of callers that ended before their requests were answered, by cause.",
                &["cause"],
            )?,
            unanswered: counters(
                "sg_caller_connections_unanswered_total",
                "Connections of callers that closed without the responses to requests, by whether these were read.",
                &["requests"],
            )?,
            started_early: counter(
                "sg_requests_started_early_total",
                "Requests that were started while earlier responses of their connection were due.",
            )?,
            body_refusals: counters(
                "sg_bodies_refused_total",
                "Request bodies that were not received, by why.",
                &["reason"],
            )?,
            memory_bytes: registered(
                registry,
                IntGaugeVec::new(
                    Opts::new("sg_memory_bytes", "Buffered bytes by use."),
                    &["use"],
                ),
            )?,
            memory_evictions: counters(
                "sg_memory_evictions_total",
                "Buffers given up for lack of memory, by use.",
                &["use"],
            )?,
            memory_refusals: counters(
                "sg_memory_refusals_total",
                "Buffers that found no memory, by use.",
                &["use"],
            )?,
            streamed_requests: counter(
                "sg_requests_streamed_total",
                "Requests whose body was sent while it was read.",
            )?,
            target_pauses: counter("sg_target_pauses_total", "Pauses that targets asked for.")?,
            paused_targets: gauge(
                "sg_paused_targets",
                "Targets that this instance sends nothing to because they asked for a pause.",
            )?,
            latency: registered(registry, latency_by_route())?,
            callers_gone: counter("sg_callers_gone_total", "Callers that left early.")?,
            connections_opened: counter(
                "sg_connections_opened_total",
                "Connections opened to targets.",
            )?,
            in_progress: gauge("sg_requests_in_hand", "Requests in hand.")?,
            omitted_log_lines: counter("sg_log_lines_left_out_total", "Request lines left out.")?,
            lateness: registered(registry, timer_lateness())?,
            slots: slots::Metrics::register(registry)?,
        })
    }

    /// Records a response to a caller.
    pub fn record_response(&self, route: &str, outcome: Outcome, reason: Reason, elapsed: Span) {
        self.responses
            .with_label_values(&[outcome.as_str(), reason.as_str()])
            .inc();
        self.latency
            .with_label_values(&[route, outcome.as_str()])
            .observe(elapsed.as_secs_f64());
    }

    /// Records a send to a target; `end` is the label of its outcome.
    pub fn record_attempt(&self, service: &id::Service, end: &str) {
        self.attempts
            .with_label_values(&[service.as_str(), end])
            .inc();
    }

    /// Records the end of a send. That of a target that was abandoned counts as an attempt already.
    pub fn record_send_end(&self, service: &id::Service, end: &str, is_abandoned: bool) {
        match is_abandoned {
            true => self.record_abandoned(end),
            false => self.record_attempt(service, end),
        }
    }

    /// Records what became of a target that was abandoned; `end` is the label of the send's outcome.
    pub fn record_abandoned(&self, end: &str) {
        self.abandoned.with_label_values(&[end]).inc();
    }

    /// Returns the number of targets so far that were abandoned and whose sends had this end.
    #[must_use]
    pub fn abandoned(&self, end: &str) -> u64 {
        self.abandoned.with_label_values(&[end]).get()
    }

    /// Records a retry; `after` is the label of the outcome of the send before.
    pub fn record_retry(&self, service: &id::Service, after: &str) {
        self.retries
            .with_label_values(&[service.as_str(), after])
            .inc();
    }

    /// Records an attempt to pass a request on; `end` is the label of its outcome.
    pub fn record_relay(&self, end: &str) {
        self.relays.with_label_values(&[end]).inc();
    }

    /// Records a target that says that it is leaving; `source` is the label of who told of it.
    pub fn record_departure(&self, source: &str) {
        self.departures.with_label_values(&[source]).inc();
    }

    /// Records a request that is refused before its first send; `reason` is the label of the reason.
    pub fn record_refusal(&self, reason: &str, priority: u32) {
        let labels = [reason, &priority.to_string()];
        self.refusals.with_label_values(&labels).inc();
    }

    /// Records a request that got no token of its account's quota; `cause` is the label of the cause.
    pub fn record_quota_refusal(&self, cause: &str) {
        self.quota_refusals.with_label_values(&[cause]).inc();
    }

    /// Records a request body that was not received; `reason` is the label of why.
    pub fn record_body_refusal(&self, reason: &str) {
        self.body_refusals.with_label_values(&[reason]).inc();
    }

    /// Updates the metrics of the memory budget.
    pub fn record_memory(&self, usage: &memory::Usage) {
        for use_ in memory::Use::ALL {
            let (label, index) = ([use_.as_str()], use_ as usize);
            let held = i64::try_from(usage.held[index]).unwrap_or(i64::MAX);
            self.memory_bytes.with_label_values(&label).set(held);
            let evictions = self.memory_evictions.with_label_values(&label);
            evictions.inc_by(usage.evictions[index].saturating_sub(evictions.get()));
            let refusals = self.memory_refusals.with_label_values(&label);
            refusals.inc_by(usage.refusals[index].saturating_sub(refusals.get()));
        }
    }

    /// Records a response that was cut off; `cause` is the label of the cause.
    pub fn record_cut_response(&self, cause: &str) {
        self.cut_responses.with_label_values(&[cause]).inc();
    }

    /// Returns the counters of the connections to targets.
    pub(crate) fn connections(&self) -> connections::Counters {
        connections::Counters {
            opened: self.connections_opened.clone(),
            passed_over: self.foreign_responses.with_label_values(&["passed over"]),
        }
    }

    /// Returns the number of responses to other requests that were passed over so far.
    #[must_use]
    pub fn passed_over(&self) -> u64 {
        self.connections().passed_over.get()
    }

    /// Records a response that is not known to be that of the request in flight; `what` says why.
    pub fn record_foreign_response(&self, what: &str) {
        self.foreign_responses.with_label_values(&[what]).inc();
    }

    /// Records a request that is answered by this instance although a target may have run it; `cause` is the
    /// label of the cause.
    pub fn record_given_up(&self, cause: &str, is_stopping: bool) {
        let stopping = if is_stopping { "yes" } else { "no" };
        self.given_up.with_label_values(&[cause, stopping]).inc();
    }

    /// Returns the number of requests given up so far for this cause, by whether the instance was stopping.
    #[must_use]
    pub fn given_up(&self, cause: &str, is_stopping: bool) -> u64 {
        let stopping = if is_stopping { "yes" } else { "no" };
        self.given_up.with_label_values(&[cause, stopping]).get()
    }

    /// Records the failure of a connection to a target or to another instance.
    pub(crate) fn record_connection_failure(&self, failure: Failure) {
        let labels = [failure.stage.as_str(), failure.error];
        self.connection_failures.with_label_values(&labels).inc();
    }

    /// Records a send to a target that states a rate limit.
    pub fn record_limited_send(&self, service: &id::Service, is_retry: bool) {
        let kind = if is_retry { "retry" } else { "first" };
        self.limited_sends
            .with_label_values(&[service.as_str(), kind])
            .inc();
    }

    /// Records a change of the rate that a target states; `change` and `source` are the labels of what
    /// changed and who told of it.
    pub fn record_rate_limit_change(&self, change: &str, source: &str) {
        let labels = [change, source];
        self.rate_limit_changes.with_label_values(&labels).inc();
    }

    /// Returns the number of requests refused so far for this reason and priority.
    #[must_use]
    pub fn refusals(&self, reason: &str, priority: u32) -> u64 {
        let labels = [reason, &priority.to_string()];
        self.refusals.with_label_values(&labels).get()
    }

    /// Returns the number of requests so far that got no token for this cause.
    #[must_use]
    pub fn quota_refusals(&self, cause: &str) -> u64 {
        self.quota_refusals.with_label_values(&[cause]).get()
    }

    /// Returns the number of responses so far with this outcome and reason.
    #[must_use]
    pub fn responses(&self, outcome: Outcome, reason: Reason) -> u64 {
        self.responses
            .with_label_values(&[outcome.as_str(), reason.as_str()])
            .get()
    }
}
