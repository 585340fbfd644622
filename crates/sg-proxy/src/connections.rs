//! Connections to targets.
//!
//! A connection carries one request at a time. Dropping a request before its response is complete
//! closes the connection, so that the target can stop the work.

pub(crate) mod failure;
mod limits;
mod opening;

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use http::{HeaderName, HeaderValue, Method, Request, Response};
use http_body::Body as _;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

pub use self::{
    limits::{ReusePolicy, Timeouts},
    opening::Opening,
};

use crate::{
    content::Outgoing,
    target_stream::{Link, TargetStream, filter::IdHash},
};

/// Usual time for which sent data may stay unacknowledged before the kernel closes the connection to a target.
/// The timeout detects a connection whose state was lost by a device in between, and is long enough for a link
/// that loses a packet or two to recover. [`Timeouts::silence`] replaces it for a request.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the kernel sends a keepalive probe, and interval between probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes the connection.
pub const KEEPALIVE_PROBES: u32 = 2;
/// Idle timeout for targets that do not state one, half of the shortest one that is common among
/// servers.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(2_500);
/// Fraction of a target's stated idle timeout that is used. The rest covers the transit time to the
/// target.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Maximum size of the head of a response. A longer one, which may have no end, closes the connection.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of idle connections kept per target.
const MAX_IDLE_PER_TARGET: usize = 8;

/// Error of a send that received no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request can have reached the target.
    #[error("could not send the request to the target: {0}")]
    NotSent(io::Error),
    /// The connection was not open in time; no byte of the request was sent.
    #[error("the connection to the target is late")]
    Late {
        /// When the attempt started.
        started: Instant,
        /// The connection, which may still open; `None` if another one to the target is late already.
        opening: Option<Opening>,
    },
    /// The request may no longer be sent to the target; no byte of it was sent.
    #[error("the target takes no more requests")]
    Withdrawn,
    /// Bytes of the request may have reached the target.
    #[error("connection to the target lost before the response: {cause}")]
    Lost {
        /// Error of the connection.
        cause: hyper::Error,
        /// Whether the connection was opened for the request.
        is_new: bool,
    },
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Outgoing>,
    task: AbortHandle,
    link: Link,
    /// Time that it took to open the connection, if it has carried no request.
    connect_time: Option<Span>,
    since: Instant,
    timeout: Span,
}

/// Options of a connection pool.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum number of idle connections to all targets together.
    pub max_idle: usize,
    /// Address that connections come from; the system's choice if `None`.
    pub source: Option<IpAddr>,
    /// Name of the header with the id of a request, which targets repeat in their responses.
    pub id_header: HeaderName,
}

/// Counters of a connection pool.
#[derive(Debug, Clone)]
pub struct Counters {
    /// Connections that were opened.
    pub opened: prometheus::IntCounter,
    /// Responses to other requests that were passed over.
    pub passed_over: prometheus::IntCounter,
}

/// Pool of connections to all targets.
#[derive(Debug)]
pub struct ConnectionPool {
    timer: Timer,
    idle: Mutex<Idle>,
    awaited: opening::Awaited,
    options: Options,
    counters: Counters,
}

/// The idle connections by the address of their target.
#[derive(Debug, Default)]
struct Idle {
    by_address: IndexMap<SocketAddr, Vec<IdleConnection>>,
    count: usize,
}

impl Idle {
    fn push(&mut self, address: SocketAddr, connection: IdleConnection) {
        self.by_address.entry(address).or_default().push(connection);
        self.count += 1;
    }

    /// Removes the connection to `address` that was used last, of those for which `may_use` returns true.
    fn take(
        &mut self,
        address: SocketAddr,
        may_use: impl Fn(&IdleConnection) -> bool,
    ) -> Option<IdleConnection> {
        let kept = self.by_address.get_mut(&address)?;
        let index = kept.iter().rposition(may_use)?;
        self.count -= 1;
        Some(kept.remove(index))
    }

    /// Closes the connection to `address` that has been idle for longest.
    fn close_oldest(&mut self, address: SocketAddr) {
        let Some(kept) = self.by_address.get_mut(&address) else {
            return;
        };
        kept.remove(0).task.abort();
        self.count -= 1;
        if kept.is_empty() {
            self.by_address.swap_remove(&address);
        }
    }

    fn close_all(&mut self, address: SocketAddr) {
        let closed = self.by_address.swap_remove(&address).unwrap_or_default();
        self.count -= closed.len();
        closed.iter().for_each(|idle| idle.task.abort());
    }

    /// Closes the connections for which `keep` returns false.
    fn retain(&mut self, keep: impl Fn(&IdleConnection) -> bool) {
        self.by_address.retain(|_, kept| {
            kept.retain(|idle| {
                let keep = keep(idle);
                if !keep {
                    idle.task.abort();
                }
                keep
            });
            !kept.is_empty()
        });
        self.count = self.by_address.values().map(Vec::len).sum();
    }

    /// Returns the target with the most idle connections.
    fn most_kept(&self) -> Option<SocketAddr> {
        let most = self.by_address.iter().max_by_key(|(_, kept)| kept.len());
        most.map(|(address, _)| *address)
    }
}

/// Connection in use, which is closed on drop.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    /// Time that it took to open the connection; `None` if the connection has carried other requests.
    connect_time: Option<Span>,
    sender: Option<SendRequest<Outgoing>>,
    task: AbortHandle,
    link: Link,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Connection {
    /// Returns how long it took to open the connection, unless it is reused.
    #[must_use]
    pub fn connect_time(&self) -> Option<Span> {
        self.connect_time
    }

    /// Returns how many responses to other requests were passed over before that to the request.
    #[must_use]
    pub(crate) fn passed_over(&self) -> u64 {
        self.link.passed_over()
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self);
    }

    /// Returns a handle that closes the connection.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task.clone()
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(timer: Timer, options: Options, counters: Counters) -> Self {
        Self {
            timer,
            idle: Mutex::default(),
            awaited: opening::Awaited::default(),
            options,
            counters,
        }
    }

    /// Sends `request` to `address` and waits for the head of the response. `may_send` is asked again once
    /// a new connection is open, because that takes a while.
    ///
    /// # Errors
    /// Returns [`SendError::NotSent`], [`SendError::Late`] and [`SendError::Withdrawn`] only if no byte of the
    /// request was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Outgoing>,
        reuse: ReusePolicy,
        timeouts: Timeouts,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let id = request.headers().get(&self.options.id_header).cloned();
        let id = id.as_ref().map(HeaderValue::as_bytes);
        while let Some(mut connection) = self.take_idle(address, reuse, id.map(IdHash::new)) {
            match connection.try_send(request, id, timeouts.silence).await {
                Ok(response) => return Ok((response, connection)),
                Err((_, Some(unsent))) => request = unsent,
                Err((cause, None)) => {
                    let is_new = connection.connect_time.is_some();
                    return Err(SendError::Lost { cause, is_new });
                }
            }
        }
        let mut connection = self.open(address, timeouts.connect).await?;
        if !may_send() {
            return Err(SendError::Withdrawn);
        }
        match connection.try_send(request, id, timeouts.silence).await {
            Ok(response) => Ok((response, connection)),
            Err((error, Some(_))) => Err(SendError::NotSent(io::Error::other(error))),
            Err((cause, None)) => Err(SendError::Lost {
                cause,
                is_new: true,
            }),
        }
    }

    /// Returns a connection to the pool once its response is complete. `stated_timeout` is the idle
    /// timeout that the target stated.
    pub fn put_back(&self, mut connection: Connection, stated_timeout: Option<Span>) {
        connection.connect_time = None;
        self.keep(connection, stated_timeout);
    }

    fn keep(&self, mut connection: Connection, stated_timeout: Option<Span>) {
        let Some(sender) = connection.sender.take() else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let idle = IdleConnection {
            sender,
            task: connection.task.clone(),
            link: connection.link.clone(),
            connect_time: connection.connect_time,
            since: self.timer.now(),
            timeout: stated_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
                stated.mul_f64(IDLE_TIMEOUT_FRACTION)
            }),
        };
        let mut pool = self.idle.lock();
        pool.push(connection.address, idle);
        if pool.by_address[&connection.address].len() > MAX_IDLE_PER_TARGET {
            pool.close_oldest(connection.address);
        }
        if pool.count > self.options.max_idle
            && let Some(address) = pool.most_kept()
        {
            pool.close_oldest(address);
        }
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().close_all(address);
    }

    /// Closes connections whose idle timeout has passed.
    pub fn close_expired(&self) {
        let now = self.timer.now();
        self.idle
            .lock()
            .retain(|idle| now.since(idle.since) < idle.timeout && !idle.sender.is_closed());
    }

    /// Returns an idle connection. One that carried a request with the same id is left out, because a late copy
    /// of that request's response would be taken for the one that is expected.
    fn take_idle(
        &self,
        address: SocketAddr,
        reuse: ReusePolicy,
        id: Option<IdHash>,
    ) -> Option<Connection> {
        let now = self.timer.now();
        let may_use = |idle: &IdleConnection| {
            now.since(idle.since) <= reuse.max_idle
                && id.is_none_or(|id| !idle.link.has_carried(id))
        };
        let mut pool = self.idle.lock();
        while let Some(idle) = pool.take(address, may_use) {
            if now.since(idle.since) < idle.timeout && idle.sender.is_ready() {
                return Some(Connection {
                    address,
                    connect_time: idle.connect_time,
                    sender: Some(idle.sender),
                    task: idle.task,
                    link: idle.link,
                });
            }
            idle.task.abort();
        }
        None
    }

    /// Waits until a connection that was late is open, at most until `timeout` after the start of the attempt,
    /// and keeps the connection for a request. Returns how long it took.
    ///
    /// # Errors
    /// Returns the error of the system, or [`io::ErrorKind::TimedOut`].
    pub async fn finish(&self, mut opening: Opening, timeout: Span) -> io::Result<Span> {
        let stream = opening.wait(&self.timer, timeout).await;
        let stream = stream.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
        let connection = self.establish(stream, &opening).await?;
        let connect_time = connection.connect_time.unwrap_or_default();
        self.keep(connection, None);
        Ok(connect_time)
    }

    async fn open(&self, address: SocketAddr, timeout: Span) -> Result<Connection, SendError> {
        let socket = self.socket().map_err(SendError::NotSent)?;
        let mut opening = Opening::start(&self.timer, socket, address);
        let stream = match opening.wait(&self.timer, timeout).await {
            Some(opened) => opened.map_err(SendError::NotSent)?,
            None => return Err(opening.into_late(&self.awaited)),
        };
        let connection = self.establish(stream, &opening).await;
        connection.map_err(SendError::NotSent)
    }

    fn socket(&self) -> io::Result<TcpSocket> {
        let socket = TcpSocket::new_v4()?;
        if let Some(source) = self.options.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        Ok(socket)
    }

    async fn establish(&self, stream: TcpStream, opening: &Opening) -> io::Result<Connection> {
        let connect_time = self.timer.now().since(opening.started());
        // The kernel counts the time to connect toward its limit too.
        configure_socket(&SockRef::from(&stream))?;
        self.counters.opened.inc();
        let link = Link::new(self.options.id_header.clone());
        let passed_over = self.counters.passed_over.clone();
        let stream = TargetStream::new(stream, link.clone(), passed_over);
        let handshake = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection to a target ended");
            }
        });
        Ok(Connection {
            address: opening.address(),
            connect_time: Some(connect_time),
            sender: Some(sender),
            task: task.abort_handle(),
            link,
        })
    }
}

/// Sets the options of a socket to a target, which detect a dead connection early.
///
/// # Errors
/// Returns the error of the system.
pub fn configure_socket(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    configure_caller_socket(socket)
}

/// Sets the options of a caller's socket. Keepalive probes detect a dead connection. The time for which sent
/// data may stay unacknowledged is not limited, because the kernel counts the time for which a caller reads
/// nothing toward that limit.
///
/// # Errors
/// Returns the error of the system.
pub fn configure_caller_socket(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

type Unsent = Option<Request<Outgoing>>;

impl Connection {
    async fn try_send(
        &mut self,
        request: Request<Outgoing>,
        id: Option<&[u8]>,
        silence: Span,
    ) -> Result<Response<Incoming>, (hyper::Error, Unsent)> {
        let sender = self
            .sender
            .as_mut()
            .expect("sender is only taken when the connection returns to the pool");
        let length = request.body().size_hint().exact();
        self.link
            .expect(id, request.method() == Method::HEAD, length, silence);
        sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message();
            (error.into_error(), unsent)
        })
    }
}
