//! Measures components without sockets at growing sizes: the tree, steering and membership.

use std::{hint::black_box, net::SocketAddr, sync::Arc, time};

use sg_peer::{
    core::{Core, Identity, Local},
    frame::Place,
    list::Listed,
};
use sg_tree::{Node, View, compile::compile};
use sg_types::prelude::*;

use crate::{
    line::{self, Point},
    usage,
};

const SIZES: [usize; 3] = [100, 1_000, 10_000];
const FLEETS: [usize; 3] = [56, 560, 5_600];
const DOMAINS: usize = 77;
/// Number of calls between two reads of the clock.
const BATCH: u32 = 4;
/// Minimum time over which calls are repeated, much longer than the scheduler tick of the kernel.
const MIN_DURATION: time::Duration = time::Duration::from_millis(400);

/// Returns the JSON text of a tree with `size` client accounts and as many targets.
fn tree_text(size: usize) -> String {
    let json_map = |value: &dyn Fn(usize) -> (String, serde_json::Value)| {
        let map: serde_json::Map<_, _> = (0..size).map(value).collect();
        map
    };
    let accounts = json_map(&|index| {
        let digest = sg_tree::Digest::of(format!("key-{index}")).to_string();
        let value = serde_json::json!({"rate": "50/s", "keys": {"k": {"digest": digest}}});
        (format!("account-{index}"), value)
    });
    let targets = json_map(&|index| {
        let (host, port) = (index / 250, 9_000 + index % 250);
        let address = format!("127.0.{host}.1:{port}");
        let value =
            serde_json::json!({"address": address, "domain": format!("d{}", index % DOMAINS)});
        (format!("t{index}"), value)
    });
    let domains: serde_json::Map<_, _> = (0..DOMAINS)
        .map(|index| (format!("d{index}"), serde_json::json!({})))
        .collect();
    let tree = serde_json::json!({
        "regions": {"r": {"domains": domains}}, "accounts": accounts,
        "services": {"desk": {"split": {"r": {"weight": "100%"}}, "targets": targets}},
    });
    tree.to_string()
}

/// Returns the processor time per call, in microseconds.
fn micros_per_call<T>(mut call: impl FnMut() -> T) -> f64 {
    let (start, before) = (time::Instant::now(), usage::thread_micros());
    let mut count = 0.0;
    while start.elapsed() < MIN_DURATION {
        for _ in 0..BATCH {
            black_box(call());
        }
        count += f64::from(BATCH);
    }
    (usage::thread_micros() - before) / count
}

fn view(node: &Node) -> Arc<View> {
    Arc::new(compile(node, Revision::new(1)).expect("compiles").view)
}

pub fn measure_trees() {
    let [mut bytes, mut read, mut compiled, mut memory] = [const { Vec::new() }; 4];
    let [mut configure, mut tick] = [const { Vec::new() }; 2];
    for count in SIZES {
        let size = count as f64;
        let point = |value| Point { size, value };
        let text = tree_text(count);
        bytes.push(point(text.len() as f64));
        read.push(point(micros_per_call(|| Node::from_json(&text).is_ok())));
        let node = Node::from_json(&text).expect("reads");
        compiled.push(point(micros_per_call(|| view(&node))));
        memory.push(point(usage::bytes_per_copy(|| view(&node))));
        let view = view(&node);
        let engine = sg_steer::Engine::new(sg_steer::engine::Options {
            region: id::Region::new("r").expect("a name"),
            domain: id::Domain::new("d0").expect("a name"),
            seed: 1,
            instances: 7,
        });
        let now = Instant::START + Span::from_secs(1);
        configure.push(point(micros_per_call(|| engine.configure(&view, now))));
        // The instant advances with each call, since a second tick at the same instant does
        // nothing.
        let mut at = now;
        let next_tick = || {
            at += Span::from_millis(250);
            engine.tick(at);
        };
        tick.push(point(micros_per_call(next_tick)));
    }
    line::print("text of a tree, by accounts and targets", "B", &bytes);
    line::print("reading it", "us", &read);
    line::print("compiling it", "us", &compiled);
    line::print("memory of its view", "B", &memory);
    line::print("putting it in force in steering", "us", &configure);
    line::print("a tick of steering", "us", &tick);
}

fn identity(index: usize) -> Identity {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    Identity {
        instance: id::Instance::new(format!("entry-{index}")).expect("a name"),
        incarnation: Incarnation::new(u64::MAX - index as u64),
        place: Place {
            domain: id::Domain::new(format!("d{}", index % DOMAINS)).expect("a name"),
            region: id::Region::new("r").expect("a name"),
            peer: address,
            entry: address,
            admin: None,
        },
    }
}

fn core(size: usize, listed: &[Listed]) -> Core {
    let now = Instant::START + Span::from_secs(1);
    let mut core = Core::new(identity(size));
    core.list(listed, now);
    core.set_local(Local {
        slots: size as u32,
        relays: 2,
        validity: Span::from_secs(5),
        own_slots: vec![Slot::new(1)],
        ..Local::default()
    });
    core.refresh(now);
    core
}

pub fn measure_members() {
    let [mut memory, mut refresh, mut lists] = [const { Vec::new() }; 3];
    for count in FLEETS {
        let size = count as f64;
        let point = |value| Point { size, value };
        let listed: Vec<_> = (0..count)
            .map(|index| Listed {
                instance: identity(index).instance,
                place: identity(index).place,
                leaving: false,
            })
            .collect();
        memory.push(point(usage::bytes_per_copy(|| core(count, &listed))));
        let mut core = core(count, &listed);
        let now = Instant::START + Span::from_secs(2);
        refresh.push(point(micros_per_call(|| core.refresh(now))));
        lists.push(point(micros_per_call(|| core.list(&listed, now))));
    }
    line::print("memory of the membership, by fleet", "B", &memory);
    line::print("refreshing contacts, once a second", "us", &refresh);
    line::print("taking a read of the list in", "us", &lists);
}
