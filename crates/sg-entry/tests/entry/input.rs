//! Tries settings, the endpoints of operators and those of callers with what nobody should send.
//! Seeds are printed; `SG_SEED` replaces them.

use std::net::SocketAddr;

use quickcheck::{Arbitrary, Gen};
use sg_entry::Settings;
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::{GOOD, fleet::Fleet};

const SEED: u64 = 7;
const SIZE: usize = 40;
const ROUNDS: usize = 3_000;
/// Requests of one endpoint.
const REQUESTS: usize = 300;
/// More than any answer to a bad request takes.
const ANSWER_BYTES: usize = 64 << 10;
/// What precedes the answer to a request that asks whether to go on.
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

fn seeded() -> Gen {
    let given = std::env::var("SG_SEED").ok();
    let seed = given.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("SG_SEED={seed}");
    Gen::from_size_and_seed(SIZE, seed)
}

fn pick<'a>(rng: &mut Gen, all: &[&'a str]) -> &'a str {
    rng.choose(all).copied().unwrap_or_default()
}

#[test]
fn no_settings_are_taken_without_a_check() {
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
    let mut rng = seeded();
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..ROUNDS {
        let mut text = GOOD.as_bytes().to_vec();
        for _ in 0..=usize::arbitrary(&mut rng) % 2 {
            let at = usize::arbitrary(&mut rng) % text.len();
            let end = (at + usize::arbitrary(&mut rng) % 12).min(text.len());
            let new = match usize::arbitrary(&mut rng) % 3 {
                0 => vec![u8::arbitrary(&mut rng)],
                1 => String::arbitrary(&mut rng).into_bytes(),
                _ => pick(&mut rng, &PARTS).as_bytes().to_vec(),
            };
            text.splice(at..end, new);
        }
        match Settings::parse(&text, "e1.json") {
            Ok(_) => taken += 1,
            Err(error) => {
                refused += 1;
                let error = error.to_string();
                assert!(error.starts_with("e1.json: at '"), "{error}");
                assert!(error.contains("; "), "a remedy: {error}");
            }
        }
    }
    println!("{taken} taken, {refused} refused");
    assert!(taken > 0 && refused > 0, "both ways are tried");
    Settings::parse("[".repeat(1 << 20).as_bytes(), "e1.json").expect_err("too deep");
}

/// An answer, as far as it is checked.
#[derive(Debug)]
struct Answer {
    status: u16,
    head: String,
    body: String,
}

impl Answer {
    fn has(&self, header: &str) -> bool {
        let mut lines = self.head.lines();
        lines.any(|line| line.to_ascii_lowercase().starts_with(header))
    }
}

/// Sends bytes on a connection of their own; `None` without an answer.
async fn send(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(bytes).await.ok()?;
    let mut answer = Vec::new();
    let read = stream.take(ANSWER_BYTES as u64 + 1);
    let mut read = std::pin::pin!(read);
    // A connection that is reset after the answer has answered.
    let _ = read.read_to_end(&mut answer).await;
    assert!(answer.len() <= ANSWER_BYTES, "a bounded answer");
    let text = String::from_utf8_lossy(&answer).into_owned();
    // An answer to Expect is no answer to the request.
    let text = text.strip_prefix(CONTINUE).unwrap_or(&text);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
    Some(Answer {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}

/// Bytes that may stand in a line of a request, percent-encoded where `encoded`.
fn noise(rng: &mut Gen, encoded: bool) -> Vec<u8> {
    let bytes: Vec<u8> = Arbitrary::arbitrary(rng);
    let mut noise = Vec::new();
    for byte in bytes {
        match (encoded, byte) {
            (true, _) => noise.extend(format!("%{byte:02x}").into_bytes()),
            (false, b'\r' | b'\n') => {}
            (false, _) => noise.push(byte),
        }
    }
    noise
}

fn value(rng: &mut Gen, known: &[&str]) -> Vec<u8> {
    match usize::arbitrary(rng) % 4 {
        0 => noise(rng, false),
        1 => noise(rng, true),
        2 => u64::arbitrary(rng).to_string().into_bytes(),
        _ => pick(rng, known).as_bytes().to_vec(),
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

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_request_ends_an_entry_or_goes_unanswered() {
    let fleet = Fleet::start(9).await;
    let mut rng = seeded();
    let settings = &fleet.entries[0].settings;
    // Found by this test: the router refused paths that are no text by itself.
    for (endpoint, address, path) in [
        ("admin", settings.admin, "/why/%ff"),
        ("admin", settings.admin, "/explain/%ff"),
        ("forward", settings.serve, "/list/%ff"),
    ] {
        let bytes = request("GET", path.as_bytes(), &[]);
        let answer = send(address, &bytes).await.expect("an answer");
        check(endpoint, &answer, path);
    }
    let mut tally: IndexMap<String, u32> = IndexMap::new();
    for round in 0..REQUESTS {
        for (endpoint, address, bytes) in [
            ("admin", settings.admin, ask_admin(&mut rng)),
            ("look-up", settings.serve, ask_lookup(&mut rng)),
            ("forward", settings.serve, ask_forward(&mut rng)),
        ] {
            let shown = String::from_utf8_lossy(&bytes).into_owned();
            let answer = send(address, &bytes).await;
            let answer = answer.unwrap_or_else(|| panic!("round {round}, {endpoint}: {shown}"));
            check(endpoint, &answer, &shown);
            *tally
                .entry(format!("{endpoint} {}", answer.status))
                .or_default() += 1;
        }
    }
    println!("{tally:?}");
    for reached in ["admin 200", "look-up 200", "forward 200"] {
        assert!(tally.contains_key(reached), "good ones are among them");
    }
    for index in 0..fleet.entries.len() {
        assert!(fleet.status(index).await.is_some(), "entry {index} goes on");
    }
}

/// What is wanted of each answer: nothing fails inside, and refusals say why.
fn check(endpoint: &str, answer: &Answer, shown: &str) {
    let Answer { status, body, .. } = answer;
    match endpoint {
        // The library refuses what is no HTTP, without a body.
        _ if *status == 400 && !answer.has("sg-") && body.is_empty() => {}
        "admin" | "look-up" => {
            assert!(*status < 500, "{shown}\n{answer:?}");
            let says = *status == 200 || *status == 405 || body.contains("; ");
            assert!(says, "{shown}\n{answer:?}");
        }
        _ => {
            assert!(*status != 500, "{shown}\n{answer:?}");
            assert!(answer.has("sg-outcome: "), "{shown}\n{answer:?}");
            assert!(answer.has("sg-reason: "), "{shown}\n{answer:?}");
        }
    }
}

fn ask_admin(rng: &mut Gen) -> Vec<u8> {
    let known = [
        "1",
        "2",
        "18446744073709551616",
        "-1",
        "r-1",
        "..",
        "%2e%2e",
    ];
    let mut path = pick(rng, &["/explain/", "/why/"]).as_bytes().to_vec();
    let name = value(rng, &known);
    // Without a name no path of ours is asked for.
    let name = match name.is_empty() || name.iter().any(|byte| b"/?# ".contains(byte)) {
        true => b"x".to_vec(),
        false => name,
    };
    path.extend(name);
    request("GET", &path, &[])
}

fn ask_lookup(rng: &mut Gen) -> Vec<u8> {
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
                0 => value(rng, known),
                _ => pick(rng, known).as_bytes().to_vec(),
            });
        }
    }
    path.retain(|byte| !b" #".contains(byte));
    request("GET", &path, &[])
}

fn ask_forward(rng: &mut Gen) -> Vec<u8> {
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
    let method = pick(
        rng,
        &["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE", "M"],
    );
    let mut path = pick(
        rng,
        &["/list", "/mine", "/book", "/", "/list/", "*", "/%00"],
    )
    .as_bytes()
    .to_vec();
    if bool::arbitrary(rng) {
        let encoded = noise(rng, true);
        path.extend(encoded);
    }
    let headers = usize::arbitrary(rng) % 4;
    let headers: Vec<_> = (0..headers)
        .map(|_| match pick(rng, &HEADERS) {
            // A body that never comes is waited for, which is no matter of this test.
            "content-length" => ("content-length", pick(rng, &LENGTHS).as_bytes().to_vec()),
            name => (name, value(rng, &known)),
        })
        .collect();
    let mut bytes = request(method, &path, &headers);
    bytes.extend(LAST_CHUNK);
    bytes
}
