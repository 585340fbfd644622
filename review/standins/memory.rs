//! A case in which a daemon holds more memory than its machine has.
//!
//! The stand-in of the platform does what the users' page says: it kills a process that exceeds `memoryMb` and
//! starts it again after a short delay. The rule is broken if the processes of two machines end so three
//! times each.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{self, read_response, request_head},
    deployment::{Deployment, Needs, Record, UNSAFE_PATH, is_ready, wait_until},
    node::{MEMORY_MB, Node},
};

const MACHINES: u8 = 3;
const WAVES: u32 = 3;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The time between two waves, in which a daemon that has started again learns of the others.
const CALM: Duration = Duration::from_secs(6);
/// How often a process has to end, and on how many machines, by the rule `Fault`.
const ENDS: u32 = 3;
const MACHINES_WITH_ENDS: usize = 2;

const NEEDS: Needs = Needs {
    machines: MACHINES,
    servers: 24,
    slots: 9,
    queue: 27,
    work: Duration::from_millis(100),
    timeout_seconds: 10,
};

/// Length of the body of an upload, a quarter of the `maxBodyBytes` of the users' example.
const UPLOAD_BYTES: usize = 16 << 20;
const UPLOADS: u32 = 24;
/// The bytes per second of a machine's link with the `linkMbps` 1000, less the overhead.
const LINK_BYTES_PER_SECOND: f64 = 120e6;
const UPLOAD_DEADLINE: Duration = Duration::from_secs(6);

/// Many clients send a request with a long body to each machine. With trouble they send at the same time,
/// without it one after the other.
pub fn uploads(record: &Record, at_once: bool) -> io::Result<Verdict> {
    let upload = move |record: &Record, address: SocketAddr, id: &str, bytes_per_second: f64| {
        let head = request_head(
            "POST",
            UNSAFE_PATH,
            id,
            UPLOAD_DEADLINE,
            "",
            Some(UPLOAD_BYTES),
        );
        record.line(format!(
            "{id} sent to {address}: POST with {UPLOAD_BYTES} bytes"
        ));
        let mut stream = std::net::TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        io::Write::write_all(&mut stream, head.as_bytes())?;
        // A daemon may answer before it has read the body, and close the connection.
        let written = client::write_paced(&mut stream, UPLOAD_BYTES, bytes_per_second);
        match read_response(&stream) {
            Ok((head, _)) => Ok(head.status()),
            Err(error) => Err(written.err().unwrap_or(error)),
        }
    };
    play(record, move |record, wave, machine, address| {
        let name = |index| format!("u{wave}-{machine}-{index:02}");
        if at_once {
            let clients = (0..UPLOADS).map(|index| {
                let (record, id) = (record.clone(), name(index));
                let rate = LINK_BYTES_PER_SECOND / f64::from(UPLOADS);
                thread::spawn(move || (upload(&record, address, &id, rate), Instant::now(), id))
            });
            let clients: Vec<_> = clients.collect();
            clients
                .into_iter()
                .map(|client| client.join().expect("client"))
                .collect()
        } else {
            let ids = (0..UPLOADS).map(name);
            ids.map(|id| {
                (
                    upload(record, address, &id, LINK_BYTES_PER_SECOND),
                    Instant::now(),
                    id,
                )
            })
            .collect()
        }
    })
}

/// The result of each request, when it was known, and the id of the request.
type Results = Vec<(io::Result<u16>, Instant, String)>;

/// Plays waves of requests to all machines, and judges how often processes exceeded their memory.
fn play(
    record: &Record,
    wave: impl Fn(&Record, u32, usize, SocketAddr) -> Results + Clone + Send + 'static,
) -> io::Result<Verdict> {
    let mut deployment = Deployment::start(NEEDS, record.clone())?;
    let nodes = std::mem::take(&mut deployment.nodes);
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::front).collect();
    let nodes: Vec<Arc<Mutex<Node>>> = nodes
        .into_iter()
        .map(|node| Arc::new(Mutex::new(node)))
        .collect();
    let done = Arc::new(AtomicBool::new(false));
    let platforms = nodes.iter().map(|node| {
        let (record, node, done) = (record.clone(), node.clone(), done.clone());
        thread::spawn(move || watch_memory(&record, &node, &done))
    });
    let platforms: Vec<_> = platforms.collect();
    let mut lost = 0;
    for number in 1..=WAVES {
        record.line(format!("wave {number}"));
        let machines = addresses.iter().enumerate().map(|(machine, address)| {
            let (record, wave, address) = (record.clone(), wave.clone(), *address);
            thread::spawn(move || wave(&record, number, machine + 1, address))
        });
        let machines: Vec<_> = machines.collect();
        for machine in machines {
            for (result, at, id) in machine.join().expect("machine") {
                let runs = deployment.arrivals.of(&id);
                for run in &runs {
                    record.line_at(run.at, format!("{id} reached server {}", run.server));
                    let ran = run
                        .run_at
                        .map(|at| record.line_at(at, format!("{id} ran at {}", run.server)));
                    lost += u32::from(ran.is_some() && result.is_err());
                }
                match result {
                    Ok(status) => record.line_at(at, format!("{id} answered {status}")),
                    Err(error) => {
                        record.line_at(at, format!("{id} got no complete answer: {error}"))
                    }
                }
            }
        }
        for node in &nodes {
            let is_back = || is_ready(&node.lock().expect("node"));
            if !wait_until(Duration::from_secs(10), is_back) {
                record.line("a machine is not ready again");
            }
        }
        thread::sleep(CALM);
    }
    done.store(true, Ordering::SeqCst);
    let watched: Vec<Watched> = platforms
        .into_iter()
        .map(|p| p.join().expect("platform"))
        .collect();
    for (node, watched) in nodes.iter().zip(&watched) {
        let name = node.lock().expect("node").name.clone();
        record.line(format!(
            "{name}: killed {} times, most memory {} MiB of {MEMORY_MB}",
            watched.ends,
            watched.most >> 20
        ));
    }
    record.line(format!("{lost} requests ran and got no complete answer"));
    let ended = watched
        .iter()
        .filter(|watched| watched.ends >= ENDS)
        .count();
    Ok(match ended >= MACHINES_WITH_ENDS {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

#[derive(Debug, Default)]
struct Watched {
    ends: u32,
    most: u64,
}

/// Kills the process of `node` whenever it holds more memory than its machine has, and starts it again.
fn watch_memory(record: &Record, node: &Mutex<Node>, done: &AtomicBool) -> Watched {
    let mut watched = Watched::default();
    while !done.load(Ordering::SeqCst) {
        thread::sleep(SAMPLE_INTERVAL);
        let mut node = node.lock().expect("node");
        let resident = node.resident_bytes();
        watched.most = watched.most.max(resident);
        if resident <= MEMORY_MB << 20 && !node.has_ended() {
            continue;
        }
        let at = Instant::now();
        node.kill();
        watched.ends += 1;
        let (name, resident) = (&node.name, resident >> 20);
        record.line_at(at, format!("{name} killed: {resident} MiB of {MEMORY_MB}"));
        thread::sleep(RESTART_DELAY);
        match node.start() {
            Ok(()) => record.line(format!("{name} started", name = node.name)),
            Err(error) => record.line(format!("{name} does not start: {error}", name = node.name)),
        }
    }
    watched
}
