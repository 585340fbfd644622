//! Targets and other instances that respond with a status line that HTTP doesn't know.

use std::time::{Duration, Instant};

use http::{Request, header::HOST};
use sg_proxy::{
    connections::{ReusePolicy, Timeouts},
    content::Outgoing,
};
use sg_types::prelude::*;

use crate::harness::{Instance, OK, ScriptedTarget, Step, get, post, status};

/// Status lines without the version.
const LINES: [&str; 9] = [
    "000 None", "001 None", "099 None", "20 OK", "2000 OK", "-20 OK", "abc OK", " 200 OK", "",
];

/// The time in which a request whose only target responds so has to be answered; its deadline is after 1 s.
const MAX_TIME: Duration = Duration::from_millis(500);

/// Returns a response with `line`, which names the request unless `is_anonymous`.
fn response(line: &str, is_anonymous: bool) -> &'static str {
    let id = if is_anonymous { "" } else { "id: {id}\r\n" };
    let text = format!("HTTP/1.1 {line}\r\n{id}not-run: 1\r\ncontent-length: 4\r\n\r\nodd!");
    Box::leak(text.into_boxed_str())
}

/// Guards against such a response being passed on, taken for a refusal, or waited behind until the deadline.
#[tokio::test]
async fn response_without_a_valid_status_is_no_response() {
    let mut failed = Vec::new();
    for line in LINES {
        for (is_first, is_relayed, request) in [
            (true, false, get("/safe/x", "a2")),
            (true, false, post("/once/x", "a2", "body")),
            (false, false, get("/safe/x", "a2")),
            (false, false, post("/once/x", "a2", "body")),
            (true, true, post("/once/x", "a2", "body")),
        ] {
            let mut steps = vec![Step::Respond(OK), Step::Respond(response(line, false))];
            if is_first {
                steps.remove(0);
            }
            let target = ScriptedTarget::start(steps).await;
            let targets = [&target];
            let instance = Instance::start(&targets[usize::from(is_relayed)..]).await;
            if is_relayed {
                instance.cut_off();
                instance.set_peers(&[target.address]);
            }
            if !is_first {
                instance.send(&get("/safe/x", "a1")).await;
            }
            let started = Instant::now();
            let answer = instance.send(&request).await;
            let took = started.elapsed();
            let sends = target
                .requests
                .lock()
                .iter()
                .filter(|r| r.contains("a2"))
                .count();
            let is_repeated = request.starts_with("POST") && sends > 1;
            if status(&answer) != 502 || took > MAX_TIME || answer.contains("odd!") || is_repeated {
                let case = (line, is_first, is_relayed);
                failed.push(format!(
                    "{case:?}: {answer:.20} after {took:?}, {sends} sends"
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a target that counts as healthy by such a response.
#[tokio::test]
async fn response_without_a_valid_status_is_no_response_to_a_check() {
    for line in LINES {
        let target = ScriptedTarget::start(vec![Step::Respond(response(line, true))]).await;
        let instance = Instance::start(&[&target]).await;
        let check = Request::get("/health").header(HOST, "h");
        let check = check.body(Outgoing::empty()).expect("a request");
        let timeouts = Timeouts::with_connect(Span::from_secs(1));
        let connections = &instance.core.connections;
        let sent = connections.send(target.address, check, ReusePolicy::ANY, timeouts, || true);
        assert!(sent.await.is_err(), "{line}");
    }
}
