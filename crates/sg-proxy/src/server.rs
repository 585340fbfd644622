//! Accepts and serves connections of callers.

mod policy;
mod reuse;

use std::{convert::Infallible, future::poll_fn, task::Poll, time::Duration};

use http::{Request, Response, Version, header};
use http_body::Body as _;
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioTimer;
use parking_lot::Mutex;
use prometheus::{IntCounter, IntCounterVec};
use sg_clock::Timer;
use sg_types::prelude::*;
use socket2::SockRef;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use crate::{
    Body,
    body::{Delivered, RequestBody},
    callers::{Admission, Load, Slot, Table},
    connections,
    memory::{Budget, Hold, Stage, Use},
    pipeline::{self, Head, Pipeline},
    stream::{Arrival, Ending, Socket, Stream},
};

pub use crate::listener::{bind, limit_receive_buffer};
pub use policy::{OneByOne, Policy};

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
/// Time from the answers of a stopping instance for which refusals are kept apart, so that the requests that were
/// read from a connection are answered before its close.
pub(crate) const LAST_SPACING: Span = Span::from_millis(40);
/// Memory of an open connection of a caller with its buffers, as measured with idle connections and heads of
/// ordinary size.
pub const CONNECTION_BYTES: Bytes = Bytes::new(24 << 10);
/// Memory of a request that is started early: two copies of its head and the state of its handling.
const STARTED_BYTES: Bytes = Bytes::new(24 << 10);

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
    /// Counts the connections that closed without the responses to requests, by whether these were read.
    pub unanswered: IntCounterVec,
    /// Counts the requests that were started while earlier responses of their connection were due.
    pub started_early: IntCounter,
    /// Memory budget that the connections are charged to.
    pub budget: Arc<Budget>,
}

impl Options {
    /// Returns options without a limit on memory, whose counters no registry has.
    ///
    /// # Panics
    /// Never, because the names of the counters are valid.
    #[must_use]
    pub fn unlimited(
        max_head_bytes: usize,
        header_timeout: Duration,
        max_connections: usize,
    ) -> Self {
        let early_ends = prometheus::Opts::new("early_ends", "Connections that ended early.");
        let unanswered = prometheus::Opts::new("unanswered", "Connections closed on requests.");
        let counters = |name, label| IntCounterVec::new(name, &[label]).expect("a valid name");
        Self {
            max_head_bytes,
            header_timeout,
            max_connections,
            early_ends: counters(early_ends, "cause"),
            unanswered: counters(unanswered, "requests"),
            started_early: IntCounter::new("started_early", "Requests that were started early.")
                .expect("a valid name"),
            budget: Budget::new(Bytes::new(u64::MAX), Timer::new()),
        }
    }
}

/// Request extension that states when the head of the request was read from the socket. A request may have
/// waited since then for the responses to requests before it on the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrived(pub Instant);

/// Request extension that marks a request that was read before the response to the one before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Behind;

/// Response extension that marks the refusal of a request, and states until when the refusal may be held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused(pub Instant);

/// Response extension that states until when the caller may take to read the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Until(pub Instant);

/// Request extension that marks a request to be refused, because its connection exceeds
/// [`Options::max_connections`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded;

/// Progress of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Connections are accepted.
    #[default]
    Open,
    /// No connection is accepted; open connections end with their next response, idle ones at once.
    Closing,
}

/// Serves connections until `phase` becomes [`Phase::Closing`], then waits until all of them have
/// ended. Dropping the future aborts the remaining connections.
pub async fn run<F, R, P>(
    listener: TcpListener,
    timer: Timer,
    options: Options,
    mut phase: watch::Receiver<Phase>,
    policy: P,
    handler: F,
) where
    F: Fn(Request<RequestBody>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
    P: Policy,
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
                        policy: policy.clone(),
                        pipeline: Mutex::default(),
                    };
                    connections.spawn(connection.run(handler.clone()));
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
struct Connection<P> {
    socket: Arc<Socket>,
    slot: Arc<Slot>,
    /// Whether the first request is refused.
    is_refused: bool,
    timer: Timer,
    options: Options,
    phase: watch::Receiver<Phase>,
    policy: P,
    /// Requests that were started while earlier responses are due.
    pipeline: Mutex<Pipeline<Response<Body>>>,
}

impl<P: Policy> Connection<P> {
    /// Serves the requests of the connection and closes it.
    async fn run<F, R>(self, handler: F)
    where
        F: Fn(Request<RequestBody>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let ending = tokio::select! {
            biased;
            () = self.serve(handler) => self.socket.is_request_lost().then_some(Ending::Gone),
            ending = self.socket.watch(|| self.policy.head_timeout()) => Some(ending),
            () = self.socket.hold().evicted() => Some(Ending::Evicted),
        };
        if let Some(ending) = ending {
            let ended = self
                .options
                .early_ends
                .with_label_values(&[ending.as_str()]);
            ended.inc();
        }
        if ending != Some(Ending::Gone) && self.socket.has_waiting_request() {
            self.count_unanswered("read");
        }
        // What was started early has no connection to be answered on.
        *self.pipeline.lock() = Pipeline::default();
        match ending {
            Some(Ending::Gone) => return,
            Some(Ending::Stalled | Ending::Evicted) => return self.socket.reset_on_close(),
            None if self.socket.must_reset() => return,
            Some(Ending::LateHead) | None => {}
        }
        // The connection keeps its place while it lingers, and ends early if its place is needed.
        self.slot.set_idle(self.timer.now());
        tokio::select! {
            () = self.socket.linger() => {}
            () = self.slot.wait_for_end() => {}
            () = self.socket.hold().evicted() => {}
        }
        if self.socket.is_crossed() {
            self.count_unanswered("unread");
        }
    }

    /// Counts a connection that closes without the responses to requests that the caller sent.
    fn count_unanswered(&self, requests: &str) {
        let counter = &self.options.unanswered;
        counter.with_label_values(&[requests]).inc();
    }

    /// Serves requests until the HTTP library ends the connection.
    async fn serve<F, R>(&self, handler: F)
    where
        F: Fn(Request<RequestBody>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let header_timeout = if self.is_refused {
            REFUSED_HEADER_TIMEOUT
        } else {
            self.options.header_timeout
        };
        let service = service_fn(|request: Request<Incoming>| {
            // Recorded before the library reads on, so that it takes nothing of the next request.
            let length = request.body().size_hint().exact();
            let arrival = self.socket.start_request(length);
            self.handle(request, arrival, &handler)
        });
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
            .max_buf_size(self.options.max_head_bytes.max(8192))
            .serve_connection(Stream(self.socket.clone()), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = self.wait_for_shutdown() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!(error:% = error; "caller's connection ended");
            if error.is_parse() {
                self.socket.end_framing();
            }
        }
    }

    /// Handles one request of the connection.
    async fn handle<F, R>(
        &self,
        request: Request<Incoming>,
        arrival: Arrival,
        handler: &F,
    ) -> Result<Response<Delivered>, Infallible>
    where
        F: Fn(Request<RequestBody>) -> R,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        self.slot.set_busy();
        let may_have_followers = pipeline::may_have_followers(&request);
        let version = request.version();
        let ends_connection = reuse::ends_connection(&request);
        let response = self.respond(request, arrival, handler);
        let mut response = if may_have_followers {
            tokio::select! {
                biased;
                response = response => response,
                never = self.start_waiting(handler) => match never {},
            }
        } else {
            response.await
        };
        if let Some(last_response) = arrival.behind
            && let Some(Refused(latest)) = response.extensions().get()
        {
            let until = (last_response + REFUSAL_SPACING).min(*latest);
            self.timer.sleep_until(until).await;
        }
        let until = response.extensions_mut().remove::<Until>();
        let until = until.map(|until| until.0);
        let is_received = response.body().is_received();
        response.body().open();
        let ends_by_close =
            version < Version::HTTP_11 && response.body().size_hint().exact().is_none();
        let delivery = self
            .socket
            .start_response(until, is_received, ends_by_close);
        self.decide_reuse(&mut response, ends_connection);
        Ok(response.map(|body| Delivered::new(body, delivery)))
    }
}

impl<P: Policy> Connection<P> {
    /// Returns the response to `request`, which may have been started early.
    async fn respond<F, R>(
        &self,
        request: Request<Incoming>,
        arrival: Arrival,
        handler: &F,
    ) -> Response<Body>
    where
        F: Fn(Request<RequestBody>) -> R,
        R: Future<Output = Response<Body>>,
    {
        let started = self.pipeline.lock().take(&request);
        if let Some(started) = started
            && let Some(response) = started.response().await
        {
            return response;
        }
        let mut request = request.map(RequestBody::Received);
        self.mark(&mut request, arrival.read_at);
        if arrival.behind.is_some() {
            request.extensions_mut().insert(Behind);
        }
        if self.is_refused {
            request.extensions_mut().insert(Overloaded);
        }
        // A connection without a request does not hold the memory of the handling.
        Box::pin(handler(request)).await
    }

    /// Tells the handler when the request was read, and what its connection holds.
    fn mark<B>(&self, request: &mut Request<B>, read_at: Instant) {
        let extensions = request.extensions_mut();
        extensions.insert(Arrived(read_at));
        extensions.insert(self.socket.hold().clone());
    }

    /// Starts the requests that were read behind the one in progress, as far as the policy allows.
    async fn start_waiting<F, R>(&self, handler: &F) -> Infallible
    where
        F: Fn(Request<RequestBody>) -> R,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        poll_fn(|_| {
            // The task of the connection also wakes up when bytes were read.
            while self.start_next(handler) {}
            Poll::Pending
        })
        .await
    }

    /// Starts the next request behind those that were started. Returns whether there was one that may be
    /// started.
    fn start_next<F, R>(&self, handler: &F) -> bool
    where
        F: Fn(Request<RequestBody>) -> R,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let mut pipeline = self.pipeline.lock();
        let keeps_open = self.slot.load() < Load::NoReuse && *self.phase.borrow() == Phase::Open;
        if self.is_refused || !keeps_open || !pipeline.has_room() || !self.policy.starts_early() {
            return false;
        }
        let parse = |bytes: &[u8], read_at| Some((Head::parse(bytes)?, bytes.len(), read_at));
        let waiting = self.socket.waiting_head(pipeline.bytes(), parse);
        let Some((head, length, read_at)) = waiting.flatten() else {
            return false;
        };
        let request = head.to_request();
        if !self.policy.may_start_early(&request) {
            return false;
        }
        let hold = self.socket.hold().sibling(Use::Request);
        // Its eviction would end the connection, with the requests before it.
        hold.set_stage(Stage::Forwarded);
        if hold.grow(STARTED_BYTES).is_err() {
            return false;
        }
        let mut request = request.map(|()| RequestBody::Empty);
        self.mark(&mut request, read_at);
        self.options.started_early.inc();
        pipeline.push(head, length, hold, tokio::spawn(handler(request)));
        true
    }

    /// Decides whether the connection closes with `response`, and reads no further request if so.
    /// `ends_connection` states whether the request asked for the close.
    fn decide_reuse(&self, response: &mut Response<Body>, ends_connection: bool) {
        if self.has_followers() {
            // The responses to the requests that were read behind this one are still due.
            response.headers_mut().remove(header::CONNECTION);
            let keeps_open = !self.is_refused && self.slot.load() < Load::NoReuse;
            if !keeps_open || ends_connection {
                self.socket.end_requests();
            }
            return;
        }
        let load = self.slot.set_idle(self.timer.now());
        let load = if self.is_refused { Load::Full } else { load };
        reuse::limit(response, load);
        // The load may have fallen since the end was decided.
        if self.socket.is_body_due() || self.socket.is_ending() {
            reuse::close(response);
        }
        if ends_connection || reuse::says(response.headers(), "close") {
            self.socket.end_requests();
        }
    }

    /// Returns whether requests were read behind the one in progress. Each gets a response on this connection.
    fn has_followers(&self) -> bool {
        !self.pipeline.lock().is_empty() || self.socket.has_waiting_request()
    }

    /// Waits until the connection is to close and the requests that were read from it have their responses.
    async fn wait_for_shutdown(&self) {
        let mut phase = self.phase.clone();
        tokio::select! {
            // A request that has arrived is read first: the shutdown closes a connection without one.
            () = wait_for_closing(&mut phase) => self.timer.sleep(CLOSING_DELAY).await,
            // A request may have been read, and others started behind it, since the connection was idle.
            () = self.slot.wait_for_end() => {}
        }
        self.pipeline.lock().close();
        // The task of the connection wakes up with each response.
        poll_fn(|_| match self.has_followers() {
            true => Poll::Pending,
            false => Poll::Ready(()),
        })
        .await;
        self.socket.end_requests();
    }
}
