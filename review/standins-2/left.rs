//! The store comes back from an older copy that still has the entry of a server that had left, after one machine
//! was restarted.

use std::{
    io::{self, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    memory::{free_port, ports, wait_until_ready},
    node::{Deployment, Limits, Node},
    record::Record,
    server::Server,
    store::Store,
};

/// Zones with their regions, each with one machine. The first machine is restarted.
const ZONES: [(&str, &str); 3] = [
    ("ub-east", "ulaanbaatar"),
    ("dk-north", "darkhan"),
    ("er-west", "erdenet"),
];
const LIMITS: Limits = Limits {
    memory_mb: 260,
    max_fds: 4_100,
};
/// `stabilityWindowS`.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);
/// `drainS`.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat after which the store removes an entry: three times `heartbeatS`, counted from its
/// return, because it heard no heartbeat before.
const SILENCE: Duration = Duration::from_millis(4_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Time between SIGTERM and the copy. The process ends about 1 s later.
const STOP_HEAD_START: Duration = Duration::from_millis(3_300);
/// Time between the moment from which calm machines are in touch and the orders.
const SPARE: Duration = Duration::from_millis(100);
/// Number of orders that come together at the restarted machine, and at each of the others.
const ORDERS: u32 = 8;
const OTHER_ORDERS: u32 = 2;
/// The interval between two reads at each machine.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// The server that leaves. It stands in the zone of the restarted machine.
const LEAVING: &str = "i-06";

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
    let mut servers = Vec::new();
    for number in 0..8_u8 {
        let server = Server {
            id: format!("i-{number:02}"),
            service: if number < 6 { "trial-desk" } else { "order-yard" },
            zone: ZONES[usize::from(number) % ZONES.len()].0,
            address: SocketAddr::new(ip(2, number + 1), 8_080),
            slots: 6,
            work: Duration::from_millis(50),
            running: Arc::default(),
            is_leaving: Arc::default(),
        };
        server.start(&store, record)?;
        servers.push(server);
    }
    let leaving = servers.iter().find(|server| server.id == LEAVING);
    let leaving = leaving.ok_or(io::ErrorKind::NotFound)?.clone();
    let deployment = Deployment {
        folder: scratch.to_owned(),
        ports: ports(ip(3, 1))?,
        store: store_address,
        seeds: (1..=3).map(|host| ip(3, host)).collect(),
        zones: ZONES.to_vec(),
    };
    let mut nodes = Vec::new();
    for (index, (zone, _)) in ZONES.iter().enumerate() {
        let host = ip(3, index as u8 + 1);
        nodes.push(Node::new(&deployment, &format!("front-{zone}-1"), zone, host, LIMITS)?);
    }
    for node in &mut nodes {
        node.start()?;
    }
    for node in &nodes {
        wait_until_ready(node)?;
    }
    // The store is stable, and all machines are in touch.
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(1));
    let readers = Readers::start(&nodes, record);
    send_orders(&nodes, record, "before")?;
    nodes[0].signal("TERM")?;
    record.tell("SIGTERM to the first machine");
    thread::sleep(STOP_HEAD_START);
    let copy = store.copy();
    record.tell("a copy of the store is made");
    thread::sleep(Duration::from_millis(200));
    leaving.leave(&store);
    let left_at = Instant::now();
    record.tell(&format!("{LEAVING} leaves: the removal of its entry is acknowledged; it serves on"));
    wait_for_end(&mut nodes[0])?;
    nodes[0].start()?;
    record.tell("the first machine starts");
    wait_until_ready(&nodes[0])?;
    sleep_until(left_at + DRAIN + Duration::from_millis(200));
    let mut late = send_orders(&nodes, record, "left")?;
    if has_trouble {
        store.take_away();
        record.tell("the store is away");
    }
    thread::sleep(AWAY);
    if has_trouble {
        store.bring_back(copy);
        record.tell("the store is back from the copy");
    }
    let back_at = Instant::now();
    sleep_until(back_at + STABILITY_WINDOW + SPARE);
    record.tell("all machines are in touch");
    late.extend(send_orders(&nodes, record, "late")?);
    let took = back_at.elapsed().as_millis();
    record.tell(&format!("the orders are answered {took} ms after the store's return"));
    sleep_until(back_at + SILENCE);
    store.delete(&format!("servers/{LEAVING}"));
    record.tell(&format!("the store removes the entry of {LEAVING}, of which it has heard nothing"));
    readers.stop();
    late.retain(|order| order.answer.starts_with(LEAVING));
    for order in &late {
        record.tell(&format!("{} at {}: {}", order.id, order.node, order.answer));
    }
    let holds = late.is_empty();
    record.tell(&if holds {
        "the rule held".to_owned()
    } else {
        format!(
            "DRAIN: {} requests reached a server over 2.5 s after the store had acknowledged that it is gone, from \
             machines in touch",
            late.len()
        )
    });
    Ok(holds)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits until the process has ended after SIGTERM.
fn wait_for_end(node: &mut Node) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        if node.has_ended() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other("the process does not end after SIGTERM"))
}

/// An order with its answer, which names the server that ran it.
#[derive(Debug)]
struct Order {
    id: String,
    node: String,
    answer: String,
}

/// Sends some orders at once to each machine and waits for the answers.
fn send_orders(nodes: &[Node], record: &Record, series: &str) -> io::Result<Vec<Order>> {
    let mut threads = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let count = if index == 0 { ORDERS } else { OTHER_ORDERS };
        for number in 0..count {
            let id = format!("{series}-{}-{number}", node.name);
            let (address, name, record) = (node.front(), node.name.clone(), record.clone());
            threads.push(thread::spawn(move || {
                record.note(&format!("client sends order {id} to {name}"));
                let answer = send(address, "POST", "order", &id)?;
                record.note(&format!("client gets for order {id}: {answer}"));
                let node = name;
                Ok(Order { id, node, answer })
            }));
        }
    }
    let orders = threads.into_iter().map(|thread| thread.join().expect("no panic"));
    orders.collect()
}

/// Sends a request on a new connection and returns the body of the answer, or its status if it is no success.
fn send(address: SocketAddr, method: &str, route: &str, id: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let text = format!(
        "{method} /{route}/x HTTP/1.1\r\nHost: h.example\r\nX-Sassafrasgauge-Request-Id: {id}\r\n\
         X-Sassafrasgauge-Deadline-Ms: 1200\r\nX-Sassafrasgauge-Key: k1\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes())?;
    let answer = http::read(&mut BufReader::new(stream))?;
    Ok(match answer.status() {
        200 => String::from_utf8_lossy(&answer.body).into_owned(),
        status => status.to_string(),
    })
}

/// Clients that read at all machines.
struct Readers {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Readers {
    fn start(nodes: &[Node], record: &Record) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let threads = nodes.iter().map(|node| {
            let (address, name) = (node.front(), node.name.clone());
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                for number in 0_u32.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("read-{name}-{number}");
                    let answer = send(address, "GET", "read", &id);
                    record.note(&format!("client sent {id} to {name}: {answer:?}"));
                    thread::sleep(READ_INTERVAL);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A client that panicked is seen in the record.
            let _ = thread.join();
        }
    }
}

/// Returns a configuration in the form of the pages.
fn configuration() -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\
             \"tls\":false,\"coldStartS\":3.0,\"coldPerS\":13.0}}"
        )
    };
    let route = |name: &str, path: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"pathPrefix\":\"{path}\",\"type\":\"{kind}\",\"timeoutS\":1,\
             \"targetLatencyS\":0.4,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\
             \"public\":false,\"sessionAffinity\":true,\"homeRegions\":[]}}"
        )
    };
    format!(
        "{{\"version\":7,\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"k1\"],\
         \"priority\":1,\"ratePerS\":349,\"burst\":349,\"homeRegions\":[]}}],\"hosts\":[{{\"hostname\":\"h.example\",\
         \"paths\":[{},{}]}}]}}",
        service("trial-desk"),
        service("order-yard"),
        route("r-read", "/read/", "safe", "trial-desk"),
        route("r-order", "/order/", "unsafe", "order-yard"),
    )
}
