//! A complete fleet in one process over loopback, with simulated platform services and targets.

use std::net::SocketAddr;

use sg_clock::Timer;
use sg_entry::{Settings, daemon};
use sg_fake::{
    list, store,
    target::{self, Cold},
};
use sg_report::status::{self, State};
use sg_store::{change, head::Date, http, publish};
use sg_tree::Node;
use sg_types::prelude::*;
use tokio::{
    runtime::{Builder, Runtime},
    sync::oneshot,
    task::JoinHandle,
};

/// Number of entries in a fleet.
pub const ENTRIES: usize = 7;
/// Time limit for each condition that a test waits for.
const TIMEOUT: Span = Span::from_secs(60);

/// Worker threads of each entry.
const THREADS: usize = 2;

/// A running entry on its own runtime, so that a crash ends all of its tasks.
#[derive(Debug)]
pub struct Entry {
    /// Settings of the entry.
    pub settings: Settings,
    stop: Option<oneshot::Sender<()>>,
    runtime: Option<Runtime>,
    task: JoinHandle<Result<(), daemon::Error>>,
}

/// A complete fleet. Dropping the fleet stops it.
#[derive(Debug)]
pub struct Fleet {
    /// Simulated store.
    pub store: store::Server,
    // Kept so that the server keeps running.
    _list: list::Server,
    /// Simulated targets.
    pub targets: Vec<target::Server>,
    /// Running entries.
    pub entries: Vec<Entry>,
    /// Timer service.
    pub timer: Timer,
    /// HTTP client of a caller.
    pub http: reqwest::Client,
    revision: Revision,
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header.
    pub outcome: String,
    /// Value of the reason header.
    pub reason: String,
    /// New ticket, if the response contains one.
    pub ticket: Option<String>,
    /// Response body.
    pub body: String,
}

fn address(net: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 91, net, 1], port))
}

fn settings(net: u8, index: usize) -> Settings {
    let port = |base: u16| address(net, base + index as u16);
    let (region, domain) = location(index);
    let text = serde_json::json!({
        "instance": format!("entry-{index}"), "domain": domain, "region": region,
        "serve": port(8100), "peer": port(8200), "admin": port(8300),
        "store": [address(net, 8401)], "instances": address(net, 8402),
    });
    Settings::parse(text.to_string().as_bytes(), "settings").expect("good settings")
}

fn location(index: usize) -> (&'static str, &'static str) {
    [
        ("north", "n1"),
        ("north", "n2"),
        ("south", "s1"),
        ("south", "s2"),
    ][index % 4]
}

fn tree(targets: &[target::Server]) -> Node {
    let domains = ["n1", "n2", "s1", "s2"];
    let targets: serde_json::Map<String, serde_json::Value> = targets
        .iter()
        .enumerate()
        .map(|(index, server)| {
            let value =
                serde_json::json!({"address": server.address(), "domain": domains[index % 4]});
            (format!("t{index}"), value)
        })
        .collect();
    let mut tree = serde_json::json!({
        "fleet": {"slots": ENTRIES, "lookup-cache": "200ms", "drain-grace": "2s"},
        "regions": {"north": {"domains": {"n1": {"blocks": "10.1.0.0/16"}, "n2": {}}},
                    "south": {"domains": {"s1": {}, "s2": {}}}},
        "services": {"desk": {
            "split": {"north": {"weight": "50%"}, "south": {"weight": "50%"}},
            "routes": {
                "list": {"path": "/list", "access": "open", "repeatable": "yes"},
                "mine": {"path": "/mine", "repeatable": "yes"},
                "book": {"path": "/book"}}}},
        "accounts": {"rate": "200/s", "burst": 400,
            "ann": {"keys": {"k1": {"digest": sg_tree::Digest::of("ann-key").to_string()}}},
            "bob": {"keys": {"k1": {"digest": sg_tree::Digest::of("bob-key").to_string()}}}},
    });
    let mut targets = targets;
    targets.insert("slots".to_owned(), 20.into());
    tree["services"]["desk"]["targets"] = targets.into();
    Node::from_json(tree.to_string()).expect("a tree")
}

impl Fleet {
    /// Starts a fleet on the loopback network `net`. Each test uses a network of its own.
    pub async fn start(net: u8) -> Self {
        let store = store::Options {
            listen: address(net, 8401),
            seed: 1,
        };
        let store = store::Server::start(store).await.expect("a store");
        let members = (0..ENTRIES).map(|index| member(&settings(net, index)));
        let list = list::Options {
            listen: address(net, 8402),
            members: members.collect(),
            lag: Span::from_millis(500),
        };
        let list = list::Server::start(list).await.expect("a list");
        let mut targets = Vec::new();
        for index in 0..8_u16 {
            let options = target_options(net, index);
            targets.push(target::Server::start(options).await.expect("a target"));
        }
        let timer = Timer::new();
        let mut fleet = Self {
            store,
            _list: list,
            targets,
            entries: Vec::new(),
            timer,
            http: reqwest::Client::new(),
            revision: Revision::default(),
        };
        let tree = tree(&fleet.targets);
        fleet.publish(&tree).await;
        for index in 0..ENTRIES {
            fleet.entries.push(Entry::start(settings(net, index)));
        }
        for index in 0..ENTRIES {
            fleet.wait_until_serving(index).await;
        }
        fleet
    }

    /// Publishes a tree as the next revision.
    pub async fn publish(&mut self, tree: &Node) {
        let options = publish::Options {
            base: self.revision,
            author: "test".into(),
            note: "".into(),
            change: change::Id::random(),
            time: Date::default(),
        };
        let store = http::Options::new(vec![self.store.address()]);
        let store = http::Client::new(store, self.timer.clone()).expect("a client");
        let outcome = publish::publish(&store, tree, options)
            .await
            .expect("published");
        self.revision = outcome.head.revision;
    }

    /// Returns the initial tree of the fleet.
    pub fn tree(&self) -> Node {
        tree(&self.targets)
    }

    /// Returns the status of an entry, or `None` if the entry does not respond.
    pub async fn status(&self, index: usize) -> Option<status::Instance> {
        let url = format!("http://{}/status", self.entries[index].settings.admin);
        self.http.get(url).send().await.ok()?.json().await.ok()
    }

    /// Returns the detailed report of an entry, for messages of failed assertions.
    pub async fn report(&self, index: usize) -> String {
        let url = format!("http://{}/report", self.entries[index].settings.admin);
        match self.http.get(url).send().await {
            Ok(response) => response.text().await.unwrap_or_default(),
            Err(error) => error.to_string(),
        }
    }

    /// Waits until an entry serves every route and holds its share of the budgets.
    pub async fn wait_until_serving(&self, index: usize) {
        let is_serving = || async {
            let status = self.status(index).await;
            status.is_some_and(|status| status.confirmed && status.state == State::Serving)
        };
        self.wait_until("an entry serves", is_serving).await;
    }

    /// Waits until `condition` holds.
    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        what: &str,
        condition: impl Fn() -> F,
    ) {
        let deadline = self.timer.now() + TIMEOUT;
        while !condition().await {
            assert!(self.timer.now() < deadline, "{what}: waited for {TIMEOUT}");
            self.timer.sleep(Span::from_millis(50)).await;
        }
    }

    /// Sends a GET request to entry `index`. Returns `None` if the connection fails.
    pub async fn get(&self, index: usize, path: &str, key: Option<&str>) -> Option<Response> {
        let url = format!("http://{}{path}", self.entries[index].settings.serve);
        Response::of(authorize(self.http.get(url), key)).await
    }

    /// Looks up the entries for a caller at `address` on entry `index`.
    pub async fn lookup(&self, index: usize, address: &str) -> Option<sg_lookup::Answer> {
        let serve = self.entries[index].settings.serve;
        let url = format!("http://{serve}/.sg/lookup?service=desk&address={address}");
        self.http.get(url).send().await.ok()?.json().await.ok()
    }

    /// Sends a POST request to entry `index`. Returns `None` if the connection fails.
    pub async fn post(&self, index: usize, key: &str, ticket: Option<&str>) -> Option<Response> {
        let url = format!("http://{}/book", self.entries[index].settings.serve);
        let mut request = authorize(self.http.post(url), Some(key)).body("fitting=7");
        if let Some(ticket) = ticket {
            request = request.header("idempotency-key", ticket);
        }
        Response::of(request).await
    }

    /// Returns the number of requests of `path` that targets executed.
    pub fn runs_of(&self, path: &str) -> usize {
        let runs = self.targets.iter().map(|target| target.records().runs);
        runs.flatten().filter(|run| run.path == path).count()
    }
}

fn target_options(net: u8, index: u16) -> target::Options {
    target::Options {
        name: id::Target::new(format!("t{index}")).expect("a name"),
        listen: address(net, 9000 + index),
        slots: 20,
        service_time: Span::from_millis(2),
        cold: Cold {
            span: Span::ZERO,
            factor: 1.0,
        },
        lag: Span::from_millis(100),
        seed: u64::from(index),
    }
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

fn authorize(request: reqwest::RequestBuilder, key: Option<&str>) -> reqwest::RequestBuilder {
    match key {
        Some(key) => request.bearer_auth(key),
        None => request,
    }
}

impl Response {
    async fn of(request: reqwest::RequestBuilder) -> Option<Self> {
        let response = request.send().await.ok()?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Some(Self {
            status: response.status().as_u16(),
            outcome: header("sg-outcome").unwrap_or_default(),
            reason: header("sg-reason").unwrap_or_default(),
            ticket: header("sg-ticket"),
            body: response.text().await.ok()?,
        })
    }
}

impl Entry {
    /// Starts an entry.
    pub fn start(settings: Settings) -> Self {
        let (stop, stopped) = oneshot::channel();
        let requested = async move {
            // An error means that the test dropped the entry.
            let _ = stopped.await;
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .expect("a runtime");
        let task = runtime.spawn(daemon::run_until(settings.clone(), requested));
        Self {
            settings,
            stop: Some(stop),
            runtime: Some(runtime),
            task,
        }
    }

    /// Aborts all tasks of the entry, as a crash does.
    pub fn crash(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the entry gracefully and waits for its end.
    pub async fn stop(&mut self) -> Result<(), daemon::Error> {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let ended = (&mut self.task).await.expect("the daemon did not panic");
        self.crash();
        ended
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.crash();
    }
}
