//! What the cases share: the deployment, the record and the verdict.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Sent;
use crate::node::{Domains, Folder, Network, Node};
use crate::server::Arrival;
use crate::store::{Door, Store};

/// Three regions with two zones each.
pub const DOMAINS: Domains = &[
    ("ub-east", "ulaanbaatar"),
    ("ub-west", "ulaanbaatar"),
    ("dk-north", "darkhan"),
    ("dk-south", "darkhan"),
    ("er-west", "erdenet"),
    ("er-east", "erdenet"),
];

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl Verdict {
    pub fn code(self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::NotRun => 2,
        }
    }
}

/// Returns whether the run is to have its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of a run, in the order of time.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Vec<(Instant, String)>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Vec::new(),
        }
    }

    pub fn add(&mut self, at: Instant, text: String) {
        self.lines.push((at, text));
    }

    pub fn note(&mut self, text: impl Into<String>) {
        let text = text.into();
        println!("{:7.3} {text}", self.start.elapsed().as_secs_f64());
        self.add(Instant::now(), text);
    }

    pub fn add_sent(&mut self, sent: &[Sent]) {
        for one in sent {
            self.add(one.at, format!("client sends {} to {}", one.id, one.to));
            match one.answered {
                Some(at) => self.add(at, format!("client gets {} for {}", one.status, one.id)),
                None => self.add(one.at, format!("client gets no answer for {}", one.id)),
            }
        }
    }

    pub fn add_arrivals(&mut self, server: &str, arrivals: &[Arrival]) {
        for one in arrivals {
            let state = if one.is_cold { "cold " } else { "" };
            let text = format!(
                "{state}server {server} answers {} to {} tenant '{}' from {}",
                one.status, one.id, one.tenant, one.peer
            );
            self.add(one.at, text);
        }
    }

    /// Writes the record into `folder`, with `summary` at its end.
    pub fn write(mut self, folder: &Path, summary: &[String]) {
        self.lines.sort_by_key(|(at, _)| *at);
        let file = File::create(folder.join("record.txt"));
        let Ok(mut file) = file else {
            eprintln!("record.txt can't be written");
            return;
        };
        for (at, text) in &self.lines {
            let _ = writeln!(
                file,
                "{:8.4} {text}",
                at.saturating_duration_since(self.start).as_secs_f64()
            );
        }
        for line in summary {
            println!("{line}");
            let _ = writeln!(file, "{line}");
        }
    }
}

/// The machines of a run, each with its own way to the store.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub doors: Vec<Door>,
    pub network: Network,
    pub store: Store,
    _folder: Folder,
}

impl Fleet {
    /// Starts one machine in each of `zones`, in this order, after the operator's first `config`.
    pub fn start(zones: &[&str], config: &str) -> Self {
        let network = Network::new();
        let folder = Folder::new();
        let store = Store::new();
        store.write("op/config", config);
        let mut fleet = Self {
            nodes: Vec::new(),
            doors: Vec::new(),
            network,
            store,
            _folder: folder,
        };
        for (index, zone) in zones.iter().enumerate() {
            let host = index as u8 + 1;
            let door = fleet.store.open(network.address(host + 100, 8669));
            let node = Node::new(network, &fleet._folder, host, zone, DOMAINS, door.address);
            fleet.doors.push(door);
            fleet.nodes.push(node);
        }
        fleet.nodes.iter_mut().for_each(Node::start);
        fleet
    }

    pub fn fronts(&self, indices: &[usize]) -> Vec<SocketAddr> {
        indices
            .iter()
            .map(|index| self.nodes[*index].front)
            .collect()
    }

    /// Waits until all machines say that they are ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        self.nodes.iter().all(|node| wait_until_ready(node, end))
    }
}

pub fn wait_until_ready(node: &Node, end: Instant) -> bool {
    while Instant::now() < end {
        if is_ready(node.ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(500))
    else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let _ = stream.write_all(request.as_bytes());
    let mut reader = std::io::BufReader::new(stream);
    matches!(crate::http::read(&mut reader), Ok(Some(answer)) if answer.status() == 200)
}

/// Returns the largest number of `times` in any window of this length, with the start of the window.
pub fn most_in_window(times: &[Instant], length: Duration) -> Option<(usize, Instant)> {
    let mut times = times.to_vec();
    times.sort();
    let mut best = None;
    let mut end = 0;
    for start in 0..times.len() {
        while end < times.len() && times[end] - times[start] < length {
            end += 1;
        }
        if best.is_none_or(|(count, _)| end - start > count) {
            best = Some((end - start, times[start]));
        }
    }
    best
}
