//! The HTTP servers of an instance: callers' requests, readiness checks, lookups and metrics.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use prometheus::{Encoder, TextEncoder};
use sg_proxy::{
    Body,
    body::RequestBody,
    policy,
    server::{self, OneByOne, Phase, Policy},
};
use sg_store::Store;
use sg_types::prelude::*;
use tokio::{sync::watch, task::JoinSet};

use crate::{
    Interpreter, Protocol,
    budget::Budget,
    daemon::Context,
    explanation,
    lookup::{self, Candidate},
};

/// The largest head of a request, in bytes. It applies to all servers, whatever the configuration says.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// The time after which a connection without a request is closed. Callers reuse an idle connection for
/// most of the documented limit, so the server keeps a connection longer than any caller does.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest time for which callers may cache a lookup response. A leaving instance keeps serving for
/// at least that time.
const MAX_LOOKUP_TTL: Span = Span::from_millis(1_500);

/// A handler of requests to the readiness, lookup or operators' address.
type Handler<D, I, S> = fn(&Context<D, I, S>, &Request<RequestBody>) -> Response<Bytes>;

/// The phases of the servers.
#[derive(Debug)]
pub(crate) struct Phases {
    /// The phase of the server for callers.
    pub callers: watch::Sender<Phase>,
    /// The phase of the other servers.
    pub others: watch::Sender<Phase>,
}

impl Default for Phases {
    fn default() -> Self {
        Self {
            callers: watch::Sender::new(Phase::Open),
            others: watch::Sender::new(Phase::Open),
        }
    }
}

/// Binds all addresses and starts to serve them.
pub(crate) fn start<D: Protocol, I: Interpreter, S: Store>(
    context: &Arc<Context<D, I, S>>,
    phases: &Phases,
    budget: &Budget,
) -> std::io::Result<JoinSet<()>> {
    let options = server::Options {
        max_head_bytes: MAX_HEAD_BYTES,
        header_timeout: IDLE_TIMEOUT,
        max_connections: budget.callers,
        early_ends: context.core.metrics.early_ends.clone(),
        unanswered: context.core.metrics.unanswered.clone(),
        started_early: context.core.metrics.started_early.clone(),
        budget: context.core.memory.clone(),
    };
    let settings = &context.settings;
    let policy = policy::Callers(context.core.clone());
    let head_policy = policy.clone();
    let one_by_one = OneByOne(move || head_policy.head_timeout());
    let mut servers = JoinSet::new();
    let listener = server::bind(settings.serve)?;
    let core = context.core.clone();
    if let Some(bytes) = budget.receive_buffer {
        server::limit_receive_buffer(&listener, bytes)?;
    }
    let handle = move |request| {
        let core = core.clone();
        async move { sg_proxy::serve(&core, request).await }
    };
    let (timer, phase) = (context.timer.clone(), phases.callers.subscribe());
    let caller_options = options.clone();
    servers.spawn(server::run(
        listener,
        timer,
        caller_options,
        phase,
        policy,
        handle,
    ));
    let options = server::Options {
        max_connections: budget.auxiliary,
        ..options
    };
    let others: [(_, Handler<D, I, S>); 3] = [
        (settings.ready, handle_ready),
        (settings.lookup, handle_lookup),
        (settings.admin, handle_admin),
    ];
    for (address, handler) in others {
        let listener = server::bind(address)?;
        let context = context.clone();
        let (timer, phase) = (context.timer.clone(), phases.others.subscribe());
        let handle = move |request: Request<RequestBody>| {
            let response = handler(&context, &request).map(Body::buffered);
            async move { response }
        };
        let (options, policy) = (options.clone(), one_by_one.clone());
        servers.spawn(server::run(listener, timer, options, phase, policy, handle));
    }
    Ok(servers)
}

/// Responds to a readiness check.
fn handle_ready<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    request: &Request<RequestBody>,
) -> Response<Bytes> {
    let dialect = &context.core.dialect;
    let head = copy_head(request);
    dialect.status_response(dialect.is_readiness_check(&head) && context.is_ready())
}

/// Responds to a lookup with the addresses of the instances that the caller should use.
fn handle_lookup<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    request: &Request<RequestBody>,
) -> Response<Bytes> {
    let dialect = &context.core.dialect;
    let head = copy_head(request);
    let lookup_request = match dialect.parse_lookup(&head) {
        Ok(lookup_request) => lookup_request,
        Err(error) => {
            log::debug!(error:% = error; "look-up not read");
            return dialect.status_response(false);
        }
    };
    let addresses = lookup::choose_addresses(&lookup_request, &lookup_candidates(context));
    if addresses.is_empty() {
        return dialect.status_response(false);
    }
    let configured_ttl = Span::from_secs(1).mul_f64(context.settings.bounds.lookup_cache_seconds);
    dialect.lookup_response(&addresses, MAX_LOOKUP_TTL.min(configured_ttl))
}

/// Returns all instances that accept requests, including this one.
fn lookup_candidates<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
) -> Vec<Candidate> {
    let now = context.timer.now();
    let members = context.members.lock();
    let mut candidates: Vec<Candidate> = members
        .alive(now)
        .filter(|member| member.beacon.ready && !member.beacon.leaving)
        .map(|member| Candidate {
            domain: member.beacon.location.domain.clone(),
            region: member.beacon.location.region.clone(),
            address: member.beacon.location.caller_address,
            cut_off: member.beacon.cut_off,
        })
        .collect();
    drop(members);
    if context.is_ready() {
        candidates.push(Candidate {
            domain: context.settings.domain.clone(),
            region: context.settings.region.clone(),
            address: context.settings.serve,
            cut_off: context.core.is_cut_off(),
        });
    }
    candidates
}

/// Responds to an operator's request: the metrics in the text format of Prometheus, or 404 on any other
/// path.
fn handle_admin<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    request: &Request<RequestBody>,
) -> Response<Bytes> {
    match request.uri().path() {
        "/metrics" => {}
        "/where" => return explanation::respond(&context.core, request.uri().query()),
        _ => {
            let mut response = Response::new(Bytes::new());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
    }
    context
        .core
        .metrics
        .record_memory(&context.core.memory.usage());
    let mut text = Vec::new();
    let encoded = TextEncoder::new().encode(&context.registry.gather(), &mut text);
    if let Err(error) = encoded {
        log::warn!(error:% = error; "counters not written");
    }
    let mut response = Response::new(Bytes::from(text));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a copy of the head of `request`, without extensions and version.
fn copy_head(request: &Request<RequestBody>) -> http::request::Parts {
    let mut copy = Request::new(());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy.into_parts().0
}
