//! In-memory implementations of the dependencies of the request path, and an entry that uses them.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
};

use parking_lot::Mutex;
use poem::{Server, listener::TcpAcceptor};
use sg_clock::Timer;
use sg_forward::{Dependencies, Forward, dependencies, forward::Identity};
use sg_steer::{Attempt, Completion, Query, Selector};
use sg_tree::{Digest, Node, View, compile::compile};
use sg_types::prelude::*;

pub const KEY_A: &str = "key-of-account-a-0123456789";
pub const KEY_B: &str = "key-of-account-b-0123456789";

/// Returns the tree of the tests; `changes` are paths and values of settings to replace or add.
pub fn view(revision: u64, changes: &[(&str, &str)]) -> View {
    let text = r#"{
      "fleet": { "concurrency": 64 },
      "regions": { "north": { "domains": { "n1": {} } } },
      "services": { "desk": {
        "attempts": 2, "progress-timeout": "1s", "connect-timeout": "1s",
        "routes": {
          "open": { "path": "/open", "access": "open", "repeatable": "yes" },
          "read": { "path": "/read", "repeatable": "yes", "deadline": "20s" },
          "book": { "path": "/book", "deadline": "20s" } } } },
      "accounts": { "a": { "keys": { "k1": {} } }, "b": { "keys": { "k1": {} } } }
    }"#;
    let mut tree = Node::from_json(text).expect("the tree reads");
    for (account, key) in [("a", KEY_A), ("b", KEY_B)] {
        let path = format!("/accounts/{account}/keys/k1/digest");
        let digest = Digest::of(key).to_string();
        tree.set(&path.parse().expect("a path"), digest);
    }
    for (path, value) in changes {
        tree.set(&path.parse().expect("a path"), value);
    }
    compile(&tree, Revision::new(revision))
        .expect("compiles")
        .view
}

/// A retry budget of 10 retries per 100 requests.
pub const TEN_PERCENT: u32 = 10;

#[derive(Default)]
pub struct State {
    pub view: Mutex<Option<Arc<View>>>,
    pub refusal: Mutex<Option<dependencies::BudgetRefusal>>,
    pub admitted: AtomicU32,
    pub stale: AtomicBool,
    pub targets: Mutex<Vec<(id::Target, SocketAddr)>>,
    pub rotate_targets: AtomicBool,
    pub starts: Mutex<Vec<id::Target>>,
    pub completions: Mutex<Vec<Completion>>,
    pub retry_percent: AtomicU32,
    pub retries: AtomicU32,
    pub notices: Mutex<Vec<Notice>>,
    pub entries: Mutex<IndexMap<(id::Instance, Incarnation), SocketAddr>>,
}

/// Implements all dependencies; clones share the state.
#[derive(Clone, Default)]
pub struct TestEnv(pub Arc<State>);

impl TestEnv {
    pub fn new(targets: &[SocketAddr]) -> Self {
        let env = Self::default();
        env.set_view(view(1, &[]));
        let named = targets.iter().enumerate();
        *env.0.targets.lock() = named
            .map(|(n, address)| (format!("t{n}").parse().expect("a name"), *address))
            .collect();
        env.0.retry_percent.store(100, Ordering::SeqCst);
        env
    }

    pub fn set_view(&self, view: View) {
        *self.0.view.lock() = Some(Arc::new(view));
    }

    pub fn set_refusal(&self, retry_after: Span, may_wait: bool) {
        *self.0.refusal.lock() = Some(dependencies::BudgetRefusal {
            retry_after,
            may_wait,
        });
    }

    pub fn completions(&self) -> Vec<Completion> {
        self.0.completions.lock().clone()
    }
}

impl dependencies::TreeProvider for TestEnv {
    fn view(&self) -> Option<Arc<View>> {
        self.0.view.lock().clone()
    }
}

impl dependencies::Admission for TestEnv {
    fn admit(
        &self,
        account: &id::Account,
        now: Instant,
    ) -> Result<(), dependencies::BudgetRefusal> {
        self.check(account, now)?;
        self.0.admitted.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    fn check(&self, _: &id::Account, _: Instant) -> Result<(), dependencies::BudgetRefusal> {
        self.0.refusal.lock().map_or(Ok(()), Err)
    }
}

impl dependencies::Freshness for TestEnv {
    fn is_fresh(&self, _: Instant) -> bool {
        !self.0.stale.load(Ordering::SeqCst)
    }
}

impl dependencies::NoticeSender for TestEnv {
    fn send_notice(&self, notice: Notice) {
        self.0.notices.lock().push(notice);
    }
}

impl dependencies::Directory for TestEnv {
    fn instance_address(
        &self,
        instance: &id::Instance,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        let key = (instance.clone(), incarnation);
        self.0.entries.lock().get(&key).copied()
    }
}

impl Selector for TestEnv {
    type Attempt = TestAttempt;

    fn start_attempt(&self, query: Query<'_>) -> Result<TestAttempt, Reason> {
        let targets = self.0.targets.lock();
        let mut starts = self.0.starts.lock();
        let first = if self.0.rotate_targets.load(Ordering::SeqCst) {
            starts.len()
        } else {
            0
        };
        let mut from_first = (0..targets.len()).map(|n| &targets[(first + n) % targets.len()]);
        let next = from_first.find(|(name, _)| !query.tried.contains(name));
        let (target, address) = next.cloned().ok_or(Reason::NoTarget)?;
        starts.push(target.clone());
        drop(starts);
        Ok(TestAttempt {
            target,
            address,
            region: "north".parse().expect("a name"),
            env: self.clone(),
            is_finished: false,
        })
    }

    fn take_retry(&self, _: &id::Service, _: Instant) -> bool {
        let retries = self.0.retries.fetch_add(1, Ordering::SeqCst) + 1;
        let requests = self.0.starts.lock().len() as u32 + 1 - retries;
        let allowed = retries * 100 < requests * self.0.retry_percent.load(Ordering::SeqCst);
        if !allowed {
            self.0.retries.fetch_sub(1, Ordering::SeqCst);
        }
        allowed || self.0.retry_percent.load(Ordering::SeqCst) >= 100
    }
}

pub struct TestAttempt {
    target: id::Target,
    address: SocketAddr,
    region: id::Region,
    env: TestEnv,
    is_finished: bool,
}

impl Attempt for TestAttempt {
    fn target(&self) -> &id::Target {
        &self.target
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn region(&self) -> &id::Region {
        &self.region
    }

    fn in_flight(&self) -> u32 {
        1
    }

    fn finish(mut self, completion: Completion, _: Instant) {
        self.is_finished = true;
        self.env.0.completions.lock().push(completion);
    }
}

impl Drop for TestAttempt {
    fn drop(&mut self) {
        if !self.is_finished {
            self.env.0.completions.lock().push(Completion::Cancelled);
        }
    }
}

pub type TestForward = Forward<TestEnv, TestEnv, TestEnv, TestEnv, TestEnv, TestEnv>;

/// A running entry.
pub struct Entry {
    pub forward: TestForward,
    pub address: SocketAddr,
    pub instance: id::Instance,
    pub incarnation: Incarnation,
}

impl Entry {
    pub async fn start(name: &str, incarnation: u64, env: &TestEnv) -> Self {
        let (entry, acceptor) = Self::make(name, incarnation, env);
        let acceptor = entry.forward.listener(acceptor);
        tokio::spawn(Server::new_with_acceptor(acceptor).run(entry.forward.clone()));
        entry
    }

    /// Starts an entry without the listener that tracks callers' connections.
    pub async fn start_without_listener(name: &str, incarnation: u64, env: &TestEnv) -> Self {
        let (entry, acceptor) = Self::make(name, incarnation, env);
        tokio::spawn(Server::new_with_acceptor(acceptor).run(entry.forward.clone()));
        entry
    }

    fn make(name: &str, incarnation: u64, env: &TestEnv) -> (Self, TcpAcceptor) {
        let identity = Identity {
            instance: name.parse().expect("a name"),
            incarnation: Incarnation::new(incarnation),
        };
        let dependencies = Dependencies {
            tree: env.clone(),
            admission: env.clone(),
            freshness: env.clone(),
            selector: env.clone(),
            notice_sender: env.clone(),
            directory: env.clone(),
        };
        let registry = prometheus::Registry::new();
        let forward = Forward::new(identity.clone(), dependencies, Timer::new(), &registry)
            .expect("creates the request path");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("has an address");
        listener
            .set_nonblocking(true)
            .expect("sets non-blocking mode");
        let listener = tokio::net::TcpListener::from_std(listener).expect("listens");
        let acceptor = TcpAcceptor::from_tokio(listener).expect("accepts");
        let key = (identity.instance.clone(), identity.incarnation);
        env.0.entries.lock().insert(key, address);
        let entry = Self {
            forward,
            address,
            instance: identity.instance,
            incarnation: identity.incarnation,
        };
        (entry, acceptor)
    }

    /// Removes the entry from the directory, as happens when an instance dies.
    pub fn remove_from_directory(&self, env: &TestEnv) {
        let key = (self.instance.clone(), self.incarnation);
        env.0.entries.lock().swap_remove(&key);
    }
}
