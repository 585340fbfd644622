//! Measures whole instances: costs when idle, per lookup and per idle connection.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
};

use sg_types::prelude::*;

use crate::{
    fleet::Fleet,
    line::{self, Point},
    usage,
};

const FLEETS: [usize; 4] = [4, 9, 14, 28];
const CONNECTIONS: [usize; 3] = [500, 1_000, 2_000];
const LOOKUPS: usize = 20_000;
const CALLERS: usize = 8;
/// Time over which idle instances are measured.
const IDLE_TIME: Span = Span::from_secs(10);
/// Metric of the bytes in frames. Each frame is counted by its sender and by its receiver.
const FRAME_BYTES_METRIC: &str = "sg_peer_frame_bytes_total";

#[derive(Default)]
struct Points {
    idle: Vec<Point>,
    resident: Vec<Point>,
    bytes: Vec<Point>,
    store: Vec<Point>,
    lookups: Vec<Point>,
}

pub async fn measure() {
    let mut points = Points::default();
    for (net, count) in (1..).zip(FLEETS) {
        measure_fleet(net, count, &mut points).await;
    }
    line::print("idle daemon, by fleet", "us/s", &points.idle);
    line::print(
        "resident, the whole process, by fleet",
        "B",
        &points.resident,
    );
    line::print("frames sent by each, by fleet", "B/s", &points.bytes);
    line::print("calls to the store, by fleet", "calls/s", &points.store);
    line::print("a whole look-up, by fleet", "us", &points.lookups);
    measure_connections().await;
}

async fn measure_fleet(net: u8, count: usize, points: &mut Points) {
    let size = count as f64;
    let fleet = Fleet::start(net, count).await;
    let point = |value| Point { size, value };
    points.resident.push(point(usage::resident_bytes()));
    let bytes = fleet.counter(FRAME_BYTES_METRIC).await;
    let (calls, micros) = (store_calls(&fleet), usage::instance_micros());
    fleet.timer.sleep(IDLE_TIME).await;
    let seconds = IDLE_TIME.as_secs_f64();
    let idle = (usage::instance_micros() - micros) / seconds;
    points.idle.push(point(idle / size));
    let calls = store_calls(&fleet) - calls;
    points.store.push(point(calls / seconds));
    let bytes = fleet.counter(FRAME_BYTES_METRIC).await - bytes;
    points.bytes.push(point(bytes / 2.0 / seconds / size));
    fleet.look_up(CALLERS, LOOKUPS / 10).await;
    let (start, micros) = (fleet.timer.now(), usage::instance_micros());
    fleet.look_up(CALLERS, LOOKUPS).await;
    let elapsed_seconds = fleet.timer.now().since(start).as_secs_f64();
    let busy = usage::instance_micros() - micros - idle * elapsed_seconds;
    points.lookups.push(point(busy / LOOKUPS as f64));
}

fn store_calls(fleet: &Fleet) -> f64 {
    let calls = fleet.store.calls().calls;
    calls.values().sum::<u64>() as f64
}

fn open_idle(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("connects");
    let request = format!(
        "GET {}?service=desk HTTP/1.1\r\nhost: entry\r\n\r\n",
        sg_entry::lookup::PATH
    );
    stream.write_all(request.as_bytes()).expect("sends");
    let mut buffer = [0; 4_096];
    let read = stream.read(&mut buffer).expect("reads");
    assert!(read > 0, "a response");
    stream
}

/// Measures the memory of idle connections that have sent one lookup. The calls block, so that the
/// callers use little memory of their own.
async fn measure_connections() {
    let fleet = Fleet::start(9, 1).await;
    let to = fleet.settings[0].serve;
    let mut connections = Vec::with_capacity(CONNECTIONS[2]);
    let mut points = Vec::new();
    let before = usage::resident_bytes();
    for count in CONNECTIONS {
        while connections.len() < count {
            connections.push(open_idle(to));
        }
        let size = count as f64;
        let value = usage::resident_bytes() - before;
        points.push(Point { size, value });
    }
    line::print("memory of idle connections of callers", "B", &points);
}
