//! A fake of the platform's list of instances, with configurable lag.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use poem::{Endpoint, Request, Response, http::StatusCode};
use serde::{Deserialize, Serialize};
use sg_clock::Timer;
use sg_types::{
    id,
    time::{Instant, Span},
};

use crate::{
    reply,
    server::{self, Handle},
    wire::Switch,
};

/// The path of the list in the Consul health API.
pub const PATH: &str = "/v1/health/service/sassafrasgauge";

/// An entry of the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The name of the instance.
    pub instance: id::Instance,
    /// The failure domain of the instance.
    pub domain: id::Domain,
    /// The region of the instance.
    pub region: id::Region,
    /// The address for requests of callers.
    pub serve: SocketAddr,
    /// The address for connections of peers.
    pub peer: SocketAddr,
    /// The address of the admin interface.
    pub admin: SocketAddr,
    /// Whether the instance is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// A change to the list or to its faults. Absent fields change nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// The delay before a change becomes visible.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag: Option<Span>,
    /// Whether every call fails with status 500.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// The instance to add or replace.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub set: Option<Member>,
    /// The instance to remove.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<id::Instance>,
    /// The instance to list a second time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub double: Option<id::Instance>,
    /// The instance to mark as leaving.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<id::Instance>,
}

/// The configuration of a list server.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The initial instances.
    pub members: Vec<Member>,
    /// The delay before a change becomes visible.
    pub lag: Span,
}

#[derive(Debug)]
struct Snapshot {
    visible_at: Instant,
    members: Vec<Member>,
}

#[derive(Debug)]
struct State {
    lag: Span,
    outage: bool,
    latest: Vec<Member>,
    published: Vec<Member>,
    pending: VecDeque<Snapshot>,
}

impl State {
    fn apply(&mut self, control: Control, now: Instant) {
        self.lag = control.lag.unwrap_or(self.lag);
        self.outage = control.outage.unwrap_or(self.outage);
        if let Some(member) = control.set {
            self.latest.retain(|m| m.instance != member.instance);
            self.latest.push(member);
        }
        if let Some(name) = control.remove {
            self.latest.retain(|m| m.instance != name);
        }
        if let Some(name) = control.double {
            let copy = self.latest.iter().find(|m| m.instance == name).cloned();
            self.latest.extend(copy);
        }
        if let Some(name) = control.leaving {
            let matching = self.latest.iter_mut().filter(|m| m.instance == name);
            matching.for_each(|m| m.leaving = true);
        }
        self.pending.push_back(Snapshot {
            visible_at: now + self.lag,
            members: self.latest.clone(),
        });
    }

    fn visible_members(&mut self, now: Instant) -> &[Member] {
        while self.pending.front().is_some_and(|s| s.visible_at <= now) {
            if let Some(snapshot) = self.pending.pop_front() {
                self.published = snapshot.members;
            }
        }
        &self.published
    }
}

#[derive(Debug)]
struct Shared {
    timer: Timer,
    state: Mutex<State>,
}

/// A running list server.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    handle: Handle,
}

impl Server {
    /// Starts a list server.
    ///
    /// # Errors
    /// Returns [`server::Error`] if the address cannot be bound.
    pub async fn start(options: Options) -> Result<Self, server::Error> {
        let switch = Switch::new();
        let listener = server::bind(options.listen, &switch).await?;
        let shared = Arc::new(Shared {
            timer: Timer::new(),
            state: Mutex::new(State {
                lag: options.lag,
                outage: false,
                latest: options.members.clone(),
                published: options.members,
                pending: VecDeque::new(),
            }),
        });
        let handle = Handle::spawn(listener, switch, Handler(shared.clone()));
        Ok(Self { shared, handle })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Applies a change to the list or to its faults.
    pub fn control(&self, control: Control) {
        let now = self.shared.timer.now();
        self.shared.state.lock().apply(control, now);
    }
}

struct Handler(Arc<Shared>);

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let now = self.0.timer.now();
        let response = match request.uri().path() {
            "/_control" => match reply::read_json(&mut request).await {
                Ok(control) => {
                    self.0.state.lock().apply(control, now);
                    reply::status(StatusCode::OK)
                }
                Err(error) => error.response(),
            },
            PATH => {
                let mut state = self.0.state.lock();
                if state.outage {
                    return Ok(reply::status(StatusCode::INTERNAL_SERVER_ERROR));
                }
                let items: Vec<Item> = state.visible_members(now).iter().map(Item::new).collect();
                reply::json(&items)
            }
            _ => reply::status(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }
}

/// An entry of Consul's response.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Item {
    service: Service,
    checks: [Check; 1],
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: id::Instance,
    service: &'static str,
    address: String,
    port: u16,
    meta: Meta,
}

#[derive(Debug, Serialize)]
struct Meta {
    domain: id::Domain,
    region: id::Region,
    peer: SocketAddr,
    admin: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    leaving: Option<&'static str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    #[serde(rename = "CheckID")]
    id: &'static str,
    status: &'static str,
}

impl Item {
    fn new(member: &Member) -> Self {
        Self {
            service: Service {
                id: member.instance.clone(),
                service: "sassafrasgauge",
                address: member.serve.ip().to_string(),
                port: member.serve.port(),
                meta: Meta {
                    domain: member.domain.clone(),
                    region: member.region.clone(),
                    peer: member.peer,
                    admin: member.admin,
                    leaving: member.leaving.then_some("true"),
                },
            },
            checks: [Check {
                id: "serfHealth",
                status: "passing",
            }],
        }
    }
}
