//! The reply to a caller, before its conversion to an HTTP response.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use poem::Response;
use sg_types::prelude::*;

use crate::headers;

/// The body of a reply.
#[derive(Debug)]
pub enum Payload {
    /// A complete body.
    Complete(Bytes),
    /// A fixed text.
    Text(&'static str),
    /// A large response that is passed on while it arrives.
    Stream(poem::Body),
}

/// A refusal of a request before this instance starts any work on it.
#[derive(Debug)]
pub struct Refusal {
    reason: Reason,
    outcome: Outcome,
    retry_after: Option<Span>,
    ticket: Option<HeaderValue>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
            ticket: None,
        }
    }

    /// Creates a refusal of a request of which an earlier send may have run.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            retry_after: None,
            ticket: None,
        }
    }

    /// Sets the `Retry-After` time.
    #[must_use]
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Sets a fresh ticket for the caller.
    #[must_use]
    pub fn with_ticket(mut self, ticket: Option<HeaderValue>) -> Self {
        self.ticket = ticket;
        self
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self::not_run(reason)
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        let mut reply = Self::refusal(refusal.outcome, refusal.reason);
        reply.retry_after = refusal.retry_after;
        reply.ticket = refusal.ticket;
        reply
    }
}

/// A reply to a caller.
#[derive(Debug)]
pub struct Reply {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The reason for the outcome.
    pub reason: Reason,
    /// The HTTP status.
    pub status: StatusCode,
    /// The target's headers without those that must not reach a caller.
    pub headers: HeaderMap,
    /// The body.
    pub payload: Payload,
    /// The `Retry-After` time.
    pub retry_after: Option<Span>,
    /// A fresh ticket for the caller.
    pub ticket: Option<HeaderValue>,
    /// Whether the reply comes from the instance that issued the request's ticket, which knows for
    /// certain whether the request ran.
    pub from_issuer: bool,
}

impl Reply {
    /// Creates a reply whose body is the reason's text, without allocating.
    #[must_use]
    pub fn refusal(outcome: Outcome, reason: Reason) -> Self {
        let status = StatusCode::from_u16(reason.status());
        Self {
            outcome,
            reason,
            status: status.unwrap_or(StatusCode::BAD_GATEWAY),
            headers: HeaderMap::new(),
            payload: Payload::Text(reason.as_str()),
            retry_after: None,
            ticket: None,
            from_issuer: false,
        }
    }

    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self::refusal(Outcome::NotRun, reason)
    }

    /// Turns "not run" into "unknown", because an earlier send of the request may have run. A reply
    /// from the ticket's issuer stays as it is.
    #[must_use]
    pub fn into_unknown(mut self) -> Self {
        if self.outcome == Outcome::NotRun && !self.from_issuer {
            self.outcome = Outcome::Unknown;
            self.ticket = None;
        }
        self
    }

    /// Sets the `Retry-After` time.
    #[must_use]
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Converts the reply to an HTTP response.
    #[must_use]
    pub fn into_response(self, request: &id::Request) -> Response {
        let mut head = self.headers;
        let body = match self.payload {
            Payload::Complete(bytes) if bytes.is_empty() => poem::Body::empty(),
            Payload::Complete(bytes) => {
                head.remove(header::CONTENT_LENGTH);
                bytes.into()
            }
            Payload::Text(text) => {
                let plain = HeaderValue::from_static("text/plain; charset=utf-8");
                head.insert(header::CONTENT_TYPE, plain);
                text.into()
            }
            Payload::Stream(body) => body,
        };
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        let reason = HeaderValue::from_static(self.reason.as_str());
        head.insert(headers::OUTCOME, outcome);
        head.insert(headers::REASON, reason);
        if let Ok(request) = HeaderValue::from_str(request.as_str()) {
            head.insert(headers::REQUEST_ID, request);
        }
        if let Some(ticket) = self.ticket {
            head.insert(headers::TICKET, ticket);
        }
        if let Some(span) = self.retry_after {
            head.insert(
                header::RETRY_AFTER,
                HeaderValue::from(round_up_to_seconds(span)),
            );
        }
        let mut response = Response::builder().status(self.status).body(body);
        *response.headers_mut() = head;
        response
    }
}

/// Converts a span to seconds, rounded up and at least one.
fn round_up_to_seconds(span: Span) -> u64 {
    const MILLIS: u64 = 1_000;
    span.as_millis().div_ceil(MILLIS).max(1)
}
