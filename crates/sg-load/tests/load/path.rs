//! Runs a load over loopback through a minimal proxy to fake targets.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use poem::{Endpoint, Request, Response, Server, http::StatusCode, listener::TcpAcceptor};
use serde_json::{Value, json};
use sg_fake::{store, target};
use sg_load::{
    check::Promise,
    history::{AttemptResult, Call, History},
    measure,
    plan::Plan,
    report::Report,
    run::{self, Progress},
};
use sg_types::prelude::*;
use tokio::net::TcpListener;

/// The promise that the proxy violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    ForwardsKeys,
    RunsTwice,
    SaysNotRun,
    MixesAnswers,
}

/// A proxy to one target. It makes none of the decisions of an entry, and attributes every request to
/// one account.
struct Proxy {
    target: SocketAddr,
    client: reqwest::Client,
    mutation: Mutation,
    /// The entry that lookups return.
    named: Option<SocketAddr>,
}

impl Endpoint for Proxy {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        if path.starts_with("/.sg/") {
            return Ok(self.lookup_response());
        }
        let post = request.method() == poem::http::Method::POST;
        if post && request.header("Idempotency-Key").is_none() {
            let builder = Response::builder().status(StatusCode::PRECONDITION_REQUIRED);
            let builder = builder.header("Sg-Outcome", "not-run");
            let builder = builder.header("Sg-Reason", "ticket-missing");
            return Ok(builder.header("Sg-Ticket", "t-1").finish());
        }
        let key = request
            .header("Authorization")
            .unwrap_or_default()
            .to_owned();
        let body = request.take_body().into_vec().await.unwrap_or_default();
        let times = if self.mutation == Mutation::RunsTwice {
            2
        } else {
            1
        };
        let mut answer = Vec::new();
        for _ in 0..times {
            let url = match self.mutation {
                Mutation::MixesAnswers => format!("http://{}/other", self.target),
                _ => format!("http://{}{path}", self.target),
            };
            let mut forwarded = self
                .client
                .post(url)
                .header("Sg-Account", "a")
                .body(body.clone());
            if self.mutation == Mutation::ForwardsKeys {
                forwarded = forwarded.header("Authorization", &key);
            }
            let response = forwarded.send().await.expect("the target answers");
            answer = response.bytes().await.expect("the whole answer").to_vec();
        }
        if self.mutation == Mutation::SaysNotRun {
            let builder = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
            let builder = builder.header("Sg-Outcome", "not-run");
            return Ok(builder.header("Sg-Reason", "no-target").finish());
        }
        let builder = Response::builder().header("Sg-Outcome", "ran");
        Ok(builder.header("Sg-Reason", "answered").body(answer))
    }
}

impl Proxy {
    fn lookup_response(&self) -> Response {
        let Some(named) = self.named else {
            return Response::builder().status(StatusCode::NOT_FOUND).finish();
        };
        let entry = json!({ "instance": "named", "address": named, "weight": "100%" });
        let answer = json!({ "entries": [entry], "cache": "200ms" });
        Response::builder().body(answer.to_string())
    }
}

struct NoProgress;

impl Progress for NoProgress {
    fn calls_made(&mut self, _: usize, _: usize) {}
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_target() -> target::Server {
    target::Server::start(target::Options {
        name: "t1".parse().expect("a name"),
        listen: any_port(),
        slots: 200,
        service_time: Span::from_millis(1),
        cold: target::Cold {
            span: Span::ZERO,
            factor: 1.0,
        },
        lag: Span::ZERO,
        seed: 1,
    })
    .await
    .expect("a target")
}

async fn start_entry(
    target: SocketAddr,
    mutation: Mutation,
    named: Option<SocketAddr>,
) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let acceptor = TcpAcceptor::from_tokio(listener).expect("an acceptor");
    let client = reqwest::Client::new();
    let proxy = Proxy {
        target,
        client,
        mutation,
        named,
    };
    tokio::spawn(Server::new_with_acceptor(acceptor).run(Arc::new(proxy)));
    address
}

/// Writes the tree to a file that is unique to the test and returns the path.
fn tree_file(target: SocketAddr) -> PathBuf {
    let tree = json!({
        "regions": { "north": { "domains": { "n1": {} } } },
        "services": { "desk": {
            "routes": { "list": { "path": "/list", "method": "POST", "repeatable": "yes" },
                        "book": { "path": "/book", "method": "POST" } },
            "targets": { "t1": { "address": target.to_string(), "domain": "n1" } } } },
        "accounts": { "a": { "rate": "1000/s", "burst": 1000 } }
    });
    let file = std::env::temp_dir().join(format!(
        "sg-load-{}-{}.json",
        std::process::id(),
        target.port()
    ));
    std::fs::write(&file, tree.to_string()).expect("the tree is written");
    file
}

async fn load(mutation: Mutation) -> Report {
    let target = start_target().await;
    let entry = start_entry(target.address(), mutation, None).await;
    let history = record(&target, &[entry]).await;
    measure::measure(&history).expect("measures")
}

/// Records one second of calls to `entries` during an outage of the store.
async fn record(target: &target::Server, entries: &[SocketAddr]) -> History {
    let outage = json!([{ "at": "100ms", "do": { "store": { "outage": "refuse" } } }]);
    record_with(target, entries, outage).await
}

async fn record_with(target: &target::Server, entries: &[SocketAddr], faults: Value) -> History {
    let store = store::Server::start(store::Options {
        listen: any_port(),
        seed: 1,
    });
    let store = store.await.expect("a store");
    let tree = tree_file(target.address());
    let known = entries.iter().enumerate();
    let known: Vec<_> = known
        .map(|(n, address)| json!({ "instance": format!("known-{n}"), "address": address }))
        .collect();
    let plan: Plan = serde_json::from_value(json!({
        "seed": 3, "duration": "1s", "tree": tree, "store": store.address(),
        "list": "127.0.0.1:1",
        "entries": known,
        "mix": [{ "route": "list", "weight": 1, "size": 300 },
                { "route": "book", "weight": 1, "size": 0 }],
        "accounts": [{ "account": "a", "key": "k", "secret": "s3cret", "rate": "100/s" }],
        "faults": faults
    }))
    .expect("a plan");
    let history = run::record(plan, None, &mut NoProgress)
        .await
        .expect("a history");
    let _ = std::fs::remove_file(tree);
    history
}

fn broken_promises(report: &Report) -> Vec<Promise> {
    let mut broken: Vec<_> = report.violations.iter().map(|v| v.promise).collect();
    broken.sort();
    broken.dedup();
    broken
}

#[tokio::test]
async fn correct_proxy_has_no_violations() {
    let report = load(Mutation::None).await;
    assert_eq!(broken_promises(&report), []);
    assert_eq!(report.outcomes.good, report.calls);
    assert_eq!(report.latency_ms.all.count, report.calls);
    assert_eq!(report.wrongful_refusals.count, 0);
}

#[tokio::test]
async fn each_faulty_proxy_is_reported() {
    for (mutation, promises) in [
        (Mutation::ForwardsKeys, vec![Promise::KeyStaysHere]),
        (Mutation::RunsTwice, vec![Promise::RunsAtMostOnce]),
        (Mutation::SaysNotRun, vec![Promise::NotRunIsTrue]),
        (Mutation::MixesAnswers, vec![Promise::OwnAnswer]),
    ] {
        assert_eq!(
            broken_promises(&load(mutation).await),
            promises,
            "{mutation:?}"
        );
    }
}

#[tokio::test]
async fn callers_use_the_entry_that_lookups_return() {
    let target = start_target().await;
    let named = start_entry(target.address(), Mutation::None, None).await;
    let known = start_entry(target.address(), Mutation::None, Some(named)).await;
    let history = record(&target, &[known]).await;
    let attempts = history.calls.iter().flat_map(|call| &call.attempts);
    let other_attempts: Vec<_> = attempts.filter(|a| a.entry.as_str() != "named").collect();
    assert!(other_attempts.is_empty(), "{other_attempts:?}");
    assert!(history.calls.iter().all(Call::is_success));
}

#[tokio::test]
async fn callers_retry_at_another_entry_when_one_is_down() {
    let target = start_target().await;
    let gone = start_target().await.address();
    let alive = start_entry(target.address(), Mutation::None, None).await;
    let history = record(&target, &[gone, alive]).await;
    assert!(history.calls.iter().all(Call::is_success));
    let mut results = history
        .calls
        .iter()
        .flat_map(|call| &call.attempts)
        .map(|a| &a.result);
    assert!(
        results.any(|result| *result == AttemptResult::NotSent),
        "no call tried the entry that is down"
    );
}

#[tokio::test]
async fn fault_reaches_a_target_with_silent_connections() {
    let target = start_target().await;
    let entry = start_entry(target.address(), Mutation::None, None).await;
    let fault = |at: &str, control: Value| json!({ "at": at, "do": { "target": { "which": {}, "control": control } } });
    let faults = json!([
        fault("900ms", json!({ "silence": true })),
        fault("950ms", json!({ "silence": true })),
        fault("990ms", json!({ "leaving": true })),
    ]);
    let history = record_with(&target, &[entry], faults).await;
    assert!(history.events.iter().all(|event| event.done.is_some()));
    assert!(target.records().leaving_us.is_some());
}
