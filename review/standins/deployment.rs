//! A small deployment: daemons as processes, stand-ins of the store and the servers, and the record.

use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    node::{Network, Node, ZONES},
    server::{self, Arrivals},
    store::Store,
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "b9wu3fexd9dnn2ctnfzs";
/// A key that a case may withdraw.
pub const OTHER_KEY: &str = "989anu6wsjnbanfqasnm";
pub const SAFE_PATH: &str = "/lohu930/2f";
pub const UNSAFE_PATH: &str = "/pufi791/2f";
/// The version of the configuration that is in force at the start.
pub const FIRST_VERSION: u32 = 7;
const STORE_PORT: u16 = 8669;
const SERVER_PORT: u16 = 8080;
/// The time from the start of the machines to the first request, as the users' page on the system says.
const LEAD: Duration = Duration::from_secs(8);

/// The record of a run.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(fs::File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    /// Writes a line with the seconds since the start of the run.
    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().expect("record");
        // The record is for readers; the verdict does not rest on it.
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }
}

/// What a case needs.
#[derive(Debug, Clone, Copy)]
pub struct Needs {
    pub machines: u8,
    pub servers: u8,
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
    /// The `timeoutS` of the routes.
    pub timeout_seconds: u32,
}

pub struct Deployment {
    pub nodes: Vec<Node>,
    pub store: Store,
    pub arrivals: Arrivals,
    pub record: Record,
    folder: PathBuf,
}

impl Deployment {
    /// Starts everything and waits until the daemons take requests.
    pub fn start(needs: Needs, record: Record) -> io::Result<Self> {
        let network = Network::find().ok_or(io::Error::from(io::ErrorKind::AddrInUse))?;
        let folder = std::env::temp_dir().join(format!("sg-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (store, arrivals) = (Store::default(), Arrivals::default());
        let store_address = network.address(200, STORE_PORT);
        store.serve(store_address)?;
        let first = config(FIRST_VERSION, needs.timeout_seconds, &[KEY, OTHER_KEY], &[]);
        store.put("op/config", &first);
        for index in 0..needs.servers {
            let options = server::Options {
                id: format!("i-{index:02}"),
                service: "huvo11a",
                zone: ZONES[usize::from(index) % ZONES.len()].0.to_owned(),
                address: network.address(100 + index, SERVER_PORT),
                slots: needs.slots,
                queue: needs.queue,
                work: needs.work,
                reply_bytes: 1_000,
            };
            server::start(options, &store, &arrivals)?;
        }
        let nodes =
            (1..=needs.machines).map(|host| Node::new(network, host, store_address, &folder));
        let mut nodes: Vec<Node> = nodes.collect::<io::Result<_>>()?;
        for node in &mut nodes {
            node.start()?;
            record.line(format!("{} started", node.name));
        }
        let traffic_from = Instant::now() + LEAD;
        let deployment = Self {
            nodes,
            store,
            arrivals,
            record,
            folder,
        };
        client::sleep_until(traffic_from);
        for node in &deployment.nodes {
            let is_ready = || is_ready(node);
            if !wait_until(Duration::from_secs(5), is_ready) {
                deployment
                    .record
                    .line(format!("{} is not ready", node.name));
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        deployment.record.line("all machines ready");
        Ok(deployment)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        // A folder that is left behind lies below the system's folder for temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns whether the daemon says that it takes requests.
pub fn is_ready(node: &Node) -> bool {
    let head = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    client::exchange(node.ready(), head, b"").is_ok_and(|(head, _)| head.status() == 200)
}

pub fn wait_until(most: Duration, mut check: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + most;
    loop {
        if check() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// A version of the configuration, with the limits of the users' example and no quota that the clients reach.
pub fn config(version: u32, timeout_seconds: u32, keys: &[&str], more_routes: &[String]) -> String {
    let keys = keys.iter().map(|key| format!("\"{key}\""));
    let keys = keys.collect::<Vec<_>>().join(",");
    let mut routes = vec![
        route("r-427eya6", "/pufi791/", "unsafe", timeout_seconds),
        route("r-puxsr7i", "/lohu930/", "safe", timeout_seconds),
    ];
    routes.extend_from_slice(more_routes);
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"services":[{{"name":"huvo11a","healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":13.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":[{{"name":"kaje80","apiKeys":[{keys}],"priority":1,"ratePerS":4000,"burst":4000,"homeRegions":[]}}],"hosts":[{{"hostname":"{HOST}","paths":[{routes}]}}]}}"#
    )
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_seconds: u32) -> String {
    format!(
        r#"{{"name":"{name}","pathPrefix":"{prefix}","type":"{kind}","timeoutS":{timeout_seconds},"targetLatencyS":0.8,"priority":1,"service":"huvo11a","attempts":2,"public":false,"sessionAffinity":true,"homeRegions":[]}}"#
    )
}
