//! How a call is made: the entry, the key, the ticket, sending again, and reading the answer.

use std::net::IpAddr;

use reqwest::{Client, RequestBuilder, Response};
use sg_clock::Timer;
use sg_fake::target::{POISON, ResponseBody};
use sg_tree::{View, view::Access};
use sg_types::prelude::*;

use crate::{
    history::{Attempt, Body, Call, End},
    lookup::Lookup,
    plan::{Entry, Plan},
    schedule::Send,
};

/// How often one call is sent at most.
const MOST_ATTEMPTS: usize = 4;

/// How long a caller waits for the answer to one send.
const SEND_TIMEOUT: Span = Span::from_millis(2_500);

/// How long after its intended time a call is sent again at the latest.
const RESEND_WINDOW: Span = Span::from_secs(4);

/// How long a caller waits before it sends again.
const RESEND_PAUSE: Span = Span::from_millis(20);

/// How long a caller waits for a connection to an entry.
const CONNECT_TIMEOUT: Span = Span::from_millis(500);

/// The header that carries a ticket to an entry.
const TICKET_HEADER: &str = "Idempotency-Key";

/// What all callers of one run share.
#[derive(Debug)]
pub struct Callers {
    timer: Timer,
    plan: Plan,
    view: View,
    clients: Vec<Client>,
    lookup: Lookup,
}

/// Where a route leads.
struct Way {
    service: id::Service,
    method: http::Method,
    path: Arc<str>,
    keyed: bool,
    repeatable: bool,
}

impl Callers {
    /// The callers of `plan`.
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

    /// Makes one call, named `id`, due at `intended`.
    pub async fn call(&self, id: Arc<str>, send: &Send, intended: Instant) -> Option<Call> {
        let caller = &self.plan.accounts[send.caller];
        let way = self.way(&send.route)?;
        let path = match send.poison {
            true => format!("{}/{POISON}", way.path),
            false => format!("{}/{id}?size={}", way.path, send.size),
        };
        let mut call = Call {
            id,
            account: caller.account.clone(),
            key: caller.key.clone(),
            route: send.route.clone(),
            path: path.into(),
            keyed: way.keyed,
            repeatable: way.repeatable,
            poison: send.poison,
            intended,
            done: intended,
            attempts: Vec::new(),
        };
        self.attempts(&mut call, send, &way).await;
        call.done = self.timer.now();
        Some(call)
    }

    async fn attempts(&self, call: &mut Call, send: &Send, way: &Way) {
        let mut ticket: Option<Arc<str>> = None;
        let mut avoided = Vec::new();
        while call.attempts.len() < MOST_ATTEMPTS {
            let client = &self.clients[send.source];
            let entry = self
                .lookup
                .entry(client, send.source, &way.service, &avoided)
                .await;
            let Some(entry) = entry else {
                return;
            };
            let (attempt, issued) = self.attempt(call, send, way, &entry, ticket.as_ref()).await;
            let may_resend = way.repeatable || ticket.is_some();
            let next = Next::after(&attempt.end, may_resend, issued.is_some());
            call.attempts.push(attempt);
            let over = self.timer.now().since(call.intended) > RESEND_WINDOW;
            match next {
                Next::Stop => return,
                Next::WithTicket if ticket.is_some() => return,
                Next::WithTicket => ticket = issued,
                Next::Elsewhere if over => return,
                Next::Elsewhere => {
                    avoided.push(entry.instance);
                    self.timer.sleep(RESEND_PAUSE).await;
                }
            }
        }
    }

    async fn attempt(
        &self,
        call: &Call,
        send: &Send,
        way: &Way,
        entry: &Entry,
        ticket: Option<&Arc<str>>,
    ) -> (Attempt, Option<Arc<str>>) {
        let began = self.timer.now();
        let request = self.request(call, send, way, entry, ticket);
        let (end, issued) = exchange(request, call, send.size).await;
        let attempt = Attempt {
            entry: entry.instance.clone(),
            began,
            ended: self.timer.now(),
            end,
        };
        (attempt, issued)
    }

    fn request(
        &self,
        call: &Call,
        send: &Send,
        way: &Way,
        entry: &Entry,
        ticket: Option<&Arc<str>>,
    ) -> RequestBuilder {
        let url = format!("http://{}{}", entry.address, call.path);
        let mut request = self.clients[send.source].request(way.method.clone(), url);
        if way.keyed {
            request = request.bearer_auth(&self.plan.accounts[send.caller].secret);
        }
        if let Some(ticket) = ticket {
            request = request.header(TICKET_HEADER, ticket.as_ref());
        }
        match (send.poison, &way.method) {
            (true, _) => request.body(POISON),
            (false, &http::Method::GET) => request,
            (false, _) => request.body(call.id.to_string()),
        }
    }

    fn way(&self, name: &id::Route) -> Option<Way> {
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
        Some(Way {
            service: service.name.clone(),
            method: method?,
            path: route.path.clone(),
            keyed: route.access == Access::Keyed,
            repeatable: route.repeatable,
        })
    }
}

/// What a caller does after a send.
enum Next {
    Stop,
    WithTicket,
    Elsewhere,
}

impl Next {
    fn after(end: &End, may_resend: bool, issued: bool) -> Self {
        match end {
            End::NotSent => Self::Elsewhere,
            End::Lost if may_resend => Self::Elsewhere,
            End::Lost => Self::Stop,
            End::Answer {
                outcome, reason, ..
            } => match (outcome, reason) {
                (_, Some(Reason::TicketMissing)) if issued => Self::WithTicket,
                (
                    Some(Outcome::NotRun),
                    Some(Reason::Leaving | Reason::Stale | Reason::NoTree | Reason::Overloaded),
                ) => Self::Elsewhere,
                (Some(Outcome::Unknown), _) if may_resend => Self::Elsewhere,
                _ => Self::Stop,
            },
        }
    }
}

fn client(source: Option<IpAddr>) -> Result<Client, reqwest::Error> {
    Client::builder()
        .local_address(source)
        .connect_timeout(CONNECT_TIMEOUT.into())
        .timeout(SEND_TIMEOUT.into())
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
}

/// Sends and reads the whole answer; returns the ticket that it issues, if any.
async fn exchange(request: RequestBuilder, call: &Call, size: usize) -> (End, Option<Arc<str>>) {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return (End::NotSent, None),
        Err(_) => return (End::Lost, None),
    };
    let status = response.status().as_u16();
    let outcome = header(&response, "Sg-Outcome").and_then(|text| text.parse().ok());
    let reason = header(&response, "Sg-Reason").and_then(|text| text.parse().ok());
    let issued = header(&response, "Sg-Ticket").map(Into::into);
    let Ok(body) = response.bytes().await else {
        return (End::Lost, None);
    };
    let body = match (200..300).contains(&status) {
        true => judge(&body, call, size),
        false => Body::Refusal,
    };
    let end = End::Answer {
        status,
        outcome,
        reason,
        body,
    };
    (end, issued)
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Whether the body is the whole answer to `call`.
fn judge(body: &[u8], call: &Call, size: usize) -> Body {
    let Ok(answer) = serde_json::from_slice::<ResponseBody>(body) else {
        return Body::Broken;
    };
    if answer.path != *call.path {
        return Body::Foreign;
    }
    if body.len() < size {
        return Body::Broken;
    }
    Body::Own
}
