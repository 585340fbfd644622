//! Handles a request from its head to its reply.

use http::HeaderMap;
use poem::{Body, Request};
use sg_types::prelude::*;

use crate::{
    admit,
    body::{self, Incoming},
    call::{self, Call},
    check::{self, Head, Line},
    gate::Parts,
    issue,
    key::Presented,
    link::Link,
    once::{self, Standing},
    relay,
    reply::Reply,
    run::{self, Ran},
    shared::Shared,
    trace::Trace,
};

/// The `Retry-After` of a refusal by an instance that is leaving.
const LEAVING_RETRY: Span = Span::from_secs(1);

/// The parts of the HTTP library's request that the request path uses.
#[derive(Debug)]
pub struct Arrival {
    line: Line,
    headers: HeaderMap,
    body: Body,
}

impl Arrival {
    /// Takes the used parts of `request` and drops the rest.
    #[must_use]
    pub fn of(request: Request) -> Box<Self> {
        let (parts, body) = request.into_parts();
        Box::new(Self {
            line: Line {
                method: parts.method,
                uri: parts.uri,
            },
            headers: parts.headers,
            body,
        })
    }
}

/// Handles one request.
/// A refusal is reported as "not run" only if no other send with the same ticket may have run.
pub async fn serve<P: Parts>(
    shared: &Arc<Shared<P>>,
    arrival: Box<Arrival>,
    link: Option<Arc<Link>>,
    trace: &mut Trace,
) -> Reply {
    let ticket = once::named(&arrival.headers);
    let send = ticket
        .as_ref()
        .filter(|ticket| shared.mint.is_named_by(ticket))
        .map(|ticket| shared.pending.begin(ticket.sequence));
    let reply = dispatch(shared, arrival, link, trace).await;
    let Some(ticket) = ticket.filter(|_| reply.outcome == Outcome::NotRun) else {
        return reply;
    };
    let has_others = send.is_some_and(|send| send.has_others());
    if has_others || shared.in_doubt(&ticket) {
        return reply.in_doubt();
    }
    reply
}

async fn dispatch<P: Parts>(
    shared: &Arc<Shared<P>>,
    arrival: Box<Arrival>,
    link: Option<Arc<Link>>,
    trace: &mut Trace,
) -> Reply {
    let Arrival {
        line,
        headers,
        body,
    } = *arrival;
    let head = match line.uri.path() {
        issue::PATH => return issue::answer(shared, &line, &headers, trace),
        relay::PATH => relay::accept(shared, &line, headers, trace),
        _ => check::direct(shared, line, headers, trace),
    };
    match head {
        Ok(head) => proceed(shared, head, body, link, trace).await,
        Err(refused) => refused.into(),
    }
}

async fn proceed<P: Parts>(
    shared: &Arc<Shared<P>>,
    head: Box<Head>,
    body: Body,
    link: Option<Arc<Link>>,
    trace: &mut Trace,
) -> Reply {
    let standing = match once::standing(shared, &head) {
        Ok(standing) => standing,
        Err(refused) => return refused.into(),
    };
    if standing.is_new_work() && shared.is_leaving(&head.view) {
        return Reply::not_run(Reason::Leaving).after(LEAVING_RETRY);
    }
    if matches!(standing, Standing::Mine(_))
        && let Err(refused) = admit::peek(shared, head.holder.as_ref())
    {
        return refused.into();
    }
    let view = head.view.clone();
    let relayed = Relayed::of(&head);
    let call = match read(shared, head, body.into(), link, trace).await {
        Ok(call) => call,
        Err(reason) => return Reply::not_run(reason),
    };
    if let Some(reply) = quarantined(shared, &call) {
        return reply;
    }
    // The less frequent branches are boxed to keep the future of the common branch small.
    match standing {
        Standing::Repeatable => repeatable(shared, &view, call, trace).await,
        Standing::Mine(ticket) | Standing::Started(ticket) => {
            Box::pin(once::serve(shared, &view, call, &ticket, trace)).await
        }
        Standing::Other(ticket) => Box::pin(relay::pass(shared, call, &relayed, &ticket)).await,
    }
}

/// What the ticket's issuer needs of a relayed request beyond what a target receives.
#[derive(Debug)]
pub struct Relayed {
    /// The path and query as the caller sent them.
    pub path: Arc<str>,
}

impl Relayed {
    fn of(head: &Head) -> Self {
        Self {
            path: head.path.clone(),
        }
    }
}

/// Reads the body and builds the call to send to a target.
async fn read<P: Parts>(
    shared: &Shared<P>,
    head: Box<Head>,
    body: Incoming,
    link: Option<Arc<Link>>,
    trace: &Trace,
) -> Result<Box<Call>, Reason> {
    let until = shared.timer.now() + head.terms.body_timeout;
    let bounds = body::Bounds {
        limit: head.terms.body_limit,
        until: until.min(head.deadline),
    };
    let mut held = shared.memory.hold();
    let whole = body::read(&shared.timer, body, bounds, &mut held).await?;
    if leaks_in_trailers(&head.headers, whole.trailers.as_ref()) {
        return Err(Reason::Malformed);
    }
    let account = head.holder.as_ref().map(|holder| &holder.account);
    let fingerprint = call::fingerprint(account, &head.method, &head.path, &whole.content);
    Ok(Box::new(Call {
        id: trace.request.clone(),
        arrived: trace.arrived,
        deadline: head.deadline,
        terms: head.terms,
        holder: head.holder,
        fingerprint,
        outgoing: call::outgoing(head.method, head.url, head.headers, whole.content),
        held,
        link,
    }))
}

fn leaks_in_trailers(headers: &HeaderMap, trailers: Option<&HeaderMap>) -> bool {
    let Some(trailers) = trailers else {
        return false;
    };
    let presented = Presented::of(headers).ok().flatten();
    presented.is_some_and(|key| key.leaks_in(trailers))
}

fn quarantined<P: Parts>(shared: &Shared<P>, call: &Call) -> Option<Reply> {
    let now = shared.timer.now();
    let table = shared.quarantine.lock();
    let left = table.check(call.account(), call.fingerprint, now)?;
    Some(Reply::not_run(Reason::Quarantined).after(left))
}

async fn repeatable<P: Parts>(
    shared: &Arc<Shared<P>>,
    view: &sg_tree::View,
    call: Box<Call>,
    trace: &mut Trace,
) -> Reply {
    let permit = match admit::admit(shared, view, &call).await {
        Ok(permit) => permit,
        Err(refused) => return refused.into(),
    };
    let ran = run::run(shared, call, permit).await;
    note(trace, ran)
}

/// Copies the attempts into the trace and returns the reply.
pub fn note(trace: &mut Trace, ran: Ran) -> Reply {
    trace.attempts = ran.attempts;
    trace.started = Some(ran.started);
    ran.reply
}
