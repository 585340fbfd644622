//! Fetching changes from another instance over links that are narrow, stall or end.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use rand::RngCore as _;
use sg_clock::Timer;
use sg_mesh::{
    follower::{Replica, Update},
    mirror::{Change, Snapshot},
    relay,
    retention::Retention,
};
use sg_store::{Version, version::Era};
use sg_types::prelude::*;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};

const LARGE_BYTES: usize = 300_000;

/// Returns a change of `key` whose value can't be compressed.
fn change(key: &str, revision: u64, size: usize) -> Change {
    let mut value = vec![0; size];
    rand::rng().fill_bytes(&mut value);
    Change {
        key: key.into(),
        value: Some(value.into()),
        version: Version::at(Era::default(), revision),
    }
}

/// Starts an instance that knows of a large value and a later order since version 10, and returns its replica and
/// its address.
async fn serve() -> (Arc<Replica>, SocketAddr) {
    let (replica, _) = outdated();
    replica.merge(
        0,
        Snapshot {
            changes: vec![change("config", 11, LARGE_BYTES), change("order", 12, 10)],
            position: Version::at(Era::default(), 13),
            ..Snapshot::default()
        },
    );
    let (address, listener) = listen().await;
    tokio::spawn(relay::serve(replica.clone(), Timer::new(), listener));
    (replica, address)
}

async fn listen() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    (listener.local_addr().expect("an address"), listener)
}

/// Returns a replica that has read the prefix up to version 10.
fn outdated() -> (Arc<Replica>, mpsc::UnboundedReceiver<Update>) {
    let (replica, updates) = Replica::new([Retention::default()]);
    let position = Version::at(Era::default(), 10);
    replica.merge(
        0,
        Snapshot {
            position,
            ..Snapshot::default()
        },
    );
    (replica, updates)
}

/// Returns the response of the instance at `address` to a request that tells `is_packed`.
async fn response(address: SocketAddr, is_packed: bool) -> Bytes {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!("{{\"index\":0,\"after\":10,\"packed\":{is_packed}}}\n");
    stream.write_all(request.as_bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("a response");
    bytes.into()
}

/// Starts an instance that responds to one request. It writes the parts of a response, each with the pause behind
/// it. Returns its address.
async fn replay(parts: Vec<Bytes>, pause: Duration, then: Then) -> SocketAddr {
    let (address, listener) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let (read, mut write) = stream.split();
        let mut line = String::new();
        let line = BufReader::new(read).read_line(&mut line).await;
        line.expect("a request");
        for part in parts {
            if write.write_all(&part).await.is_err() {
                return;
            }
            sleep(pause).await;
        }
        if then == Then::Stall {
            sleep(Duration::from_secs(20)).await;
        }
    });
    address
}

/// What follows a response that is replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Then {
    Close,
    Stall,
}

/// A transfer, with the end that is expected and the seconds in which it comes.
struct Row {
    name: &'static str,
    bytes: Bytes,
    part: usize,
    pause_millis: u64,
    then: Then,
    end: &'static str,
    seconds: std::ops::Range<f64>,
}

/// Guards against transfers that end while bytes arrive, and against ones that last without any.
#[tokio::test]
async fn transfers_end_when_they_make_no_progress_and_not_before() {
    let (_known, address) = serve().await;
    let (packed, plain) = (
        response(address, true).await,
        response(address, false).await,
    );
    let row = |name, bytes: Bytes, part, pause_millis, then, end, seconds| Row {
        name,
        bytes,
        part,
        pause_millis,
        then,
        end,
        seconds,
    };
    let half = packed.slice(..packed.len() / 2);
    let rows = [
        row(
            "narrow",
            packed.clone(),
            10_000,
            90,
            Then::Close,
            "applied",
            2.0..8.0,
        ),
        row(
            "narrow, of an earlier build",
            plain,
            10_000,
            60,
            Then::Close,
            "applied",
            2.0..8.0,
        ),
        row(
            "begins late",
            packed.clone(),
            packed.len(),
            1_500,
            Then::Close,
            "applied",
            1.4..4.0,
        ),
        row(
            "stalls half-way",
            half.clone(),
            10_000,
            10,
            Then::Stall,
            "slow",
            1.0..2.5,
        ),
        row(
            "ends half-way",
            half,
            10_000,
            10,
            Then::Close,
            "malformed",
            0.0..1.5,
        ),
        row(
            "a few bytes at a time",
            packed,
            10,
            100,
            Then::Stall,
            "slow",
            0.9..2.5,
        ),
        row(
            "silent",
            Bytes::new(),
            1,
            0,
            Then::Stall,
            "silent",
            3.9..5.0,
        ),
    ];
    let mut fetches = JoinSet::new();
    for row in rows {
        fetches.spawn(async move {
            let parts = row.bytes.chunks(row.part);
            // A row whose parts are whole responses pauses before it begins.
            let late = (row.part >= row.bytes.len()).then(Bytes::new);
            let parts = late.into_iter().chain(parts.map(Bytes::copy_from_slice));
            let parts = parts.collect();
            let pause = Duration::from_millis(row.pause_millis);
            let address = replay(parts, pause, row.then).await;
            let (replica, _updates) = outdated();
            let timer = Timer::new();
            let fetched = relay::fetch(&replica, &timer, &[address], 0).await;
            let seconds = timer.now().since(Instant::START).as_secs_f64();
            let end = fetched
                .as_ref()
                .map_or_else(relay::Error::kind, |_| "applied");
            let is_expected = end == row.end && row.seconds.contains(&seconds);
            (!is_expected).then(|| format!("{}: {end} after {seconds} s", row.name))
        });
    }
    let failed: Vec<String> = fetches.join_all().await.into_iter().flatten().collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against orders that wait for a configuration.
#[tokio::test]
async fn small_changes_are_applied_while_a_large_one_is_on_its_way() {
    let (known, address) = serve().await;
    let packed = response(address, true).await;
    let parts = vec![packed.slice(..packed.len() / 2)];
    let stalling = replay(parts, Duration::ZERO, Then::Stall).await;
    let (replica, mut updates) = outdated();
    assert!(changed_keys(&mut updates).is_empty());
    let (timer, before) = (Timer::new(), replica.position(0));
    assert!(
        relay::fetch(&replica, &timer, &[stalling], 0)
            .await
            .is_err()
    );
    assert_eq!(changed_keys(&mut updates), ["order"]);
    // The rest is still missing, and others are told so.
    assert_eq!(
        (replica.position(0), replica.last_changes()),
        (before, vec![before])
    );
    // The instance that refuses connections is passed over.
    let (closed, listener) = listen().await;
    drop(listener);
    let fetched = relay::fetch(&replica, &timer, &[closed, address], 0).await;
    assert_eq!(fetched.expect("changes").from, address);
    assert_eq!(replica.position(0), known.position(0));
    assert_eq!(changed_keys(&mut updates), ["config"]);
}

/// Returns the keys of all changes so far, which are received no more.
fn changed_keys(updates: &mut mpsc::UnboundedReceiver<Update>) -> Vec<String> {
    let updates = std::iter::from_fn(|| updates.try_recv().ok());
    let changes = updates.flat_map(|update| update.changes);
    changes.map(|change| change.key.to_string()).collect()
}

/// Guards against attempts in a loop at an instance that ends each connection while an earlier one is open.
#[tokio::test]
async fn attempts_that_fail_are_not_repeated_at_once() {
    let (address, listener) = listen().await;
    let ending = tokio::spawn(async move {
        let _silent = listener.accept().await.expect("a connection");
        let mut count = 0;
        while let Ok(Ok(_)) = timeout(Duration::from_secs(5), listener.accept()).await {
            count += 1;
        }
        count
    });
    let (replica, _updates) = outdated();
    let fetched = relay::fetch(&replica, &Timer::new(), &[address], 0).await;
    assert!(fetched.is_err(), "{fetched:?}");
    let count = ending.await.expect("a count");
    assert!((1..=4).contains(&count), "{count} attempts");
}
