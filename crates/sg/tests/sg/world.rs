//! A platform of stand-ins, each test's on loopback addresses of its own.

use std::net::SocketAddr;

use sg::{Error, Interrupt, Output, options};
use sg_clock::Timer;
use sg_fake::{list, store};
use sg_store::{change, http, load, publish};
use sg_tree::Node;
use sg_types::prelude::*;

use crate::{admin::Admin, gate::Gate};

/// A tree that has no fault.
pub const TREE: &str = r#"{
  "regions": { "a": { "domains": { "a1": {}, "a2": {} } },
               "b": { "domains": { "b1": {}, "b2": {} } } },
  "links": { "a--b": {} },
  "services": { "desk": {
    "split": { "a": { "weight": "50%" }, "b": { "weight": "50%" } },
    "routes": { "list": { "path": "/list", "method": "GET" } },
    "targets": { "slots": 10,
      "ta1": { "address": "127.0.0.1:9001", "domain": "a1" },
      "ta2": { "address": "127.0.0.1:9002", "domain": "a2" },
      "tb1": { "address": "127.0.0.1:9003", "domain": "b1" },
      "tb2": { "address": "127.0.0.1:9004", "domain": "b2" } } } },
  "accounts": { "rate": "50/s", "x": {}, "y": {} }
}"#;

/// The stand-ins of one test.
pub struct World {
    pub store: store::Server,
    pub list: list::Server,
    /// What the command line takes for the store.
    pub gate: Gate,
    network: u8,
}

impl World {
    /// Starts the stand-ins on 127.92.`network`.1, with the tree as revision 1.
    pub async fn start(network: u8) -> Self {
        let world = Self::empty(network).await;
        let file = world.file("tree.json", TREE);
        world
            .run(&format!("tree apply {file}"))
            .await
            .expect("accepted");
        world
    }

    /// Starts the stand-ins without a tree.
    pub async fn empty(network: u8) -> Self {
        let listen = SocketAddr::from(([127, 92, network, 1], 0));
        let options = store::Options { listen, seed: 1 };
        let store = store::Server::start(options).await.expect("a store");
        let options = list::Options {
            listen,
            members: Vec::new(),
            lag: Span::ZERO,
        };
        let list = list::Server::start(options).await.expect("a list");
        let gate = Gate::start(listen, store.address()).await;
        Self {
            store,
            list,
            gate,
            network,
        }
    }

    /// Adds an instance to the list.
    pub async fn instance(&self, name: &str) -> Admin {
        let listen = SocketAddr::from(([127, 92, self.network, 1], 0));
        let admin = Admin::start(listen).await;
        self.list.control(list::Control {
            set: Some(list::Member {
                instance: id::Instance::new(name).expect("a name"),
                domain: id::Domain::new("a1").expect("a name"),
                region: id::Region::new("a").expect("a name"),
                serve: listen,
                peer: listen,
                admin: admin.address,
                leaving: false,
            }),
            ..list::Control::default()
        });
        admin
    }

    /// Runs a command without the fleet.
    pub async fn run(&self, line: &str) -> Result<Output, Error> {
        self.run_until(line, never()).await
    }

    /// Runs a command with the fleet.
    pub async fn with_fleet(&self, line: &str) -> Result<Output, Error> {
        self.run(&format!("{line} --instances {}", self.list.address()))
            .await
    }

    /// Runs a command that `interrupt` may end.
    pub async fn run_until(&self, line: &str, interrupt: Interrupt) -> Result<Output, Error> {
        let line = format!("{line} --store {}", self.gate.address);
        let author = match line.contains("--author") {
            true => "",
            false => " --author ann",
        };
        let outcome = sg::run(&parse(&format!("{line}{author}")), interrupt).await;
        let json = match &outcome {
            Ok(output) => output.json.clone(),
            Err(error) => error.to_json(),
        };
        assert!(json.is_object(), "{line}: one object a run: {json}");
        outcome
    }

    /// A value of the accepted tree.
    pub async fn value(&self, path: &str) -> Option<String> {
        let output = self.run(&format!("tree get {path}")).await.ok()?;
        Some(output.text)
    }

    /// How many revisions the history holds.
    pub async fn revisions(&self) -> usize {
        let output = self.run("tree history").await.expect("a history");
        output.json["revisions"].as_array().map_or(0, Vec::len)
    }

    /// A client of the store itself.
    pub fn client(&self) -> http::Client {
        let options = http::Options::new([self.store.address()]);
        http::Client::new(options, Timer::new()).expect("a client")
    }

    /// The accepted tree.
    pub async fn client_tree(&self) -> Node {
        let loaded = load::load(&self.client()).await;
        loaded.expect("a tree").tree
    }

    /// Publishes `tree` without the checks of the command line.
    pub async fn publish(&self, tree: &Node) {
        let store = self.client();
        let head = load::load(&store).await.expect("a tree").head;
        let options = publish::Options {
            base: head.revision,
            author: "test".into(),
            note: "".into(),
            change: change::Id::new(7),
            time: head.time,
        };
        publish::publish(&store, tree, options)
            .await
            .expect("accepted");
    }

    /// A file of this test with `text`; its name.
    pub fn file(&self, name: &str, text: &str) -> String {
        let name = format!("{}-{name}", self.network);
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }
}

pub fn never() -> Interrupt {
    Interrupt::new(std::future::pending())
}

pub fn parse(line: &str) -> sg::Options {
    options::parse(line.split_whitespace().map(str::to_owned)).expect(line)
}
