//! Minimal dialect for the tests.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, request, response};
use sg_catalog::Secret;
use sg_place::member::Report;
use sg_proxy::{
    Dialect,
    dialect::{Heard, Malformed, Refusal, Said, Stamp, Verdict},
};
use sg_types::prelude::*;

pub struct TestDialect;

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Dialect for TestDialect {
    fn read<'a>(&self, head: &'a request::Parts) -> Result<Said<'a>, Malformed> {
        Ok(Said {
            id: header(&head.headers, "id").ok_or(Malformed("no id"))?,
            host: header(&head.headers, "host").ok_or(Malformed("no host"))?,
            key: header(&head.headers, "key").map(Secret::of),
            deadline: header(&head.headers, "deadline")
                .and_then(|text| text.parse().ok())
                .map(Span::from_millis),
            object: header(&head.headers, "object"),
        })
    }

    fn prepare(&self, headers: &HeaderMap, stamp: &Stamp<'_>) -> HeaderMap {
        let mut headers = headers.clone();
        for name in ["key", "connection", "content-length", "transfer-encoding"] {
            headers.remove(name);
        }
        let remaining = stamp.left.as_millis().to_string();
        headers.insert(
            "deadline",
            HeaderValue::from_str(&remaining).expect("digits"),
        );
        let target = HeaderValue::from_str(stamp.target.as_str()).expect("a name");
        headers.insert("expect-target", target);
        headers
    }

    fn hear(&self, head: &response::Parts, id: &str) -> Heard {
        let verdict = if header(&head.headers, "id").is_some_and(|echoed| echoed != id) {
            Verdict::Foreign("another id")
        } else if head.headers.contains_key("not-run") {
            Verdict::Shed
        } else if head.status == StatusCode::MISDIRECTED_REQUEST {
            Verdict::Misdirected
        } else {
            Verdict::Answer {
                failed: !head.status.is_success(),
            }
        };
        let report = header(&head.headers, "load").map(|_| Report {
            running: 1,
            waiting: 0,
            slots: 4,
        });
        Heard {
            verdict,
            report,
            idle: None,
            closes: header(&head.headers, "connection") == Some("close"),
        }
    }

    fn pass_on(&self, headers: &mut HeaderMap) {
        headers.remove("connection");
    }

    fn refuse(&self, refusal: &Refusal, _: Option<&str>) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = match (refusal.outcome, refusal.reason) {
            (Outcome::Unknown, Reason::DeadlineRunning) => StatusCode::GATEWAY_TIMEOUT,
            (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
            (_, Reason::OverRate) => StatusCode::TOO_MANY_REQUESTS,
            (_, Reason::KeyMissing | Reason::KeyRefused) => StatusCode::UNAUTHORIZED,
            (_, Reason::NoRoute) => StatusCode::NOT_FOUND,
            (_, Reason::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let reason = HeaderValue::from_static(refusal.reason.as_str());
        response.headers_mut().insert("reason", reason);
        if let Some(after) = refusal.retry_after {
            let after = after.as_millis().to_string();
            let after = HeaderValue::from_str(&after).expect("digits");
            response.headers_mut().insert("retry-after", after);
        }
        response
    }
}
