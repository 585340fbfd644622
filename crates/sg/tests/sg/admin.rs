//! A stand-in of an instance's admin address: fixed answers by path.

use std::net::SocketAddr;

use parking_lot::Mutex;
use poem::{
    Endpoint, Request, Response, Server, http::StatusCode, listener::Acceptor as _,
    listener::Listener as _, listener::TcpListener,
};
use serde::Serialize;
use sg_peer::{frame::Place, report::Node};
use sg_report::status::{HeldTarget, Instance, Split, State};
use sg_types::prelude::*;
use tokio::task::JoinHandle;

type Answers = Arc<Mutex<IndexMap<String, String>>>;

/// A running stand-in.
pub struct Admin {
    pub address: SocketAddr,
    answers: Answers,
    task: JoinHandle<()>,
}

impl Admin {
    pub async fn start(listen: SocketAddr) -> Self {
        let acceptor = TcpListener::bind(listen.to_string())
            .into_acceptor()
            .await
            .expect("bound");
        let address = acceptor.local_addr().remove(0);
        let answers = Answers::default();
        let front = Front(answers.clone());
        let task = tokio::spawn(async move {
            let _ = Server::new_with_acceptor(acceptor).run(front).await;
        });
        Self {
            address: *address.as_socket_addr().expect("an address"),
            answers,
            task,
        }
    }

    /// Answers like an instance in this state.
    pub fn serves(&self, state: &Instance) {
        self.answer("/status", state);
        let slots = state.slot.into_iter().collect();
        self.tells(&node(state.instance.as_str(), state.revision.get(), slots));
    }

    /// Answers `/report` with the state of a node.
    pub fn tells(&self, node: &Node) {
        self.answer("/report", &Report { node });
    }

    /// Answers `path` with `value`.
    pub fn answer(&self, path: &str, value: &impl Serialize) {
        let text = serde_json::to_string(value).expect("writes");
        self.answers.lock().insert(path.to_owned(), text);
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Front(Answers);

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let answer = self.0.lock().get(request.uri().path()).cloned();
        Ok(match answer {
            Some(text) => Response::builder().body(text),
            None => StatusCode::NOT_FOUND.into(),
        })
    }
}

/// The part of a report that is read.
#[derive(Serialize)]
struct Report<'a> {
    node: &'a Node,
}

/// The state of a node that has `revision` in force and holds `slots`.
pub fn node(name: &str, revision: u64, slots: Vec<Slot>) -> Node {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    Node {
        instance: id::Instance::new(name).expect("a name"),
        incarnation: Incarnation::new(1),
        place: Place {
            domain: id::Domain::new("a1").expect("a name"),
            region: id::Region::new("a").expect("a name"),
            peer: nowhere,
            entry: nowhere,
            admin: None,
        },
        newest: Revision::new(revision),
        digest: sg_tree::Digest::default(),
        in_force: Revision::new(revision),
        faults: Vec::new(),
        fresh: true,
        evidence: None,
        evidence_age: None,
        relay: false,
        slot: slots.first().copied(),
        slots,
        contacts: Vec::new(),
        members: Vec::new(),
    }
}

/// The state of an instance that serves `revision`.
pub fn status(name: &str, revision: u64) -> Instance {
    Instance {
        instance: id::Instance::new(name).expect("a name"),
        incarnation: Incarnation::new(1),
        region: id::Region::new("a").expect("a name"),
        domain: id::Domain::new("a1").expect("a name"),
        uptime: Span::from_secs(60),
        state: State::Serving,
        revision: Revision::new(revision),
        digest: sg_tree::Digest::default(),
        in_force: Span::from_secs(1),
        fault: None,
        slot: Some(Slot::new(1)),
        confirmed: true,
        in_hand: 0,
        alive: 1,
        splits: Vec::new(),
        held: Vec::new(),
        acts: Vec::new(),
    }
}

/// Region `a`'s part of service `desk`, with what is in flight there.
pub fn split(in_force: &str, in_flight: u32) -> Split {
    Split {
        service: id::Service::new("desk").expect("a name"),
        region: id::Region::new("a").expect("a name"),
        wanted: Percent::ZERO,
        in_force: in_force.parse().expect("a percentage"),
        headroom: Some(0.5),
        in_flight,
    }
}

/// A target of service `desk` that the tree drains.
pub fn held(target: &str, in_flight: u32) -> HeldTarget {
    HeldTarget {
        service: id::Service::new("desk").expect("a name"),
        target: id::Target::new(target).expect("a name"),
        why: "drain".into(),
        in_flight,
    }
}
