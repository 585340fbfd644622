//! Accepts and serves connections of callers.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use http::{HeaderName, HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use sg_clock::Timer;
use sg_types::prelude::*;
use socket2::SockRef;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use crate::{
    Body,
    callers::{Admission, Load, SHORT_IDLE_TIMEOUT, Slot, Table},
    connections,
    memory::{Budget, Hold, Stage, Use},
};

/// Delay after the system failed to accept a connection, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(50);
/// Maximum time that a connection whose request is refused may wait for the head of the request.
const REFUSED_HEADER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between the start of a stop's last phase and the end of idle connections, in which requests that have
/// arrived are read.
const CLOSING_DELAY: Span = Span::from_millis(100);
/// Memory of an open connection of a caller with its buffers, as measured with idle connections and heads of
/// ordinary size.
pub const CONNECTION_BYTES: Bytes = Bytes::new(24 << 10);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Limits of the connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum time that a connection may wait for the head of a request.
    pub header_timeout: Duration,
    /// Maximum number of open connections whose requests are served.
    pub max_connections: usize,
}

/// Request extension that marks a request to be refused, because its connection exceeds
/// [`Options::max_connections`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded;

/// Name of the header that states how long an idle connection is kept.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Progress of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Connections are accepted.
    #[default]
    Open,
    /// No connection is accepted; open connections end with their next response, idle ones at once.
    Closing,
}

/// Binds `address`, with a listen queue that is long enough for a burst of new connections.
///
/// # Errors
/// Returns the error of the system, most likely that the address is in use.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Limits the bytes that the system receives for each connection of `listener` before they are read.
///
/// # Errors
/// Returns the error of the system.
pub fn limit_receive_buffer(listener: &TcpListener, bytes: Bytes) -> std::io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(bytes.as_len())
}

/// Serves connections as [`run_within`] does, without a limit on memory.
pub async fn run<F, R>(
    listener: TcpListener,
    timer: Timer,
    options: Options,
    phase: watch::Receiver<Phase>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let budget = Budget::new(Bytes::new(u64::MAX), timer.clone());
    run_within(budget, listener, timer, options, phase, handler).await;
}

/// Serves connections until `phase` becomes [`Phase::Closing`], then waits until all of them have
/// ended. Dropping the future aborts the remaining connections. The memory of the connections is charged to
/// `budget`.
pub async fn run_within<F, R>(
    budget: Arc<Budget>,
    listener: TcpListener,
    timer: Timer,
    options: Options,
    mut phase: watch::Receiver<Phase>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let connections_phase = phase.clone();
    let table = Table::new(options.max_connections);
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (slot, is_refused) = match table.admit(timer.now()) {
                        Admission::Served(slot) => (slot, false),
                        Admission::Refused(slot) => (slot, true),
                        Admission::Dropped => continue,
                    };
                    if let Err(error) = connections::configure_socket(&SockRef::from(&stream)) {
                        log::debug!(error:% = error; "caller's socket not configured");
                    }
                    let connection = Connection {
                        stream,
                        slot,
                        hold: Arc::new(connection_hold(&budget)),
                        is_refused,
                        timer: timer.clone(),
                        options,
                        phase: connections_phase.clone(),
                    };
                    connections.spawn(connection.serve(handler.clone()));
                }
                Err(error) => {
                    log::warn!(error:% = error; "connection not accepted");
                    table.make_room(timer.now());
                    timer.sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = wait_for_closing(&mut phase) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Returns a hold for a connection. The connection itself is never evicted, but the response that its caller
/// reads may be.
fn connection_hold(budget: &Arc<Budget>) -> Hold {
    let hold = budget.hold(Use::Connection);
    hold.set_stage(Stage::Kept);
    hold.grow_over(CONNECTION_BYTES);
    hold
}

/// Waits until the phase is [`Phase::Closing`].
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The wait fails if the sender was dropped with the daemon. All connections end then, too.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// An accepted connection.
struct Connection {
    stream: tokio::net::TcpStream,
    slot: Slot,
    hold: Arc<Hold>,
    /// Whether the first request is refused.
    is_refused: bool,
    timer: Timer,
    options: Options,
    phase: watch::Receiver<Phase>,
}

impl Connection {
    async fn serve<F, R>(self, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let Self {
            stream,
            slot,
            hold,
            is_refused,
            timer,
            options,
            mut phase,
        } = self;
        let slot = Arc::new(slot);
        let (request_slot, request_timer) = (slot.clone(), timer.clone());
        let request_hold = hold.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            request_slot.set_busy();
            request.extensions_mut().insert(request_hold.clone());
            if is_refused {
                request.extensions_mut().insert(Overloaded);
            }
            let response = handler(request);
            let (slot, timer) = (request_slot.clone(), request_timer.clone());
            async move {
                let mut response = response.await;
                let load = slot.set_idle(timer.now());
                limit_reuse(&mut response, if is_refused { Load::Full } else { load });
                Ok::<_, Infallible>(response)
            }
        });
        let header_timeout = if is_refused {
            REFUSED_HEADER_TIMEOUT
        } else {
            options.header_timeout
        };
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
            .max_buf_size(options.max_head_bytes.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = wait_for_closing(&mut phase) => {
                // A request that has arrived is read first: the shutdown closes a connection without one.
                let read_until = timer.now() + CLOSING_DELAY;
                match timer.until(read_until, connection.as_mut()).await {
                    Ok(ended) => ended,
                    Err(_) => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                }
            }
            () = hold.evicted() => return,
            () = slot.wait_for_end() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!(error:% = error; "caller's connection ended");
        }
    }
}

/// Tells the caller how long its connection is kept, if the load shortens that time.
fn limit_reuse(response: &mut Response<Body>, load: Load) {
    let headers = response.headers_mut();
    match load {
        Load::Normal => {}
        Load::ShortIdle => {
            let seconds = SHORT_IDLE_TIMEOUT.as_millis() / 1_000;
            if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
                headers.insert(KEEP_ALIVE, value);
            }
        }
        Load::NoReuse | Load::Full | Load::Overflow => {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}
