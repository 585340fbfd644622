//! Requests that cross the close of their connection.

use std::time::Duration;

use sg_proxy::server::Phase;
use sg_types::prelude::*;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
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

/// Event after which a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Nothing,
    Stop,
    LastPhase,
    ManyConnections,
    ConnectionLimit,
    NewConnectionWhileIdle,
    LateHead,
}

/// A request that is sent when the response that closes its connection is decided.
struct Crossing {
    name: &'static str,
    event: Event,
    /// What the caller sends before the event, and the status of the response to it.
    first: String,
    status: Option<u16>,
    response: &'static str,
    /// Time from the event until the second request is sent, in milliseconds.
    after: u64,
    second: String,
}

/// Waits for the end of the lingering and returns whether the instance left bytes of `stream` unread: the
/// system resets a connection that is closed with unread bytes.
async fn was_left_unread(stream: &TcpStream) -> bool {
    let until = Instant::now() + LINGERING;
    while Instant::now() < until {
        let error = stream.take_error();
        if !matches!(error, Ok(None)) {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Brings the event about, `instance` having served `caller` or not.
async fn bring_about(event: Event, instance: &Instance) -> Option<TcpStream> {
    match event {
        Event::Stop => instance.drain_for(Span::from_secs(30)),
        Event::LastPhase => {
            instance.phase.send_replace(Phase::Closing);
        }
        Event::NewConnectionWhileIdle => {
            sleep(Duration::from_millis(1_700)).await;
            return Some(instance.connect().await);
        }
        Event::Nothing | Event::LateHead | Event::ManyConnections | Event::ConnectionLimit => {}
    }
    None
}

async fn cross(crossing: &Crossing) -> Result<(), String> {
    let target = ScriptedTarget::start(vec![Step::RespondAfter(100, crossing.response)]).await;
    let (limit, others) = match crossing.event {
        Event::ManyConnections => (4, 3),
        Event::ConnectionLimit => (8, 8),
        Event::NewConnectionWhileIdle => (4, 0),
        _ => (1_000, 0),
    };
    let instance = Instance::start_limited(&[&target], limit).await;
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
    caller.send(&crossing.first).await;
    sleep(Duration::from_millis(50)).await;
    open.extend(bring_about(crossing.event, &instance).await);
    sleep(Duration::from_millis(crossing.after)).await;
    let written = caller.stream.write_all(crossing.second.as_bytes()).await;
    written.map_err(|error| error.to_string())?;
    let first = caller.read_response().await.map(|text| status(&text));
    if first != crossing.status {
        return Err(format!("{first:?} instead of {:?}", crossing.status));
    }
    let second = caller.read_response().await.map(|text| status(&text));
    let is_unread = second.is_none() && was_left_unread(&caller.stream).await;
    let unanswered = &instance.core.metrics.unanswered;
    let count = |requests| unanswered.with_label_values(&[requests]).get();
    if (count("read"), count("unread")) != (0, u64::from(is_unread)) {
        return Err("counted wrongly".to_owned());
    }
    match second {
        None if is_unread => Ok(()),
        None => Err("read and not answered".to_owned()),
        Some(200 | 503) => Ok(()),
        Some(other) => Err(format!("answered with {other}")),
    }
}

/// Lets all requests cross at the same time.
async fn check(crossings: impl IntoIterator<Item = Crossing>) {
    let mut rows = JoinSet::new();
    for crossing in crossings {
        rows.spawn(async move {
            let result = cross(&crossing).await;
            result.err().map(|error| (crossing.name, error))
        });
    }
    let lost: Vec<_> = rows.join_all().await.into_iter().flatten().collect();
    assert!(lost.is_empty(), "{lost:#?}");
}

/// A caller may not repeat a request that was read and not answered.
#[tokio::test]
async fn request_that_crosses_the_close_is_answered_or_left_unread() {
    let crossing = |name, event, after| Crossing {
        name,
        event,
        first: kept_get("/safe/x", "a"),
        status: Some(200),
        response: OK,
        after,
        second: kept_get("/safe/x", "b"),
    };
    let refused = post("/none/x", "a", "body").replace("connection: close\r\n", "");
    let (head, rest) = refused.split_at(refused.len() - "body".len());
    let ahead = kept_get("/safe/x", "a") + &kept_get("/safe/x", "b");
    let crossings = [
        crossing("behind the response of a stop", Event::Stop, 300),
        Crossing {
            second: post("/once/x", "b", "body").replace("connection: close\r\n", ""),
            ..crossing("with a body, in a stop", Event::Stop, 300)
        },
        Crossing {
            response: large_response(540_000),
            ..crossing("while the response is in transit", Event::Stop, 300)
        },
        Crossing {
            first: kept_get("/safe/x", "a") + "GET /safe/x HTTP/1.1\r\nhost",
            second: ": h\r\nid: b\r\n\r\n".to_owned(),
            ..crossing("with a head in two pieces", Event::Stop, 300)
        },
        Crossing {
            first: head.to_owned(),
            status: Some(404),
            second: rest.to_owned() + &kept_get("/safe/x", "b"),
            ..crossing("behind a body that is refused", Event::Nothing, 300)
        },
        Crossing {
            response: large_response(540_000),
            ..crossing("before the last phase", Event::LastPhase, 20)
        },
        crossing("in the last phase", Event::LastPhase, 300),
        crossing("near the limit of connections", Event::ManyConnections, 200),
        Crossing {
            status: Some(503),
            ..crossing("at the limit of connections", Event::ConnectionLimit, 200)
        },
        Crossing {
            first: ahead.clone(),
            second: String::new(),
            ..crossing("sent ahead near the limit", Event::ManyConnections, 0)
        },
        Crossing {
            first: ahead,
            status: Some(503),
            second: String::new(),
            ..crossing("sent ahead at the limit", Event::ConnectionLimit, 0)
        },
        crossing(
            "on a connection that was idle",
            Event::NewConnectionWhileIdle,
            100,
        ),
        Crossing {
            first: get("/safe/x", "a").replace("\r\n\r\n", "\r\n"),
            status: None,
            second: format!("\r\n{}", kept_get("/safe/x", "b")),
            ..crossing("behind a late head", Event::LateHead, 500)
        },
    ];
    check(crossings).await;
}

/// What follows a body in chunks must be told from the body.
#[tokio::test]
async fn request_behind_a_body_in_chunks_is_answered_or_left_unread() {
    const CHUNKED: &str =
        "POST /once/x HTTP/1.1\r\nhost: h\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let second = kept_get("/safe/x", "b");
    let crossing = |name, first: &str, after, second: &str| Crossing {
        name,
        event: Event::Stop,
        first: format!("{CHUNKED}{first}"),
        status: Some(200),
        response: OK,
        after,
        second: second.to_owned(),
    };
    let whole = "4\r\nbody\r\nA\r\n0123456789\r\n0\r\n\r\n";
    check([
        crossing("behind the response", whole, 300, &second),
        crossing("before the response", whole, 10, &second),
        crossing("sent ahead", &format!("{whole}{second}"), 10, ""),
        crossing(
            "sent ahead, behind a part of the body",
            "4\r\nbo",
            10,
            &format!("dy\r\n0\r\n\r\n{second}"),
        ),
        crossing(
            "sent ahead, behind a part of the end",
            "4\r\nbody\r\n0\r",
            10,
            &format!("\n\r\n{second}"),
        ),
    ])
    .await;
}

/// A request that is hidden in a body must not run before the body is known to have ended.
#[tokio::test]
async fn end_of_a_body_that_parsers_read_differently_starts_no_request() {
    let ends = [
        "0\r\n\r\n",
        "000\r\n\r\n",
        "0\r\n\n",
        "0\n\n",
        "0\r\r\n",
        "0 \r\n\r\n",
        "+0\r\n\r\n",
        "0;a=\"\r\n\r\n",
        "0\r\nt: v\r\n",
        "0\r\nt: v\r\n\r\n",
        "10000000000000000\r\n\r\n",
        "1\r\nab\r\n0\r\n\r\n",
        "\r\n0\r\n\r\n",
    ];
    for end in ends {
        let steps = vec![Step::RespondAfter(50, OK)];
        let target = ScriptedTarget::start(steps).await;
        let instance = Instance::start(&[&target]).await;
        assert!(instance.core.replace_catalog(catalog_with_downloads()));
        let mut caller = Reader::new(instance.connect().await);
        let first =
            "GET /safe/x HTTP/1.1\r\nhost: h\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n";
        let hidden = kept_get("/safe/hidden", "b");
        for part in [first, end, &hidden, "GET"] {
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
    let chunked = "POST /none/x HTTP/1.1\r\nhost: h\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let large = "y".repeat(30_000);
    let declared = |path: &str, body: &str| {
        let request = post(path, "a", body).replace("connection: close\r\n", "");
        let length = request.len() - body.len();
        (request[..length].to_owned(), body.to_owned())
    };
    let in_chunks = (chunked.to_owned(), "4\r\nbody\r\n0\r\n\r\n".to_owned());
    // The number of bytes of the body that arrive before the response.
    let refused = [
        (declared("/none/x", "body"), 0),
        (declared("/none/x", "body"), 2),
        (declared("/none/x", "body"), 4),
        (declared("/none/x", "b\n\n\r\n\r\ny"), 8),
        (declared("/keyed/x", "body"), 0),
        (declared("/none/x", &large), 30_000),
        (declared("/once/x", "body"), 4),
        (in_chunks.clone(), 0),
        (in_chunks, 14),
    ];
    let mut broken = Vec::new();
    for ((head, body), early) in refused {
        let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
        let instance = Instance::start(&[&target]).await;
        let mut caller = Reader::new(instance.connect().await);
        caller.send(&format!("{head}{}", &body[..early])).await;
        let response = caller.read_response().await.expect("a response");
        caller.send(&body[early..]).await;
        caller.send(&kept_get("/safe/x", "b")).await;
        let next = timeout(Duration::from_secs(1), caller.read_response()).await;
        let next = next.expect("a response or an end");
        if next.is_some() == response.contains("connection: close") {
            broken.push((head, early, next.is_some()));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
