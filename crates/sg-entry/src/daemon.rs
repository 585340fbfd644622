//! Starts the parts of an instance, joins them, and stops them in order.

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
    evidence::Ring,
    gates::{Accounts, Config, Fresh, Others, Ready, Speaker, Steering},
    lookup, serve, stop,
};

/// The request path of this instance.
pub type Path = Forward<Config, Accounts, Fresh, Steering, Speaker, Others>;
/// The instance's part in the fleet.
pub type Node = sg_peer::Handle<rpc::Guard>;

/// How long cached look-ups are waited for if no tree says it.
const DEFAULT_CACHE: Span = Span::from_secs(2);
/// How long work in hand may go on if no tree says it.
const DEFAULT_GRACE: Span = Span::from_secs(5);
/// How long connections are waited for once no work is in hand.
const CLOSE_GRACE: Span = Span::from_millis(500);

/// Why the daemon can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused something that a process needs.
    #[error("the process can't start ({0}); check its limits and that its addresses are free")]
    System(#[from] std::io::Error),
    /// An HTTP client can't be made.
    #[error("an HTTP client can't be made ({0}); check the process's limits on open files")]
    Client(#[from] reqwest::Error),
    /// The client of the store can't be made.
    #[error(transparent)]
    Store(#[from] sg_store::http::Error),
    /// The client of the list of instances can't be made.
    #[error(transparent)]
    List(#[from] sg_peer::list::Error),
    /// The peer address can't be listened on.
    #[error("the peer address: {0}")]
    Peer(#[from] sg_peer::transport::Error),
    /// The counters can't be registered.
    #[error("the counters can't be registered ({0}); this is a fault of the program")]
    Metrics(#[from] prometheus::Error),
    /// The request path can't be made.
    #[error(transparent)]
    Forward(#[from] sg_forward::forward::Error),
}

/// The parts of a running instance.
#[derive(Debug, Clone)]
pub struct Parts {
    /// The settings.
    pub settings: Arc<Settings>,
    /// This run.
    pub incarnation: Incarnation,
    /// The timer service.
    pub timer: Timer,
    /// The counters.
    pub registry: prometheus::Registry,
    /// The part in the fleet.
    pub node: Arc<Node>,
    /// The steering decisions.
    pub steer: sg_steer::Engine,
    /// The request path.
    pub path: Path,
    /// Whether the instance may serve.
    pub ready: Ready,
    /// What look-ups are decided by.
    pub lookup: lookup::Handle,
    /// What was counted under each revision.
    pub evidence: Arc<Ring>,
    /// Whether the instance is about to stop.
    pub leaving: watch::Receiver<bool>,
}

/// Runs the daemon until it is asked to stop.
///
/// # Errors
/// See [`Error`].
pub fn run(settings: Settings) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let requested = stop::requested()?;
        run_until(settings, requested).await
    })
}

/// Runs the daemon until `requested` resolves, then stops it gracefully.
///
/// # Errors
/// See [`Error`].
pub async fn run_until(
    settings: Settings,
    requested: impl Future<Output = ()>,
) -> Result<(), Error> {
    let (leave, leaving) = watch::channel(false);
    let parts = build::build(settings, leaving).await?;
    let mut tasks = tasks::spawn(&parts)?;
    let (close, closed) = watch::channel(false);
    let mut servers = servers(&parts, &closed).await?;
    log::info!(
        "{} takes part as {}",
        parts.settings.instance,
        parts.incarnation
    );
    tokio::select! {
        () = requested => {}
        Some(ended) = servers.join_next() => ended.unwrap_or_else(|error| Err(error.into()))?,
    }
    log::info!("{} leaves", parts.settings.instance);
    let _ = leave.send(true);
    drain(&parts).await;
    let _ = close.send(true);
    while servers.join_next().await.is_some() {}
    tasks.shutdown().await;
    let Parts { node, path, .. } = parts;
    drop(path);
    if let Some(node) = Arc::into_inner(node) {
        node.stop().await;
    }
    log::info!("stopped");
    Ok(())
}

/// Waits until cached look-ups have run out, then until no work is in hand.
async fn drain(parts: &Parts) {
    let view = parts.node.config.view();
    let fleet = view.as_ref().map(|view| &view.fleet);
    let cache = fleet.map_or(DEFAULT_CACHE, |fleet| fleet.lookup_cache);
    let grace = fleet.map_or(DEFAULT_GRACE, |fleet| fleet.drain_grace);
    parts.node.notices.announce(Notice::Stopping {
        instance: parts.settings.instance.clone(),
        incarnation: parts.incarnation,
        within: sg_lookup::SPREAD + cache + grace,
    });
    parts.timer.sleep(sg_lookup::SPREAD + cache).await;
    parts.path.leave();
    let deadline = parts.timer.now() + grace;
    if parts
        .timer
        .until(deadline, parts.path.idle())
        .await
        .is_err()
    {
        log::warn!("{} requests were still in hand", parts.path.in_hand());
    }
}

/// Binds the addresses of callers and operators and starts to serve them.
async fn servers(
    parts: &Parts,
    closed: &watch::Receiver<bool>,
) -> std::io::Result<JoinSet<std::io::Result<()>>> {
    let callers = bind(parts.settings.serve).await?;
    let operators = bind(parts.settings.admin).await?;
    let mut servers = JoinSet::new();
    servers.spawn(serve_until(
        parts.path.listener(callers),
        serve::endpoint(parts.clone()),
        closed.clone(),
    ));
    servers.spawn(serve_until(
        operators,
        admin::endpoint(parts.clone()),
        closed.clone(),
    ));
    Ok(servers)
}

async fn bind(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    TcpListener::bind(address).into_acceptor().await
}

/// Serves `endpoint` until `closed` says so, then waits a moment for its connections.
async fn serve_until(
    acceptor: impl Acceptor + 'static,
    endpoint: BoxEndpoint<'static>,
    mut closed: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let until = async move {
        // An error means that the daemon is gone.
        let _ = closed.wait_for(|closed| *closed).await;
    };
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, until, Some(CLOSE_GRACE.into()))
        .await
}
