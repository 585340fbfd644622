//! Frames and messages of earlier releases are read, and those of this release are readable for them.
//!
//! `tests/compat/COMMIT` holds what the build of that commit wrote. A sample is never changed; a change of a
//! frame that breaks one needs a new name for the changed field.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use sg_clock::Timer;
use sg_mesh::{
    digest::{Digest, Heard},
    follower::Replica,
    frame::{Beacon, Departure, Frame},
    relay,
    retention::Retention,
};
use sg_store::{Version, version::Era};
use sg_types::prelude::*;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

use crate::members::beacon;

/// The releases with samples, and the era that their relay messages tell.
const RELEASES: [(&str, u64); 3] = [("7e60cf7", 0), ("c6064c3", 2), ("9fefa2c", 2)];
/// The releases whose sample of a beacon tells an era above 0, which is 2.
const BEACONS_WITH_ERA: [&str; 1] = ["9fefa2c"];

fn sample(release: &str, name: &str) -> Vec<u8> {
    std::fs::read(folder(release).join(name)).expect("a sample")
}

fn folder(release: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/compat")
        .join(release)
}

/// The fields of a beacon that the release 7e60cf7 required.
#[derive(Debug, Deserialize)]
#[expect(
    dead_code,
    reason = "only the presence and the type of the fields are checked"
)]
struct EarliestBeacon {
    frame: String,
    instance: String,
    incarnation: Incarnation,
    place: EarliestPlace,
    ready: bool,
    leaving: bool,
    positions: Vec<u64>,
    demand: Vec<(String, f64)>,
    wanted: Vec<(String, u32)>,
    others: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[expect(
    dead_code,
    reason = "only the presence and the type of the fields are checked"
)]
struct EarliestPlace {
    domain: String,
    region: String,
    entry: String,
    mesh: String,
}

#[test]
fn frames_of_earlier_releases_are_read() {
    for (release, _) in RELEASES {
        let era = if BEACONS_WITH_ERA.contains(&release) {
            2
        } else {
            0
        };
        let mut count = 0;
        for entry in std::fs::read_dir(folder(release)).expect("a folder") {
            let name = entry.expect("an entry").file_name();
            let name = name.to_str().expect("a name");
            if name.starts_with("relay-") {
                continue;
            }
            let frame = Frame::decode(&sample(release, name));
            let frame = frame.unwrap_or_else(|error| panic!("{release}/{name}: {error}"));
            if let Frame::Beacon(beacon) = &frame {
                check_beacon(beacon, era);
            }
            count += 1;
        }
        assert!(count >= 4, "{release}");
    }
}

/// Checks the values of a sample, and that the sender is not taken for one that does duties it doesn't know.
fn check_beacon(beacon: &Beacon, era: u64) {
    assert_eq!(beacon.instance.as_str(), "front-1");
    assert!(beacon.ready && !beacon.leaving);
    assert_eq!(beacon.position(1), Version::at(Era::new(era), 42));
    assert_eq!(beacon.last_change(1), Version::at(Era::new(era), 0));
    assert!(!beacon.follows && !beacon.takes_digests);
}

#[test]
fn beacon_is_readable_for_the_earliest_release() {
    let frame = Frame::Beacon(Box::new(beacon("front-1", 7)));
    let bytes = frame.encode().expect("bytes");
    let read: EarliestBeacon = serde_json::from_slice(&bytes).expect("all fields");
    assert_eq!(read.frame, "beacon");
}

/// Guards against fields that earlier releases do not send or expect in a frame about tokens that are not
/// direct, and against an ask for direct tokens that they can't read.
#[test]
fn frames_about_tokens_are_those_of_earlier_releases() {
    let json = |bytes: &[u8]| -> serde_json::Value { serde_json::from_slice(bytes).expect("JSON") };
    for name in ["ask.json", "loan.json"] {
        let sample = sample("9fefa2c", name);
        let mut frame = Frame::decode(&sample).expect("a frame");
        let expected = json(&sample);
        assert_eq!(json(&frame.encode().expect("bytes")), expected, "{name}");
        let (Frame::Ask { asked_at, .. } | Frame::Loan { asked_at, .. }) = &mut frame else {
            panic!("{name}");
        };
        *asked_at = Some(u64::MAX);
        let bytes = frame.encode().expect("bytes");
        assert_eq!(Frame::decode(&bytes).expect("a frame"), frame);
        let fields = json(&bytes).as_object().expect("fields").clone();
        let known = fields.into_iter().filter(|(field, _)| field != "asked_at");
        assert_eq!(
            serde_json::Value::Object(known.collect()),
            expected,
            "{name}"
        );
    }
}

/// Earlier releases read a datagram as JSON and skip what they can't read, so a frame that they don't know
/// must not look like one that they know.
#[test]
fn new_frames_are_no_frames_for_earlier_releases() {
    let heard = Heard {
        age_ms: 0,
        beacon: beacon("front-1", 7),
    };
    let digests = Digest::pack(Incarnation::new(7), 1, &[heard]).expect("a digest");
    let departures = Frame::Departures {
        from: "front-1".parse().expect("a name"),
        runs: vec![Departure {
            target: "t0".parse().expect("a name"),
            started_at_millis: 5,
        }],
    };
    let known = ["beacon", "loan", "ask", "wanted", "notice"];
    for frame in [Frame::Digest(digests[0].clone()), departures] {
        let bytes = frame.encode().expect("bytes");
        let json: Option<serde_json::Value> = serde_json::from_slice(&bytes).ok();
        let tag = json.as_ref().and_then(|json| json["frame"].as_str());
        assert!(tag.is_none_or(|tag| !known.contains(&tag)), "{tag:?}");
    }
}

#[tokio::test]
async fn relay_answers_requests_of_earlier_releases() {
    for (release, _) in RELEASES {
        let (replica, _updates) = Replica::new([Retention::default(); 3]);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(relay::serve(replica, Timer::new(), listener));
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let request = sample(release, "relay-request.json");
        stream.write_all(&request).await.expect("a write");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.expect("a read");
        let response: serde_json::Value = serde_json::from_slice(&response).expect("JSON");
        // What the release 7e60cf7 required.
        assert!(response["position"].is_u64(), "{release}");
        assert!(response["changes"].is_array(), "{release}");
    }
}

#[tokio::test]
async fn relay_responses_of_earlier_releases_are_applied() {
    for (release, era) in RELEASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let response = sample(release, "relay-response.json");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut line = String::new();
            let (read, mut write) = stream.split();
            BufReader::new(read)
                .read_line(&mut line)
                .await
                .expect("a line");
            write.write_all(&response).await.expect("a write");
        });
        let (replica, _updates) = Replica::new([Retention::default(); 3]);
        let fetched = relay::fetch(&replica, &Timer::new(), &[address], 0).await;
        assert_eq!(fetched.expect("a response").changes, 1, "{release}");
        assert_eq!(replica.position(0), Version::at(Era::new(era), 31));
    }
}
