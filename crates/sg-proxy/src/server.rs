//! Accepts and serves connections of callers.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use http::{HeaderName, HeaderValue, Request, Response, header};
use http_body::Body as _;
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioTimer;
use prometheus::IntCounterVec;
use sg_clock::Timer;
use sg_types::prelude::*;
use socket2::SockRef;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use crate::{
    Body,
    body::Delivered,
    callers::{Admission, Load, SHORT_IDLE_TIMEOUT, Slot, Table},
    connections,
    memory::{Budget, Hold, Stage, Use},
    stream::{Ending, Socket, Stream},
};

/// Delay after the system failed to accept a connection, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(50);
/// Maximum time that a connection whose request is refused may wait for the head of the request.
const REFUSED_HEADER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between the start of a stop's last phase and the end of idle connections, in which requests that have
/// arrived are read.
const CLOSING_DELAY: Span = Span::from_millis(100);
/// Minimum time between a response and the refusal of a request that was sent behind its request. A caller
/// may discard what it reads together with the end of a response, and refusals in a row without a pause would
/// take processor time from other callers.
const REFUSAL_SPACING: Span = Span::from_millis(20);
/// Memory of an open connection of a caller with its buffers, as measured with idle connections and heads of
/// ordinary size.
pub const CONNECTION_BYTES: Bytes = Bytes::new(24 << 10);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Limits of the connections of callers.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum time that a connection may wait for the head of a request.
    pub header_timeout: Duration,
    /// Maximum number of open connections whose requests are served.
    pub max_connections: usize,
    /// Counts the connections that ended early, by cause.
    pub early_ends: IntCounterVec,
    /// Memory budget that the connections are charged to.
    pub budget: Arc<Budget>,
}

impl Options {
    /// Returns options without a limit on memory, whose counter no registry has.
    ///
    /// # Panics
    /// Never, because the name of the counter is valid.
    #[must_use]
    pub fn unlimited(
        max_head_bytes: usize,
        header_timeout: Duration,
        max_connections: usize,
    ) -> Self {
        let name = prometheus::Opts::new("early_ends", "Connections that ended early.");
        Self {
            max_head_bytes,
            header_timeout,
            max_connections,
            early_ends: IntCounterVec::new(name, &["cause"]).expect("a valid name"),
            budget: Budget::new(Bytes::new(u64::MAX), Timer::new()),
        }
    }
}

/// Request extension that states when the head of the request was read from the socket. A request may have
/// waited since then for the responses to requests before it on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrived(pub Instant);

/// Response extension that marks the refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused;

/// Response extension that states until when the caller may take to read the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Until(pub Instant);

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

/// Serves connections until `phase` becomes [`Phase::Closing`], then waits until all of them have
/// ended. `head_timeout` returns the time in which the head of a request has to be complete once its first
/// byte was read. Dropping the future aborts the remaining connections.
pub async fn run<F, R, H>(
    listener: TcpListener,
    timer: Timer,
    options: Options,
    mut phase: watch::Receiver<Phase>,
    head_timeout: H,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
    H: Fn() -> Span + Clone + Send + Sync + 'static,
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
                    if let Err(error) = connections::configure_caller_socket(&SockRef::from(&stream)) {
                        log::debug!(error:% = error; "caller's socket not configured");
                    }
                    let connection = Connection {
                        socket: Socket::new(
                            stream,
                            Arc::new(connection_hold(&options.budget)),
                            timer.clone(),
                        ),
                        slot: Arc::new(slot),
                        is_refused,
                        timer: timer.clone(),
                        options: options.clone(),
                        phase: connections_phase.clone(),
                    };
                    connections.spawn(connection.run(handler.clone(), head_timeout.clone()));
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
    socket: Arc<Socket>,
    slot: Arc<Slot>,
    /// Whether the first request is refused.
    is_refused: bool,
    timer: Timer,
    options: Options,
    phase: watch::Receiver<Phase>,
}

impl Connection {
    /// Serves the requests of the connection and closes it.
    async fn run<F, R>(self, handler: F, head_timeout: impl Fn() -> Span)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let ending = tokio::select! {
            biased;
            () = self.serve(handler) => None,
            ending = self.socket.watch(head_timeout) => Some(ending),
            () = self.socket.hold().evicted() => Some(Ending::Evicted),
        };
        if let Some(ending) = ending {
            let ended = self
                .options
                .early_ends
                .with_label_values(&[ending.as_str()]);
            ended.inc();
        }
        match ending {
            Some(Ending::Gone) => return,
            Some(Ending::Stalled | Ending::Evicted) => return self.socket.reset_on_close(),
            Some(Ending::LateHead) | None => {}
        }
        // The connection keeps its place while it lingers, and ends early if its place is needed.
        self.slot.set_idle(self.timer.now());
        tokio::select! {
            () = self.socket.linger() => {}
            () = self.slot.wait_for_end() => {}
            () = self.socket.hold().evicted() => {}
        }
    }

    /// Serves requests until the HTTP library ends the connection.
    async fn serve<F, R>(&self, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let header_timeout = if self.is_refused {
            REFUSED_HEADER_TIMEOUT
        } else {
            self.options.header_timeout
        };
        let service = service_fn(|request| self.handle(request, &handler));
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
            .max_buf_size(self.options.max_head_bytes.max(8192))
            .serve_connection(Stream(self.socket.clone()), service);
        tokio::pin!(connection);
        let mut phase = self.phase.clone();
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = wait_for_closing(&mut phase) => {
                // A request that has arrived is read first: the shutdown closes a connection without one.
                let read_until = self.timer.now() + CLOSING_DELAY;
                match self.timer.until(read_until, connection.as_mut()).await {
                    Ok(ended) => ended,
                    Err(_) => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                }
            }
            () = self.slot.wait_for_end() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!(error:% = error; "caller's connection ended");
        }
    }

    /// Handles one request of the connection.
    async fn handle<F, R>(
        &self,
        mut request: Request<Incoming>,
        handler: &F,
    ) -> Result<Response<Delivered>, Infallible>
    where
        F: Fn(Request<Incoming>) -> R,
        R: Future<Output = Response<Body>>,
    {
        let length = request.body().size_hint().exact();
        let arrival = self.socket.start_request(length);
        request.extensions_mut().insert(Arrived(arrival.read_at));
        request.extensions_mut().insert(self.socket.hold().clone());
        self.slot.set_busy();
        if self.is_refused {
            request.extensions_mut().insert(Overloaded);
        }
        let mut response = handler(request).await;
        if let Some(last_response) = arrival.behind
            && response.extensions().get::<Refused>().is_some()
        {
            let until = last_response + REFUSAL_SPACING;
            self.timer.sleep_until(until).await;
        }
        let until = response.extensions_mut().remove::<Until>();
        let until = until.map(|until| until.0);
        let is_received = response.body().is_received();
        let delivery = self.socket.start_response(until, is_received);
        let load = self.slot.set_idle(self.timer.now());
        limit_reuse(
            &mut response,
            if self.is_refused { Load::Full } else { load },
        );
        Ok(response.map(|body| Delivered::new(body, delivery)))
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
