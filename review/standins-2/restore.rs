//! The store comes back from an older copy while one machine is restarted and another one is frozen.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    memory::{free_port, ports, request, wait_until_ready},
    node::{Deployment, Limits, Node},
    record::Record,
    server::Server,
    store::Store,
};

/// Zones with their regions.
const ZONES: [(&str, &str); 2] = [("ub-east", "ulaanbaatar"), ("dk-north", "darkhan")];
const LIMITS: Limits = Limits {
    memory_mb: 260,
    max_fds: 4_100,
};
/// `stabilityWindowS`.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);
/// `configApplyS`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Time for which the other machine is frozen.
const FREEZE: Duration = Duration::from_secs(2);
/// Time for which the restarted machine is watched once it is in touch, before the operator writes again.
const WATCH: Duration = Duration::from_millis(1_500);
const KEPT_KEY: &str = "kept-key";
const WITHDRAWN_KEY: &str = "withdrawn-key";

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
    store.put("op/config", &configuration(7, &[KEPT_KEY, WITHDRAWN_KEY]));
    for number in 0..8_u8 {
        let server = Server {
            id: format!("i-{number:02}"),
            service: "trial-desk",
            zone: ZONES[usize::from(number) % ZONES.len()].0,
            address: SocketAddr::new(ip(2, number + 1), 8_080),
            slots: 6,
            work: Duration::from_millis(50),
            running: Arc::default(),
            is_leaving: Arc::default(),
        };
        server.start(&store, record)?;
    }
    let deployment = Deployment {
        folder: scratch.to_owned(),
        ports: ports(ip(3, 1))?,
        store: store_address,
        seeds: (1..=2).map(|host| ip(3, host)).collect(),
        zones: ZONES.to_vec(),
    };
    let node = |host: u8| {
        let zone = ZONES[usize::from(host) - 1].0;
        Node::new(&deployment, &format!("front-{zone}-1"), zone, ip(3, host), LIMITS)
    };
    let (mut restarted, mut other) = (node(1)?, node(2)?);
    for node in [&mut restarted, &mut other] {
        node.start()?;
        wait_until_ready(node)?;
    }
    let mut clients = Clients { record, number: 0 };
    thread::sleep(Duration::from_secs(2));
    for node in [&restarted, &other] {
        clients.expect(node, WITHDRAWN_KEY, 200)?;
    }
    let copy = store.copy();
    record.tell("a copy of the store is made");
    thread::sleep(Duration::from_secs(1));
    store.put("op/config", &configuration(9, &[KEPT_KEY]));
    record.tell("version 9, which withdraws a key, is acknowledged");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    for node in [&restarted, &other] {
        clients.expect(node, WITHDRAWN_KEY, 401)?;
        clients.expect(node, KEPT_KEY, 200)?;
    }
    record.tell("both machines refuse the withdrawn key");
    restarted.signal("TERM")?;
    record.tell("SIGTERM to the first machine");
    wait_for_end(&mut restarted)?;
    if has_trouble {
        store.take_away();
        record.tell("the store is away");
        thread::sleep(AWAY);
        store.bring_back(copy);
        record.tell("the store is back from the copy");
        other.signal("STOP")?;
        record.tell("the second machine is frozen");
    }
    restarted.start()?;
    let started = Instant::now();
    record.tell("the first machine starts");
    if has_trouble {
        thread::sleep(FREEZE);
        other.signal("CONT")?;
        record.tell("the second machine goes on");
    }
    wait_until_ready(&restarted)?;
    // By then the store has been stable and the process has run for the stability window.
    thread::sleep((started + STABILITY_WINDOW).saturating_duration_since(Instant::now()));
    let until = Instant::now() + WATCH;
    let (mut sent, mut accepted, mut accepted_by_other) = (0, 0, 0);
    while Instant::now() < until {
        sent += 1;
        accepted += u32::from(clients.send(&restarted, WITHDRAWN_KEY)? == 200);
        accepted_by_other += u32::from(clients.send(&other, WITHDRAWN_KEY)? == 200);
        thread::sleep(Duration::from_millis(100));
    }
    record.tell(&format!(
        "of {sent} requests with the withdrawn key to each machine, the first one, in touch, ran {accepted}, \
         the second one {accepted_by_other}"
    ));
    store.put("op/config", &configuration(9, &[KEPT_KEY]));
    record.tell("the operator writes version 9 again");
    thread::sleep(CONFIG_APPLY);
    let status = clients.send(&restarted, WITHDRAWN_KEY)?;
    record.tell(&format!("the first machine answers {status} to the withdrawn key"));
    let holds = accepted == 0;
    record.tell(if holds {
        "the rule held"
    } else {
        "CONFIG: requests were run with a key that the version in force has withdrawn"
    });
    Ok(holds)
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

/// Clients that send one request at a time.
struct Clients<'a> {
    record: &'a Record,
    number: u32,
}

impl Clients<'_> {
    /// Sends a request with a key and returns the status of the answer.
    fn send(&mut self, node: &Node, key: &str) -> io::Result<u16> {
        self.number += 1;
        let id = format!("{:016x}", self.number);
        let text = format!(
            "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Sassafrasgauge-Request-Id: {id}\r\n\
             X-Sassafrasgauge-Deadline-Ms: 2000\r\nX-Sassafrasgauge-Key: {key}\r\nContent-Length: 0\r\n\r\n"
        );
        let status = request(node.front(), &text)?;
        self.record
            .note(&format!("client sent {id} with {key} to {}: {status}", node.name));
        Ok(status)
    }

    fn expect(&mut self, node: &Node, key: &str, expected: u16) -> io::Result<()> {
        match self.send(node, key)? {
            status if status == expected => Ok(()),
            status => Err(io::Error::other(format!(
                "{} answers {status} to {key}, not {expected}",
                node.name
            ))),
        }
    }
}

/// Returns a configuration in the form of the pages.
fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"services\":[{{\"name\":\"trial-desk\",\"healthPath\":\"/health\",\
         \"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":13.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\
         \"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[{}],\"priority\":1,\"ratePerS\":349,\"burst\":349,\
         \"homeRegions\":[]}}],\"hosts\":[{{\"hostname\":\"h.example\",\"paths\":[{{\"name\":\"r-book\",\
         \"pathPrefix\":\"/book/\",\"type\":\"unsafe\",\"timeoutS\":1,\"targetLatencyS\":0.4,\"priority\":1,\
         \"service\":\"trial-desk\",\"attempts\":2,\"public\":false,\"sessionAffinity\":true,\
         \"homeRegions\":[]}}]}}]}}",
        keys.join(",")
    )
}
