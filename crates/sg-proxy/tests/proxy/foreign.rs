//! Earlier responses that a target writes once more where the next one is expected.

use std::{sync::atomic::Ordering, time::Duration};

use http::{HeaderName, Request};
use http_body_util::BodyExt;
use quickcheck::{QuickCheck, TestResult};
use sg_proxy::{
    connections::{ReusePolicy, Timeouts},
    content::Outgoing,
    core::Signal,
    target_stream::filter::Filter,
};
use sg_types::prelude::*;
use tokio::time::sleep;

use crate::harness::{Instance, KEY, OK, ScriptedTarget, Step, get, header, post, status};

/// Complete responses to the request `a1`, which may be repeated.
const COPIES: [&str; 8] = [
    "HTTP/1.1 503 Full\r\nid: a1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 429 Many\r\nid: a1\r\nnot-run: 1\r\ncontent-length: 4\r\n\r\nslow",
    "HTTP/1.1 421 Moved\r\nid: a1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 408 Late\r\nid: a1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
    "HTTP/1.1 500 Bad\r\nid: a1\r\ncontent-length: 3\r\n\r\nbad",
    "HTTP/1.1 204 None\r\nid: a1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nid: a1\r\ncontent-length: 19\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nid: a1\r\nTransfer-Encoding: chunked\r\n\r\n\
     3;x=y\r\n0\r\n\r\nB\r\nHTTP/1.1 20\r\n0\r\nlast: 1\r\n\r\n",
];

fn anonymous(copy: &str) -> String {
    copy.replace("id: a1\r\n", "")
}

fn leak(text: String) -> &'static str {
    Box::leak(text.into_boxed_str())
}

/// Guards against requests that are given up, refused or run twice because a target repeats a response.
#[tokio::test]
async fn caller_gets_its_own_response_after_earlier_ones_that_are_repeated() {
    let requests = [
        get("/safe/x", "a2"),
        post("/once/x", "a2", "body"),
        post("/keyed/x", "a2", "body").replace("host: h", &format!("host: h\r\nkey: {KEY}")),
    ];
    for (index, copy) in COPIES.into_iter().enumerate() {
        let (named, anonymous) = (copy, leak(anonymous(copy)));
        let twice = leak(format!("{named}{anonymous}"));
        let parted = leak(format!("{named}{}", &OK[..9]));
        let steps = [
            (Step::RespondTwice(named, 10, OK), 1),
            (Step::RespondTwice(anonymous, 10, OK), 1),
            (Step::RespondTwice(twice, 10, OK), 2),
            (Step::Respond(leak(format!("{twice}{OK}"))), 2),
            (Step::RespondTwice(parted, 10, &OK[9..]), 1),
        ];
        for (number, (step, count)) in steps.into_iter().enumerate() {
            let request = &requests[(index + number) % requests.len()];
            let target = ScriptedTarget::start(vec![Step::Respond(OK), step.clone()]).await;
            let instance = Instance::start(&[&target]).await;
            if request.contains(KEY) {
                // The account's share starts empty when it is first used.
                assert!(instance.core.load().wanted_tokens.is_empty());
                sleep(Duration::from_millis(300)).await;
            }
            instance.send(&get("/safe/x", "a1")).await;
            let response = instance.send(request).await;
            assert_eq!(
                (status(&response), target.count()),
                (200, 2),
                "{request} {step:?}"
            );
            assert_eq!(header(&response, "id").as_deref(), Some("a2"), "{step:?}");
            assert!(response.ends_with("\r\n\r\nfine"), "{step:?}");
            assert_eq!(instance.core.metrics.passed_over(), count, "{step:?}");
            assert_eq!(target.connections.load(Ordering::SeqCst), 1, "{step:?}");
        }
    }
}

/// Guards against a late copy of a refusal that looks like the response to the same request, sent again.
#[tokio::test]
async fn request_that_is_sent_again_uses_no_connection_that_carried_it() {
    const FAILED: &str = "HTTP/1.1 500 Bad\r\nid: {id}\r\ncontent-length: 3\r\n\r\nbad";
    let target = ScriptedTarget::start(vec![Step::Respond(FAILED), Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    for (id, expected, connections) in [
        ("a1", 500, 1),
        ("a1", 200, 2),
        ("a1", 200, 3),
        ("a2", 200, 3),
    ] {
        let response = instance.send(&post("/once/x", id, "body")).await;
        assert_eq!(status(&response), expected);
        assert_eq!(target.connections.load(Ordering::SeqCst), connections);
    }
}

/// Guards against a request that is given up because a target repeats the response to a health check.
#[tokio::test]
async fn caller_gets_its_own_response_after_that_to_a_health_check_is_repeated() {
    const HEALTHY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let steps = vec![Step::Respond(HEALTHY), Step::RespondTwice(HEALTHY, 10, OK)];
    let target = ScriptedTarget::start(steps).await;
    let instance = Instance::start(&[&target]).await;
    let connections = &instance.core.connections;
    let check = Request::new(Outgoing::empty());
    let timeouts = Timeouts::with_connect(Span::from_secs(1));
    let sent = connections.send(target.address, check, ReusePolicy::ANY, timeouts, || true);
    let (response, connection) = sent.await.expect("a response");
    response.collect().await.expect("a body");
    connections.put_back(connection, None);
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!((status(&response), target.count()), (200, 2), "{response}");
    assert_eq!(target.connections.load(Ordering::SeqCst), 1);
}

/// Guards against a send that ends because of bytes that are no response, in front of its own.
#[tokio::test]
async fn late_bytes_that_are_no_response_end_no_request_at_work() {
    for surplus in [
        "surplus",
        "surplus\r\n\r\n",
        "HTTP/1.1 200 OK\r\n",
        "surplus HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfake",
    ] {
        let steps = vec![Step::Respond(OK), Step::RespondTwice(surplus, 10, OK)];
        let target = ScriptedTarget::start(steps).await;
        let instance = Instance::start(&[&target]).await;
        instance.send(&get("/safe/x", "a1")).await;
        let response = instance.send(&post("/once/x", "a2", "body")).await;
        assert_eq!((status(&response), target.count()), (200, 2), "{surplus:?}");
        assert!(response.ends_with("\r\n\r\nfine"), "{surplus:?}");
    }
}

/// Guards against a wait behind bytes that are no response for as long as they come, and against a second run.
#[tokio::test]
async fn bytes_that_are_no_response_are_waited_behind_only_while_they_are_few() {
    let few = Step::Respond("surplus");
    for (step, expected) in [(Step::Flood("", "surplus", 0), 502), (few, 504)] {
        let target = ScriptedTarget::start(vec![Step::Respond(OK), step.clone()]).await;
        let instance = Instance::start(&[&target]).await;
        instance.send(&get("/safe/x", "a1")).await;
        let response = instance.send(&post("/once/x", "a2", "body")).await;
        assert_eq!(
            (status(&response), target.count()),
            (expected, 2),
            "{step:?}"
        );
    }
}

/// Guards against an answer of another request, a false "not run" or a second run, if no own response follows.
#[tokio::test]
async fn request_whose_target_sends_only_an_earlier_response_is_not_known_to_have_run() {
    let one = ScriptedTarget::start(vec![Step::Respond(COPIES[6])]).await;
    let two = ScriptedTarget::start(vec![Step::Respond(COPIES[6])]).await;
    let instance = Instance::start(&[&one, &two]).await;
    let response = instance.send(&post("/once/x", "a2", "body")).await;
    assert_eq!((status(&response), one.count() + two.count()), (504, 1));
}

/// Guards against the quarantine of a request whose targets sent a response to another one, without a known end.
#[tokio::test]
async fn response_to_another_request_makes_no_request_suspect() {
    let copy = "HTTP/1.1 200 OK\r\nid: another\r\n\r\nfine";
    let target = ScriptedTarget::start(vec![Step::Respond(copy)]).await;
    let instance = Instance::start(&[&target]).await;
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!((status(&response), target.count()), (502, 1));
    let mut signals = instance.signals.lock().await;
    while let Ok(signal) = signals.try_recv() {
        let is_suspect = matches!(signal, Signal::Notice(Notice::Suspect { .. }));
        assert!(!is_suspect, "{signal:?}");
    }
}

/// Returns a filter that waits for the response to `a2`, after that to `a1`.
fn filter(is_head: bool) -> Filter {
    let mut filter = Filter::new(HeaderName::from_static("id"));
    filter.expect(Some(b"a1"), is_head);
    filter.push(b"HTTP/1.1 200 OK\r\nid: a1\r\ncontent-length: 0\r\n\r\n");
    filter.advance();
    filter.consume(filter.ready().len());
    filter.expect(Some(b"a2"), false);
    filter
}

/// Returns what passes the filter if the text is read in pieces, and how many responses were passed over.
fn pass(mut filter: Filter, text: &str, mut cuts: Vec<usize>) -> (String, u64) {
    cuts.sort_unstable();
    cuts.push(text.len());
    let (mut passed, mut start) = (Vec::new(), 0);
    for cut in cuts {
        let piece = &text.as_bytes()[start..cut];
        start = cut;
        if filter.is_open() {
            filter.pass(piece);
            passed.extend_from_slice(piece);
            continue;
        }
        filter.push(piece);
        filter.advance();
        passed.extend_from_slice(filter.ready());
        filter.consume(filter.ready().len());
    }
    assert!(!filter.has_failed());
    let count = filter.passed_over();
    filter.end();
    filter.advance();
    passed.extend_from_slice(filter.ready());
    (String::from_utf8(passed).expect("text"), count)
}

const OWN: &str = "HTTP/1.1 103 Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nid: a2\r\ncontent-length: 19\r\n\r\n\
                   HTTP/1.1 200 OK\r\n\r\nsurplus";

/// Returns a response whose framing is longer than its data, and longer than that of a response without data may be.
fn own_in_chunks() -> String {
    let head = "HTTP/1.1 200 OK\r\nid: a2\r\ntransfer-encoding: gzip, Chunked\r\n\r\n";
    let chunks = "1\r\n0\r\n0A ;x=y\r\n0\r\n\r\n0\r\n\r\n".repeat(2_000);
    format!("{head}{chunks}0\r\nlast: 1\r\n\r\nsurplus")
}

/// Guards against bytes of a copy that get into the next response, or that take some of it away.
#[test]
fn own_response_comes_through_byte_for_byte_in_any_pieces() {
    fn property(copies: Vec<(usize, bool)>, cuts: Vec<usize>) -> TestResult {
        let copies = copies.into_iter().take(8).map(|(index, is_named)| {
            let copy = COPIES[index % COPIES.len()];
            if is_named {
                copy.to_owned()
            } else {
                anonymous(copy)
            }
        });
        let copies: Vec<String> = copies.collect();
        let text = format!("{}{OWN}", copies.concat());
        let cuts = cuts.into_iter().map(|cut| cut % text.len()).collect();
        let (passed, count) = pass(filter(false), &text, cuts);
        TestResult::from_bool(passed == OWN && count == copies.len() as u64)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(usize, bool)>, Vec<usize>) -> TestResult);
    for copy in COPIES
        .into_iter()
        .map(str::to_owned)
        .chain(COPIES.map(anonymous))
    {
        let text = format!("{copy}{OWN}");
        let each = (0..text.len()).map(|cut| vec![cut]);
        for cuts in each.chain([(0..text.len()).collect()]) {
            assert_eq!(
                pass(filter(false), &text, cuts),
                (OWN.to_owned(), 1),
                "{copy}"
            );
        }
    }
    let own = own_in_chunks();
    for piece in [1, 7, 100, own.len()] {
        let cuts = (0..own.len()).step_by(piece).collect();
        assert_eq!(pass(filter(false), &own, cuts), (own.clone(), 0));
    }
}

/// Guards against a filter that hides what the HTTP library has to judge.
#[test]
fn bytes_that_are_no_copy_with_a_known_end_are_passed_through() {
    let long = format!(
        "HTTP/1.1 200 OK\r\nid: a1\r\ncontent-length: {}\r\n\r\n",
        2 << 20
    );
    let endless = format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(70 << 10));
    for text in [
        "HTTP/1.1 200 OK\r\nid: a1\r\n\r\nuntil the end",
        "HTTP/1.1 200 OK\r\nid: a1\r\ncontent-length: 4, 4\r\n\r\nfine",
        "\u{1}\u{2}not a response\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: a2\r\ncontent-le",
        &long,
        &endless,
    ] {
        for cut in [1, text.len() / 2, text.len() - 1] {
            assert_eq!(pass(filter(false), text, vec![cut]), (text.to_owned(), 0));
        }
    }
}

/// Guards against a copy of a response to HEAD, or one that breaks off, whose missing body is taken from the next.
#[test]
fn copy_without_the_body_that_its_head_states_takes_nothing_of_the_next_response() {
    let head = "HTTP/1.1 200 OK\r\nid: a1\r\ncontent-length: 4\r\n\r\n";
    for copy in [head.to_owned(), anonymous(head)] {
        let text = format!("{copy}{OWN}");
        assert_eq!(pass(filter(true), &text, Vec::new()), (OWN.to_owned(), 1));
    }
    assert_eq!(pass(filter(false), head, Vec::new()), (String::new(), 1));
    let mut filter = filter(false);
    filter.push(b"HTTP/1.1 200 OK\r\nid: a1\r\ntransfer-encoding: chunked\r\n\r\nfive\r\n");
    filter.advance();
    assert!(filter.has_failed() && filter.ready().is_empty());
}
