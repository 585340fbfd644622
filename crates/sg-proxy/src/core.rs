//! State of the request path, and the interface through which the rest of the instance updates it.

use std::{
    net::IpAddr,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use sg_catalog::Catalog;
use sg_clock::Timer;
use sg_place::{
    Pool, Target, location::Location, quarantine::Suspicion, reach, relay::Peer, retry,
    self_report::SelfReport,
};
use sg_types::prelude::*;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    Dialect,
    connections::{self, ConnectionPool},
    memory::{self, Budget},
    metrics::Metrics,
    slots::Requester,
    state::State,
    trace::LogLimiter,
};

/// Length of the quarantine of a request that crashes targets, as long as its caller may retry.
const QUARANTINE_DURATION: Span = Span::from_secs(60);

/// Fleet-wide limits and the location of the instance, as deployed.
#[derive(Debug, Clone)]
pub struct Options {
    /// Limits of retries.
    pub retry: retry::Bounds,
    /// Rate that a cold target sustains, as a multiple of its rate in the catalog.
    pub cold_factor: f64,
    /// Requests per second that a cold target sustains in addition.
    pub cold_slack: f64,
    /// Fraction of requests that are assumed to find their object cold, before the first response:
    /// 1 if the targets have not served any request yet.
    pub initial_cold_fraction: f64,
    /// Location of this instance.
    pub location: Location,
    /// Maximum number of idle connections to all targets together.
    pub max_idle_connections: usize,
    /// Memory for everything that is buffered for callers and targets.
    pub memory: memory::Limits,
    /// Address that connections to targets come from; the system's choice if `None`.
    pub source: Option<IpAddr>,
}

/// The fleet as this instance knows it.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Instances that send to targets, including this one.
    pub instances: Vec<id::Instance>,
    /// Regions of the other instances that are alive.
    pub instance_regions: IndexMap<id::Instance, id::Region>,
    /// Other instances that accept requests and reach targets.
    pub peers: Vec<Peer>,
    /// Number of instances.
    pub size: u32,
    /// Fraction of fleet-wide budgets that may be used, from 0 to 1.
    pub budget_fraction: f64,
}

/// State and services that all requests share.
#[derive(Debug)]
pub struct Core<D> {
    /// Header names and status codes used with callers and targets.
    pub dialect: D,
    /// Clock and timers.
    pub timer: Timer,
    /// Metrics of the request path.
    pub metrics: Metrics,
    /// Memory for everything that is buffered for callers and targets.
    pub memory: Arc<Budget>,
    /// Connections to targets.
    pub connections: ConnectionPool,
    /// Asks for slots of targets.
    pub slots: Arc<Requester>,
    pub(crate) options: Options,
    pub(crate) state: Mutex<State>,
    pub(crate) log_limiter: Arc<LogLimiter>,
    catalog: ArcSwapOption<Catalog>,
    /// Time at which the instance answers every request that is still in flight, once it drains.
    stop_at: watch::Sender<Option<Instant>>,
    draining_since: OnceLock<Instant>,
    /// Time from which new requests are refused, in nanoseconds.
    refuses_from: AtomicU64,
    /// When the configuration and the targets were first known.
    pub(crate) loaded_at: watch::Sender<Option<Instant>>,
    pub(crate) tokens_credited: Notify,
    signals: mpsc::UnboundedSender<Signal>,
}

/// Message that is sent to other instances without delay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Signal {
    /// Notice for all instances.
    Notice(Notice),
    /// Request for a token.
    BorrowToken {
        /// Account whose token is needed.
        account: id::Account,
        /// Instance that may lend the token.
        holder: id::Instance,
        /// Time of the ask, if a waiting request uses the token at once.
        asked_at: Option<Instant>,
    },
}

impl<D> Core<D> {
    /// Creates a core without a catalog or targets. Messages for other instances go to `signals`.
    #[must_use]
    pub fn new(
        dialect: D,
        timer: Timer,
        metrics: Metrics,
        options: Options,
        signals: mpsc::UnboundedSender<Signal>,
    ) -> Self
    where
        D: Dialect,
    {
        let pool = connections::Options {
            max_idle: options.max_idle_connections,
            source: options.source,
            id_header: dialect.request_id_header(),
        };
        let connections = ConnectionPool::new(timer.clone(), pool, metrics.connections());
        Self {
            dialect,
            connections,
            memory: Budget::with_limits(options.memory, timer.clone()),
            timer,
            slots: Arc::new(Requester::new(metrics.slots.clone())),
            metrics,
            state: Mutex::new(State::new(
                options.location.clone(),
                options.initial_cold_fraction,
            )),
            options,
            log_limiter: Arc::default(),
            catalog: ArcSwapOption::empty(),
            stop_at: watch::Sender::new(None),
            draining_since: OnceLock::new(),
            refuses_from: AtomicU64::new(u64::MAX),
            loaded_at: watch::Sender::new(None),
            tokens_credited: Notify::new(),
            signals,
        }
    }

    /// Returns the catalog in force, or `None` before the first one.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Replaces the catalog unless the known one is at least as new. Returns whether the catalog
    /// was replaced.
    pub fn replace_catalog(&self, catalog: Catalog) -> bool {
        let is_newer = self
            .catalog()
            .is_none_or(|known| known.revision < catalog.revision);
        if is_newer {
            self.catalog.store(Some(Arc::new(catalog)));
        }
        is_newer
    }

    /// Records that the configuration and the targets are known. Requests that arrived before wait for
    /// this.
    pub fn set_loaded(&self) {
        let now = self.timer.now();
        self.loaded_at.send_if_modified(|loaded_at| {
            let is_first = loaded_at.is_none();
            loaded_at.get_or_insert(now);
            is_first
        });
    }

    /// Waits until the configuration and the targets are known, but not beyond `until`.
    pub(crate) async fn wait_until_loaded(&self, until: Instant) {
        if self.loaded_at.borrow().is_some() {
            return;
        }
        let mut loaded_at = self.loaded_at.subscribe();
        // The caller finds out after a timeout what is missing.
        let loaded = loaded_at.wait_for(Option::is_some);
        let _ = self.timer.until(until, loaded).await;
    }

    /// Makes all further responses close their connections, because the instance is about to stop.
    /// Requests that can't be expected to finish by `stop_at` are refused from now on, and those in
    /// flight at `stop_at` are answered by the instance itself.
    pub fn start_draining(&self, stop_at: Instant) {
        self.draining_since.get_or_init(|| self.timer.now());
        self.stop_at.send_replace(Some(stop_at));
        self.slots.give_up_all();
    }

    /// Returns when the instance began to drain, if it drains.
    #[must_use]
    pub fn draining_since(&self) -> Option<Instant> {
        self.draining_since.get().copied()
    }

    /// Returns when the instance answers all requests in flight, if it drains.
    #[must_use]
    pub fn stop_at(&self) -> Option<Instant> {
        *self.stop_at.borrow()
    }

    /// Returns whether the stop of this instance comes before `deadline`, so that a request may be given up at the
    /// stop.
    #[must_use]
    pub(crate) fn stops_before(&self, deadline: Instant) -> bool {
        self.stop_at().is_some_and(|stop_at| stop_at < deadline)
    }

    /// Waits for the time that was passed to [`start_draining`](Self::start_draining).
    pub(crate) async fn wait_for_stop(&self) {
        let mut stop_at = self.stop_at.subscribe();
        let stop_at = stop_at.wait_for(Option::is_some).await.map(|at| *at);
        match stop_at {
            Ok(Some(at)) => self.timer.sleep_through(at).await,
            // The sender lives as long as the core, so it is not dropped during the wait.
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }

    /// Refuses all requests from `at` on, because too little time remains to finish them. A process that is short
    /// of processor time may get to run long after `at`.
    pub fn refuse_new_requests_from(&self, at: Instant) {
        self.refuses_from.store(at.as_nanos(), Ordering::Release);
    }

    /// Refuses all further requests.
    pub fn refuse_new_requests(&self) {
        self.refuse_new_requests_from(self.timer.now());
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn refuses_new_requests(&self) -> bool {
        self.timer.now().as_nanos() >= self.refuses_from.load(Ordering::Acquire)
    }

    /// Returns whether responses close their connections because the instance is about to stop.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stop_at().is_some()
    }

    /// Adds a target or updates the known one. Returns whether the target is new.
    pub fn upsert_target(&self, target: Target) -> bool {
        let now = self.timer.now();
        self.state.lock().upsert_target(target, now)
    }

    /// Removes a target and closes its idle connections. Returns whether the target was known.
    pub fn remove_target(&self, target: &id::Target) -> bool {
        let mut state = self.state.lock();
        let member = state.member_mut(target);
        let address = member.map(|member| member.target.address);
        let was_known = state.remove_target(target);
        drop(state);
        if let Some(address) = address {
            self.connections.close_idle(address);
        }
        was_known
    }

    /// Stops sending to the targets of `domain` if `closed`, else resumes. Returns whether the
    /// domain was in the other state before.
    pub fn set_domain_closed(&self, domain: id::Domain, closed: bool) -> bool {
        let mut state = self.state.lock();
        if closed {
            return state.closed_domains.insert(domain);
        }
        let reopened = state.closed_domains.swap_remove(&domain);
        if reopened {
            // The targets may have been replaced by cold ones while the domain was closed.
            for pool in state.pools.values_mut() {
                pool.require_checks(&domain);
            }
        }
        reopened
    }

    /// Updates what is known of the other instances.
    pub fn update_fleet(&self, fleet: Fleet) {
        let mut state = self.state.lock();
        if state.location.instances.as_ref() != fleet.instances.as_slice() {
            state.location.instances = fleet.instances.into();
        }
        state.location.instance_regions = fleet.instance_regions;
        state.peers = fleet.peers;
        state.fleet_size = fleet.size.max(1);
        state.budget_fraction = fleet.budget_fraction;
        let now = self.timer.now();
        let State {
            pools, location, ..
        } = &mut *state;
        for pool in pools.values_mut() {
            pool.update_rate_shares(location, now);
        }
        let share = pools.values().map(Pool::rate_share).sum();
        let members = pools.values().flat_map(Pool::members);
        let paused = members.filter(|member| member.pause.is_active(now)).count();
        drop(state);
        self.metrics.rate_limit_share.set(share);
        self.metrics.paused_targets.set(paused as i64);
    }

    /// Returns at most `limit` targets, in random order, that must pass a health check before they
    /// are used, each with the path to request.
    #[must_use]
    pub fn targets_to_check(&self, limit: usize) -> Vec<(Target, Arc<str>)> {
        let Some(catalog) = self.catalog() else {
            return Vec::new();
        };
        let now = self.timer.now();
        let mut state = self.state.lock();
        let targets = state.pools.iter().flat_map(|(service, pool)| {
            let path = catalog
                .services
                .get(service)
                .map(|service| service.health_path.clone());
            let members = pool
                .members()
                .filter(|member| member.needs_check() && member.is_staying())
                .filter(|member| member.rate_limit.has_room(now) && member.pause.admits(now));
            members.filter_map(move |member| Some((member.target.clone(), path.clone()?)))
        });
        let mut targets: Vec<_> = targets.collect();
        rand::seq::SliceRandom::shuffle(targets.as_mut_slice(), &mut rand::rng());
        targets.truncate(limit);
        for (target, ..) in &targets {
            if let Some(member) = state.member_mut(&target.id) {
                member.rate_limit.take(now);
                member.pause.record_send(now);
            }
        }
        targets
    }

    /// Records the result of a health check of `target`, and what the target says of itself.
    pub fn record_health_check(
        &self,
        target: &Target,
        healthy: bool,
        cold_for: Option<Span>,
        report: &SelfReport,
    ) {
        let now = self.timer.now();
        if let Some(member) = self.state.lock().member_mut(&target.id) {
            member.pause.record_end(healthy);
            member.record_health_check(healthy, cold_for, now);
        }
        self.record_self_report(target, report);
    }

    /// Handles a notice of the instance `from`.
    pub fn handle_notice(&self, from: id::Instance, notice: &Notice) {
        let Notice::Suspect {
            account,
            fingerprint,
            target,
            in_flight,
            ..
        } = notice
        else {
            return;
        };
        let suspicion = Suspicion {
            account: account.clone(),
            fingerprint: *fingerprint,
            target: target.clone(),
            in_flight: *in_flight,
        };
        self.record_loss(suspicion, Some(from));
    }

    /// Forgets what `from` told of lost targets lately, because it has lost its paths to all targets.
    pub fn forget_losses(&self, from: &id::Instance) {
        let since = self.timer.now() - reach::DETECTION_TIME;
        let mut state = self.state.lock();
        state.quarantine.forget_losses(Some(from), since);
    }

    /// Records the loss of a target that this instance noticed.
    pub(crate) fn record_suspicion(&self, suspicion: Suspicion) {
        self.record_loss(suspicion, None);
    }

    /// Records the loss of a target that `reporter` told of, or this instance noticed if it is `None`.
    fn record_loss(&self, suspicion: Suspicion, reporter: Option<id::Instance>) {
        let now = self.timer.now();
        let (account, fingerprint) = (suspicion.account.clone(), suspicion.fingerprint);
        let mut state = self.state.lock();
        let table = &mut state.quarantine;
        let has_begun = match reporter {
            Some(from) => table.note_reported(suspicion, from, QUARANTINE_DURATION, now),
            None => table.note(suspicion, QUARANTINE_DURATION, now),
        };
        if table.rests_on_own_losses(account.as_ref(), fingerprint, now) {
            state.reach.record_quarantine(now);
        }
        drop(state);
        if has_begun {
            log::warn!(fingerprint:% = fingerprint; "request quarantined");
        }
    }

    pub(crate) fn send_signal(&self, signal: Signal) {
        // Sending fails only while the process stops and the receiver is gone.
        let _ = self.signals.send(signal);
    }
}
