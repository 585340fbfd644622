//! A fake of the platform's store, with leases, watches and faults.

mod control;
mod message;
mod state;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use parking_lot::Mutex;
use poem::{Body, Endpoint, Request, Response, http::StatusCode};
use serde::Serialize;
use sg_clock::Timer;
use sg_types::time::Span;
use tokio::sync::watch;

pub use self::control::{Calls, Control, Outage};
use self::{
    control::Faults,
    message::{
        LeaseRequest, Range, Refusal, StreamMessage, Txn, WatchCreate, WatchRequest, WatchResponse,
    },
    state::State,
};
use crate::{
    reply,
    server::{self, Handle},
    wire::Switch,
};

/// The interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Span = Span::from_millis(50);

/// The configuration of a store.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The seed of random faults.
    pub seed: u64,
}

#[derive(Debug)]
struct Shared {
    timer: Timer,
    switch: Switch,
    state: Mutex<State>,
    faults: Mutex<Faults>,
    calls: Mutex<Calls>,
    /// The number of changes to the entries, leases and faults; watches wait for the next one.
    changed: watch::Sender<u64>,
}

impl Shared {
    fn notify_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// A running store server.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    handle: Handle,
    expiry_task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts a store.
    ///
    /// # Errors
    /// Returns [`server::Error`] if the address cannot be bound.
    pub async fn start(options: Options) -> Result<Self, server::Error> {
        let switch = Switch::new();
        let listener = server::bind(options.listen, &switch).await?;
        let shared = Arc::new(Shared {
            timer: Timer::new(),
            switch: switch.clone(),
            state: Mutex::default(),
            faults: Mutex::new(Faults::new(options.seed)),
            calls: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let expiry_task = tokio::spawn(expire_leases(shared.clone()));
        let handle = Handle::spawn(listener, switch, Handler(shared.clone()));
        Ok(Self {
            shared,
            handle,
            expiry_task,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Applies a change to the faults.
    pub fn control(&self, control: Control) {
        self.shared.control(control);
    }

    /// Returns the number of calls received.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.calls.lock().clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.expiry_task.abort();
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut ticks = shared.timer.every(LEASE_CHECK_INTERVAL);
    loop {
        let tick = ticks.tick().await;
        if shared.state.lock().expire_leases(tick.now) {
            shared.notify_watches();
        }
    }
}

/// The handler of control calls and store calls.
struct Handler(Arc<Shared>);

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let response = match path.as_str() {
            "/_control" => match reply::read_json(&mut request).await {
                Ok(control) => {
                    self.0.control(control);
                    Ok(reply::json(&control))
                }
                Err(error) => Err(error),
            },
            "/_calls" => Ok(reply::json(&*self.0.calls.lock())),
            _ => self.0.handle_call(&path, &mut request).await,
        };
        Ok(response.unwrap_or_else(|error| error.response()))
    }
}

impl Shared {
    fn control(&self, control: Control) {
        self.faults.lock().apply(control);
        self.notify_watches();
    }

    async fn handle_call(
        self: &Arc<Self>,
        path: &str,
        request: &mut Request,
    ) -> Result<Response, reply::Error> {
        self.calls.lock().record(path);
        let (outage, delay) = {
            let faults = self.faults.lock();
            (faults.outage, faults.delay)
        };
        match outage {
            Outage::None => {}
            Outage::Refuse => self.drop_connection(request).await,
            Outage::Hang => std::future::pending().await,
        }
        if delay > Span::ZERO {
            self.timer.sleep(delay).await;
        }
        match path {
            "/v3/kv/range" => {
                let range: Range = reply::read_json(request).await?;
                Ok(reply::json(&self.state.lock().range(&range)))
            }
            "/v3/kv/txn" => self.handle_txn(request).await,
            "/v3/watch" => {
                let watch: WatchRequest = reply::read_json(request).await?;
                Ok(self.watch(watch.create_request))
            }
            _ => self.handle_lease(path, request).await,
        }
    }

    async fn handle_txn(&self, request: &mut Request) -> Result<Response, reply::Error> {
        let txn: Txn = reply::read_json(request).await?;
        let result = self.state.lock().txn(&txn);
        self.notify_watches();
        if State::has_writes(&txn) {
            self.maybe_lose_response(request).await;
        }
        Ok(to_response(result.as_ref()))
    }

    async fn handle_lease(
        &self,
        path: &str,
        request: &mut Request,
    ) -> Result<Response, reply::Error> {
        let call: LeaseRequest = reply::read_json(request).await?;
        let now = self.timer.now();
        let response = match path {
            "/v3/lease/grant" => reply::json(&self.state.lock().grant(call.ttl, now)),
            "/v3/lease/keepalive" => reply::json(&StreamMessage {
                result: self.state.lock().renew(call.id, now),
            }),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                to_response(self.state.lock().revoke(call.id).as_ref())
            }
            _ => return Ok(reply::status(StatusCode::NOT_FOUND)),
        };
        self.notify_watches();
        self.maybe_lose_response(request).await;
        Ok(response)
    }

    async fn maybe_lose_response(&self, request: &Request) {
        let lost = self.faults.lock().should_lose_response();
        if lost {
            self.drop_connection(request).await;
        }
    }

    /// Resets the caller's connection and never returns.
    async fn drop_connection(&self, request: &Request) {
        if let Some(peer) = request.remote_addr().as_socket_addr() {
            self.switch.reset(*peer);
        }
        std::future::pending::<()>().await;
    }

    fn watch(self: &Arc<Self>, create: WatchCreate) -> Response {
        let next_revision = match create.start_revision.0 {
            0 => self.state.lock().header().revision.0 + 1,
            start => start,
        };
        self.calls.lock().watches += 1;
        let watch = WatchStream {
            changed: self.changed.subscribe(),
            open_watch: OpenWatch(self.clone()),
            create,
            next_revision,
            started: false,
        };
        Response::builder()
            .content_type("application/json")
            .body(Body::from_bytes_stream(watch.into_stream()))
    }
}

fn to_response(result: Result<&impl Serialize, &Refusal>) -> Response {
    #[derive(Serialize)]
    struct ErrorBody {
        error: String,
        code: u32,
        message: String,
    }
    let refusal = match result {
        Ok(value) => return reply::json(value),
        Err(refusal) => refusal,
    };
    let (status, code) = match refusal {
        Refusal::TooLarge => (StatusCode::BAD_REQUEST, 3),
        Refusal::LeaseNotFound => (StatusCode::NOT_FOUND, 5),
    };
    let mut response = reply::json(&ErrorBody {
        error: refusal.to_string(),
        code,
        message: refusal.to_string(),
    });
    response.set_status(status);
    response
}

/// An open watch in the call counts; dropping it decrements the count.
struct OpenWatch(Arc<Shared>);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.calls.lock().watches -= 1;
    }
}

/// The message stream of a watch.
struct WatchStream {
    open_watch: OpenWatch,
    changed: watch::Receiver<u64>,
    create: WatchCreate,
    /// The first revision that has not been reported.
    next_revision: i64,
    started: bool,
}

impl WatchStream {
    fn into_stream(self) -> impl Stream<Item = std::io::Result<Bytes>> + Send {
        stream::try_unfold(self, |mut watch| async move {
            let message = watch.next_message().await?;
            Ok(Some((message, watch)))
        })
    }

    async fn next_message(&mut self) -> std::io::Result<Bytes> {
        loop {
            self.changed.borrow_and_update();
            let outage = self.open_watch.0.faults.lock().outage;
            match outage {
                Outage::Refuse => return Err(std::io::ErrorKind::ConnectionReset.into()),
                Outage::Hang => {}
                Outage::None => {
                    if let Some(response) = self.next_response() {
                        return json_line(&StreamMessage { result: response });
                    }
                }
            }
            if self.changed.changed().await.is_err() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
    }

    fn next_response(&mut self) -> Option<WatchResponse> {
        let state = self.open_watch.0.state.lock();
        let events = state.changes(&self.create, self.next_revision);
        let created = !std::mem::replace(&mut self.started, true);
        if !created && events.is_empty() {
            return None;
        }
        let header = state.header();
        if created {
            return Some(WatchResponse {
                header,
                created,
                events: Vec::new(),
            });
        }
        self.next_revision = header.revision.0 + 1;
        Some(WatchResponse {
            header,
            created,
            events,
        })
    }
}

fn json_line(message: &impl Serialize) -> std::io::Result<Bytes> {
    let mut text = serde_json::to_vec(message)?;
    text.push(b'\n');
    Ok(text.into())
}
