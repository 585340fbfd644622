//! Instance with scripted targets on raw sockets, so that a test controls every byte.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use sg_catalog::{
    Account, Catalog, KeyDigest, Route,
    catalog::{Limits, Service},
    route::WeightedService,
};
use sg_clock::Timer;
use sg_place::{
    Target,
    location::{Location, RoundTrips},
    relay::Peer,
    retry,
};
use sg_proxy::{
    Core,
    core::{Fleet, Options, Signal},
    memory,
    metrics::Metrics,
    policy,
    server::{self, Phase},
};
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, watch},
};

use crate::dialect::TestDialect;

pub const SERVICE: &str = "portal";
pub const KEY: &str = "plain-key";
/// Size of a send buffer that does not take a whole large response.
const SMALL_SEND_BUFFER: usize = 32 << 10;

/// Size of a write of a flood without pauses.
const FLOOD_WRITE: usize = 64 << 10;

/// Behaviour of a scripted target for one request.
#[derive(Debug, Clone)]
pub enum Step {
    /// Writes these bytes; `{id}` is replaced by the id of the request.
    Respond(&'static str),
    /// Writes these bytes and closes the connection.
    RespondAndClose(&'static str),
    /// Writes these bytes and resets the connection.
    RespondAndReset(&'static str),
    /// Writes the first bytes, and the second ones after a delay in milliseconds.
    RespondTwice(&'static str, u64, &'static str),
    /// Writes these bytes after a delay in milliseconds.
    RespondAfter(u64, &'static str),
    /// Writes the first bytes, then the second ones again and again, with a pause in milliseconds in
    /// between, until the connection is closed.
    Flood(&'static str, &'static str, u64),
    /// Never responds.
    Silent,
}

/// Scripted target.
pub struct ScriptedTarget {
    pub address: SocketAddr,
    /// Complete requests that the target read.
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Number of connections that were closed by the instance while a request was unanswered.
    pub aborted: Arc<AtomicUsize>,
    pub connections: Arc<AtomicUsize>,
    /// Number of floods that the instance ended by closing the connection.
    closed_floods: Arc<AtomicUsize>,
}

/// Complete response with the status 200.
pub const OK: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 4\r\n\r\nfine";

impl ScriptedTarget {
    /// Starts a target that takes one step per request and repeats the last step.
    pub async fn start(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::start_on(listener, steps)
    }

    /// Starts such a target that accepts connections from `listener`.
    pub fn start_on(listener: TcpListener, steps: Vec<Step>) -> Self {
        let target = Self {
            address: listener.local_addr().expect("an address"),
            requests: Arc::default(),
            aborted: Arc::default(),
            connections: Arc::default(),
            closed_floods: Arc::default(),
        };
        let step_index = Arc::new(AtomicUsize::new(0));
        let (requests, aborted) = (target.requests.clone(), target.aborted.clone());
        let (connections, closed_floods) =
            (target.connections.clone(), target.closed_floods.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                let script = Script {
                    steps: steps.clone(),
                    step_index: step_index.clone(),
                    requests: requests.clone(),
                    aborted: aborted.clone(),
                    closed_floods: closed_floods.clone(),
                };
                tokio::spawn(script.run(stream));
            }
        });
        target
    }

    /// Returns a target whose listener takes no more connections.
    pub async fn unreachable() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any = "127.0.0.1:0".parse().expect("an address");
        socket.bind(any).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            // The connections fill the backlog for as long as the listener is there.
            let connections = (0..8).map(|_| TcpStream::connect(address));
            let _connections = futures_util::future::join_all(connections).await;
            drop(listener);
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
        Self {
            address,
            requests: Arc::default(),
            aborted: Arc::default(),
            connections: Arc::default(),
            closed_floods: Arc::default(),
        }
    }

    pub fn closed_floods(&self) -> usize {
        self.closed_floods.load(Ordering::SeqCst)
    }

    pub fn count(&self) -> usize {
        self.requests.lock().len()
    }
}

struct Script {
    steps: Vec<Step>,
    step_index: Arc<AtomicUsize>,
    requests: Arc<Mutex<Vec<String>>>,
    aborted: Arc<AtomicUsize>,
    closed_floods: Arc<AtomicUsize>,
}

impl Script {
    async fn run(self, mut stream: TcpStream) {
        while let Some(request) = read(&mut stream).await {
            let id = header(&request, "id").unwrap_or_default();
            self.requests.lock().push(request);
            let step_index = self.step_index.fetch_add(1, Ordering::SeqCst);
            let step = self.steps[step_index.min(self.steps.len() - 1)].clone();
            match step {
                Step::Respond(text) => {
                    if respond(&mut stream, text, &id, 0).await.is_err() {
                        return;
                    }
                }
                Step::RespondTwice(first, millis, second) => {
                    if respond(&mut stream, first, &id, 0).await.is_err()
                        || respond(&mut stream, second, &id, millis).await.is_err()
                    {
                        return;
                    }
                }
                Step::RespondAfter(millis, text) => {
                    if respond(&mut stream, text, &id, millis).await.is_err() {
                        return;
                    }
                }
                Step::RespondAndClose(text) => {
                    let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                    return;
                }
                Step::RespondAndReset(text) => {
                    let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                    stream.set_zero_linger().expect("a socket");
                    return;
                }
                Step::Flood(first, again, pause) => {
                    let first = first.replace("{id}", &id);
                    flood(&mut stream, &first, again, pause).await;
                    self.closed_floods.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                Step::Silent => {
                    let mut byte = [0];
                    if matches!(stream.read(&mut byte).await, Ok(0) | Err(_)) {
                        self.aborted.fetch_add(1, Ordering::SeqCst);
                    }
                    return;
                }
            }
        }
    }
}

/// Writes a response to the request `id` after a delay.
async fn respond(stream: &mut TcpStream, text: &str, id: &str, millis: u64) -> std::io::Result<()> {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
    stream.write_all(text.replace("{id}", id).as_bytes()).await
}

/// Writes `first`, then `again` without end, until the connection is closed.
async fn flood(stream: &mut TcpStream, first: &str, again: &str, pause_millis: u64) {
    // Fewer, larger writes keep the test short.
    let again = match pause_millis {
        0 => again.repeat(FLOOD_WRITE / again.len()),
        _ => again.to_owned(),
    };
    let mut bytes = first.as_bytes();
    while stream.write_all(bytes).await.is_ok() {
        bytes = again.as_bytes();
        if pause_millis > 0 {
            tokio::time::sleep(Duration::from_millis(pause_millis)).await;
        }
    }
}

/// Reads one request including its body.
pub async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").map_or(0, |l| l.parse().expect("digits"));
            if body.len() >= length {
                return Some(text);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

pub fn header(text: &str, name: &str) -> Option<String> {
    text.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Instance that serves callers.
pub struct Instance {
    pub core: Arc<Core<TestDialect>>,
    pub address: SocketAddr,
    pub phase: watch::Sender<Phase>,
    /// Messages for other instances.
    pub signals: tokio::sync::Mutex<mpsc::UnboundedReceiver<Signal>>,
}

fn service() -> Service {
    Service {
        name: SERVICE.parse().expect("a name"),
        health_path: "/health".into(),
        max_connections: 100,
        cold_rate: 8.0,
        cold_duration: Span::ZERO,
    }
}

pub fn route(name: &str, prefix: &str, idempotent: bool) -> Route {
    Route {
        name: name.parse().expect("a name"),
        path_prefix: prefix.into(),
        idempotent,
        large_responses: false,
        max_targets: 2,
        timeout: Some(Span::from_millis(1_500)),
        latency_objective: Span::from_millis(100),
        priority: 0,
        allows_anonymous: true,
        session_affinity: true,
        home_regions: Arc::from([]),
        services: Arc::from([WeightedService {
            service: SERVICE.parse().expect("a name"),
            weight: 1,
        }]),
    }
}

/// Returns a catalog with the open routes `/safe/` and `/once/`, and `/keyed/` for an account with
/// a rate of 5 requests per second.
pub fn catalog() -> Catalog {
    catalog_at(1)
}

/// Returns the next revision of [`catalog`], with the open route `/added/`.
pub fn catalog_with_added_route() -> Catalog {
    let mut catalog = catalog_at(2);
    let added = route("added", "/added/", true);
    catalog.add_route("h", added).expect("a known service");
    catalog
}

/// Returns the next revision of [`catalog`], with an open route with large responses.
pub fn catalog_with_downloads() -> Catalog {
    let mut catalog = catalog_at(2);
    let download = Route {
        large_responses: true,
        ..route("download", "/download/", true)
    };
    catalog.add_route("h", download).expect("a known service");
    catalog
}

fn catalog_at(revision: u64) -> Catalog {
    let limits = Limits {
        max_body: Bytes::new(64),
        ..Limits::default()
    };
    catalog_with(revision, limits)
}

/// Returns the catalog with other limits.
pub fn catalog_with(revision: u64, limits: Limits) -> Catalog {
    let mut catalog = Catalog::new(Revision::new(revision), limits);
    catalog.add_service(service());
    let account = Account {
        name: "kaje80".parse().expect("a name"),
        rate: Some(Rate::per_second(5)),
        burst: 2,
        priority: None,
        home_regions: Arc::from([]),
    };
    catalog
        .add_account(account, [KeyDigest::from_key(KEY)])
        .expect("one account");
    let keyed = Route {
        allows_anonymous: false,
        ..route("keyed", "/keyed/", false)
    };
    for route in [
        route("safe", "/safe/", true),
        route("once", "/once/", false),
        keyed,
    ] {
        catalog.add_route("h", route).expect("a known service");
    }
    catalog
}

impl Instance {
    /// Starts an instance whose targets are `targets`, named `t0`, `t1` and so on.
    pub async fn start(targets: &[&ScriptedTarget]) -> Self {
        Self::start_limited(targets, 1_000).await
    }

    /// Starts an instance that serves the requests of at most `max_connections` connections.
    pub async fn start_limited(targets: &[&ScriptedTarget], max_connections: usize) -> Self {
        let instance = Self::start_empty(max_connections, None).await;
        instance.load(targets);
        instance
    }

    /// Starts an instance whose sockets to callers buffer little.
    pub async fn start_with_small_buffers(targets: &[&ScriptedTarget]) -> Self {
        let instance = Self::start_empty(1_000, Some(SMALL_SEND_BUFFER)).await;
        instance.load(targets);
        instance
    }

    /// Starts an instance without a catalog and targets.
    pub async fn start_unloaded() -> Self {
        Self::start_empty(1_000, None).await
    }

    /// Gives the instance its catalog and targets.
    pub fn load(&self, targets: &[&ScriptedTarget]) {
        assert!(self.core.replace_catalog(catalog()));
        for (index, scripted) in targets.iter().enumerate() {
            let target = target(&format!("t{index}"), scripted.address);
            self.core.upsert_target(target);
        }
        self.core.set_loaded();
    }

    async fn start_empty(max_connections: usize, send_buffer: Option<usize>) -> Self {
        let timer = Timer::new();
        let instance: id::Instance = "front-1".parse().expect("a name");
        let location = Location {
            domain: "west-a".parse().expect("a name"),
            region: "west".parse().expect("a name"),
            instances: Arc::from([instance.clone()]),
            instance,
            instance_regions: IndexMap::new(),
            round_trips: RoundTrips::assumed(0.001, 0.003, 0.07),
        };
        let options = Options {
            retry: retry::Bounds {
                ratio: 0.2,
                slack: 60.0,
                window: Span::from_secs(10),
            },
            cold_factor: 1.0,
            cold_slack: 0.0,
            initial_cold_fraction: 1.0,
            location,
            max_idle_connections: 64,
            memory: memory::Limits {
                total: Bytes::new(16 << 20),
                responses: Bytes::new(8 << 20),
            },
            source: None,
        };
        let metrics = Metrics::register(&prometheus::Registry::new()).expect("counters");
        let (signals, signal_receiver) = mpsc::unbounded_channel();
        let core = Arc::new(Core::new(
            TestDialect,
            timer.clone(),
            metrics,
            options,
            signals,
        ));
        core.update_fleet(Fleet {
            size: 1,
            budget_fraction: 1.0,
            ..Fleet::default()
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        if let Some(size) = send_buffer {
            // Accepted sockets take over the size of the listener.
            let buffer_size = socket2::SockRef::from(&listener).set_send_buffer_size(size);
            buffer_size.expect("a buffer size");
        }
        let address = listener.local_addr().expect("an address");
        let (phase, phase_receiver) = watch::channel(Phase::Open);
        let options = server::Options {
            max_head_bytes: 16 << 10,
            header_timeout: Duration::from_secs(20),
            max_connections,
            early_ends: core.metrics.early_ends.clone(),
            unanswered: core.metrics.unanswered.clone(),
            started_early: core.metrics.started_early.clone(),
            budget: core.memory.clone(),
        };
        let policy = policy::Callers(core.clone());
        let handler_core = core.clone();
        let handler = move |request| {
            let core = handler_core.clone();
            async move { sg_proxy::serve(&core, request).await }
        };
        tokio::spawn(server::run(
            listener,
            timer,
            options,
            phase_receiver,
            policy,
            handler,
        ));
        Self {
            core,
            address,
            phase,
            signals: signal_receiver.into(),
        }
    }

    /// Makes the instance find out that it is cut off from all targets.
    pub fn cut_off(&self) {
        self.core.record_neighbor_cut();
        self.core.record_reach_round(false);
    }

    /// Makes the instances at `addresses` the peers to which requests may be passed.
    pub fn set_peers(&self, addresses: &[SocketAddr]) {
        let peers = addresses.iter().map(|address| Peer {
            instance: format!("peer-{}", address.port()).parse().expect("a name"),
            domain: "west-b".parse().expect("a name"),
            region: "west".parse().expect("a name"),
            address: *address,
        });
        self.core.update_fleet(Fleet {
            peers: peers.collect(),
            size: 1,
            budget_fraction: 1.0,
            ..Fleet::default()
        });
    }

    /// Starts to drain; requests that are in flight after `span` are answered by the instance.
    pub fn drain_for(&self, span: Span) {
        let core = &self.core;
        core.start_draining(core.timer.now() + span);
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }

    /// Sends one request on its own connection and reads until the connection ends.
    pub async fn send(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.expect("a write");
        let mut response = Vec::new();
        // After a reset, the bytes received before it are returned.
        let _ = stream.read_to_end(&mut response).await;
        String::from_utf8(response).expect("text")
    }
}

pub fn target(name: &str, address: SocketAddr) -> Target {
    Target {
        id: name.parse().expect("a name"),
        service: SERVICE.parse().expect("a name"),
        address,
        domain: "west-a".parse().expect("a name"),
        region: "west".parse().expect("a name"),
        slots: 4,
        draining: false,
        started_at_millis: 1,
        sequence: 1,
        cold_for: Span::ZERO,
    }
}

/// Returns a GET request that closes its connection after the response.
pub fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: h\r\nid: {id}\r\ndeadline: 1000\r\nconnection: close\r\n\r\n"
    )
}

pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nid: {id}\r\ndeadline: 1000\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

pub fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1).unwrap_or("0");
    code.parse().expect("a status")
}
