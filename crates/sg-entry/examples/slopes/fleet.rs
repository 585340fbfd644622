//! A fleet of instances in this process, on their own runtime, with simulated platform services.

use std::net::SocketAddr;

use sg_clock::Timer;
use sg_entry::{Settings, daemon};
use sg_fake::{list, store};
use sg_store::{change, head::Date, http, publish};
use sg_tree::Node;
use sg_types::prelude::*;
use tokio::{
    runtime::{Builder, Runtime},
    sync::watch,
    task::JoinSet,
};

use crate::usage;

/// Worker threads of all instances together.
const THREADS: usize = 4;
const DOMAINS: usize = 4;
/// Time for a started fleet to become idle.
const SETTLE_TIME: Span = Span::from_secs(12);

pub struct Fleet {
    pub store: store::Server,
    pub settings: Vec<Settings>,
    pub timer: Timer,
    _list: list::Server,
    stop: watch::Sender<bool>,
    runtime: Option<Runtime>,
}

fn address(net: u8, port: usize) -> SocketAddr {
    let port = u16::try_from(port).expect("a port");
    SocketAddr::from(([127, 93, net, 1], port))
}

fn settings(net: u8, index: usize) -> Settings {
    let port = |base: usize| address(net, base + index);
    let text = serde_json::json!({
        "instance": format!("entry-{index}"), "domain": format!("d{}", index % DOMAINS),
        "region": "north",
        "serve": port(8100), "peer": port(8200), "admin": port(8300),
        "store": [address(net, 8401)], "instances": address(net, 8402),
    });
    Settings::parse(text.to_string().as_bytes(), "settings").expect("good settings")
}

fn member(settings: &Settings) -> list::Member {
    list::Member {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        serve: settings.serve,
        peer: settings.peer,
        admin: settings.admin,
        leaving: false,
    }
}

fn tree(count: usize) -> Node {
    let domains: serde_json::Map<String, serde_json::Value> = (0..DOMAINS)
        .map(|index| {
            let block = format!("10.{index}.0.0/16");
            (format!("d{index}"), serde_json::json!({ "blocks": block }))
        })
        .collect();
    let tree = serde_json::json!({
        "fleet": {"slots": count},
        "regions": {"north": {"domains": domains}},
        "services": {"desk": {"split": {"north": {"weight": "100%"}},
            "targets": {"slots": 20, "t0": {"address": "127.0.0.1:1", "domain": "d0"}}}},
        "accounts": {"ann": {"rate": "200/s", "burst": 400}},
    });
    Node::from_json(tree.to_string()).expect("a tree")
}

impl Fleet {
    /// Starts `count` instances on the loopback network `net` and waits until they are idle.
    pub async fn start(net: u8, count: usize) -> Self {
        let timer = Timer::new();
        let settings: Vec<_> = (0..count).map(|index| settings(net, index)).collect();
        let store = store::Server::start(store::Options {
            listen: address(net, 8401),
            seed: 1,
        });
        let store = store.await.expect("a store");
        let list = list::Server::start(list::Options {
            listen: address(net, 8402),
            members: settings.iter().map(member).collect(),
            lag: Span::ZERO,
        });
        let list = list.await.expect("a list");
        publish(&store, &timer, count).await;
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name(usage::THREAD)
            .enable_all()
            .build()
            .expect("a runtime");
        let (stop, stopped) = watch::channel(false);
        for instance in &settings {
            let (instance, mut stopped) = (instance.clone(), stopped.clone());
            runtime.spawn(async move {
                let requested = async move {
                    let _ = stopped.wait_for(|stop| *stop).await;
                };
                if let Err(error) = daemon::run_until(instance, requested).await {
                    eprintln!("an instance failed: {error}");
                }
            });
        }
        timer.sleep(SETTLE_TIME).await;
        Self {
            store,
            settings,
            timer,
            _list: list,
            stop,
            runtime: Some(runtime),
        }
    }

    /// Sends `requests` lookups to the first instance over `connections` connections.
    pub async fn look_up(&self, connections: usize, requests: usize) {
        let mut callers = JoinSet::new();
        let url = format!(
            "http://{}{}?service=desk&address=10.1.2.3",
            self.settings[0].serve,
            sg_entry::lookup::PATH
        );
        for _ in 0..connections {
            let (client, url) = (reqwest::Client::new(), url.clone());
            callers.spawn(async move {
                for _ in 0..requests / connections {
                    let response = client.get(&url).send().await.expect("a response");
                    assert!(response.status().is_success(), "{}", response.status());
                    response.bytes().await.expect("a body");
                }
            });
        }
        while let Some(done) = callers.join_next().await {
            done.expect("the task ran");
        }
    }

    /// Returns the sum of a counter over all instances.
    pub async fn counter(&self, name: &str) -> f64 {
        let client = reqwest::Client::new();
        let mut sum = 0.0;
        for instance in &self.settings {
            let url = format!("http://{}/metrics", instance.admin);
            let response = client.get(url).send().await.expect("a response");
            let text = response.text().await.expect("a text");
            sum += text
                .lines()
                .filter(|line| line.starts_with(name))
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum::<f64>();
        }
        sum
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn publish(store: &store::Server, timer: &Timer, count: usize) {
    let options = http::Options::new(vec![store.address()]);
    let client = http::Client::new(options, timer.clone()).expect("a client");
    let options = publish::Options {
        base: Revision::default(),
        author: "slopes".into(),
        note: "".into(),
        change: change::Id::random(),
        time: Date::default(),
    };
    publish::publish(&client, &tree(count), options)
        .await
        .expect("published");
}
