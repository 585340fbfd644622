//! Handles one request from its head to its response.

use std::sync::atomic::{AtomicBool, Ordering};

use http::{Request, Response, header, request};
use sg_catalog::{Account, Catalog, Route};
use sg_place::{hash::Object, quota};
use sg_types::prelude::*;

use crate::{
    Body, Core, Dialect,
    attempt::{self, Call},
    body::RequestBody,
    content::{self, Content, FINGERPRINTED_BYTES},
    dialect::{Refusal, RequestInfo},
    memory::{self, Hold, Segments, Use},
    quotas,
    relay::{self, Relayed},
    server,
    trace::{QuotaSnapshot, Trace},
};

/// Minimum and maximum of the time after which a refused caller is asked to retry, before jitter.
const RETRY_AFTER_BOUNDS: (Span, Span) = (Span::from_millis(80), Span::from_millis(900));
/// Time after which a caller is asked to retry at an instance that has no catalog yet, about the
/// duration of a start.
const NO_CATALOG_RETRY_AFTER: Span = Span::from_millis(900);
/// Maximum time that a request waits for the catalog and the targets of an instance that has just
/// started, several round trips to the store in another region.
const MAX_LOAD_WAIT: Span = Span::from_millis(400);
/// Maximum fraction of the caller's time for that wait.
const LOAD_WAIT_FRACTION: f64 = 0.4;
/// Time after which a caller is asked to retry at an instance with too many connections, long enough for
/// some of them to end.
const OVERLOAD_RETRY_AFTER: Span = Span::from_millis(300);
/// Range of the factor by which retry times are multiplied, so that refused callers do not retry
/// all at once.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.7..1.3;
/// Largest part of a wait by which callers that may not return sooner are spread.
const RETURN_SPREAD: f64 = 0.25;

/// Handles one request and returns the response to the caller.
pub async fn serve<D: Dialect>(
    core: &Arc<Core<D>>,
    request: Request<RequestBody>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let arrived = head.extensions.get::<server::Arrived>();
    let mut trace = Trace::new(
        core.timer.clone(),
        core.metrics.clone(),
        core.log_limiter.clone(),
        arrived.map(|arrived| arrived.0),
    );
    let result = if head.extensions.get::<server::Overloaded>().is_some() {
        Err(overload_refusal(core, &head, &mut trace))
    } else {
        let result = tokio::select! {
            biased;
            result = handle(core, &head, body, &mut trace) => Some(result),
            () = core.wait_for_stop() => None,
        };
        result.unwrap_or_else(|| Err(stop_refusal(&trace)))
    };
    trace.draining_since = core.draining_since();
    let mut response = match result {
        Ok(response) => {
            let outcome = trace.relayed_outcome.unwrap_or(Outcome::Ran);
            trace.finish(outcome, Reason::Answered, response.status().as_u16());
            response
        }
        Err(mut refusal) => {
            refusal.rejected_by = rejecting_revision(&trace, refusal.reason);
            let id = (!trace.id.is_empty()).then_some(trace.id.as_ref());
            let response = core.dialect.refusal_response(&refusal, id);
            trace.finish(refusal.outcome, refusal.reason, response.status().as_u16());
            let mut response = response.map(Body::buffered);
            let stop_at = core.stop_at().unwrap_or(Instant::from_nanos(u64::MAX));
            let latest = stop_at + server::LAST_SPACING;
            response.extensions_mut().insert(server::Refused(latest));
            response
        }
    };
    if let Some(deadline) = trace.deadline {
        response.extensions_mut().insert(server::Until(deadline));
    }
    if core.is_draining() || trace.is_body_unread {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

impl Refusal {
    /// Creates a refusal of a request that did not run and will not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
            rejected_by: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
            rejected_by: None,
        }
    }

    /// Returns whether no target could be reached, so that another instance may still serve the request.
    fn is_unreached(&self) -> bool {
        self.outcome == Outcome::NotRun && self.reason == Reason::ConnectFailed
    }

    /// Asks the caller to retry after about `span`.
    #[must_use]
    pub fn with_retry_after(mut self, span: Span) -> Self {
        let span = span.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
        let jitter = rand::Rng::random_range(&mut rand::rng(), RETRY_AFTER_JITTER);
        self.retry_after = Some(span.mul_f64(jitter));
        self
    }

    /// Asks the caller to retry no sooner than after `span`, because a retry before that is refused as
    /// well. Callers are spread over some time after that.
    #[must_use]
    pub fn with_retry_from(mut self, span: Span) -> Self {
        let span = span.max(RETRY_AFTER_BOUNDS.0);
        self.retry_after = Some(span.mul_f64(1.0 + rand::random::<f64>() * RETURN_SPREAD));
        self
    }
}

/// Returns the revision that a refusal for `reason` names to the instance that passed the request on.
fn rejecting_revision(trace: &Trace, reason: Reason) -> Option<Revision> {
    let is_named = trace.is_relayed && reason.is_decided_by_configuration();
    is_named.then_some(trace.revision)
}

/// Returns the refusal of a request whose connection exceeds the limit on callers' connections.
fn overload_refusal<D: Dialect>(
    core: &Core<D>,
    head: &request::Parts,
    trace: &mut Trace,
) -> Refusal {
    if let Ok(request_info) = core.dialect.parse_request(head) {
        trace.id = request_info.id.into();
    }
    Refusal::not_run(Reason::Overloaded).with_retry_after(OVERLOAD_RETRY_AFTER)
}

/// Returns the refusal of a request that is still in flight when the instance stops. The request may
/// have run if it was sent to a target that did not reject it.
fn stop_refusal(trace: &Trace) -> Refusal {
    if trace.may_have_run() {
        return Refusal::may_have_run(Reason::Leaving);
    }
    leaving_refusal()
}

/// Returns the refusal of a request that another instance can serve, because this one stops.
fn leaving_refusal() -> Refusal {
    Refusal::not_run(Reason::Leaving).with_retry_after(RETRY_AFTER_BOUNDS.0)
}

async fn handle<D: Dialect>(
    core: &Arc<Core<D>>,
    head: &request::Parts,
    body: RequestBody,
    trace: &mut Trace,
) -> Result<Response<Body>, Refusal> {
    let request_info = core.dialect.parse_request(head).map_err(|malformed| {
        log::debug!(error:% = malformed; "request not read");
        Refusal::not_run(Reason::Malformed)
    })?;
    trace.id = request_info.id.into();
    trace.is_relayed = request_info.is_relayed;
    if core.refuses_new_requests() || is_sent_on(core, head, trace.arrived) {
        return Err(leaving_refusal());
    }
    let catalog = wait_for_catalog(core, &request_info, trace.arrived).await?;
    trace.revision = catalog.revision;
    let path = head.uri.path();
    let route = catalog
        .route(request_info.host, path)
        .ok_or(Refusal::not_run(Reason::NoRoute))?
        .clone();
    trace.route = Some(route.name.clone());
    trace.objective = route.latency_objective;
    let account = authenticate(&catalog, &route, &request_info)?;
    trace.account = account.as_ref().map(|account| account.name.clone());
    let deadline = deadline(&route, &request_info, trace);
    trace.deadline = Some(deadline);
    if request_info.is_relayed {
        relay::check_stop(core, deadline)?;
    }
    if core.is_cut_off() {
        let account = account.as_deref();
        let (content, _) =
            read_body(core, &catalog, (head, account), body, deadline, trace).await?;
        let relayed = Relayed::new(head, &request_info, &route, account, content, deadline);
        return relay::run(core, &relayed, trace).await;
    }
    let token = QuotaToken::take(core, account.clone(), trace).await?;
    let named = (head, account.as_deref());
    let (content, fingerprint) = read_body(core, &catalog, named, body, deadline, trace).await?;
    // The caller may have taken long to send the body.
    if core.refuses_new_requests() && core.stops_before(deadline) {
        return Err(leaving_refusal());
    }
    trace.object = object(&route, &request_info).map_or(0, |o| o.score(0u8));
    let call = Call {
        object: object(&route, &request_info),
        placement_key: placement_key(&route, &request_info),
        fingerprint,
        head,
        id: trace.id.clone(),
        content,
        caller_deadline: request_info.deadline.map(|span| trace.arrived + span),
        deadline,
        account,
        may_have_run: token.is_spent.clone(),
        route,
        catalog,
    };
    let result = attempt::run(core, &call, trace).await;
    if !result.as_ref().is_err_and(Refusal::is_unreached) {
        return result;
    }
    // The other instance takes a token itself.
    drop(token);
    let (account, content) = (call.account.as_deref(), call.content.clone());
    let relayed = Relayed::new(head, &request_info, &call.route, account, content, deadline);
    relay::run(core, &relayed, trace).await
}

/// Returns whether the caller sent the request behind another one although the instance drains. Its connection
/// closes as soon as no more of them follow.
fn is_sent_on<D: Dialect>(core: &Core<D>, head: &request::Parts, arrived: Instant) -> bool {
    let is_behind = head.extensions.get::<server::Behind>().is_some();
    is_behind && core.draining_since().is_some_and(|since| since <= arrived)
}

/// Returns the catalog in force. An instance that has just started waits a while for its first one.
async fn wait_for_catalog<D: Dialect>(
    core: &Core<D>,
    request_info: &RequestInfo<'_>,
    arrived: Instant,
) -> Result<Arc<Catalog>, Refusal> {
    let most = request_info
        .deadline
        .map_or(MAX_LOAD_WAIT, |span| span.mul_f64(LOAD_WAIT_FRACTION));
    core.wait_until_loaded(arrived + most.min(MAX_LOAD_WAIT))
        .await;
    core.catalog()
        .ok_or_else(|| Refusal::not_run(Reason::NoTree).with_retry_after(NO_CATALOG_RETRY_AFTER))
}

/// Returns the client account of the request, or `None` if the route is open or the catalog has no
/// accounts.
fn authenticate(
    catalog: &Catalog,
    route: &Route,
    request_info: &RequestInfo<'_>,
) -> Result<Option<Arc<Account>>, Refusal> {
    if route.allows_anonymous || catalog.accounts.is_empty() {
        return Ok(None);
    }
    let key = request_info
        .key
        .ok_or(Refusal::not_run(Reason::KeyMissing))?;
    match catalog.account_by_key(&key) {
        Some(account) => Ok(Some(account.clone())),
        None => Err(Refusal::not_run(Reason::KeyRefused)),
    }
}

/// Returns the time by which this instance has to respond. The caller's time counts from when the request was
/// read, also while the request waited for responses to others. The route's timeout limits the handling.
fn deadline(route: &Route, request_info: &RequestInfo<'_>, trace: &Trace) -> Instant {
    let by_caller = request_info.deadline.map(|span| trace.arrived + span);
    let by_route = route.timeout.map(|span| trace.started + span);
    let first = [by_caller, by_route].into_iter().flatten().min();
    first.unwrap_or(trace.started + DEFAULT_TIMEOUT)
}

/// Time in which a request must end if neither the caller nor the route sets a limit.
const DEFAULT_TIMEOUT: Span = Span::from_secs(30);

fn object(route: &Route, request_info: &RequestInfo<'_>) -> Option<Object> {
    let name = request_info.object.filter(|_| route.session_affinity)?;
    Some(Object::new(route.path_prefix.as_ref(), name))
}

/// Returns the key by which the request is assigned to a region. Requests about the same object
/// have the same key, and every other request has its own.
fn placement_key(route: &Route, request_info: &RequestInfo<'_>) -> Object {
    match request_info.object {
        Some(name) => Object::new(route.path_prefix.as_ref(), name),
        None => Object::new(route.path_prefix.as_ref(), request_info.id),
    }
}

/// Returns the refusal of a request that did not run because its body found no memory.
fn memory_refusal() -> Refusal {
    Refusal::not_run(Reason::Overloaded).with_retry_after(OVERLOAD_RETRY_AFTER)
}

/// Returns the start of a hash of everything that may make a request crash its target: account, method,
/// path and body.
fn fingerprint_start(account: Option<&Account>, head: &request::Parts) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new();
    let account = account.map_or("", |account| account.name.as_str());
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    for part in [account, head.method.as_str(), path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher
}

/// Returns a hold that the memory of a request is charged to, with that of its head.
async fn hold_of_request<D: Dialect>(
    core: &Core<D>,
    head: &request::Parts,
    deadline: Instant,
) -> Result<Hold, memory::Exhausted> {
    let hold = core.memory.hold(Use::Request);
    let bytes = memory::head_bytes(&head.headers);
    if bytes.get() > 0 {
        let grown = core.timer.until(deadline, hold.grow_when_released(bytes));
        grown.await.unwrap_or(Err(memory::Exhausted))?;
    }
    Ok(hold)
}

/// Receives the body of a request, and returns it with the fingerprint of the request. The body of a long
/// request takes part in the fingerprint by its first part and its declared length.
async fn read_body<D: Dialect>(
    core: &Core<D>,
    catalog: &Catalog,
    (head, account): (&request::Parts, Option<&Account>),
    body: RequestBody,
    deadline: Instant,
    trace: &mut Trace,
) -> Result<(Content, Fingerprint), Refusal> {
    let declared = http_body::Body::size_hint(&body).exact();
    let limits = content::Limits {
        max_bytes: catalog.limits.max_body,
        max_buffered: core.memory.largest_hold(),
        stall: catalog.limits.head_timeout,
        deadline,
    };
    let mut hasher = fingerprint_start(account, head);
    let hash = |part: &[u8]| {
        hasher.update(part);
    };
    let received = match hold_of_request(core, head, deadline).await {
        Ok(hold) => {
            let segments = Segments::new(Arc::new(hold));
            content::receive(body, segments, limits, &core.timer, hash).await
        }
        Err(memory::Exhausted) => Err(content::Failure::Exhausted),
    };
    let content = received.map_err(|failure| {
        trace.is_body_unread = true;
        core.metrics.record_body_refusal(failure.as_str());
        match failure {
            content::Failure::TooLarge => Refusal::not_run(Reason::BodyTooLarge),
            content::Failure::Broken => Refusal::not_run(Reason::BodyIncomplete),
            content::Failure::Stalled => Refusal::not_run(Reason::BodyStalled),
            content::Failure::Late => Refusal::not_run(Reason::Deadline),
            content::Failure::Exhausted => memory_refusal(),
        }
    })?;
    if content.is_streamed() {
        core.metrics.streamed_requests.inc();
    }
    content.set_forwarded().map_err(|_| {
        core.metrics.record_body_refusal("evicted");
        memory_refusal()
    })?;
    if let Some(length) = declared.filter(|length| *length > FINGERPRINTED_BYTES) {
        hasher.update(&length.to_be_bytes());
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Ok((content, Fingerprint::new(u128::from_be_bytes(bytes))))
}

/// Token of a client account's quota. Dropping the guard returns the token unless it was spent.
struct QuotaToken<'a, D> {
    core: &'a Core<D>,
    taken_at: Instant,
    account: Option<Arc<Account>>,
    /// Whether a target may have run the request.
    is_spent: Arc<AtomicBool>,
}

impl<'a, D> QuotaToken<'a, D> {
    async fn take(
        core: &'a Core<D>,
        account: Option<Arc<Account>>,
        trace: &mut Trace,
    ) -> Result<Self, Refusal> {
        let Some((account, bounds)) =
            account.and_then(|a| Some((a.clone(), quotas::quota_bounds(&a)?)))
        else {
            return Ok(Self::new(core, None));
        };
        let now = core.timer.now();
        let taken = core
            .state
            .lock()
            .share(&account.name, bounds, now)
            .take_token();
        if taken || Self::borrow(core, &account.name, bounds, trace.deadline).await {
            return Ok(Self::new(core, Some(account)));
        }
        let now = core.timer.now();
        let mut state = core.state.lock();
        let fraction = state.quota_fraction(&account.name, bounds);
        let share = state.share(&account.name, bounds, now);
        let next = share.time_to_next_token(bounds, fraction);
        trace.quota = Some(QuotaSnapshot {
            bounds,
            fraction,
            held: share.held_tokens(),
        });
        Err(Refusal::not_run(Reason::OverRate).with_retry_after(next))
    }

    /// Waits for a token from other instances and returns whether there was one.
    async fn borrow(
        core: &Core<D>,
        account: &id::Account,
        bounds: quota::Bounds,
        deadline: Option<Instant>,
    ) -> bool {
        if !core.uses_direct_tokens() {
            return core.borrow_token(account, bounds).await;
        }
        let until = deadline.unwrap_or(Instant::from_nanos(u64::MAX));
        let borrowed = core.borrow_direct(account, bounds, until).await;
        if let Err(shortage) = borrowed {
            core.metrics.record_quota_refusal(shortage.as_str());
        }
        borrowed.is_ok()
    }

    fn new(core: &'a Core<D>, account: Option<Arc<Account>>) -> Self {
        Self {
            core,
            taken_at: core.timer.now(),
            account,
            is_spent: Arc::default(),
        }
    }
}

impl<D> Drop for QuotaToken<'_, D> {
    fn drop(&mut self) {
        if self.is_spent.load(Ordering::Relaxed) {
            return;
        }
        let account = self.account.take();
        let Some((account, bounds)) =
            account.and_then(|a| Some((a.clone(), quotas::quota_bounds(&a)?)))
        else {
            return;
        };
        let now = self.core.timer.now();
        let mut state = self.core.state.lock();
        let fraction = state.quota_fraction(&account.name, bounds);
        let held = now.since(self.taken_at);
        state
            .share(&account.name, bounds, now)
            .return_token(bounds, fraction, held);
    }
}
