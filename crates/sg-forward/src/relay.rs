//! Relays a request to the instance that issued its ticket.
//!
//! The plain key is not sent: the other instance receives a proof keyed with the key's digest,
//! which it knows from the tree. The request is sent to a path that no target serves, so that it
//! runs nothing if the instance's address has since been reassigned to a target.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use sg_steer::Completion;
use sg_tree::{Digest, View};
use sg_types::prelude::*;
use subtle::ConstantTimeEq;

use crate::{
    call::Call,
    check::{self, Head, RequestLine},
    dependencies::{DependencySet, Directory},
    handler::RelayData,
    headers,
    history::Failure,
    key::Holder,
    reply::{Payload, Refusal, Reply},
    response::{self, Limits, TargetResponse},
    shared::Shared,
    stream::ResponseStream,
    ticket::Ticket,
    trace::Trace,
    upstream::{self, Connection, Outgoing},
};

/// The path at which instances accept relayed requests.
pub const PATH: &str = "/.sg/relay";

const METHOD: HeaderName = HeaderName::from_static("sg-relay-method");
const TARGET_PATH: HeaderName = HeaderName::from_static("sg-relay-path");
const HOLDER: HeaderName = HeaderName::from_static("sg-relay-holder");
const PROOF: HeaderName = HeaderName::from_static("sg-relay-proof");

/// Separates the account from the key's name.
const SEPARATOR: char = '/';

/// Relays the request to the ticket's issuer and returns the issuer's reply.
pub async fn send<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    call: Box<Call>,
    relay_data: &RelayData,
    ticket: &Ticket,
) -> Reply {
    let directory = shared.dependencies.directory();
    let issuer_gone = || Reply::refusal(Outcome::Unknown, Reason::IssuerGone);
    let Some(address) = directory.instance_address(&ticket.instance, ticket.incarnation) else {
        return issuer_gone();
    };
    let Some(outgoing) = outgoing(shared, &call, relay_data, ticket) else {
        return issuer_gone();
    };
    shared.metrics.relays.inc();
    let limits = Limits {
        max_size: call.settings.response_limit,
        progress_timeout: call.settings.deadline,
        deadline: call.deadline,
        may_stream: call.may_stream(),
    };
    let timer = &shared.timer;
    let sending = shared.clients.send(
        timer,
        Connection::Fresh,
        call.settings.connect_timeout,
        address,
        &outgoing,
        call.deadline,
    );
    let response = match sending.await {
        Ok(response) => {
            let reservation = &mut shared.memory.reserve();
            response::receive(
                timer,
                response,
                &call.outgoing.method,
                &call.id,
                limits,
                reservation,
            )
            .await
        }
        Err(failure) => Err(failure),
    };
    match response {
        Ok(response) => issuer_reply(shared, call, limits, response).unwrap_or_else(issuer_gone),
        Err(Failure::ConnectFailed) => issuer_gone(),
        Err(failure) => Reply::refusal(Outcome::Unknown, failure.reason()),
    }
}

fn outgoing<P: DependencySet>(
    shared: &Shared<P>,
    call: &Call,
    relay_data: &RelayData,
    ticket: &Ticket,
) -> Option<Outgoing> {
    let remaining_ms = call.deadline.since(shared.timer.now()).as_millis();
    let method = call.outgoing.method.as_str();
    let ticket = ticket.to_string();
    let mut headers = call.outgoing.headers.clone();
    let mut insert = |name: HeaderName, text: &str| {
        let value = HeaderValue::from_str(text).ok()?;
        headers.insert(name, value);
        Some(())
    };
    insert(METHOD, method)?;
    insert(TARGET_PATH, &relay_data.path)?;
    insert(headers::IDEMPOTENCY_KEY, &ticket)?;
    insert(headers::REQUEST_ID, call.id.as_str())?;
    insert(headers::DEADLINE, &remaining_ms.to_string())?;
    if let Some(holder) = &call.holder {
        let name = format!("{}{SEPARATOR}{}", holder.account, holder.name);
        insert(HOLDER, &name)?;
        let proof = key_proof(&holder.digest, &ticket, method, &relay_data.path);
        insert(PROOF, proof.to_hex().as_str())?;
    }
    Some(Outgoing {
        method: Method::POST,
        url: upstream::url(PATH)?,
        headers,
        body: call.outgoing.body.clone(),
    })
}

/// Returns a keyed hash over the relayed request. The issuer knows the key's digest and can verify
/// that the key came with the request.
fn key_proof(digest: &Digest, ticket: &str, method: &str, path: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(digest.as_bytes());
    for part in [PATH, ticket, method, path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize()
}

/// Builds the reply from the issuer's response; `None` if the response does not come from an
/// instance.
fn issuer_reply<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    call: Box<Call>,
    limits: Limits,
    response: TargetResponse,
) -> Option<Reply> {
    let (status, mut headers, payload) = match response {
        TargetResponse::Complete {
            status,
            headers,
            body,
        } => (status, headers, Payload::Complete(body)),
        TargetResponse::Partial { first, mut rest } => {
            let status = rest.status();
            let headers = std::mem::take(rest.headers_mut());
            let stream = ResponseStream {
                shared: shared.clone(),
                settings: call.settings,
                holder: call.holder,
                limits,
                first,
                rest,
                attempt: None,
                completion: Completion::Cancelled,
                caller: call.caller,
                permit: None,
                in_flight_guard: shared.shutdown.begin_request(),
            };
            (status, headers, Payload::Stream(stream.into_body()))
        }
    };
    let header_text = |name: &HeaderName| headers.get(name)?.to_str().ok();
    let outcome = header_text(&headers::OUTCOME)?.parse().ok()?;
    let reason = header_text(&headers::REASON)?.parse().ok()?;
    let ticket = headers.get(&headers::TICKET).cloned();
    headers::strip_response(&mut headers);
    Some(Reply {
        outcome,
        reason,
        status,
        headers,
        payload,
        retry_after: None,
        ticket,
        from_issuer: true,
    })
}

/// Checks the head of a request that another instance relayed.
///
/// # Errors
/// The reason for the refusal.
pub fn check_relayed<P: DependencySet>(
    shared: &Shared<P>,
    outer: &RequestLine,
    mut headers: HeaderMap,
    trace: &mut Trace,
) -> Result<Box<Head>, Refusal> {
    if outer.method != Method::POST {
        return Err(Reason::NoRoute.into());
    }
    let view = check::load_view(shared, trace)?;
    let line = original_request_line(&headers).ok_or(Reason::Malformed)?;
    let settings = check::find_route(&view, &line, &headers, trace)?;
    let holder = verify_holder(&view, &line, &headers);
    if settings.requires_key && holder.is_none() {
        return Err(Reason::KeyRefused.into());
    }
    let holder = holder.filter(|_| settings.requires_key);
    trace.set_holder(holder.as_ref());
    if let Some(request) =
        header_text(&headers, &headers::REQUEST_ID).and_then(|id| id.parse().ok())
    {
        trace.request = request;
    }
    headers.remove(http::header::AUTHORIZATION);
    let arrived = trace.arrived;
    let mut head =
        check::check_with_holder(shared, view, line, headers, settings, holder, arrived)?;
    head.is_relayed = true;
    Ok(head)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn original_request_line(headers: &HeaderMap) -> Option<RequestLine> {
    let method = Method::from_bytes(header_text(headers, &METHOD)?.as_bytes()).ok()?;
    let uri: Uri = header_text(headers, &TARGET_PATH)?.parse().ok()?;
    Some(RequestLine { method, uri })
}

/// Returns the holder of the key if the proof is valid.
fn verify_holder(view: &View, line: &RequestLine, headers: &HeaderMap) -> Option<Holder> {
    let (account, name) = header_text(headers, &HOLDER)?.split_once(SEPARATOR)?;
    let ticket = header_text(headers, &headers::IDEMPOTENCY_KEY)?;
    let path = line.uri.path_and_query()?.as_str();
    let presented = blake3::Hash::from_hex(header_text(headers, &PROOF)?).ok()?;
    let is_named =
        |key: &sg_tree::view::Key| key.account.as_str() == account && key.name.as_str() == name;
    let (digest, key) = view.keys.iter().find(|(_, key)| is_named(key))?;
    let expected = key_proof(digest, ticket, line.method.as_str(), path);
    let matches: bool = presented.as_bytes().ct_eq(expected.as_bytes()).into();
    matches.then(|| Holder {
        account: key.account.clone(),
        name: key.name.clone(),
        digest: *digest,
    })
}
