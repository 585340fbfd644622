//! Follows the store through other instances: decides whether this instance has to follow the store itself, and
//! fetches changes from those that know more.

use std::net::SocketAddr;

use prometheus::{GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};
use sg_mesh::{
    duty,
    lag::{self, Lag},
    members::Member,
    relay::{self, Outcome},
};
use sg_store::{Store, Version};
use sg_types::prelude::*;

use crate::{
    Interpreter, Protocol,
    daemon::{Context, INSTANCE_INDEX, OPERATOR_INDEX, TARGET_INDEX, WATCH_TIMEOUTS},
    digests,
};

/// The interval at which the store versions that other instances announce are compared with this
/// instance's versions.
const CATCH_UP_INTERVAL: Span = Span::from_millis(300);
/// The time beyond the watch timeout after which the store counts as silent if no call succeeded.
const SILENCE_MARGIN: Span = Span::from_secs(1);

/// The names of the followed prefixes in metrics.
const PREFIX_NAMES: [&str; INSTANCE_INDEX + 1] = ["operator", "targets", "instances"];
/// Upper bounds of the buckets of the times of fetches, in seconds.
const FETCH_BUCKETS: [f64; 9] = [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0];

/// Metrics of the fetches from other instances, by prefix.
#[derive(Debug)]
pub(crate) struct Metrics {
    fetches: IntCounterVec,
    bytes: IntCounterVec,
    seconds: HistogramVec,
    behind: GaugeVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            fetches: IntCounterVec::new(
                Opts::new(
                    "sg_fetches_total",
                    "Fetches of changes from other instances.",
                ),
                &["prefix", "end"],
            )?,
            bytes: IntCounterVec::new(
                Opts::new("sg_fetched_bytes_total", "Bytes of fetched responses."),
                &["prefix"],
            )?,
            seconds: HistogramVec::new(
                HistogramOpts::new("sg_fetch_seconds", "Times of fetches.")
                    .buckets(FETCH_BUCKETS.to_vec()),
                &["prefix"],
            )?,
            behind: GaugeVec::new(
                Opts::new(
                    "sg_behind_seconds",
                    "Time for which another instance has known a newer version.",
                ),
                &["prefix"],
            )?,
        };
        registry.register(Box::new(metrics.fetches.clone()))?;
        registry.register(Box::new(metrics.bytes.clone()))?;
        registry.register(Box::new(metrics.seconds.clone()))?;
        registry.register(Box::new(metrics.behind.clone()))?;
        Ok(metrics)
    }

    fn record_behind(&self, index: usize, behind: Span) {
        let gauge = self.behind.with_label_values(&[PREFIX_NAMES[index]]);
        gauge.set(behind.as_secs_f64());
    }

    fn record_fetch(&self, index: usize, took: Span, result: &Result<Outcome, relay::Error>) {
        let prefix = PREFIX_NAMES[index];
        let (end, bytes) = match result {
            Ok(outcome) => ("applied", outcome.bytes),
            Err(error) => (error.kind(), error.received()),
        };
        self.fetches.with_label_values(&[prefix, end]).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes.with_label_values(&[prefix]).inc_by(bytes);
        let seconds = self.seconds.with_label_values(&[prefix]);
        seconds.observe(took.as_secs_f64());
    }
}

/// Returns whether this instance follows the store and reached it lately.
pub(crate) fn reaches_store<D, I, S>(context: &Context<D, I, S>, now: Instant) -> bool {
    let has_contact = |index: usize| {
        let contact = context.replica.contact(index);
        let silence = WATCH_TIMEOUTS[index] + SILENCE_MARGIN;
        let is_fresh = contact
            .last_success
            .is_some_and(|at| now.since(at) <= silence);
        contact.failing_since.is_none() && is_fresh
    };
    context.replica.is_following() && has_contact(OPERATOR_INDEX) && has_contact(TARGET_INDEX)
}

/// Decides whether this instance follows the store itself. `due_since` is when nobody else began to. An instance
/// that has just started waits until it has heard its neighbours: if all start at once, each would otherwise
/// watch all prefixes.
pub(crate) fn update<D, I, S>(
    context: &Context<D, I, S>,
    due_since: &mut Option<Instant>,
    now: Instant,
) {
    if digests::is_settling(now) {
        return;
    }
    let settings = &context.settings;
    let delay = {
        let members = context.members.lock();
        duty::delay_to_follow(&members, &settings.instance, &settings.domain, now)
    };
    let must_follow = delay.is_some_and(|delay| {
        let is_due = now.since(*due_since.get_or_insert(now)) >= delay;
        is_due || context.replica.is_following()
    });
    if delay.is_none() {
        *due_since = None;
    }
    if context.replica.set_following(must_follow) {
        log::info!(following = must_follow; "duty to follow the store changed");
    }
}

/// How long this instance lags behind others in one prefix.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// When this instance last learnt of a change.
    advanced_at: Instant,
    position: Version,
    /// Since when others have known more.
    behind_since: Option<Instant>,
}

impl Progress {
    fn update(&mut self, position: Version, now: Instant) {
        if self.position != position {
            self.position = position;
            self.advanced_at = now;
        }
    }
}

/// Fetches changes from instances that know a newer store version, while this instance doesn't follow the
/// store or can't reach it.
pub(crate) async fn catch_up<D: Protocol, I: Interpreter, S: Store>(
    context: Arc<Context<D, I, S>>,
) {
    let mut ticks = context.timer.every(CATCH_UP_INTERVAL);
    let mut progress = [Progress::default(); INSTANCE_INDEX + 1];
    loop {
        // Without a notification, the time is needed for fetches that failed.
        tokio::select! {
            _ = ticks.tick() => {}
            () = context.ahead.notified() => {}
        }
        let now = context.timer.now();
        for (index, progress) in progress.iter_mut().enumerate() {
            progress.update(context.replica.position(index), now);
            let ahead = instances_ahead(&context, index, now.since(progress.advanced_at), now);
            if ahead.is_empty() {
                progress.behind_since = None;
                context.fetches.record_behind(index, Span::ZERO);
                continue;
            }
            let since = *progress.behind_since.get_or_insert(now);
            context.fetches.record_behind(index, now.since(since));
            if is_fetch_due(&context, index, since, now) {
                let chosen = ahead[rand::random_range(0..ahead.len())];
                fetch_changes(&context, index, chosen, since).await;
            }
        }
    }
}

/// Returns the live instances that know a newer store version of the prefix at `index` and may be asked for
/// its changes. `standstill` is the time since this instance last learnt of one.
fn instances_ahead<D, I, S>(
    context: &Context<D, I, S>,
    index: usize,
    standstill: Span,
    now: Instant,
) -> Vec<SocketAddr> {
    let own = context.replica.position(index);
    let is_following = context.replica.is_following();
    let members = context.members.lock();
    let ahead = members.alive(now).filter(|member| match is_following {
        true => member.beacon.position(index) > own,
        false => member.beacon.last_change(index) > own,
    });
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        ahead.partition(|member| member.beacon.location.domain == context.settings.domain);
    let chosen = if !near.is_empty() {
        near
    } else if index == OPERATOR_INDEX || is_following || lag::may_ask_other_domains(standstill) {
        far
    } else {
        Vec::new()
    };
    let addresses = chosen
        .iter()
        .map(|member| member.beacon.location.mesh_address);
    addresses.collect()
}

/// Returns whether to fetch the changes of the prefix at `index` from an instance that has known more since
/// `behind_since`.
fn is_fetch_due<D, I, S>(
    context: &Context<D, I, S>,
    index: usize,
    behind_since: Instant,
    now: Instant,
) -> bool {
    let lag = Lag {
        is_initialized: context.replica.is_initialized(index),
        is_following: context.replica.is_following(),
        contact: context.replica.contact(index),
        silence_timeout: WATCH_TIMEOUTS[index] + SILENCE_MARGIN,
        behind: now.since(behind_since),
    };
    lag.must_fetch(now)
}

/// Fetches the changes of the prefix at `index` from another instance and logs the outcome. Others have known more
/// since `behind_since`.
async fn fetch_changes<D, I, S>(
    context: &Context<D, I, S>,
    index: usize,
    from: SocketAddr,
    behind_since: Instant,
) {
    let started = context.timer.now();
    let result = relay::fetch(&context.replica, &context.timer, [from], index).await;
    let now = context.timer.now();
    let took = now.since(started);
    context.fetches.record_fetch(index, took, &result);
    let (took_ms, behind_ms) = (took.as_millis(), now.since(behind_since).as_millis());
    match result {
        Ok(outcome) => {
            let (count, bytes) = (outcome.changes, outcome.bytes);
            let version = context.replica.position(index);
            log::info!(
                from:% = from, index, count, bytes, took_ms, behind_ms, version:% = version;
                "changes relayed"
            );
        }
        Err(error) => {
            let bytes = error.received();
            log::warn!(
                from:% = from, index, bytes, took_ms, behind_ms, error:% = error;
                "changes not relayed"
            );
        }
    }
}
