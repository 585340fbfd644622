//! Header names, and the headers that pass between caller and target.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Whether a target ran the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("sg-outcome");
/// The reason for the outcome.
pub const REASON: HeaderName = HeaderName::from_static("sg-reason");
/// The request id, for `sg why`.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("sg-request-id");
/// Milliseconds until the deadline.
pub const DEADLINE: HeaderName = HeaderName::from_static("sg-deadline-ms");
/// The client account, for targets.
pub const ACCOUNT: HeaderName = HeaderName::from_static("sg-account");
/// A fresh ticket.
pub const TICKET: HeaderName = HeaderName::from_static("sg-ticket");
/// States that a target takes no new work.
pub const LEAVING: HeaderName = HeaderName::from_static("sg-leaving");
/// The ticket that a caller sends.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The prefix of this system's own headers.
const OWN_PREFIX: &str = "sg-";

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that must not reach a target: the key, hop-by-hop headers, this system's own
/// headers, and those that the HTTP client sets itself.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_common(headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(IDEMPOTENCY_KEY);
}

/// Removes the headers that must not reach a caller: hop-by-hop headers and this system's own
/// headers.
pub fn strip_response(headers: &mut HeaderMap) {
    strip_common(headers);
}

fn strip_common(headers: &mut HeaderMap) {
    if let Some(named) = named_by_connection(headers) {
        for name in named {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    if !headers.keys().any(is_own) {
        return;
    }
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_own(name))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

fn is_own(name: &HeaderName) -> bool {
    name.as_str().starts_with(OWN_PREFIX)
}

fn named_by_connection(headers: &HeaderMap) -> Option<Vec<HeaderName>> {
    headers.get(header::CONNECTION)?;
    let names = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    Some(names)
}

/// Returns the size of `headers` on the wire, in bytes.
#[must_use]
pub fn wire_size(headers: &HeaderMap) -> u64 {
    const SEPARATORS: usize = 4;
    headers
        .iter()
        .map(|(name, value)| (name.as_str().len() + value.len() + SEPARATORS) as u64)
        .sum()
}

/// Returns the number in a header, if the header is present and holds one.
#[must_use]
pub fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns whether the header's value is `text`, ignoring ASCII case and surrounding whitespace.
#[must_use]
pub fn has_value(headers: &HeaderMap, name: &HeaderName, text: &str) -> bool {
    headers
        .get(name)
        .and_then(|value: &HeaderValue| value.to_str().ok())
        .is_some_and(|value| value.trim().eq_ignore_ascii_case(text))
}
