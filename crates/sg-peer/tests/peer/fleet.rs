//! In-memory fleet: instances, store, instance list and network share one paused clock.

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_peer::{
    Metrics, Node, Options,
    core::Identity,
    frame::Place,
    list::{Error, Listed, Outcome, Source},
    node::{self, Handle},
};
use sg_share::engine;
use sg_store::{change, head::Date, memory, memory::Fault, publish};
use sg_tree::Node as Tree;
use sg_types::prelude::*;

use super::net::{Guard, Net};

/// An instance list written by the test.
#[derive(Clone, Default)]
pub struct List {
    pub entries: Arc<Mutex<Vec<Listed>>>,
}

impl Source for List {
    async fn read(&self) -> Result<Outcome, Error> {
        Ok(Outcome {
            entries: self.entries.lock().clone(),
            malformed: 0,
        })
    }
}

/// An instance and its connection to the store.
pub struct Instance {
    pub handle: Handle<Guard>,
    pub store: memory::Store,
    pub identity: Identity,
    registry: prometheus::Registry,
}

impl Instance {
    /// Returns the sum of a counter over its labels.
    pub fn counter(&self, name: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.map_or(&[][..], |family| family.get_metric());
        metrics
            .iter()
            .map(|metric| metric.get_counter().get_value())
            .sum()
    }
}

pub struct Fleet {
    pub timer: Timer,
    pub net: Net,
    pub store: memory::Store,
    pub list: List,
    pub instances: Vec<Instance>,
    domains: usize,
    runs: u64,
}

pub const STORE_DOWN: Fault = Fault {
    down: true,
    delay: Span::ZERO,
    lose_responses: 0,
    lose_requests: 0,
    key_prefix: "",
};

/// Returns a tree with `slots` slots, and with `key` as a valid key if it is given.
pub fn tree(slots: u32, key: Option<&str>) -> Tree {
    let mut tree = Tree::default();
    let mut set = |path: &str, value: &str| {
        tree.set(&path.parse().expect("valid path"), value);
    };
    set("/fleet/slots", &slots.to_string());
    set("/accounts/a/rate", "100/s");
    if let Some(key) = key {
        let digest = sg_tree::Digest::of(key).to_string();
        set("/accounts/a/keys/k/digest", &digest);
    }
    tree
}

fn place(index: usize, domains: usize) -> Place {
    let port = |base: usize| {
        let port = u16::try_from(base + index).expect("valid port");
        SocketAddr::from(([127, 0, 0, 1], port))
    };
    Place {
        domain: id::Domain::new(format!("d{}", index % domains)).expect("valid name"),
        region: id::Region::new("r").expect("valid name"),
        peer: port(10_000),
        entry: port(20_000),
        admin: None,
    }
}

impl Fleet {
    /// Creates an empty fleet over `domains` failure domains.
    pub fn new(domains: usize) -> Self {
        let timer = Timer::new();
        Self {
            net: Net::new(timer.clone()),
            store: memory::Store::new(timer.clone()),
            list: List::default(),
            instances: Vec::new(),
            timer,
            domains,
            runs: 0,
        }
    }

    /// Starts a fleet of `count` instances with revision 1 in force and one slot each.
    pub async fn start(count: usize, domains: usize) -> Self {
        let mut fleet = Self::new(domains);
        let slots = u32::try_from(count).expect("count fits");
        fleet.publish(&tree(slots, Some("secret"))).await;
        for index in 0..count {
            fleet.start_instance(index, true).await;
        }
        fleet.sleep(Span::from_secs(30)).await;
        fleet
    }

    pub async fn sleep(&self, span: Span) {
        self.timer.sleep(span).await;
    }

    /// Starts an instance. An index that was used before starts a new incarnation of the same
    /// instance.
    pub async fn start_instance(&mut self, index: usize, listed: bool) {
        self.runs += 1;
        let identity = Identity {
            instance: id::Instance::new(format!("i{index}")).expect("valid name"),
            // As many digits as a real incarnation, since the bytes of frames are counted.
            incarnation: Incarnation::new(u64::MAX / 2 + self.runs),
            place: place(index, self.domains),
        };
        let entry = Listed {
            instance: identity.instance.clone(),
            place: identity.place.clone(),
            leaving: false,
        };
        if listed {
            self.list.entries.lock().push(entry);
        }
        let store = self.store.connect();
        let registry = prometheus::Registry::new();
        let options = Options {
            listen: identity.place.peer,
            identity: identity.clone(),
            share: engine::Options {
                seed: 7,
                ..engine::Options::default()
            },
            budgets: node::account_budgets,
            list_period: Span::from_secs(2),
            stop_within: Span::from_secs(3),
            metrics: Metrics::register(&registry).expect("metrics"),
        };
        let net = self.net.for_address(identity.place.peer);
        let list = self.list.clone();
        let timer = self.timer.clone();
        let handle = Node::start(options, timer, store.clone(), list, net)
            .await
            .expect("starts");
        self.instances.push(Instance {
            handle,
            store,
            identity,
            registry,
        });
    }

    /// Publishes `tree` on top of the newest accepted revision.
    pub async fn publish(&self, tree: &Tree) -> Revision {
        let base = sg_store::head::read(&self.store).await.expect("reads");
        let base = base.map_or(Revision::default(), |placed| placed.head.revision);
        let options = publish::Options {
            base,
            author: "ann".into(),
            note: "test".into(),
            change: change::Id::new(u128::from(base.get()) + 1),
            time: Date::from_unix_millis(0),
        };
        let outcome = publish::publish(&self.store, tree, options).await;
        outcome.expect("publish accepted").head.revision
    }

    /// Sets or clears the store fault of the instances at `indexes`.
    pub fn set_store_fault(&self, fault: Fault, indexes: impl IntoIterator<Item = usize>) {
        for index in indexes {
            self.instances[index].store.set_fault(fault);
        }
    }

    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.instances.len()
    }

    pub fn is_fresh(&self, index: usize) -> bool {
        self.instances[index]
            .handle
            .fresh
            .is_fresh(self.timer.now())
    }

    pub fn in_force(&self, index: usize) -> Revision {
        self.instances[index].handle.config.in_force()
    }

    /// Waits until `revision` is in force on all of `indexes`. Returns the time that this took, or
    /// `None` after `timeout`.
    pub async fn wait_until_in_force(
        &self,
        revision: Revision,
        indexes: &[usize],
        timeout: Span,
    ) -> Option<Span> {
        let start = self.timer.now();
        loop {
            let waited = self.timer.now().since(start);
            if indexes
                .iter()
                .all(|index| self.in_force(*index) >= revision)
            {
                return Some(waited);
            }
            if waited >= timeout {
                return None;
            }
            self.sleep(Span::from_millis(5)).await;
        }
    }

    pub fn peer_addresses(&self, indexes: &[usize]) -> Vec<SocketAddr> {
        indexes
            .iter()
            .map(|index| self.instances[*index].identity.place.peer)
            .collect()
    }
}
