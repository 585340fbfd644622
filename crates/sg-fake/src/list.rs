//! A stand-in of the platform's list of instances, which lags.

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

/// The path of the list, as Consul has it.
pub const PATH: &str = "/v1/health/service/sassafrasgauge";

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The instance.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its region.
    pub region: id::Region,
    /// Where callers reach it.
    pub serve: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// A change of the list or of its faults. Fields that are left out change nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// How long a change stays invisible.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag: Option<Span>,
    /// Whether every call is refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Adds or replaces an instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub set: Option<Member>,
    /// Removes an instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<id::Instance>,
    /// Lists an instance twice.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub double: Option<id::Instance>,
    /// Marks an instance as leaving.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<id::Instance>,
}

/// How the list runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The instances at the start.
    pub members: Vec<Member>,
    /// How long a change stays invisible.
    pub lag: Span,
}

#[derive(Debug)]
struct Snapshot {
    visible: Instant,
    members: Vec<Member>,
}

#[derive(Debug)]
struct State {
    lag: Span,
    outage: bool,
    newest: Vec<Member>,
    seen: Vec<Member>,
    pending: VecDeque<Snapshot>,
}

impl State {
    fn change(&mut self, control: Control, now: Instant) {
        self.lag = control.lag.unwrap_or(self.lag);
        self.outage = control.outage.unwrap_or(self.outage);
        if let Some(member) = control.set {
            self.newest.retain(|m| m.instance != member.instance);
            self.newest.push(member);
        }
        if let Some(name) = control.remove {
            self.newest.retain(|m| m.instance != name);
        }
        if let Some(name) = control.double {
            let copy = self.newest.iter().find(|m| m.instance == name).cloned();
            self.newest.extend(copy);
        }
        if let Some(name) = control.leaving {
            let marked = self.newest.iter_mut().filter(|m| m.instance == name);
            marked.for_each(|m| m.leaving = true);
        }
        self.pending.push_back(Snapshot {
            visible: now + self.lag,
            members: self.newest.clone(),
        });
    }

    fn visible(&mut self, now: Instant) -> &[Member] {
        while self.pending.front().is_some_and(|s| s.visible <= now) {
            if let Some(snapshot) = self.pending.pop_front() {
                self.seen = snapshot.members;
            }
        }
        &self.seen
    }
}

#[derive(Debug)]
struct Shared {
    timer: Timer,
    state: Mutex<State>,
}

/// A running list.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    handle: Handle,
}

impl Server {
    /// Starts a list.
    ///
    /// # Errors
    /// [`server::Error`] if the address can't be bound.
    pub async fn start(options: Options) -> Result<Self, server::Error> {
        let switch = Switch::new();
        let listener = server::bind(options.listen, &switch).await?;
        let shared = Arc::new(Shared {
            timer: Timer::new(),
            state: Mutex::new(State {
                lag: options.lag,
                outage: false,
                newest: options.members.clone(),
                seen: options.members,
                pending: VecDeque::new(),
            }),
        });
        let handle = Handle::spawn(listener, switch, Front(shared.clone()));
        Ok(Self { shared, handle })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Changes the list or its faults.
    pub fn control(&self, control: Control) {
        let now = self.shared.timer.now();
        self.shared.state.lock().change(control, now);
    }
}

struct Front(Arc<Shared>);

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let now = self.0.timer.now();
        let response = match request.uri().path() {
            "/_control" => match reply::read(&mut request).await {
                Ok(control) => {
                    self.0.state.lock().change(control, now);
                    reply::status(StatusCode::OK)
                }
                Err(error) => error.response(),
            },
            PATH => {
                let mut state = self.0.state.lock();
                if state.outage {
                    return Ok(reply::status(StatusCode::INTERNAL_SERVER_ERROR));
                }
                let items: Vec<Item> = state.visible(now).iter().map(Item::new).collect();
                reply::json(&items)
            }
            _ => reply::status(StatusCode::NOT_FOUND),
        };
        Ok(response)
    }
}

/// An instance as Consul lists it.
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
