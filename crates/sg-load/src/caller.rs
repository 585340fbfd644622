//! Makes calls: chooses an entry, sends key and ticket, retries and checks the response.

use std::net::IpAddr;

use reqwest::{Client, RequestBuilder, Response};
use sg_clock::Timer;
use sg_fake::target::{POISON, ResponseBody};
use sg_tree::{View, view::Access};
use sg_types::prelude::*;

use crate::{
    history::{Attempt, AttemptResult, Body, Call},
    lookup::Lookup,
    plan::{Entry, Plan},
    schedule::PlannedCall,
};

/// The maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 4;

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Span = Span::from_millis(2_500);

/// Time after the scheduled time of a call in which it may be retried.
const RETRY_WINDOW: Span = Span::from_secs(4);

/// Delay before a retry.
const RETRY_DELAY: Span = Span::from_millis(20);

/// Timeout for a connection to an entry.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);

/// The header that carries a ticket to an entry.
const TICKET_HEADER: &str = "Idempotency-Key";

/// The state that all callers of one run share.
#[derive(Debug)]
pub struct Callers {
    timer: Timer,
    plan: Plan,
    view: View,
    clients: Vec<Client>,
    lookup: Lookup,
}

/// A route with the service and method to call.
struct ResolvedRoute {
    service: id::Service,
    method: http::Method,
    path: Arc<str>,
    keyed: bool,
    repeatable: bool,
}

impl Callers {
    /// Creates the callers of `plan`.
    ///
    /// # Errors
    /// The error of the HTTP client if it can't be built.
    pub fn new(timer: Timer, plan: Plan, view: View) -> Result<Self, reqwest::Error> {
        let sources: Vec<Option<IpAddr>> = match plan.sources.is_empty() {
            true => vec![None],
            false => plan.sources.iter().copied().map(Some).collect(),
        };
        let clients: Result<Vec<_>, _> = sources.into_iter().map(client).collect();
        let lookup = Lookup::new(timer.clone(), plan.entries.clone(), plan.seed);
        Ok(Self {
            timer,
            plan,
            view,
            clients: clients?,
            lookup,
        })
    }

    /// Makes the call `id`, which is scheduled at `intended`. Returns `None` if the tree has no
    /// such route or none of its methods is supported.
    pub async fn call(
        &self,
        id: Arc<str>,
        planned: &PlannedCall,
        intended: Instant,
    ) -> Option<Call> {
        let caller = &self.plan.accounts[planned.caller];
        let route = self.resolve_route(&planned.route)?;
        let path = match planned.poison {
            true => format!("{}/{POISON}", route.path),
            false => format!("{}/{id}?size={}", route.path, planned.size),
        };
        let mut call = Call {
            id,
            account: caller.account.clone(),
            key: caller.key.clone(),
            route: planned.route.clone(),
            path: path.into(),
            keyed: route.keyed,
            repeatable: route.repeatable,
            poison: planned.poison,
            intended,
            done: intended,
            attempts: Vec::new(),
        };
        self.run_attempts(&mut call, planned, &route).await;
        call.done = self.timer.now();
        Some(call)
    }

    async fn run_attempts(&self, call: &mut Call, planned: &PlannedCall, route: &ResolvedRoute) {
        let mut ticket: Option<Arc<str>> = None;
        let mut avoided = Vec::new();
        while call.attempts.len() < MAX_ATTEMPTS {
            let client = &self.clients[planned.source];
            let entry = self
                .lookup
                .entry(client, planned.source, &route.service, &avoided)
                .await;
            let Some(entry) = entry else {
                return;
            };
            let (attempt, issued_ticket) = self
                .send_attempt(call, planned, route, &entry, ticket.as_ref())
                .await;
            let may_retry = route.repeatable || ticket.is_some();
            let next = NextStep::after(&attempt.result, may_retry, issued_ticket.is_some());
            call.attempts.push(attempt);
            let is_retry_expired = self.timer.now().since(call.intended) > RETRY_WINDOW;
            match next {
                NextStep::Stop => return,
                NextStep::WithTicket if ticket.is_some() => return,
                NextStep::WithTicket => ticket = issued_ticket,
                NextStep::OtherEntry if is_retry_expired => return,
                NextStep::OtherEntry => {
                    avoided.push(entry.instance);
                    self.timer.sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn send_attempt(
        &self,
        call: &Call,
        planned: &PlannedCall,
        route: &ResolvedRoute,
        entry: &Entry,
        ticket: Option<&Arc<str>>,
    ) -> (Attempt, Option<Arc<str>>) {
        let began = self.timer.now();
        let request = self.request(call, planned, route, entry, ticket);
        let (result, issued_ticket) = send_request(request, call, planned.size).await;
        let attempt = Attempt {
            entry: entry.instance.clone(),
            began,
            ended: self.timer.now(),
            result,
        };
        (attempt, issued_ticket)
    }

    fn request(
        &self,
        call: &Call,
        planned: &PlannedCall,
        route: &ResolvedRoute,
        entry: &Entry,
        ticket: Option<&Arc<str>>,
    ) -> RequestBuilder {
        let url = format!("http://{}{}", entry.address, call.path);
        let mut request = self.clients[planned.source].request(route.method.clone(), url);
        if route.keyed {
            request = request.bearer_auth(&self.plan.accounts[planned.caller].secret);
        }
        if let Some(ticket) = ticket {
            request = request.header(TICKET_HEADER, ticket.as_ref());
        }
        match (planned.poison, &route.method) {
            (true, _) => request.body(POISON),
            (false, &http::Method::GET) => request,
            (false, _) => request.body(call.id.to_string()),
        }
    }

    fn resolve_route(&self, name: &id::Route) -> Option<ResolvedRoute> {
        let mut routes = self
            .view
            .services
            .values()
            .flat_map(|service| service.routes.iter().map(move |route| (service, route)));
        let (service, route) = routes.find(|(_, route)| route.name == *name)?;
        let methods = [http::Method::GET, http::Method::POST, http::Method::PUT];
        let method = methods
            .into_iter()
            .find(|m| route.method.accepts(m.as_str()));
        Some(ResolvedRoute {
            service: service.name.clone(),
            method: method?,
            path: route.path.clone(),
            keyed: route.access == Access::Keyed,
            repeatable: route.repeatable,
        })
    }
}

/// The next step of a caller after an attempt.
enum NextStep {
    Stop,
    WithTicket,
    OtherEntry,
}

impl NextStep {
    fn after(result: &AttemptResult, may_retry: bool, has_issued_ticket: bool) -> Self {
        match result {
            AttemptResult::NotSent => Self::OtherEntry,
            AttemptResult::Lost if may_retry => Self::OtherEntry,
            AttemptResult::Lost => Self::Stop,
            AttemptResult::Response {
                outcome, reason, ..
            } => match (outcome, reason) {
                (_, Some(Reason::TicketMissing)) if has_issued_ticket => Self::WithTicket,
                (
                    Some(Outcome::NotRun),
                    Some(Reason::Leaving | Reason::Stale | Reason::NoTree | Reason::Overloaded),
                ) => Self::OtherEntry,
                (Some(Outcome::Unknown), _) if may_retry => Self::OtherEntry,
                _ => Self::Stop,
            },
        }
    }
}

fn client(source: Option<IpAddr>) -> Result<Client, reqwest::Error> {
    Client::builder()
        .local_address(source)
        .connect_timeout(CONNECT_TIMEOUT.into())
        .timeout(ATTEMPT_TIMEOUT.into())
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
}

/// Sends the request and checks the response. Returns the result and the ticket that the response
/// issues, if any.
async fn send_request(
    request: RequestBuilder,
    call: &Call,
    size: usize,
) -> (AttemptResult, Option<Arc<str>>) {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return (AttemptResult::NotSent, None),
        Err(_) => return (AttemptResult::Lost, None),
    };
    let status = response.status().as_u16();
    let outcome = header(&response, "Sg-Outcome").and_then(|text| text.parse().ok());
    let reason = header(&response, "Sg-Reason").and_then(|text| text.parse().ok());
    let issued_ticket = header(&response, "Sg-Ticket").map(Into::into);
    let Ok(body) = response.bytes().await else {
        return (AttemptResult::Lost, None);
    };
    let body = match (200..300).contains(&status) {
        true => check_body(&body, call, size),
        false => Body::Refusal,
    };
    let result = AttemptResult::Response {
        status,
        outcome,
        reason,
        body,
    };
    (result, issued_ticket)
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Compares a response body with the request of `call` and with the requested size in bytes.
fn check_body(body: &[u8], call: &Call, size: usize) -> Body {
    let Ok(answer) = serde_json::from_slice::<ResponseBody>(body) else {
        return Body::Incomplete;
    };
    if answer.path != *call.path {
        return Body::OtherRequest;
    }
    if body.len() < size {
        return Body::Incomplete;
    }
    Body::Complete
}
