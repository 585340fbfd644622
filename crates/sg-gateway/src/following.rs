//! Follows the store through other instances: decides whether this instance has to follow the store itself, and
//! fetches changes from those that know more.

use std::net::SocketAddr;

use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
};
use rand::seq::SliceRandom;
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
/// The largest number of instances that one fetch tries to reach.
const MAX_SOURCES: usize = 3;
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
    retained: IntGaugeVec,
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
            retained: IntGaugeVec::new(
                Opts::new(
                    "sg_retained_keys",
                    "Keys whose state of before a restore of the store still holds.",
                ),
                &["prefix"],
            )?,
        };
        registry.register(Box::new(metrics.fetches.clone()))?;
        registry.register(Box::new(metrics.bytes.clone()))?;
        registry.register(Box::new(metrics.seconds.clone()))?;
        registry.register(Box::new(metrics.behind.clone()))?;
        registry.register(Box::new(metrics.retained.clone()))?;
        Ok(metrics)
    }

    fn record_behind(&self, index: usize, behind: Span) {
        let gauge = self.behind.with_label_values(&[PREFIX_NAMES[index]]);
        gauge.set(behind.as_secs_f64());
    }

    fn record_retained(&self, index: usize, count: usize) {
        let gauge = self.retained.with_label_values(&[PREFIX_NAMES[index]]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
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
    /// Since when others have known of a change that this instance lacks.
    lacking_since: Option<Instant>,
}

impl Progress {
    fn update(&mut self, position: Version, ahead: &Ahead, now: Instant) {
        if self.position != position {
            self.position = position;
            self.advanced_at = now;
        }
        let since = |known: Option<Instant>, holds: bool| holds.then(|| known.unwrap_or(now));
        self.behind_since = since(self.behind_since, ahead.is_any());
        self.lacking_since = since(self.lacking_since, ahead.has_changes);
    }
}

/// Fetches changes of the prefix at `index` from instances that know a newer store version, while this instance
/// doesn't follow the store or can't reach it in time. Each prefix has a task of its own: none waits for another.
pub(crate) async fn catch_up<D: Protocol, I: Interpreter, S: Store>(
    context: Arc<Context<D, I, S>>,
    index: usize,
) {
    let mut progress = Progress::default();
    let mut wait = CATCH_UP_INTERVAL;
    loop {
        // Without a notification, the time is needed for fetches that failed.
        tokio::select! {
            () = context.timer.sleep(wait) => {}
            () = context.ahead[index].notified() => {}
        }
        let now = context.timer.now();
        let retained = context.replica.retained_count(index);
        context.fetches.record_retained(index, retained);
        let ahead = Ahead::find(&context, index, now);
        progress.update(context.replica.position(index), &ahead, now);
        let elapsed = |since: Option<Instant>| since.map_or(Span::ZERO, |at| now.since(at));
        let behind = elapsed(progress.behind_since);
        wait = CATCH_UP_INTERVAL.min(lag::head_start_left(behind).unwrap_or(CATCH_UP_INTERVAL));
        let may_ask_far = context.replica.is_following()
            || match index {
                OPERATOR_INDEX => lag::head_start_left(behind).is_none(),
                _ => lag::may_ask_other_domains(now.since(progress.advanced_at)),
            };
        let sources = ahead.sources(may_ask_far);
        if sources.is_empty() {
            context.fetches.record_behind(index, Span::ZERO);
            continue;
        }
        context.fetches.record_behind(index, behind);
        let lag = Lag {
            is_initialized: context.replica.is_initialized(index),
            is_following: context.replica.is_following(),
            contact: context.replica.contact(index),
            silence_timeout: WATCH_TIMEOUTS[index] + SILENCE_MARGIN,
            behind,
            lacking: match index {
                OPERATOR_INDEX => elapsed(progress.lacking_since),
                _ => Span::ZERO,
            },
        };
        if lag.must_fetch(now) {
            fetch_changes(&context, index, sources, now - behind).await;
        }
    }
}

/// Fetches what other instances retain of the prefix at `index` from before the store was restored from a copy, and this
/// one may not know, because it started afterwards or was behind. Positions tell nothing of it.
pub(crate) async fn learn_retained<D: Protocol, I: Interpreter, S: Store>(
    context: Arc<Context<D, I, S>>,
    index: usize,
) {
    let mut ticks = context.timer.every(CATCH_UP_INTERVAL);
    let mut lacking_since = None;
    loop {
        let now = ticks.tick().await.now;
        let sources = retaining(&context, index, now);
        if sources.is_empty() {
            lacking_since = None;
            continue;
        }
        let since = *lacking_since.get_or_insert_with(|| {
            log::info!(index, from:% = sources[0]; "retained state not known");
            now
        });
        fetch_changes(&context, index, sources, since).await;
    }
}

/// Returns the addresses of some live instances that retain state of the prefix at `index` which this one may not know.
fn retaining<D, I, S>(context: &Context<D, I, S>, index: usize, now: Instant) -> Vec<SocketAddr> {
    let members = context.members.lock();
    let alive = members.alive(now).map(|member| &member.beacon);
    let retaining = alive.filter(|beacon| {
        let versions = beacon.retained(index);
        let position = beacon.position(index);
        versions.is_some_and(|versions| context.replica.lacks(index, position, versions))
    });
    let addresses = retaining.map(|beacon| beacon.location.mesh_address);
    let mut addresses: Vec<SocketAddr> = addresses.collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_SOURCES);
    addresses
}

/// The live instances that know a newer store version of a prefix.
struct Ahead {
    /// Those of the own failure domain.
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    /// Whether they know of a change that this instance lacks. Positions advance without changes as well.
    has_changes: bool,
}

impl Ahead {
    fn find<D, I, S>(context: &Context<D, I, S>, index: usize, now: Instant) -> Self {
        let own = context.replica.position(index);
        let members = context.members.lock();
        let has_change = |member: &Member| member.beacon.last_change(index) > own;
        let has_changes = members.alive(now).any(has_change);
        let by_position = context.replica.is_following() && !has_changes;
        let ahead = members.alive(now).filter(|member| match by_position {
            true => member.beacon.position(index) > own,
            false => has_change(member),
        });
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            ahead.partition(|member| member.beacon.location.domain == context.settings.domain);
        let addresses = |members: Vec<&Member>| {
            let addresses = members.into_iter();
            let addresses = addresses.map(|member| member.beacon.location.mesh_address);
            let mut addresses: Vec<SocketAddr> = addresses.collect();
            addresses.shuffle(&mut rand::rng());
            addresses
        };
        Self {
            near: addresses(near),
            far: addresses(far),
            has_changes,
        }
    }

    fn is_any(&self) -> bool {
        !self.near.is_empty() || !self.far.is_empty()
    }

    /// Returns the instances to ask, in the order in which they are tried: those of the own failure domain, then
    /// the others, if those may be asked.
    fn sources(mut self, may_ask_far: bool) -> Vec<SocketAddr> {
        if may_ask_far {
            self.near.append(&mut self.far);
        }
        self.near.truncate(MAX_SOURCES);
        self.near
    }
}

/// Fetches the changes of the prefix at `index` from one of `sources` and logs the outcome. Others have known more
/// since `behind_since`.
async fn fetch_changes<D, I, S>(
    context: &Context<D, I, S>,
    index: usize,
    sources: Vec<SocketAddr>,
    behind_since: Instant,
) {
    let started = context.timer.now();
    let from = sources[0];
    let result = relay::fetch(&context.replica, &context.timer, &sources, index).await;
    let now = context.timer.now();
    let took = now.since(started);
    context.fetches.record_fetch(index, took, &result);
    let (took_ms, behind_ms) = (took.as_millis(), now.since(behind_since).as_millis());
    match result {
        Ok(outcome) => {
            let (from, count, bytes) = (outcome.from, outcome.changes, outcome.bytes);
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
