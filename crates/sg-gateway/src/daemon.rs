//! Starts the tasks of an instance and stops them in order.

use std::{path::PathBuf, sync::atomic::AtomicU64};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_mesh::{
    Members,
    follower::{self, Replica, Update},
    gossip::Gossip,
    relay,
    retention::Retention,
};
use sg_place::{
    location::{Location, RoundTrips},
    retry,
};
use sg_proxy::{
    Core,
    core::{self, Signal},
    memory,
    metrics::Metrics,
};
use sg_store::Store;
use sg_types::prelude::*;
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{Notify, mpsc, watch},
    task::JoinSet,
};

use crate::{
    Interpreter, Protocol, Settings, budget::Budget, digests, exchange, following,
    grace::EventLoop, health, registry, servers, servers::Phases, settings, shutdown, slots,
    updates,
};

/// The index of the operators' prefix among the followed prefixes.
pub(crate) const OPERATOR_INDEX: usize = 0;
/// The index of the targets' prefix.
pub(crate) const TARGET_INDEX: usize = 1;
/// The index of the prefix of the instances' registrations.
pub(crate) const INSTANCE_INDEX: usize = 2;
/// The watch timeout of each followed prefix. A silent connection is noticed only when the watch times
/// out, so the operators' prefix, whose changes have to be in force within seconds, has the shortest
/// timeout.
pub(crate) const WATCH_TIMEOUTS: [Span; 3] = [
    Span::from_millis(2_000),
    Span::from_millis(4_000),
    Span::from_secs(15),
];
/// What is kept of each followed prefix from before the store was restored from a copy, until the owners write again.
/// A registration that the copy brings back lapses.
const RETENTIONS: [Retention; INSTANCE_INDEX + 1] =
    [Retention::Values, Retention::Deletions, Retention::Nothing];
/// The minimum time between the starts of two watches of the targets' or the instances' prefix. It is a
/// fraction of the time for which a leaving target keeps serving, so that instances know that the target
/// is leaving before it stops.
const MIN_WATCH_INTERVAL: Span = Span::from_millis(700);
/// Assumed round trip to a target of the same failure domain, in seconds, until one is measured.
const SAME_DOMAIN_ROUND_TRIP_SECONDS: f64 = 0.001;
/// Assumed round trip to another failure domain of the same region, in seconds.
const SAME_REGION_ROUND_TRIP_SECONDS: f64 = 0.003;
/// Assumed round trip to another region, in seconds.
const CROSS_REGION_ROUND_TRIP_SECONDS: f64 = 0.072;

/// The initial estimate of the fraction of requests whose object is cold on the target, for an instance
/// that joins a running system. The estimates of running instances converge to about this value.
const RESTART_COLD_FRACTION: f64 = 0.2;

/// An error that prevents the daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system refused a resource, such as an address or a signal handler.
    #[error(
        "can't start the process ({0}); check its resource limits and that its addresses are free"
    )]
    System(#[from] std::io::Error),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The store client can't be created.
    #[error("can't create the store client ({0}); check the limit on open files")]
    Store(String),
    /// The metrics can't be registered.
    #[error("can't register the metrics ({0}); this is a bug in the program")]
    Metrics(#[from] prometheus::Error),
}

/// The state that the tasks of an instance share.
pub(crate) struct Context<D, I, S> {
    pub settings: Settings,
    pub settings_file: PathBuf,
    pub incarnation: Incarnation,
    pub timer: Timer,
    pub core: Arc<Core<D>>,
    pub interpreter: I,
    pub store: S,
    pub replica: Arc<Replica>,
    pub members: Mutex<Members>,
    pub gossip: Gossip,
    /// The sequence number of the next loan to another instance. Each run starts at 1.
    pub next_loan_number: AtomicU64,
    pub digests: digests::State,
    pub slots: slots::State,
    /// Notified when another instance knows of a change of a followed prefix that this one doesn't know.
    pub ahead: [Notify; INSTANCE_INDEX + 1],
    /// Notified when this instance has applied changes of the store.
    pub changed: Notify,
    /// The last steps of the event loop.
    pub event_loop: Arc<Mutex<EventLoop>>,
    pub registry: prometheus::Registry,
    /// The era of the store.
    pub era_gauge: prometheus::IntGauge,
    pub unread: UnreadCounters,
    pub fetches: following::Metrics,
}

/// Counters of what this build can't read.
pub(crate) struct UnreadCounters {
    /// Parts of configurations.
    pub parts: prometheus::IntCounter,
    /// Values of the store.
    pub values: prometheus::IntCounter,
}

impl UnreadCounters {
    fn register(registry: &prometheus::Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| {
            let counter = prometheus::IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            parts: counter(
                "sg_config_unread_parts_total",
                "Parts of configurations that this build can't read",
            )?,
            values: counter(
                "sg_unread_values_total",
                "Values of the platform's store that this build can't read",
            )?,
        })
    }
}

impl<D, I, S> Context<D, I, S> {
    /// Returns whether this instance accepts requests: it does not drain, and the configuration and the
    /// targets are known.
    pub fn is_ready(&self) -> bool {
        !self.core.is_draining()
            && self.core.catalog().is_some()
            && self.replica.is_initialized(TARGET_INDEX)
    }
}

/// Runs the daemon until the process receives a stop signal. `settings_file` is the path that `settings`
/// were loaded from, which is checked for changes; `create_store` creates the store client.
///
/// # Errors
/// Returns [`Error`] if the daemon can't start.
pub fn run<D, I, S, E>(
    settings_file: PathBuf,
    settings: Settings,
    dialect: D,
    interpreter: I,
    create_store: impl FnOnce(Timer) -> Result<S, E>,
) -> Result<(), Error>
where
    D: Protocol,
    I: Interpreter,
    S: Store,
    E: std::fmt::Display,
{
    let timer = Timer::new();
    let event_loop = Arc::<Mutex<EventLoop>>::default();
    let (clock, waiting) = (timer.clone(), event_loop.clone());
    let runtime = Builder::new_current_thread()
        .on_thread_park(move || waiting.lock().record_wait(clock.now()))
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let store = create_store(timer.clone()).map_err(|error| Error::Store(error.to_string()))?;
        let clock = (timer, event_loop);
        run_with_store(settings_file, settings, dialect, interpreter, store, clock).await
    })
}

async fn run_with_store<D: Protocol, I: Interpreter, S: Store>(
    settings_file: PathBuf,
    settings: Settings,
    dialect: D,
    interpreter: I,
    store: S,
    (timer, event_loop): (Timer, Arc<Mutex<EventLoop>>),
) -> Result<(), Error> {
    let mut stop_signals = shutdown::Signals::new()?;
    let budget = Budget::of_process(&settings.limits)?;
    let registry = prometheus::Registry::new();
    let metrics = Metrics::register(&registry)?;
    let era_gauge = prometheus::IntGauge::new("sg_store_era", "Era of the platform's store")?;
    registry.register(Box::new(era_gauge.clone()))?;
    let unread = UnreadCounters::register(&registry)?;
    let fetches = following::Metrics::register(&registry)?;
    let (signal_sender, signal_receiver) = mpsc::unbounded_channel();
    let core = Core::new(
        dialect,
        timer.clone(),
        metrics,
        core_options(&settings, &budget),
        signal_sender,
    );
    let (replica, updates) = Replica::new(RETENTIONS);
    // Lists the store at once, and follows it from when the neighbours have been heard.
    replica.set_following(false);
    let gossip = Gossip::bind(settings.mesh_address()).await?;
    let relay_listener = TcpListener::bind(settings.mesh_address()).await?;
    let context = Arc::new(Context {
        incarnation: Incarnation::new(rand::random::<u32>().into()),
        core: Arc::new(core),
        members: Mutex::default(),
        settings,
        settings_file,
        timer,
        interpreter,
        store,
        replica,
        gossip,
        next_loan_number: AtomicU64::new(1),
        digests: digests::State::default(),
        slots: slots::State::new(&registry)?,
        ahead: Default::default(),
        changed: Notify::new(),
        event_loop,
        registry,
        era_gauge,
        unread,
        fetches,
    });
    context.core.slots.set_run(context.incarnation);
    let phases = Phases::default();
    let mut servers = servers::start(&context, &phases, &budget)?;
    let mut tasks = JoinSet::new();
    spawn_followers(&context, &mut tasks);
    spawn_exchanges(
        &context,
        updates,
        relay_listener,
        signal_receiver,
        &mut tasks,
    );
    let (leave_sender, leave_receiver) = watch::channel(false);
    tasks.spawn(registry::run(context.clone(), leave_receiver));
    log_start(&context, &budget);
    stop_signals.wait(&context).await;
    let _ = leave_sender.send(true);
    shutdown::drain(&context, &phases, &mut servers).await;
    tasks.shutdown().await;
    log::info!("stopped");
    Ok(())
}

/// Logs the start, with what the budget of descriptors and memory allows.
fn log_start<D, I, S>(context: &Context<D, I, S>, budget: &Budget) {
    log::info!(
        incarnation = context.incarnation.get(),
        domain:% = context.settings.domain,
        version = env!("CARGO_PKG_VERSION"),
        descriptors = budget.descriptors,
        max_callers = budget.callers,
        max_idle_targets = budget.idle_targets,
        base_bytes = budget.base.get(),
        max_buffered_bytes = budget.buffered.get();
        "started"
    );
}

/// Returns the options of the request path.
fn core_options(settings: &Settings, budget: &Budget) -> core::Options {
    let bounds = &settings.bounds;
    core::Options {
        retry: retry::Bounds {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: Span::from_secs(1).mul_f64(bounds.retry_window_seconds),
        },
        cold_factor: bounds.cold_factor,
        cold_slack: bounds.cold_slack,
        initial_cold_fraction: if settings.first_start {
            1.0
        } else {
            RESTART_COLD_FRACTION
        },
        location: Location {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            instance: settings.instance.clone(),
            instances: Arc::from([settings.instance.clone()]),
            instance_regions: IndexMap::new(),
            round_trips: RoundTrips::assumed(
                SAME_DOMAIN_ROUND_TRIP_SECONDS,
                SAME_REGION_ROUND_TRIP_SECONDS,
                CROSS_REGION_ROUND_TRIP_SECONDS,
            ),
        },
        max_idle_connections: budget.idle_targets,
        memory: memory::Limits {
            total: budget.buffered,
            responses: budget.received,
        },
        source: settings.source,
    }
}

/// Spawns the tasks that exchange state with the store's followers, other instances and targets.
fn spawn_exchanges<D: Protocol, I: Interpreter, S: Store>(
    context: &Arc<Context<D, I, S>>,
    updates: mpsc::UnboundedReceiver<Update>,
    relay_listener: TcpListener,
    signals: mpsc::UnboundedReceiver<Signal>,
    tasks: &mut JoinSet<()>,
) {
    tasks.spawn(relay::serve(
        context.replica.clone(),
        context.timer.clone(),
        relay_listener,
    ));
    tasks.spawn(updates::run(context.clone(), updates));
    tasks.spawn(updates::release_retained(context.clone()));
    tasks.spawn(exchange::receive_frames(context.clone()));
    tasks.spawn(exchange::send_frames(context.clone(), signals));
    tasks.spawn(slots::run(context.clone()));
    for index in 0..=INSTANCE_INDEX {
        tasks.spawn(following::catch_up(context.clone(), index));
    }
    for index in [OPERATOR_INDEX, TARGET_INDEX] {
        tasks.spawn(following::learn_retained(context.clone(), index));
    }
    tasks.spawn(health::run(context.clone()));
}

/// Spawns a follower task for each prefix.
fn spawn_followers<D: Protocol, I: Interpreter, S: Store>(
    context: &Arc<Context<D, I, S>>,
    tasks: &mut JoinSet<()>,
) {
    let followed = [
        (
            OPERATOR_INDEX,
            context.interpreter.operator_prefix(),
            Span::ZERO,
        ),
        (
            TARGET_INDEX,
            context.interpreter.target_prefix(),
            MIN_WATCH_INTERVAL,
        ),
        (INSTANCE_INDEX, registry::PREFIX.into(), MIN_WATCH_INTERVAL),
    ];
    for (index, prefix, min_watch_interval) in followed {
        let options = follower::Options {
            prefix,
            watch_timeout: WATCH_TIMEOUTS[index],
            min_watch_interval,
        };
        let (replica, store) = (context.replica.clone(), context.store.clone());
        tasks.spawn(follower::run(
            replica,
            store,
            context.timer.clone(),
            index,
            options,
        ));
    }
}
