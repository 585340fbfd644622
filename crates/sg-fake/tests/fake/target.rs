//! Tests of targets: refusals, crashes, truncated responses and silent connections.

use reqwest::{Client, Response};
use sg_fake::target::{Cold, Control, End, Options, POISON, ResponseBody, ResponseFault, Server};
use sg_types::time::Span;

use crate::any_port;

async fn start_target(slots: u32) -> Server {
    let options = Options {
        name: "t1".parse().expect("a name"),
        listen: any_port(),
        slots,
        service_time: Span::from_millis(1),
        cold: Cold {
            span: Span::ZERO,
            factor: 1.0,
        },
        lag: Span::ZERO,
        seed: 1,
    };
    Server::start(options).await.expect("a target")
}

fn url(target: &Server, path: &str) -> String {
    format!("http://{}{path}", target.address())
}

async fn get(target: &Server, path: &str) -> reqwest::Result<Response> {
    let request = Client::new().get(url(target, path));
    request.header("Sg-Request-Id", "r1").send().await
}

#[tokio::test]
async fn response_names_its_request_and_has_the_requested_size() {
    let target = start_target(2).await;
    let response = get(&target, "/x?size=500").await.expect("a response");
    let body = response.bytes().await.expect("the complete body");
    assert_eq!(body.len(), 500);
    let parsed: ResponseBody = serde_json::from_slice(&body).expect("an answer");
    assert_eq!(
        (parsed.request.as_str(), parsed.path.as_str()),
        ("r1", "/x?size=500")
    );
    assert_eq!(target.records().runs[0].end, End::Answered);
}

#[tokio::test]
async fn refused_requests_are_not_run() {
    let target = start_target(2).await;
    for control in [
        Control {
            leaving: Some(true),
            ..Control::default()
        },
        Control {
            leaving: Some(false),
            shed: Some(true),
            ..Control::default()
        },
    ] {
        target.control(&control);
        let response = get(&target, "/x").await.expect("a response");
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["Sg-Outcome"], "not-run");
        let leaving = response.headers().contains_key("Sg-Leaving");
        assert_eq!(leaving, control.leaving == Some(true));
    }
    let records = target.records();
    assert_eq!(records.runs, []);
    assert_eq!(records.leaving_offers_us.len(), 1);
}

#[tokio::test]
async fn poison_crashes_the_target_and_the_crash_is_recorded() {
    let target = start_target(2).await;
    let request = Client::new().post(url(&target, "/x")).body(POISON);
    request.send().await.expect_err("the connection is reset");
    get(&target, "/x").await.expect_err("the target is down");
    let records = target.records();
    assert_eq!((records.crashes, records.runs.len()), (1, 1));
}

#[tokio::test]
async fn truncated_response_does_not_end_cleanly() {
    let target = start_target(2).await;
    target.control(&Control {
        answers: Some(ResponseFault::Truncated),
        ..Control::default()
    });
    let response = get(&target, "/x?size=500")
        .await
        .expect("the response head");
    response.bytes().await.expect_err("the body is truncated");
}

#[tokio::test]
async fn silence_affects_open_connections_but_not_new_ones() {
    let target = start_target(2).await;
    let pooled_client = Client::new();
    let first = pooled_client
        .get(url(&target, "/x"))
        .send()
        .await
        .expect("a response");
    first.bytes().await.expect("the complete body");
    target.control(&Control {
        silence: true,
        ..Control::default()
    });
    let timeout_span = Span::from_millis(200);
    let silent_request = pooled_client
        .get(url(&target, "/x"))
        .timeout(timeout_span.into())
        .send();
    assert!(
        silent_request
            .await
            .expect_err("the connection is silent")
            .is_timeout()
    );
    get(&target, "/x").await.expect("a new connection works");
}

#[tokio::test]
async fn disconnect_of_the_caller_ends_the_run() {
    let target = start_target(2).await;
    target.control(&Control {
        answers: Some(ResponseFault::Silent),
        ..Control::default()
    });
    let timeout_span = Span::from_millis(100);
    let request = Client::new()
        .get(url(&target, "/x"))
        .timeout(timeout_span.into());
    request.send().await.expect_err("no response arrives");
    while target.records().runs[0].end == End::Running {
        tokio::task::yield_now().await;
    }
    assert_eq!(target.records().runs[0].end, End::Dropped);
}
