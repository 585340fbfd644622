//! Whole instances: what they cost at rest, for each look-up and for each idle connection.

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
const ASKS: usize = 20_000;
const CALLERS: usize = 8;
/// How long an instance at rest is watched.
const REST: Span = Span::from_secs(10);
/// Metrics of the bytes of frames; each frame is counted by its sender and its receiver.
const BYTES: &str = "sg_peer_frame_bytes_total";

#[derive(Default)]
struct Points {
    rest: Vec<Point>,
    resident: Vec<Point>,
    bytes: Vec<Point>,
    store: Vec<Point>,
    asks: Vec<Point>,
}

pub async fn measure() {
    let mut points = Points::default();
    for (net, count) in (1..).zip(FLEETS) {
        one(net, count, &mut points).await;
    }
    line::print("daemon at rest, by fleet", "us/s", &points.rest);
    line::print(
        "resident, the whole process, by fleet",
        "B",
        &points.resident,
    );
    line::print("frames sent by each, by fleet", "B/s", &points.bytes);
    line::print("calls to the store, by fleet", "calls/s", &points.store);
    line::print("a whole look-up, by fleet", "us", &points.asks);
    connections().await;
}

async fn one(net: u8, count: usize, points: &mut Points) {
    let size = count as f64;
    let fleet = Fleet::start(net, count).await;
    let point = |value| Point { size, value };
    points.resident.push(point(usage::resident()));
    let bytes = fleet.counter(BYTES).await;
    let (calls, micros) = (total(&fleet), usage::micros());
    fleet.timer.sleep(REST).await;
    let seconds = REST.as_secs_f64();
    let rest = (usage::micros() - micros) / seconds;
    points.rest.push(point(rest / size));
    let calls = total(&fleet) - calls;
    points.store.push(point(calls / seconds));
    let bytes = fleet.counter(BYTES).await - bytes;
    points.bytes.push(point(bytes / 2.0 / seconds / size));
    fleet.look_up(CALLERS, ASKS / 10).await;
    let (start, micros) = (fleet.timer.now(), usage::micros());
    fleet.look_up(CALLERS, ASKS).await;
    let took = fleet.timer.now().since(start).as_secs_f64();
    let busy = usage::micros() - micros - rest * took;
    points.asks.push(point(busy / ASKS as f64));
}

fn total(fleet: &Fleet) -> f64 {
    let calls = fleet.store.calls().calls;
    calls.values().sum::<u64>() as f64
}

fn open(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("connects");
    let request = format!(
        "GET {}?service=desk HTTP/1.1\r\nhost: entry\r\n\r\n",
        sg_entry::lookup::PATH
    );
    stream.write_all(request.as_bytes()).expect("sends");
    let mut answer = [0; 4_096];
    let read = stream.read(&mut answer).expect("reads");
    assert!(read > 0, "an answer");
    stream
}

/// Memory of connections that have asked once and wait. Calls block, since the callers are to need
/// little memory of their own.
async fn connections() {
    let fleet = Fleet::start(9, 1).await;
    let to = fleet.settings[0].serve;
    let mut held = Vec::with_capacity(CONNECTIONS[2]);
    let mut points = Vec::new();
    let before = usage::resident();
    for count in CONNECTIONS {
        while held.len() < count {
            held.push(open(to));
        }
        let size = count as f64;
        let value = usage::resident() - before;
        points.push(Point { size, value });
    }
    line::print("memory of idle connections of callers", "B", &points);
}
