//! The HTTP endpoint for callers.

use poem::{Endpoint, Request, Response, listener::Acceptor};
use sg_clock::Timer;
use sg_steer::Selector;
use sg_types::prelude::*;

use crate::{
    caller_connection::{CallerConnection, Listener},
    dependencies::{
        Admission, Dependencies, DependencySet, Directory, Freshness, NoticeSender, TreeProvider,
    },
    handler::{self, IncomingRequest},
    journal::Record,
    metrics::Metrics,
    quarantine::Suspicion,
    reply::Reply,
    shared::Shared,
    trace::Trace,
};

/// The quarantine duration for a suspicion from another instance about a service that is unknown
/// here.
const UNKNOWN_SERVICE_QUARANTINE: Span = Span::from_secs(60);

/// The identity of this instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The instance's name.
    pub instance: id::Instance,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
}

/// An error while constructing the request path.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A metric could not be registered.
    #[error(
        "can't register the metrics of the request path: {0}; use a separate registry for each path"
    )]
    Metrics(#[from] prometheus::Error),
    /// The fallback request id is not valid.
    #[error("invalid request id: {0}; shorten the instance's name")]
    RequestId(#[from] sg_types::parse::Error),
}

type SharedBy<T, A, F, S, N, D> = Arc<Shared<Dependencies<T, A, F, S, N, D>>>;

/// The request path. Clones share all state.
#[derive(Debug)]
pub struct Forward<T, A, F, S, N, D> {
    shared: SharedBy<T, A, F, S, N, D>,
}

impl<T, A, F, S, N, D> Clone for Forward<T, A, F, S, N, D> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<T, A, F, S, N, D> Forward<T, A, F, S, N, D>
where
    T: TreeProvider,
    A: Admission,
    F: Freshness,
    S: Selector,
    N: NoticeSender,
    D: Directory,
{
    /// Creates the request path and registers its metrics.
    ///
    /// # Errors
    /// [`Error::Metrics`] if `registry` already has metrics of the same names.
    pub fn new(
        identity: Identity,
        dependencies: Dependencies<T, A, F, S, N, D>,
        timer: Timer,
        registry: &prometheus::Registry,
    ) -> Result<Self, Error> {
        let fallback_request_id = id::Request::new("unnamed")?;
        let metrics = Metrics::new(registry)?;
        let shared = Shared::new(identity, dependencies, timer, metrics, fallback_request_id);
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Wraps the acceptor of callers' connections. Without the wrapper, exchanges of callers that
    /// disconnected end only at their deadline, and large responses of unstated length are buffered
    /// until they are complete.
    #[must_use]
    pub fn listener<L: Acceptor>(&self, inner: L) -> Listener<L> {
        Listener::new(
            inner,
            self.shared.timer.clone(),
            self.shared.callers.clone(),
        )
    }

    /// Refuses new work from now on. Resends of requests that ran are still answered.
    pub fn refuse_new_work(&self) {
        self.shared.shutdown.refuse_new_work();
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        self.shared.shutdown.wait_idle().await;
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.shared.shutdown.in_flight()
    }

    /// Handles a notice from another instance.
    pub fn handle_notice(&self, notice: Notice) {
        let Notice::Suspect {
            account,
            service,
            fingerprint,
            target,
            in_flight,
        } = notice
        else {
            return;
        };
        let view = self.shared.dependencies.tree().view();
        let quarantine = view.and_then(|view| Some(view.services.get(&service)?.quarantine));
        let suspicion = Suspicion {
            account,
            fingerprint,
            target,
            in_flight,
        };
        self.shared
            .record_suspicion(suspicion, quarantine.unwrap_or(UNKNOWN_SERVICE_QUARANTINE));
    }

    /// Returns the record of the decisions for `request`, if the journal still has it.
    #[must_use]
    pub fn find_record(&self, request: &id::Request) -> Option<Record> {
        self.shared.journal.find(request)
    }

    /// Returns the counters by client account and by service and region since the start of the
    /// process.
    #[must_use]
    pub fn counters(&self) -> sg_report::Counts {
        self.shared.counters.snapshot()
    }

    /// Returns how many replies had `outcome` and `reason`; `account` is `None` for open routes.
    #[must_use]
    pub fn reply_count(
        &self,
        outcome: Outcome,
        reason: Reason,
        account: Option<&id::Account>,
    ) -> u64 {
        self.shared.metrics.reply_count(outcome, reason, account)
    }
}

impl<T, A, F, S, N, D> Endpoint for Forward<T, A, F, S, N, D>
where
    T: TreeProvider,
    A: Admission,
    F: Freshness,
    S: Selector,
    N: NoticeSender,
    D: Directory,
{
    type Output = Response;

    /// Takes the used parts out of the request before the future is created, so that the future
    /// does not hold the whole request.
    fn call(&self, request: Request) -> impl Future<Output = poem::Result<Response>> + Send {
        let caller = self.shared.callers.find(&request.remote_addr().0);
        if let Some(caller) = &caller {
            caller.record_version(request.version());
        }
        let incoming = IncomingRequest::new(request);
        async move { Ok(respond(&self.shared, incoming, caller).await) }
    }
}

async fn respond<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    incoming: Box<IncomingRequest>,
    caller: Option<Arc<CallerConnection>>,
) -> Response {
    let guard = shared.shutdown.begin_request();
    shared
        .metrics
        .in_flight
        .set(shared.shutdown.in_flight() as i64);
    let mut trace = Trace::new(shared.next_request_id(), shared.timer.now());
    let handling = handler::handle(shared, incoming, caller.clone(), &mut trace);
    let Some(reply) = run_unless_caller_gone(caller.as_deref(), handling).await else {
        shared.metrics.callers_gone.inc();
        caller.inspect(|caller| caller.abort());
        return Response::default();
    };
    let request_id = trace.request.clone();
    record_reply(shared, trace, &reply);
    drop(guard);
    shared
        .metrics
        .in_flight
        .set(shared.shutdown.in_flight() as i64);
    shared.metrics.held_bytes.set(shared.memory.used() as i64);
    reply.into_response(&request_id)
}

/// Runs `handling` and cancels it if the caller disconnects, because nobody would read the reply.
async fn run_unless_caller_gone(
    caller: Option<&CallerConnection>,
    handling: impl Future<Output = Reply>,
) -> Option<Reply> {
    let Some(caller) = caller else {
        return Some(handling.await);
    };
    tokio::select! {
        biased;
        reply = handling => Some(reply),
        () = caller.wait_gone() => None,
    }
}

/// Records the reply in the metrics, the counters and the journal.
fn record_reply<P: DependencySet>(shared: &Shared<P>, trace: Trace, reply: &Reply) {
    let (outcome, reason) = (reply.outcome, reply.reason);
    let now = shared.timer.now();
    shared
        .metrics
        .record_reply(outcome, reason, trace.account.as_ref());
    shared.counters.record(&trace, outcome, reason, now);
    shared.journal.push(trace.into_record(outcome, reason, now));
}
