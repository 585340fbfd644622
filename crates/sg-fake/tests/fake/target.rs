//! Targets: true refusals, crashes, truncated answers and silent connections.

use reqwest::{Client, Response};
use sg_fake::target::{Answer, Answers, Cold, Control, End, Options, POISON, Server};
use sg_types::time::Span;

use crate::any_port;

async fn target(slots: u32) -> Server {
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
async fn an_answer_names_its_request_and_has_the_size_asked_for() {
    let target = target(2).await;
    let response = get(&target, "/x?size=500").await.expect("an answer");
    let body = response.bytes().await.expect("the whole answer");
    assert_eq!(body.len(), 500);
    let answer: Answer = serde_json::from_slice(&body).expect("an answer");
    assert_eq!(
        (answer.request.as_str(), answer.path.as_str()),
        ("r1", "/x?size=500")
    );
    assert_eq!(target.records().runs[0].end, End::Answered);
}

#[tokio::test]
async fn a_refusal_is_true() {
    let target = target(2).await;
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
        let response = get(&target, "/x").await.expect("an answer");
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
async fn poison_crashes_the_target_and_is_recorded() {
    let target = target(2).await;
    let request = Client::new().post(url(&target, "/x")).body(POISON);
    request.send().await.expect_err("the connection is reset");
    get(&target, "/x").await.expect_err("the target is down");
    let records = target.records();
    assert_eq!((records.crashes, records.runs.len()), (1, 1));
}

#[tokio::test]
async fn a_truncated_answer_does_not_end_cleanly() {
    let target = target(2).await;
    target.control(&Control {
        answers: Some(Answers::Truncated),
        ..Control::default()
    });
    let response = get(&target, "/x?size=500").await.expect("the head");
    response.bytes().await.expect_err("the body is cut");
}

#[tokio::test]
async fn silence_holds_old_connections_and_spares_new_ones() {
    let target = target(2).await;
    let old = Client::new();
    let first = old.get(url(&target, "/x")).send().await.expect("an answer");
    first.bytes().await.expect("the whole answer");
    target.control(&Control {
        silence: true,
        ..Control::default()
    });
    let patience = Span::from_millis(200);
    let silent = old.get(url(&target, "/x")).timeout(patience.into()).send();
    assert!(
        silent
            .await
            .expect_err("the connection is silent")
            .is_timeout()
    );
    get(&target, "/x").await.expect("a new connection works");
}

#[tokio::test]
async fn a_caller_that_goes_away_ends_its_run() {
    let target = target(2).await;
    target.control(&Control {
        answers: Some(Answers::Silent),
        ..Control::default()
    });
    let patience = Span::from_millis(100);
    let request = Client::new()
        .get(url(&target, "/x"))
        .timeout(patience.into());
    request.send().await.expect_err("no answer comes");
    while target.records().runs[0].end == End::Running {
        tokio::task::yield_now().await;
    }
    assert_eq!(target.records().runs[0].end, End::Dropped);
}
