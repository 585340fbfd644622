//! Issues tickets: a single one in the header of a refusal, or a batch on request.

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    check::{self, RequestLine},
    dependencies::{DependencySet, Freshness},
    key::PresentedKey,
    reply::{Payload, Reply},
    shared::Shared,
    ticket::Ticket,
    trace::Trace,
};

/// The path at which callers request tickets.
pub const PATH: &str = "/.sg/ticket";

/// The largest number of tickets in one batch.
const MAX_BATCH_TICKETS: u64 = 64;

/// The response body of a batch of tickets.
#[derive(Debug, Serialize)]
struct Batch {
    tickets: Vec<String>,
    expires_in_ms: u64,
}

/// Answers `POST /.sg/ticket?count=N`.
pub fn handle_batch_request<P: DependencySet>(
    shared: &Shared<P>,
    line: &RequestLine,
    headers: &HeaderMap,
    trace: &mut Trace,
) -> Reply {
    match issue_batch(shared, line, headers, trace) {
        Ok(batch) => batch_reply(&batch),
        Err(reason) => Reply::not_run(reason),
    }
}

/// Issues a ticket as a header value; `None` if this instance takes no new work.
pub fn ticket_header<P: DependencySet>(
    shared: &Shared<P>,
    view: &View,
    account: Option<&id::Account>,
) -> Option<HeaderValue> {
    if shared.is_leaving(view) {
        return None;
    }
    let ticket = issue_ticket(shared, view, account);
    HeaderValue::from_str(&ticket.to_string()).ok()
}

fn issue_ticket<P: DependencySet>(
    shared: &Shared<P>,
    view: &View,
    account: Option<&id::Account>,
) -> Ticket {
    let expires = shared.timer.now() + view.fleet.ticket_lifetime;
    shared
        .ticket_issuer
        .issue(account, shared.next_sequence(), expires)
}

fn issue_batch<P: DependencySet>(
    shared: &Shared<P>,
    line: &RequestLine,
    headers: &HeaderMap,
    trace: &mut Trace,
) -> Result<Batch, Reason> {
    let view = check::load_view(shared, trace)?;
    if line.method != Method::POST {
        return Err(Reason::NoRoute);
    }
    let presented = PresentedKey::from_headers(headers).map_err(|_| Reason::Malformed)?;
    let holder = match presented {
        Some(presented) => {
            let holder = presented.holder(&view).ok_or(Reason::KeyRefused)?;
            if !shared.dependencies.freshness().is_fresh(shared.timer.now()) {
                return Err(Reason::Stale);
            }
            Some(holder)
        }
        None => None,
    };
    trace.set_holder(holder.as_ref());
    if shared.is_leaving(&view) {
        return Err(Reason::Leaving);
    }
    let account = holder.as_ref().map(|holder| &holder.account);
    let count = requested_count(line).ok_or(Reason::Malformed)?;
    let tickets = (0..count).map(|_| issue_ticket(shared, &view, account).to_string());
    Ok(Batch {
        tickets: tickets.collect(),
        expires_in_ms: view.fleet.ticket_lifetime.as_millis(),
    })
}

fn requested_count(line: &RequestLine) -> Option<u64> {
    let Some(query) = line.uri.query() else {
        return Some(1);
    };
    let count: u64 = query.strip_prefix("count=")?.parse().ok()?;
    (1..=MAX_BATCH_TICKETS).contains(&count).then_some(count)
}

fn batch_reply(batch: &Batch) -> Reply {
    let mut reply = Reply::refusal(Outcome::Ran, Reason::Answered);
    reply.status = StatusCode::OK;
    let json = HeaderValue::from_static("application/json");
    reply.headers.insert(header::CONTENT_TYPE, json);
    reply.payload = Payload::Complete(serde_json::to_vec(batch).unwrap_or_default().into());
    reply
}
