//! The compared servers and the simulated services that they need.

use std::net::SocketAddr;

use poem::{Endpoint, IntoResponse, Request, Response, Server, listener::TcpListener};
use sg_clock::Timer;
use sg_entry::{Settings, daemon};
use sg_fake::{
    list, store,
    target::{self, Cold},
};
use sg_report::status::{self, State};
use sg_store::{change, head::Date, http, publish};
use sg_tree::{Digest, Node};
use sg_types::prelude::*;
use tokio::runtime::{Builder, Runtime};

/// Key of the only account.
pub const KEY: &str = "the-key-of-the-only-account";
/// Port of the plain proxy.
pub const PROXY: u16 = 8000;
/// Port of the entry.
pub const ENTRY: u16 = 8100;

const PEER: u16 = 8200;
const ADMIN: u16 = 8300;
const STORE: u16 = 8401;
const LIST: u16 = 8402;
const TARGET: u16 = 9000;
/// Worker threads of the entry, and of the plain proxy.
const SERVER_THREADS: usize = 2;
/// Worker threads of the target.
const TARGET_THREADS: usize = 3;
/// Slots of the target, more than the callers use.
const SLOTS: u32 = 2_000;
/// Time limit for the entry to start serving.
const START_TIMEOUT: Span = Span::from_secs(30);

/// Running servers. Dropping the value stops them.
#[derive(Debug)]
pub struct Fleet {
    runtimes: Vec<Runtime>,
    _store: store::Server,
    _list: list::Server,
}

/// Returns an address on the loopback network of this example.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 93, 0, 1], port))
}

/// Creates a runtime with `count` worker threads.
pub fn runtime(count: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    let runtime = builder.worker_threads(count).enable_all().build();
    runtime.expect("a runtime")
}

impl Fleet {
    /// Starts all servers and waits until the entry serves.
    pub async fn start() -> Self {
        let store = store::Options {
            listen: address(STORE),
            seed: 1,
        };
        let store = store::Server::start(store).await.expect("a store");
        let settings = settings();
        let list = list::Options {
            listen: address(LIST),
            members: vec![member(&settings)],
            lag: Span::from_millis(500),
        };
        let list = list::Server::start(list).await.expect("a list");
        publish(store.address()).await;
        let (targets, proxy, entry) = (
            runtime(TARGET_THREADS),
            runtime(SERVER_THREADS),
            runtime(SERVER_THREADS),
        );
        targets.spawn(async {
            let _target = target::Server::start(target_options()).await;
            std::future::pending::<()>().await;
        });
        proxy.spawn(Server::new(TcpListener::bind(address(PROXY))).run(Proxy::new()));
        entry.spawn(daemon::run_until(settings, std::future::pending()));
        wait_until_serving().await;
        Self {
            runtimes: vec![targets, proxy, entry],
            _store: store,
            _list: list,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

fn settings() -> Settings {
    let text = serde_json::json!({
        "instance": "entry-0", "domain": "n1", "region": "north",
        "serve": address(ENTRY), "peer": address(PEER), "admin": address(ADMIN),
        "store": [address(STORE)], "instances": address(LIST),
    });
    Settings::parse(text.to_string().as_bytes(), "settings").expect("good settings")
}

fn member(settings: &Settings) -> list::Member {
    list::Member {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        serve: settings.serve,
        peer: settings.peer,
        admin: settings.admin,
        leaving: false,
    }
}

fn target_options() -> target::Options {
    target::Options {
        name: id::Target::new("t0").expect("a name"),
        listen: address(TARGET),
        slots: SLOTS,
        service_time: Span::ZERO,
        cold: Cold {
            span: Span::ZERO,
            factor: 1.0,
        },
        lag: Span::from_millis(100),
        seed: 1,
    }
}

async fn publish(store: SocketAddr) {
    let tree = serde_json::json!({
        "fleet": {"slots": 1},
        "regions": {"north": {"domains": {"n1": {}}}},
        "services": {"desk": {
            "service-time": "5ms",
            "targets": {"t0": {"address": address(TARGET), "domain": "n1", "slots": SLOTS}},
            "split": {"north": {"weight": "100%"}},
            "routes": {"read": {"path": "/read", "repeatable": "yes"}}}},
        "accounts": {"a": {"rate": "200000/s", "burst": 200_000, "queue-limit": 1000,
            "keys": {"k1": {"digest": Digest::of(KEY).to_string()}}}},
    });
    let tree = Node::from_json(tree.to_string()).expect("a tree");
    let options = publish::Options {
        base: Revision::default(),
        author: "trial".into(),
        note: "".into(),
        change: change::Id::random(),
        time: Date::default(),
    };
    let store = http::Options::new(vec![store]);
    let store = http::Client::new(store, Timer::new()).expect("a client");
    let published = publish::publish(&store, &tree, options).await;
    published.expect("published");
}

/// Waits until the entry serves every route and holds its share of the budgets.
async fn wait_until_serving() {
    let timer = Timer::new();
    let deadline = timer.now() + START_TIMEOUT;
    while !is_serving().await {
        assert!(timer.now() < deadline, "the entry did not start to serve");
        timer.sleep(Span::from_millis(50)).await;
    }
}

async fn is_serving() -> bool {
    let url = format!("http://{}/status", address(ADMIN));
    let Ok(response) = reqwest::get(url).await else {
        return false;
    };
    let status = response.json::<status::Instance>().await;
    status.is_ok_and(|status| status.confirmed && status.state == State::Serving)
}

/// Forwards requests with the same two HTTP libraries, and streams the bodies in both directions.
struct Proxy(reqwest::Client);

impl Proxy {
    fn new() -> Self {
        let client = reqwest::Client::builder().no_proxy().build();
        Self(client.expect("a client"))
    }
}

impl Endpoint for Proxy {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let url = format!("http://{}{}", address(TARGET), request.uri());
        let mut headers = request.headers().clone();
        headers.remove(poem::http::header::HOST);
        let method = request.method().clone();
        let body = reqwest::Body::wrap_stream(request.into_body().into_bytes_stream());
        let upstream = self.0.request(method, url).headers(headers).body(body);
        let upstream = upstream.send().await.map_err(poem::error::BadGateway)?;
        let status = upstream.status();
        let headers = upstream.headers().clone();
        let stream =
            futures_util::TryStreamExt::map_err(upstream.bytes_stream(), std::io::Error::other);
        let mut response = poem::Body::from_bytes_stream(stream).into_response();
        response.set_status(status);
        *response.headers_mut() = headers;
        Ok(response)
    }
}
