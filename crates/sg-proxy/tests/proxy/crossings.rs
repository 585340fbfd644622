//! Requests that cross the close of their connection.

use std::time::Duration;

use sg_proxy::server::Phase;
use sg_types::prelude::*;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    harness::{
        Instance, OK, ScriptedTarget, Step, catalog, catalog_with_downloads, get, post, status,
    },
    lingering::connect_slowly,
    pipelines::{Reader, kept_get, large_response},
};

/// Longer than a connection lingers.
const LINGERING: Duration = Duration::from_secs(6);
const CHUNKED: &str = "host: h\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n";

/// Event after which a connection ends, by itself or for what the caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Nothing,
    Stop,
    StopInTransit,
    LastPhase,
    LastPhaseInTransit,
    ManyConnections,
    ConnectionLimit,
    NewConnectionWhileIdle,
}
use Event::*;

/// The event, the milliseconds from the event to the second part of what the caller sends, both parts, and the
/// status of the first response or 0.
type Case = (Event, u64, &'static str, &'static str, u16);

fn kept_post(path: &str, body: &str) -> String {
    post(path, "a", body).replace("connection: close\r\n", "")
}

/// Waits for the end of the lingering and returns whether the instance left bytes of `stream` unread: the
/// system resets a connection that is closed with unread bytes.
async fn was_left_unread(stream: &TcpStream) -> bool {
    let is_reset = async {
        while matches!(stream.take_error(), Ok(None)) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LINGERING, is_reset).await.is_ok()
}

/// Plays a case and returns what became of the second request.
async fn cross((event, after, first, second, expected): Case) -> Result<(), String> {
    let is_large = matches!(event, StopInTransit | LastPhaseInTransit);
    let response = if is_large {
        large_response(540_000)
    } else {
        OK
    };
    let target = ScriptedTarget::start(vec![Step::RespondAfter(100, response)]).await;
    let (limit, others) = match event {
        ManyConnections => (4, 3),
        ConnectionLimit => (8, 8),
        NewConnectionWhileIdle => (4, 0),
        _ => (1_000, 0),
    };
    let instance = match is_large {
        true => Instance::start_with_small_buffers(&[&target]).await,
        false => Instance::start_limited(&[&target], limit).await,
    };
    let mut shorter = catalog();
    shorter.revision = Revision::new(2);
    shorter.limits.head_timeout = Span::from_millis(300);
    assert!(instance.core.replace_catalog(shorter));
    let mut open = Vec::new();
    for _ in 0..others {
        open.push(instance.connect().await);
    }
    sleep(Duration::from_millis(20)).await;
    let mut caller = Reader::new(connect_slowly(&instance).await);
    caller.send(first).await;
    sleep(Duration::from_millis(50)).await;
    match event {
        Stop | StopInTransit => instance.drain_for(Span::from_secs(30)),
        LastPhase | LastPhaseInTransit => drop(instance.phase.send_replace(Phase::Closing)),
        NewConnectionWhileIdle => {
            sleep(Duration::from_millis(1_700)).await;
            open.push(instance.connect().await);
        }
        Nothing | ManyConnections | ConnectionLimit => {}
    }
    sleep(Duration::from_millis(after)).await;
    let written = caller.stream.write_all(second.as_bytes()).await;
    written.map_err(|error| error.to_string())?;
    let found = caller.read_response().await.map_or(0, |text| status(&text));
    let next = caller.read_response().await.map_or(0, |text| status(&text));
    let is_unread = next == 0 && was_left_unread(&caller.stream).await;
    let unanswered = &instance.core.metrics.unanswered;
    let [read, unread] =
        ["read", "unread"].map(|label| unanswered.with_label_values(&[label]).get());
    let is_counted = (read, unread) == (0, u64::from(is_unread));
    let is_kept = is_unread || [200, 503].contains(&next);
    match found == expected && is_kept && is_counted {
        true => Ok(()),
        false => Err(format!(
            "{found}, {next}, unread: {is_unread}, counted: {read} {unread}"
        )),
    }
}

/// Plays all cases at the same time.
async fn check(cases: impl IntoIterator<Item = Case>) {
    let mut rows = JoinSet::new();
    for (index, case) in cases.into_iter().enumerate() {
        rows.spawn(async move { cross(case).await.err().map(|error| (index, case.0, error)) });
    }
    let lost: Vec<_> = rows.join_all().await.into_iter().flatten().collect();
    assert!(lost.is_empty(), "{lost:#?}");
}

/// A caller may not repeat a request that was read and not answered.
#[tokio::test]
async fn request_that_crosses_the_close_is_answered_or_left_unread() {
    let [a, b] = ["a", "b"].map(|id| &*kept_get("/safe/x", id).leak());
    let both = &*format!("{a}{b}").leak();
    let with_body = &*kept_post("/once/x", "body").leak();
    let (head, rest) = kept_post("/none/x", "body")
        .leak()
        .split_at(with_body.len() - 4);
    let (split, end) = both.split_at(a.len() + 8);
    let behind_body = &*format!("{rest}{b}").leak();
    let late_head = &*get("/safe/x", "a").replace("\r\n\r\n", "\r\n").leak();
    let behind_head = &*format!("\r\n{b}").leak();
    check([
        (Stop, 300, a, b, 200),
        (Stop, 300, a, with_body, 200),
        (StopInTransit, 300, a, b, 200),
        (Stop, 300, split, end, 200),
        (Nothing, 300, head, behind_body, 404),
        (LastPhaseInTransit, 20, a, b, 200),
        (LastPhaseInTransit, 300, a, b, 200),
        (LastPhase, 300, a, b, 200),
        (ManyConnections, 200, a, b, 200),
        (ConnectionLimit, 200, a, b, 503),
        (ManyConnections, 0, both, "", 200),
        (ConnectionLimit, 0, both, "", 503),
        (NewConnectionWhileIdle, 100, a, b, 200),
        (Nothing, 500, late_head, behind_head, 0),
    ])
    .await;
}

/// What follows a body in chunks must be told from the body.
#[tokio::test]
async fn request_behind_a_body_in_chunks_is_answered_or_left_unread() {
    let b = &*kept_get("/safe/x", "b").leak();
    let body = "4\r\nbody\r\nA\r\n0123456789\r\n0\r\n\r\n";
    let first = &*format!("POST /once/x HTTP/1.1\r\n{CHUNKED}{body}").leak();
    let both = &*format!("{first}{b}").leak();
    let (part, rest) = both.split_at(first.len() - body.len() + 6);
    let (most, end) = both.split_at(first.len() - 3);
    check([
        (Stop, 300, first, b, 200),
        (Stop, 10, first, b, 200),
        (Stop, 10, both, "", 200),
        (Stop, 10, part, rest, 200),
        (Stop, 10, most, end, 200),
    ])
    .await;
}

/// Guards against a refusal that closes its connection on a request that was read behind it.
#[tokio::test]
async fn request_behind_a_refused_body_in_chunks_is_answered_or_left_unread() {
    let b = kept_get("/safe/x", "b");
    let both = format!("POST /none/x HTTP/1.1\r\n{CHUNKED}1\r\ny\r\n1\r\ny\r\n0\r\n\r\n{b}");
    check([(Nothing, 10, &*both.leak(), "", 404)]).await;
}

/// A request that is hidden in a body must not run before the body is known to have ended.
#[tokio::test]
async fn end_of_a_body_that_parsers_read_differently_starts_no_request() {
    let ends = "0\r\n\r\n|000\r\n\r\n|0\r\n\n|0\n\n|0\r\r\n|0 \r\n\r\n|+0\r\n\r\n|0;a=\"\r\n\r\n|0\r\nt: v\r\n\
                |0\r\nt: v\r\n\r\n|10000000000000000\r\n\r\n|1\r\nab\r\n0\r\n\r\n|\r\n0\r\n\r\n";
    for end in ends.split('|') {
        let target = ScriptedTarget::start(vec![Step::RespondAfter(50, OK)]).await;
        let instance = Instance::start(&[&target]).await;
        assert!(instance.core.replace_catalog(catalog_with_downloads()));
        let mut caller = Reader::new(instance.connect().await);
        let first = format!("GET /safe/x HTTP/1.1\r\n{CHUNKED}");
        let hidden = kept_get("/safe/hidden", "b");
        for part in [&first, end, &hidden, "GET"] {
            caller.send(part).await;
            sleep(Duration::from_millis(20)).await;
        }
        let mut answered = 0;
        let wait = Duration::from_millis(400);
        while let Ok(Some(response)) = timeout(wait, caller.read_response()).await {
            answered += usize::from(status(&response) == 200);
        }
        assert_eq!(target.count(), answered, "{end:?}");
    }
}

/// A caller sends its next request on a connection whose end it was not told.
#[tokio::test]
async fn connection_is_kept_unless_the_response_says_that_it_closes() {
    let in_chunks = format!("POST /none/x HTTP/1.1\r\n{CHUNKED}4\r\nbody\r\n0\r\n\r\n");
    // The requests, and how many of their last bytes arrive behind the response.
    let refused = [
        (kept_post("/none/x", "body"), 4),
        (kept_post("/none/x", "body"), 2),
        (kept_post("/none/x", "body"), 0),
        (kept_post("/none/x", "b\n\n\r\n\r\ny"), 0),
        (kept_post("/keyed/x", "body"), 4),
        (kept_post("/none/x", &"y".repeat(30_000)), 0),
        (kept_post("/once/x", "body"), 0),
        (in_chunks.clone(), 14),
        (in_chunks, 0),
    ];
    let mut broken = Vec::new();
    for (index, (request, late)) in refused.into_iter().enumerate() {
        let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
        let instance = Instance::start(&[&target]).await;
        let mut caller = Reader::new(instance.connect().await);
        let (early, late) = request.split_at(request.len() - late);
        caller.send(early).await;
        let response = caller.read_response().await.expect("a response");
        caller
            .send(&format!("{late}{}", kept_get("/safe/x", "b")))
            .await;
        let next = timeout(Duration::from_secs(1), caller.read_response()).await;
        let is_kept = next.expect("a response or an end").is_some();
        if is_kept == response.contains("connection: close") {
            broken.push((index, is_kept));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a connection that stays open and is not read any more.
#[tokio::test]
async fn connection_near_the_limit_is_served_or_closes_when_others_have_ended() {
    let target = ScriptedTarget::start(vec![Step::RespondAfter(100, OK)]).await;
    let instance = Instance::start_limited(&[&target], 8).await;
    let mut others = Vec::new();
    for _ in 0..5 {
        others.push(instance.connect().await);
    }
    let mut caller = Reader::new(instance.connect().await);
    let [a, b, c] = ["a", "b", "c"].map(|id| kept_get("/safe/x", id));
    caller.send(&format!("{a}{b}")).await;
    for others in [others, Vec::new()] {
        let response = caller.read_response().await.expect("a response");
        assert_eq!(status(&response), 200);
        drop(others);
    }
    caller.send(&c).await;
    let next = timeout(Duration::from_secs(2), caller.read_response()).await;
    assert!(next.is_ok(), "neither a response nor an end");
}
