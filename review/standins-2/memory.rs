//! A crowd of clients with bodies that stop just short of their end, against the memory of a machine.

use std::{
    io::{self, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    crowd::{self, Counts, Plan},
    http,
    node::{Deployment, Limits, Node, Ports},
    record::Record,
    server::Server,
    store::Store,
};

/// Zones with their regions, those of the site.
const ZONES: [(&str, &str); 6] = [
    ("ub-east", "ulaanbaatar"),
    ("dk-north", "darkhan"),
    ("er-west", "erdenet"),
    ("ub-west", "ulaanbaatar"),
    ("dk-south", "darkhan"),
    ("er-east", "erdenet"),
];
/// The limits of the site's smallest machines.
const LIMITS: Limits = Limits {
    memory_mb: 260,
    max_fds: 4_100,
};
/// Number of machines that a crowd attacks, the first ones.
const ATTACKED: usize = 2;
/// The times after which a machine counts as failing.
const ENDS: u32 = 3;
/// How long the load lasts at most.
const LOAD_TIME: Duration = Duration::from_secs(60);
/// The interval at which the platform looks at the memory of its processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Plays the case. Returns whether the rule held.
///
/// # Errors
/// Returns an error if the case could not run.
pub fn play(folder: &str, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(format!("{folder}/record.txt"))?;
    let scratch = std::env::temp_dir().join(format!("sg-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch)?;
    let result = play_in(&scratch, &record, has_trouble);
    // What is left over does no harm.
    let _ = std::fs::remove_dir_all(&scratch);
    result
}

fn play_in(scratch: &std::path::Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let network = (std::process::id() % 200) as u8 + 20;
    let ip = |group: u8, host: u8| IpAddr::V4(Ipv4Addr::new(127, network, group, host));
    let store_address = SocketAddr::new(ip(1, 1), free_port(ip(1, 1))?);
    let store = Store::default();
    store.serve(store_address)?;
    store.put("op/config", &configuration());
    for number in 0..18_u8 {
        let server = Server {
            id: format!("i-{number:02}"),
            service: if number < 12 { "trial-desk" } else { "order-yard" },
            zone: ZONES[usize::from(number) % ZONES.len()].0,
            address: SocketAddr::new(ip(2, number + 1), 8_080),
            slots: 6,
            work: Duration::from_millis(100),
            running: Arc::default(),
            is_leaving: Arc::default(),
        };
        server.start(&store, record)?;
    }
    let deployment = Deployment {
        folder: scratch.to_owned(),
        ports: ports(ip(3, 1))?,
        store: store_address,
        seeds: (1..=3).map(|host| ip(3, host)).collect(),
        zones: ZONES.to_vec(),
    };
    let mut nodes = Vec::new();
    for number in 0..7_u8 {
        let zone = ZONES[usize::from(number) % ZONES.len()].0;
        let name = format!("front-{zone}-{}", number / 6 + 1);
        nodes.push(Node::new(&deployment, &name, zone, ip(3, number + 1), LIMITS)?);
    }
    for node in &mut nodes {
        node.start()?;
    }
    for node in &nodes {
        wait_until_ready(node)?;
    }
    record.tell(&format!("{} instances are ready", nodes.len()));
    let stop = Arc::new(AtomicBool::new(false));
    let ordinary = start_ordinary_clients(&nodes, record, &stop);
    thread::sleep(Duration::from_secs(2));
    let counts = Counts::default();
    let mut crowds = Vec::new();
    if has_trouble {
        record.tell("the crowds begin");
        for node in &nodes[..ATTACKED] {
            let (address, counts, stop) = (node.front(), counts.clone(), stop.clone());
            crowds.push(thread::spawn(move || {
                crowd::run(address, &plan(), &counts, &stop);
            }));
        }
    }
    let (ends, peaks) = watch_memory(&mut nodes, record)?;
    stop.store(true, Ordering::Relaxed);
    for thread in crowds.into_iter().chain(ordinary.threads) {
        // A client that panicked is seen in its counts.
        let _ = thread.join();
    }
    record.tell(&format!(
        "crowds: {} connections, {} bytes; ordinary requests: {} answered 200, {} not",
        counts.connections.load(Ordering::Relaxed),
        counts.bytes.load(Ordering::Relaxed),
        ordinary.served.load(Ordering::Relaxed),
        ordinary.failed.load(Ordering::Relaxed),
    ));
    let ends_of_crowds = counts.ends.lock().expect("no panic").clone();
    record.tell(&format!("connections of the crowds by their end: {ends_of_crowds:?}"));
    for (node, (ends, peak)) in nodes.iter().zip(ends.iter().zip(&peaks)) {
        record.tell(&format!(
            "{}: peak {} MiB of {} MiB, ended {ends} times for its memory",
            node.name,
            peak >> 20,
            node.limits.memory_mb
        ));
    }
    let failing = ends.iter().filter(|ends| **ends >= ENDS).count();
    let holds = failing < 2;
    record.tell(if holds {
        "the rule held"
    } else {
        "Fault: processes of two machines ended three times for their memory"
    });
    Ok(holds)
}

/// Kills each process that exceeds its machine's memory and starts it again, as the platform does. Returns how
/// often that happened, and the largest resident memory, by machine.
fn watch_memory(nodes: &mut [Node], record: &Record) -> io::Result<(Vec<u32>, Vec<u64>)> {
    let mut ends = vec![0; nodes.len()];
    let mut peaks = vec![0; nodes.len()];
    let mut start_at = vec![None; nodes.len()];
    let until = Instant::now() + LOAD_TIME;
    let mut told_at = Instant::now();
    while Instant::now() < until && ends.iter().filter(|ends| **ends >= ENDS).count() < ATTACKED {
        thread::sleep(LOOK_INTERVAL);
        let now = Instant::now();
        for (index, node) in nodes.iter_mut().enumerate() {
            if start_at[index].is_some_and(|at| at <= now) {
                start_at[index] = None;
                node.start()?;
                record.note(&format!("platform starts {}", node.name));
            }
            if node.has_ended() {
                record.tell(&format!("{} ended by itself", node.name));
                ends[index] += 1;
                start_at[index] = Some(now + RESTART_DELAY);
            }
            let Some(bytes) = node.resident_bytes() else {
                continue;
            };
            peaks[index] = bytes.max(peaks[index]);
            if bytes > node.limits.memory_mb << 20 {
                node.kill();
                ends[index] += 1;
                start_at[index] = Some(now + RESTART_DELAY);
                record.tell(&format!(
                    "platform kills {} at {} MiB of {} MiB",
                    node.name,
                    bytes >> 20,
                    node.limits.memory_mb
                ));
            }
        }
        if now.duration_since(told_at) >= Duration::from_secs(5) {
            told_at = now;
            let resident = nodes.iter().map(|node| node.resident_bytes().unwrap_or(0) >> 20);
            let resident: Vec<String> = resident.map(|mb| mb.to_string()).collect();
            record.tell(&format!("resident MiB: {}", resident.join(" ")));
        }
    }
    Ok((ends, peaks))
}

/// Returns the requests of the crowds. Head and body are within the configuration's limits.
fn plan() -> Plan {
    let fields: String = (0..90)
        .map(|number| format!("X-F{number:03}: {}\r\n", "y".repeat(140)))
        .collect();
    let body_bytes = 64_000;
    Plan {
        clients: 2_000,
        head: format!(
            "POST /open/x HTTP/1.1\r\nHost: h.example\r\nX-Sassafrasgauge-Request-Id: {{id}}\r\n\
             X-Sassafrasgauge-Deadline-Ms: 2500\r\n{fields}Content-Length: {body_bytes}\r\n\r\n"
        ),
        body_bytes,
        bytes_per_second: 100e6,
    }
}

/// Returns a configuration in the form of the pages. The route for unknown clients needs no key.
fn configuration() -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\
             \"tls\":false,\"coldStartS\":3.0,\"coldPerS\":8.1}}"
        )
    };
    let route = |name: &str, path: &str, kind: &str, is_public: bool| {
        format!(
            "{{\"name\":\"{name}\",\"pathPrefix\":\"{path}\",\"type\":\"{kind}\",\"timeoutS\":1,\
             \"targetLatencyS\":0.4,\"priority\":1,\"service\":\"trial-desk\",\"attempts\":2,\
             \"public\":{is_public},\"sessionAffinity\":true,\"homeRegions\":[]}}"
        )
    };
    format!(
        "{{\"version\":7,\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"k1\"],\
         \"priority\":1,\"ratePerS\":201,\"burst\":201,\"homeRegions\":[]}}],\"hosts\":[{{\"hostname\":\"h.example\",\
         \"paths\":[{},{},{}]}}]}}",
        service("trial-desk"),
        service("order-yard"),
        route("r-read", "/read/", "safe", false),
        route("r-book", "/book/", "unsafe", false),
        route("r-open", "/open/", "unsafe", true),
    )
}

/// Returns a port that nothing listens on at `ip`.
pub fn free_port(ip: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Returns the ports of the deployment. Each deployment has a loopback network of its own.
pub fn ports(ip: IpAddr) -> io::Result<Ports> {
    Ok(Ports {
        front: free_port(ip)?,
        ready: 8_666,
        lookup: 8_665,
        control: 8_667,
        internal: 7_220,
    })
}

pub fn wait_until_ready(node: &Node) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let ready = request(node.ready(), "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        if ready.is_ok_and(|status| status == 200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(io::Error::other(format!("{} is not ready", node.name)))
}

/// Sends a request on a new connection and returns the status of the response.
pub fn request(address: SocketAddr, text: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    stream.write_all(text.as_bytes())?;
    Ok(http::read(&mut BufReader::new(stream))?.status())
}

/// The ordinary clients with their counts.
struct Ordinary {
    threads: Vec<thread::JoinHandle<()>>,
    served: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
}

/// Starts a client for each instance, which sends ten requests a second.
fn start_ordinary_clients(nodes: &[Node], record: &Record, stop: &Arc<AtomicBool>) -> Ordinary {
    let (served, failed) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    let clients = nodes.iter().enumerate().map(|(index, node)| {
        let (address, name, record, stop) =
            (node.front(), node.name.clone(), record.clone(), stop.clone());
        let (served, failed) = (served.clone(), failed.clone());
        thread::spawn(move || {
            let mut number = 0_u32;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{index:08x}{number:08x}");
                let (method, path) = if number % 2 == 0 { ("GET", "read") } else { ("POST", "book") };
                let text = format!(
                    "{method} /{path}/x HTTP/1.1\r\nHost: h.example\r\nX-Sassafrasgauge-Request-Id: {id}\r\n\
                     X-Sassafrasgauge-Deadline-Ms: 2000\r\nX-Sassafrasgauge-Key: k1\r\nContent-Length: 0\r\n\r\n"
                );
                let status = request(address, &text);
                match &status {
                    Ok(200) => served.fetch_add(1, Ordering::Relaxed),
                    _ => failed.fetch_add(1, Ordering::Relaxed),
                };
                record.note(&format!("client sent {id} {method} /{path}/x to {name}: {status:?}"));
                thread::sleep(Duration::from_millis(100));
            }
        })
    });
    Ordinary {
        threads: clients.collect(),
        served,
        failed,
    }
}
