//! Handles a request from its head to its reply.

use http::HeaderMap;
use poem::{Body, Request};
use sg_types::prelude::*;

use crate::{
    admit,
    body::{self, Incoming},
    call::{self, Call},
    caller_connection::CallerConnection,
    check::{self, Head, RequestLine},
    dependencies::DependencySet,
    issue,
    key::PresentedKey,
    relay,
    reply::Reply,
    run::{self, RunResult},
    shared::Shared,
    single_run::{self, TicketState},
    trace::Trace,
};

/// The `Retry-After` of a refusal by an instance that is leaving.
const LEAVING_RETRY: Span = Span::from_secs(1);

/// The parts of the HTTP library's request that the request path uses.
#[derive(Debug)]
pub struct IncomingRequest {
    line: RequestLine,
    headers: HeaderMap,
    body: Body,
}

impl IncomingRequest {
    /// Takes the used parts of `request` and drops the rest.
    #[must_use]
    pub fn new(request: Request) -> Box<Self> {
        let (parts, body) = request.into_parts();
        Box::new(Self {
            line: RequestLine {
                method: parts.method,
                uri: parts.uri,
            },
            headers: parts.headers,
            body,
        })
    }
}

/// Handles one request.
///
/// A refusal is reported as "not run" only if no other send with the same ticket may have run.
pub async fn handle<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    incoming: Box<IncomingRequest>,
    caller: Option<Arc<CallerConnection>>,
    trace: &mut Trace,
) -> Reply {
    let ticket = single_run::parse_ticket(&incoming.headers);
    let send_guard = ticket
        .as_ref()
        .filter(|ticket| shared.ticket_issuer.names_this_incarnation(ticket))
        .map(|ticket| shared.pending_sends.begin(ticket.sequence));
    let reply = dispatch(shared, incoming, caller, trace).await;
    let Some(ticket) = ticket.filter(|_| reply.outcome == Outcome::NotRun) else {
        return reply;
    };
    let has_others = send_guard.is_some_and(|guard| guard.has_others());
    if has_others || shared.may_have_run(&ticket) {
        return reply.into_unknown();
    }
    reply
}

async fn dispatch<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    incoming: Box<IncomingRequest>,
    caller: Option<Arc<CallerConnection>>,
    trace: &mut Trace,
) -> Reply {
    let IncomingRequest {
        line,
        headers,
        body,
    } = *incoming;
    let head = match line.uri.path() {
        issue::PATH => return issue::handle_batch_request(shared, &line, &headers, trace),
        relay::PATH => relay::check_relayed(shared, &line, headers, trace),
        _ => check::check_direct(shared, line, headers, trace),
    };
    match head {
        Ok(head) => process(shared, head, body, caller, trace).await,
        Err(refusal) => refusal.into(),
    }
}

async fn process<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    head: Box<Head>,
    body: Body,
    caller: Option<Arc<CallerConnection>>,
    trace: &mut Trace,
) -> Reply {
    let ticket_state = match single_run::check_ticket(shared, &head) {
        Ok(ticket_state) => ticket_state,
        Err(refusal) => return refusal.into(),
    };
    if ticket_state.starts_new_work() && shared.is_leaving(&head.view) {
        return Reply::not_run(Reason::Leaving).with_retry_after(LEAVING_RETRY);
    }
    if matches!(ticket_state, TicketState::Unused(_))
        && let Err(refusal) = admit::check_rate(shared, head.holder.as_ref())
    {
        return refusal.into();
    }
    let view = head.view.clone();
    let relay_data = RelayData::of(&head);
    let call = match read_call(shared, head, body.into(), caller, trace).await {
        Ok(call) => call,
        Err(reason) => return Reply::not_run(reason),
    };
    if let Some(reply) = quarantine_refusal(shared, &call) {
        return reply;
    }
    // The less frequent branches are boxed to keep the future of the common branch small.
    match ticket_state {
        TicketState::Repeatable => run_repeatable(shared, &view, call, trace).await,
        TicketState::Unused(ticket) | TicketState::Used(ticket) => {
            Box::pin(single_run::run_once(shared, &view, call, &ticket, trace)).await
        }
        TicketState::IssuedElsewhere(ticket) => {
            Box::pin(relay::send(shared, call, &relay_data, &ticket)).await
        }
    }
}

/// The data of a relayed request that the ticket's issuer needs and a target does not receive.
#[derive(Debug)]
pub struct RelayData {
    /// The path and query as the caller sent them.
    pub path: Arc<str>,
}

impl RelayData {
    fn of(head: &Head) -> Self {
        Self {
            path: head.path.clone(),
        }
    }
}

/// Reads the body and builds the call to send to a target.
async fn read_call<P: DependencySet>(
    shared: &Shared<P>,
    head: Box<Head>,
    body: Incoming,
    caller: Option<Arc<CallerConnection>>,
    trace: &Trace,
) -> Result<Box<Call>, Reason> {
    let body_deadline = shared.timer.now() + head.settings.body_timeout;
    let limits = body::Limits {
        max_size: head.settings.body_limit,
        deadline: body_deadline.min(head.deadline),
    };
    let mut reservation = shared.memory.reserve();
    let body = body::read(&shared.timer, body, limits, &mut reservation).await?;
    if leaks_in_trailers(&head.headers, body.trailers.as_ref()) {
        return Err(Reason::Malformed);
    }
    let account = head.holder.as_ref().map(|holder| &holder.account);
    let fingerprint = call::fingerprint(account, &head.method, &head.path, &body.content);
    Ok(Box::new(Call {
        id: trace.request.clone(),
        arrived: trace.arrived,
        deadline: head.deadline,
        settings: head.settings,
        holder: head.holder,
        fingerprint,
        outgoing: call::outgoing(head.method, head.url, head.headers, body.content),
        reservation,
        caller,
    }))
}

fn leaks_in_trailers(headers: &HeaderMap, trailers: Option<&HeaderMap>) -> bool {
    let Some(trailers) = trailers else {
        return false;
    };
    let presented = PresentedKey::from_headers(headers).ok().flatten();
    presented.is_some_and(|key| key.leaks_in(trailers))
}

fn quarantine_refusal<P: DependencySet>(shared: &Shared<P>, call: &Call) -> Option<Reply> {
    let now = shared.timer.now();
    let table = shared.quarantine.lock();
    let remaining = table.check(call.account(), call.fingerprint, now)?;
    Some(Reply::not_run(Reason::Quarantined).with_retry_after(remaining))
}

async fn run_repeatable<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    view: &sg_tree::View,
    call: Box<Call>,
    trace: &mut Trace,
) -> Reply {
    let permit = match admit::admit(shared, view, &call).await {
        Ok(permit) => permit,
        Err(refusal) => return refusal.into(),
    };
    let result = run::run(shared, call, permit).await;
    record_attempts(trace, result)
}

/// Copies the attempts into the trace and returns the reply.
pub fn record_attempts(trace: &mut Trace, result: RunResult) -> Reply {
    trace.attempts = result.attempts;
    trace.run_started = Some(result.run_started);
    result.reply
}
