//! Interface to the header names and status codes that callers and targets use. Implementations
//! translate and make no decisions.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Response, request, response};
use sg_catalog::KeyDigest;
use sg_place::self_report::SelfReport;
use sg_types::prelude::*;

/// Properties of a request, as read from its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo<'a> {
    /// Id that the caller chose for this attempt.
    pub id: &'a str,
    /// Requested host.
    pub host: &'a str,
    /// Key of the client account.
    pub key: Option<KeyDigest>,
    /// Time for which the caller waits for the response.
    pub deadline: Option<Span>,
    /// Name of the object that the request is about.
    pub object: Option<&'a str>,
    /// Whether another instance passed the request on.
    pub is_relayed: bool,
}

/// Error for a request head that can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request is malformed: {0}; see the callers' page")]
pub struct Malformed(pub &'static str);

/// Values that are added to a request on its way to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardInfo<'a> {
    /// Target that the request is meant for.
    pub target: &'a id::Target,
    /// Client account that the key of the request belongs to.
    pub account: Option<&'a id::Account>,
    /// Time for which this instance waits for the response.
    pub remaining: Span,
}

/// Meaning of the head of a target's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The target responded to this request.
    Response {
        /// Whether the response is a failure.
        failed: bool,
    },
    /// The target did not run the request because it has no capacity for it.
    Shed,
    /// Another target now listens on the address; the request did not run.
    Misdirected,
    /// The response can't belong to this request, for the reason in the field.
    Mismatched(&'static str),
}

/// Properties of a response, as read from its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Meaning of the response.
    pub verdict: Verdict,
    /// Whether the response names the request that it belongs to.
    pub names_request: bool,
    /// What the target says of itself; empty if the response is not from the target.
    pub self_report: SelfReport,
    /// Time for which the target keeps an idle connection open.
    pub keep_alive_timeout: Option<Span>,
    /// Whether the target closes the connection.
    pub closes_connection: bool,
}

/// Meaning of the head of another instance's response to a request that was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedInfo {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Revision of the configuration that rejects the request, see [`Refusal::rejected_by`].
    pub rejected_by: Option<Revision>,
    /// Whether the other instance stops and therefore refused the request.
    pub is_leaving: bool,
}

/// Response that this instance generates itself, in place of a response from a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Option<Span>,
    /// Revision of the configuration that rejects the request, if another instance passed the request on
    /// and the configuration alone decides.
    pub rejected_by: Option<Revision>,
}

/// Translates between HTTP messages and the types of this crate.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the name of the header with the id of a request, which is passed on, and repeated in responses.
    fn request_id_header(&self) -> HeaderName;

    /// Parses the head of a request.
    ///
    /// # Errors
    /// Returns [`Malformed`] if a required header is missing or can't be parsed.
    fn parse_request<'a>(&self, head: &'a request::Parts) -> Result<RequestInfo<'a>, Malformed>;

    /// Returns the headers to send to a target: hop-by-hop headers, keys and headers that a caller
    /// may not set are removed, and those that the target needs are added.
    fn forwarded_headers(&self, headers: &HeaderMap, forward_info: &ForwardInfo<'_>) -> HeaderMap;

    /// Parses the head of a response to the request `id`.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseInfo;

    /// Returns the headers of a request that is passed on to another instance, which may use `remaining`:
    /// like those of the caller, with a mark that [`RequestInfo::is_relayed`] reports.
    fn relayed_headers(&self, headers: &HeaderMap, remaining: Span) -> HeaderMap;

    /// Parses the head of another instance's response to the request `id`; returns `None` if the response
    /// can't belong to this request.
    fn parse_relayed_response(&self, head: &response::Parts, id: &str) -> Option<RelayedInfo>;

    /// Returns whether the sender of the response closes the connection.
    fn closes_connection(&self, head: &response::Parts) -> bool;

    /// Removes hop-by-hop headers from a response, and those that only another instance needs.
    fn strip_hop_by_hop_headers(&self, headers: &mut HeaderMap);

    /// Returns the response for a refusal of the request `id`. [`Refusal::rejected_by`] is for
    /// [`Self::parse_relayed_response`] of the instance that passed the request on.
    fn refusal_response(&self, refusal: &Refusal, id: Option<&str>) -> Response<Bytes>;
}
