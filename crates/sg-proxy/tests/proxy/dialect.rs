//! Minimal dialect for the tests.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, request, response};
use sg_catalog::KeyDigest;
use sg_place::{
    member::LoadReport,
    self_report::{RetryAfter, SelfReport},
};
use sg_proxy::{
    Dialect,
    dialect::{ForwardInfo, Malformed, Refusal, RelayedInfo, RequestInfo, ResponseInfo, Verdict},
};
use sg_types::prelude::*;

pub struct TestDialect;

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Dialect for TestDialect {
    fn request_id_header(&self) -> HeaderName {
        HeaderName::from_static("id")
    }

    fn parse_request<'a>(&self, head: &'a request::Parts) -> Result<RequestInfo<'a>, Malformed> {
        Ok(RequestInfo {
            id: header(&head.headers, "id").ok_or(Malformed("no id"))?,
            host: header(&head.headers, "host").ok_or(Malformed("no host"))?,
            key: header(&head.headers, "key").map(KeyDigest::from_key),
            deadline: header(&head.headers, "deadline")
                .and_then(|text| text.parse().ok())
                .map(Span::from_millis),
            object: header(&head.headers, "object"),
            is_relayed: head.headers.contains_key("relayed"),
        })
    }

    fn forwarded_headers(&self, headers: &HeaderMap, forward_info: &ForwardInfo<'_>) -> HeaderMap {
        let mut headers = headers.clone();
        for name in ["key", "connection", "content-length", "transfer-encoding"] {
            headers.remove(name);
        }
        let remaining = forward_info.remaining.as_millis().to_string();
        headers.insert(
            "deadline",
            HeaderValue::from_str(&remaining).expect("digits"),
        );
        let target = HeaderValue::from_str(forward_info.target.as_str()).expect("a name");
        headers.insert("expect-target", target);
        headers
    }

    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseInfo {
        let verdict = if header(&head.headers, "id").is_some_and(|echoed| echoed != id) {
            Verdict::Mismatched("another id")
        } else if head.headers.contains_key("not-run") {
            Verdict::Shed
        } else if head.status == StatusCode::MISDIRECTED_REQUEST {
            Verdict::Misdirected
        } else {
            Verdict::Response {
                failed: !head.status.is_success(),
            }
        };
        let report = header(&head.headers, "load").map(|_| LoadReport {
            running: 1,
            waiting: 0,
            slots: 4,
            pace: None,
        });
        let rate_limit = header(&head.headers, "limit").and_then(|text| text.parse().ok());
        ResponseInfo {
            verdict,
            names_request: header(&head.headers, "id") == Some(id),
            self_report: SelfReport {
                load: report,
                rate_limit: rate_limit.map(Rate::per_second),
                is_leaving: head.headers.contains_key("leaving"),
                retry_after: header(&head.headers, "come-back").map(|text| {
                    let millis = text.parse().map(Span::from_millis);
                    millis.map_or(RetryAfter::Unreadable, RetryAfter::In)
                }),
            },
            keep_alive_timeout: None,
            closes_connection: self.closes_connection(head),
        }
    }

    fn relayed_headers(&self, headers: &HeaderMap, remaining: Span) -> HeaderMap {
        let mut headers = headers.clone();
        for name in ["connection", "content-length", "transfer-encoding"] {
            headers.remove(name);
        }
        headers.insert("relayed", HeaderValue::from_static("1"));
        headers.insert("deadline", HeaderValue::from(remaining.as_millis()));
        headers
    }

    fn parse_relayed_response(&self, head: &response::Parts, id: &str) -> Option<RelayedInfo> {
        if header(&head.headers, "id") != Some(id) {
            return None;
        }
        let revision = header(&head.headers, "rejected-by");
        Some(RelayedInfo {
            outcome: match head.status {
                StatusCode::OK => Outcome::Ran,
                StatusCode::SERVICE_UNAVAILABLE => Outcome::NotRun,
                _ => Outcome::Unknown,
            },
            rejected_by: revision
                .and_then(|text| text.parse().ok())
                .map(Revision::new),
            is_leaving: header(&head.headers, "reason") == Some("leaving"),
        })
    }

    fn closes_connection(&self, head: &response::Parts) -> bool {
        header(&head.headers, "connection") == Some("close")
    }

    fn strip_hop_by_hop_headers(&self, headers: &mut HeaderMap) {
        headers.remove("connection");
        headers.remove("rejected-by");
    }

    fn refusal_response(&self, refusal: &Refusal, id: Option<&str>) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
            response.headers_mut().insert("id", id);
        }
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
        if let Some(revision) = refusal.rejected_by {
            let revision = HeaderValue::from(revision.get());
            response.headers_mut().insert("rejected-by", revision);
        }
        if let Some(after) = refusal.retry_after {
            let after = after.as_millis().to_string();
            let after = HeaderValue::from_str(&after).expect("digits");
            response.headers_mut().insert("retry-after", after);
        }
        response
    }
}
