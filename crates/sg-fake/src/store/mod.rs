//! A stand-in of the platform's store.

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
    message::{Framed, LeaseCall, Range, Refusal, Txn, Watch, WatchAnswer, WatchCreate},
    state::State,
};
use crate::{
    reply,
    server::{self, Handle},
    wire::Switch,
};

/// How often leases are looked through for lapsed ones.
const LAPSE_INTERVAL: Span = Span::from_millis(50);

/// How the store runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The seed of its random faults.
    pub seed: u64,
}

#[derive(Debug)]
struct Shared {
    timer: Timer,
    switch: Switch,
    state: Mutex<State>,
    faults: Mutex<Faults>,
    calls: Mutex<Calls>,
    /// Counts changes of the content and of the faults.
    changed: watch::Sender<u64>,
}

impl Shared {
    fn touch(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// A running store.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    handle: Handle,
    lapse: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts a store.
    ///
    /// # Errors
    /// [`server::Error`] if the address can't be bound.
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
        let lapse = tokio::spawn(lapse(shared.clone()));
        let handle = Handle::spawn(listener, switch, Front(shared.clone()));
        Ok(Self {
            shared,
            handle,
            lapse,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Changes its faults.
    pub fn control(&self, control: Control) {
        self.shared.control(control);
    }

    /// How often each call was made.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.calls.lock().clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.lapse.abort();
    }
}

async fn lapse(shared: Arc<Shared>) {
    let mut ticks = shared.timer.every(LAPSE_INTERVAL);
    loop {
        let tick = ticks.tick().await;
        if shared.state.lock().lapse(tick.now) {
            shared.touch();
        }
    }
}

/// The store's front: one call, its faults, its answer.
struct Front(Arc<Shared>);

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let answer = match path.as_str() {
            "/_control" => match reply::read(&mut request).await {
                Ok(control) => {
                    self.0.control(control);
                    Ok(reply::json(&control))
                }
                Err(error) => Err(error),
            },
            "/_calls" => Ok(reply::json(&*self.0.calls.lock())),
            _ => self.0.store_call(&path, &mut request).await,
        };
        Ok(answer.unwrap_or_else(|error| error.response()))
    }
}

impl Shared {
    fn control(&self, control: Control) {
        self.faults.lock().set(control);
        self.touch();
    }

    async fn store_call(
        self: &Arc<Self>,
        path: &str,
        request: &mut Request,
    ) -> Result<Response, reply::Error> {
        self.calls.lock().count(path);
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
                let range: Range = reply::read(request).await?;
                Ok(reply::json(&self.state.lock().range(&range)))
            }
            "/v3/kv/txn" => self.txn(request).await,
            "/v3/watch" => {
                let watch: Watch = reply::read(request).await?;
                Ok(self.watch(watch.create_request))
            }
            _ => self.lease_call(path, request).await,
        }
    }

    async fn txn(&self, request: &mut Request) -> Result<Response, reply::Error> {
        let txn: Txn = reply::read(request).await?;
        let result = self.state.lock().txn(&txn);
        self.touch();
        if State::writes(&txn) {
            self.lose_answer(request).await;
        }
        Ok(answer(result.as_ref()))
    }

    async fn lease_call(
        &self,
        path: &str,
        request: &mut Request,
    ) -> Result<Response, reply::Error> {
        let call: LeaseCall = reply::read(request).await?;
        let now = self.timer.now();
        let response = match path {
            "/v3/lease/grant" => reply::json(&self.state.lock().grant(call.ttl, now)),
            "/v3/lease/keepalive" => reply::json(&Framed {
                result: self.state.lock().renew(call.id, now),
            }),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                answer(self.state.lock().revoke(call.id).as_ref())
            }
            _ => return Ok(reply::status(StatusCode::NOT_FOUND)),
        };
        self.touch();
        self.lose_answer(request).await;
        Ok(response)
    }

    async fn lose_answer(&self, request: &Request) {
        let lost = self.faults.lock().loses_answer();
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
        let next = match create.start_revision.0 {
            0 => self.state.lock().header().revision.0 + 1,
            start => start,
        };
        self.calls.lock().watches += 1;
        let feed = Feed {
            changed: self.changed.subscribe(),
            waiting: Waiting(self.clone()),
            create,
            next,
            begun: false,
        };
        Response::builder()
            .content_type("application/json")
            .body(Body::from_bytes_stream(feed.into_stream()))
    }
}

fn answer(result: Result<&impl Serialize, &Refusal>) -> Response {
    #[derive(Serialize)]
    struct Refused {
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
        Refusal::NoLease => (StatusCode::NOT_FOUND, 5),
    };
    let mut response = reply::json(&Refused {
        error: refusal.to_string(),
        code,
        message: refusal.to_string(),
    });
    response.set_status(status);
    response
}

/// Counts a watch while it waits.
struct Waiting(Arc<Shared>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.calls.lock().watches -= 1;
    }
}

/// The messages of one watch.
struct Feed {
    waiting: Waiting,
    changed: watch::Receiver<u64>,
    create: WatchCreate,
    next: i64,
    begun: bool,
}

impl Feed {
    fn into_stream(self) -> impl Stream<Item = std::io::Result<Bytes>> + Send {
        stream::try_unfold(self, |mut feed| async move {
            let message = feed.message().await?;
            Ok(Some((message, feed)))
        })
    }

    async fn message(&mut self) -> std::io::Result<Bytes> {
        loop {
            self.changed.borrow_and_update();
            let outage = self.waiting.0.faults.lock().outage;
            match outage {
                Outage::Refuse => return Err(std::io::ErrorKind::ConnectionReset.into()),
                Outage::Hang => {}
                Outage::None => {
                    if let Some(answer) = self.poll() {
                        return line(&Framed { result: answer });
                    }
                }
            }
            if self.changed.changed().await.is_err() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
    }

    fn poll(&mut self) -> Option<WatchAnswer> {
        let state = self.waiting.0.state.lock();
        let events = state.changes(&self.create, self.next);
        let created = !std::mem::replace(&mut self.begun, true);
        if !created && events.is_empty() {
            return None;
        }
        let header = state.header();
        if created {
            return Some(WatchAnswer {
                header,
                created,
                events: Vec::new(),
            });
        }
        self.next = header.revision.0 + 1;
        Some(WatchAnswer {
            header,
            created,
            events,
        })
    }
}

fn line(message: &impl Serialize) -> std::io::Result<Bytes> {
    let mut text = serde_json::to_vec(message)?;
    text.push(b'\n');
    Ok(text.into())
}
