//! Starts the components of an instance, connects them, and stops them in order.

mod build;
mod tasks;

use std::{future::Future, net::SocketAddr, sync::Arc};

use poem::{
    Server,
    endpoint::BoxEndpoint,
    listener::{Acceptor, Listener as _, TcpAcceptor, TcpListener},
};
use sg_clock::Timer;
use sg_forward::Forward;
use sg_peer::rpc;
use sg_types::prelude::*;
use tokio::{runtime::Builder, sync::watch, task::JoinSet};

use crate::{
    Settings, admin,
    dependencies::{
        AccountAdmission, Announcer, BudgetedSelector, FreshnessCheck, PeerDirectory, Readiness,
        TreeSource,
    },
    evidence::Recorder,
    lookup, serve, stop,
};

/// Request path of this instance.
pub type RequestPath = Forward<
    TreeSource,
    AccountAdmission,
    FreshnessCheck,
    BudgetedSelector,
    Announcer,
    PeerDirectory,
>;
/// Handle to the fleet membership of this instance.
pub type Node = sg_peer::Handle<rpc::Guard>;

/// Time for cached lookup responses to expire, used if no tree is in force.
const DEFAULT_LOOKUP_CACHE: Span = Span::from_secs(2);
/// Time limit for requests in flight at a stop, used if no tree is in force.
const DEFAULT_DRAIN_GRACE: Span = Span::from_secs(5);
/// Time limit for closing connections once no request is in flight.
const CLOSE_GRACE: Span = Span::from_millis(500);

/// Errors of the daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A system call failed, or an address can't be bound.
    #[error("the process failed ({0}); check its resource limits and that its addresses are free")]
    System(#[from] std::io::Error),
    /// The HTTP client could not be created.
    #[error("the HTTP client can't be created ({0}); check the limit on open files")]
    Client(#[from] reqwest::Error),
    /// The store client could not be created.
    #[error(transparent)]
    Store(#[from] sg_store::http::Error),
    /// The client of the instance list could not be created.
    #[error(transparent)]
    List(#[from] sg_peer::list::Error),
    /// The instance can't listen on its peer address.
    #[error("can't listen on the peer address: {0}")]
    Peer(#[from] sg_peer::transport::Error),
    /// The metrics could not be registered.
    #[error("the metrics can't be registered ({0}); this is a bug, please report it")]
    Metrics(#[from] prometheus::Error),
    /// The request path could not be created.
    #[error(transparent)]
    Forward(#[from] sg_forward::forward::Error),
}

/// Components of a running instance.
#[derive(Debug, Clone)]
pub struct Components {
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Timer service.
    pub timer: Timer,
    /// Metrics registry.
    pub registry: prometheus::Registry,
    /// Fleet membership.
    pub node: Arc<Node>,
    /// BudgetedSelector engine.
    pub steering: sg_steer::Engine,
    /// Request path.
    pub request_path: RequestPath,
    /// Whether the instance is ready to serve requests.
    pub ready: Readiness,
    /// Snapshot that lookups are decided from.
    pub lookup: lookup::Handle,
    /// Recorder of the counters before and after each change of revision.
    pub evidence: Arc<Recorder>,
    /// Whether the instance has begun to stop.
    pub stopping: watch::Receiver<bool>,
}

/// Runs the daemon until SIGINT or SIGTERM.
///
/// # Errors
/// See [`Error`].
pub fn run(settings: Settings) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let stop_requested = stop::requested()?;
        run_until(settings, stop_requested).await
    })
}

/// Runs the daemon until `stop_requested` resolves, then stops it gracefully.
///
/// # Errors
/// See [`Error`].
pub async fn run_until(
    settings: Settings,
    stop_requested: impl Future<Output = ()>,
) -> Result<(), Error> {
    let (stop, stopping) = watch::channel(false);
    let components = build::build(settings, stopping).await?;
    let mut tasks = tasks::spawn(&components)?;
    let (close, closed) = watch::channel(false);
    let mut servers = start_servers(&components, &closed).await?;
    log::info!(
        "{} started as incarnation {}",
        components.settings.instance,
        components.incarnation
    );
    tokio::select! {
        () = stop_requested => {}
        Some(ended) = servers.join_next() => ended.unwrap_or_else(|error| Err(error.into()))?,
    }
    log::info!("{} is stopping", components.settings.instance);
    let _ = stop.send(true);
    drain(&components).await;
    let _ = close.send(true);
    while servers.join_next().await.is_some() {}
    tasks.shutdown().await;
    let Components {
        node, request_path, ..
    } = components;
    drop(request_path);
    if let Some(node) = Arc::into_inner(node) {
        node.stop().await;
    }
    log::info!("stopped");
    Ok(())
}

/// Announces the stop, waits until cached lookup responses have expired, then waits until no
/// request is in flight, at most for the drain grace.
async fn drain(components: &Components) {
    let view = components.node.config.view();
    let fleet = view.as_ref().map(|view| &view.fleet);
    let cache = fleet.map_or(DEFAULT_LOOKUP_CACHE, |fleet| fleet.lookup_cache);
    let grace = fleet.map_or(DEFAULT_DRAIN_GRACE, |fleet| fleet.drain_grace);
    components.node.notices.announce(Notice::Stopping {
        instance: components.settings.instance.clone(),
        incarnation: components.incarnation,
        within: sg_lookup::STOP_PROPAGATION + cache + grace,
    });
    components
        .timer
        .sleep(sg_lookup::STOP_PROPAGATION + cache)
        .await;
    components.request_path.refuse_new_work();
    let deadline = components.timer.now() + grace;
    if components
        .timer
        .until(deadline, components.request_path.wait_idle())
        .await
        .is_err()
    {
        log::warn!(
            "{} requests were still in flight at the end of the drain grace",
            components.request_path.in_flight()
        );
    }
}

/// Binds the caller and admin addresses and serves them.
async fn start_servers(
    components: &Components,
    closed: &watch::Receiver<bool>,
) -> std::io::Result<JoinSet<std::io::Result<()>>> {
    let caller_listener = bind(components.settings.serve).await?;
    let admin_listener = bind(components.settings.admin).await?;
    let mut servers = JoinSet::new();
    servers.spawn(serve_until(
        components.request_path.listener(caller_listener),
        serve::endpoint(components.clone()),
        closed.clone(),
    ));
    servers.spawn(serve_until(
        admin_listener,
        admin::endpoint(components.clone()),
        closed.clone(),
    ));
    Ok(servers)
}

async fn bind(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    TcpListener::bind(address).into_acceptor().await
}

/// Serves `endpoint` until `closed` is true, then waits up to [`CLOSE_GRACE`] for connections to
/// close.
async fn serve_until(
    acceptor: impl Acceptor + 'static,
    endpoint: BoxEndpoint<'static>,
    mut closed: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let shutdown = async move {
        // An error means that the sender was dropped with the daemon.
        let _ = closed.wait_for(|closed| *closed).await;
    };
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, shutdown, Some(CLOSE_GRACE.into()))
        .await
}
