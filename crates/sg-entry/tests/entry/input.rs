//! Tests that feed malformed input to the settings and to the endpoints of operators and callers.
//! Each test prints its seed; `SG_SEED` sets another one.

use std::net::SocketAddr;

use quickcheck::{Arbitrary, Gen};
use sg_entry::Settings;
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::{VALID_SETTINGS, fleet::Fleet};

const DEFAULT_SEED: u64 = 7;
const GEN_SIZE: usize = 40;
const ROUNDS: usize = 3_000;
/// Number of requests per endpoint.
const REQUESTS: usize = 300;
/// Limit on the size of a response, which no response to a malformed request may exceed.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Interim response to a request with an `Expect` header.
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

fn seeded_rng() -> Gen {
    let given = std::env::var("SG_SEED").ok();
    let seed = given
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("SG_SEED={seed}");
    Gen::from_size_and_seed(GEN_SIZE, seed)
}

fn choose<'a>(rng: &mut Gen, all: &[&'a str]) -> &'a str {
    rng.choose(all).copied().unwrap_or_default()
}

/// Random edits of valid settings must not panic the parser or yield an error without a remedy.
#[test]
fn mutated_settings_are_accepted_or_rejected_with_a_remedy() {
    const PARTS: [&str; 12] = [
        "\"",
        "[",
        "]",
        "{",
        "}",
        ":",
        ",",
        "null",
        "-1",
        "1e999",
        "\"\"",
        "\"\\u0000\"",
    ];
    let mut rng = seeded_rng();
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..ROUNDS {
        let mut text = VALID_SETTINGS.as_bytes().to_vec();
        for _ in 0..=usize::arbitrary(&mut rng) % 2 {
            let at = usize::arbitrary(&mut rng) % text.len();
            let end = (at + usize::arbitrary(&mut rng) % 12).min(text.len());
            let new = match usize::arbitrary(&mut rng) % 3 {
                0 => vec![u8::arbitrary(&mut rng)],
                1 => String::arbitrary(&mut rng).into_bytes(),
                _ => choose(&mut rng, &PARTS).as_bytes().to_vec(),
            };
            text.splice(at..end, new);
        }
        match Settings::parse(&text, "e1.json") {
            Ok(_) => accepted += 1,
            Err(error) => {
                rejected += 1;
                let error = error.to_string();
                assert!(error.starts_with("e1.json: at '"), "{error}");
                assert!(error.contains("; "), "a remedy: {error}");
            }
        }
    }
    println!("{accepted} accepted, {rejected} rejected");
    assert!(
        accepted > 0 && rejected > 0,
        "both accepted and rejected settings are tried"
    );
    Settings::parse("[".repeat(1 << 20).as_bytes(), "e1.json").expect_err("too deep");
}

/// The checked parts of a response.
#[derive(Debug)]
struct Response {
    status: u16,
    head: String,
    body: String,
}

impl Response {
    fn has_header(&self, header: &str) -> bool {
        let mut lines = self.head.lines();
        lines.any(|line| line.to_ascii_lowercase().starts_with(header))
    }
}

/// Sends bytes on a new connection. Returns `None` if there is no response.
async fn send(address: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(bytes).await.ok()?;
    let mut response = Vec::new();
    let read = stream.take(MAX_RESPONSE_BYTES as u64 + 1);
    let mut read = std::pin::pin!(read);
    // The connection may be reset after the response was received.
    let _ = read.read_to_end(&mut response).await;
    assert!(
        response.len() <= MAX_RESPONSE_BYTES,
        "the response exceeds the limit"
    );
    let text = String::from_utf8_lossy(&response).into_owned();
    // The interim response to `Expect` is not the response to the request.
    let text = text.strip_prefix(CONTINUE).unwrap_or(&text);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
    Some(Response {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}

/// Returns random bytes that are allowed in a request line, percent-encoded if `encoded` is set.
fn random_bytes(rng: &mut Gen, encoded: bool) -> Vec<u8> {
    let bytes: Vec<u8> = Arbitrary::arbitrary(rng);
    let mut allowed = Vec::new();
    for byte in bytes {
        match (encoded, byte) {
            (true, _) => allowed.extend(format!("%{byte:02x}").into_bytes()),
            (false, b'\r' | b'\n') => {}
            (false, _) => allowed.push(byte),
        }
    }
    allowed
}

fn random_value(rng: &mut Gen, known: &[&str]) -> Vec<u8> {
    match usize::arbitrary(rng) % 4 {
        0 => random_bytes(rng, false),
        1 => random_bytes(rng, true),
        2 => u64::arbitrary(rng).to_string().into_bytes(),
        _ => choose(rng, known).as_bytes().to_vec(),
    }
}

fn request(method: &str, path: &[u8], headers: &[(&str, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = format!("{method} ").into_bytes();
    bytes.extend(path);
    bytes.extend(b" HTTP/1.1\r\nhost: a\r\nconnection: close\r\n");
    for (name, value) in headers {
        bytes.extend(format!("{name}: ").into_bytes());
        bytes.extend(value);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"\r\n");
    bytes
}

/// Random requests must not end an entry, go without a response or cause an internal error.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_requests_get_a_response_and_end_no_entry() {
    let fleet = Fleet::start(9).await;
    let mut rng = seeded_rng();
    let settings = &fleet.entries[0].settings;
    // Regression cases: the router rejected paths that are not valid UTF-8 by itself, without an
    // outcome or a message.
    for (endpoint, address, path) in [
        ("admin", settings.admin, "/why/%ff"),
        ("admin", settings.admin, "/explain/%ff"),
        ("forward", settings.serve, "/list/%ff"),
    ] {
        let bytes = request("GET", path.as_bytes(), &[]);
        let response = send(address, &bytes).await.expect("a response");
        assert_response(endpoint, &response, path);
    }
    let mut status_counts: IndexMap<String, u32> = IndexMap::new();
    for round in 0..REQUESTS {
        for (endpoint, address, bytes) in [
            ("admin", settings.admin, admin_request(&mut rng)),
            ("look-up", settings.serve, lookup_request(&mut rng)),
            ("forward", settings.serve, forward_request(&mut rng)),
        ] {
            let request_text = String::from_utf8_lossy(&bytes).into_owned();
            let response = send(address, &bytes).await;
            let response =
                response.unwrap_or_else(|| panic!("round {round}, {endpoint}: {request_text}"));
            assert_response(endpoint, &response, &request_text);
            *status_counts
                .entry(format!("{endpoint} {}", response.status))
                .or_default() += 1;
        }
    }
    println!("{status_counts:?}");
    for reached in ["admin 200", "look-up 200", "forward 200"] {
        assert!(
            status_counts.contains_key(reached),
            "no valid request was sent: {reached}"
        );
    }
    for index in 0..fleet.entries.len() {
        assert!(
            fleet.status(index).await.is_some(),
            "entry {index} does not respond"
        );
    }
}

/// Asserts that the response reports no internal error and that refusals state a reason.
fn assert_response(endpoint: &str, response: &Response, request_text: &str) {
    let Response { status, body, .. } = response;
    match endpoint {
        // The HTTP library rejects malformed HTTP without a body.
        _ if *status == 400 && !response.has_header("sg-") && body.is_empty() => {}
        "admin" | "look-up" => {
            assert!(*status < 500, "{request_text}\n{response:?}");
            let has_message = *status == 200 || *status == 405 || body.contains("; ");
            assert!(has_message, "{request_text}\n{response:?}");
        }
        _ => {
            assert!(*status != 500, "{request_text}\n{response:?}");
            assert!(
                response.has_header("sg-outcome: "),
                "{request_text}\n{response:?}"
            );
            assert!(
                response.has_header("sg-reason: "),
                "{request_text}\n{response:?}"
            );
        }
    }
}

fn admin_request(rng: &mut Gen) -> Vec<u8> {
    let known = [
        "1",
        "2",
        "18446744073709551616",
        "-1",
        "r-1",
        "..",
        "%2e%2e",
    ];
    let mut path = choose(rng, &["/explain/", "/why/"]).as_bytes().to_vec();
    let name = random_value(rng, &known);
    // An empty name, or a name with one of these bytes, would yield a different path.
    let name = match name.is_empty() || name.iter().any(|byte| b"/?# ".contains(byte)) {
        true => b"x".to_vec(),
        false => name,
    };
    path.extend(name);
    request("GET", &path, &[])
}

fn lookup_request(rng: &mut Gen) -> Vec<u8> {
    const NAMES: [(&str, &[&str]); 3] = [
        ("service=", &["desk", "desk", "none", ""]),
        ("&account=", &["ann", "none", ""]),
        (
            "&address=",
            &["10.1.0.1", "::1", "::ffff:10.1.0.1", "1.2.3.4.5"],
        ),
    ];
    let mut path = b"/.sg/lookup?".to_vec();
    for (name, known) in NAMES {
        if usize::arbitrary(rng) % 4 > 0 {
            path.extend(name.as_bytes());
            path.extend(match usize::arbitrary(rng) % 4 {
                0 => random_value(rng, known),
                _ => choose(rng, known).as_bytes().to_vec(),
            });
        }
    }
    path.retain(|byte| !b" #".contains(byte));
    request("GET", &path, &[])
}

fn forward_request(rng: &mut Gen) -> Vec<u8> {
    const LENGTHS: [&str; 5] = ["0", "5", "-1", "x", "99999999999999999999999"];
    const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
    const HEADERS: [&str; 12] = [
        "authorization",
        "content-length",
        "transfer-encoding",
        "expect",
        "upgrade",
        "cookie",
        "sg-ticket",
        "sg-request-id",
        "sg-account",
        "sg-deadline",
        "te",
        "range",
    ];
    let known = [
        "Bearer ann-key",
        "Bearer ",
        "0",
        "-1",
        "chunked",
        "gzip, chunked",
        "100-continue",
        "websocket",
        "bytes=0-",
        "99999999999999999999",
        "a,b;c=d",
    ];
    let method = choose(
        rng,
        &["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE", "M"],
    );
    let mut path = choose(
        rng,
        &["/list", "/mine", "/book", "/", "/list/", "*", "/%00"],
    )
    .as_bytes()
    .to_vec();
    if bool::arbitrary(rng) {
        let encoded = random_bytes(rng, true);
        path.extend(encoded);
    }
    let headers = usize::arbitrary(rng) % 4;
    let headers: Vec<_> = (0..headers)
        .map(|_| match choose(rng, &HEADERS) {
            // An incomplete body would be waited for, which this test does not cover.
            "content-length" => ("content-length", choose(rng, &LENGTHS).as_bytes().to_vec()),
            name => (name, random_value(rng, &known)),
        })
        .collect();
    let mut bytes = request(method, &path, &headers);
    bytes.extend(LAST_CHUNK);
    bytes
}
