//! Parts without sockets: the tree, steering and membership, at growing sizes.

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
/// Calls between two looks at the clock.
const BATCH: u32 = 4;
/// How long each call is repeated, much longer than the kernel's tick.
const LONG_ENOUGH: time::Duration = time::Duration::from_millis(400);

/// A tree of `size` client accounts and as many targets.
fn text(size: usize) -> String {
    let of = |value: &dyn Fn(usize) -> (String, serde_json::Value)| {
        let map: serde_json::Map<_, _> = (0..size).map(value).collect();
        map
    };
    let accounts = of(&|index| {
        let digest = sg_tree::Digest::of(format!("key-{index}")).to_string();
        let value = serde_json::json!({"rate": "50/s", "keys": {"k": {"digest": digest}}});
        (format!("account-{index}"), value)
    });
    let targets = of(&|index| {
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

/// Microseconds of processor time of each call.
fn micros<T>(mut call: impl FnMut() -> T) -> f64 {
    let (start, before) = (time::Instant::now(), usage::own_micros());
    let mut count = 0.0;
    while start.elapsed() < LONG_ENOUGH {
        for _ in 0..BATCH {
            black_box(call());
        }
        count += f64::from(BATCH);
    }
    (usage::own_micros() - before) / count
}

fn view(node: &Node) -> Arc<View> {
    Arc::new(compile(node, Revision::new(1)).expect("compiles").view)
}

pub fn trees() {
    let [mut bytes, mut read, mut compiled, mut memory] = [const { Vec::new() }; 4];
    let [mut configure, mut tick] = [const { Vec::new() }; 2];
    for count in SIZES {
        let size = count as f64;
        let point = |value| Point { size, value };
        let text = text(count);
        bytes.push(point(text.len() as f64));
        read.push(point(micros(|| Node::from_json(&text).is_ok())));
        let node = Node::from_json(&text).expect("reads");
        compiled.push(point(micros(|| view(&node))));
        memory.push(point(usage::bytes_of(|| view(&node))));
        let view = view(&node);
        let engine = sg_steer::Engine::new(sg_steer::engine::Options {
            region: id::Region::new("r").expect("a name"),
            domain: id::Domain::new("d0").expect("a name"),
            seed: 1,
            entries: 7,
        });
        let now = Instant::START + Span::from_secs(1);
        configure.push(point(micros(|| engine.configure(&view, now))));
        // A tick of the same moment has nothing to do.
        let mut at = now;
        let next = || {
            at += Span::from_millis(250);
            engine.tick(at);
        };
        tick.push(point(micros(next)));
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

pub fn members() {
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
        memory.push(point(usage::bytes_of(|| core(count, &listed))));
        let mut core = core(count, &listed);
        let now = Instant::START + Span::from_secs(2);
        refresh.push(point(micros(|| core.refresh(now))));
        lists.push(point(micros(|| core.list(&listed, now))));
    }
    line::print("memory of the membership, by fleet", "B", &memory);
    line::print("refreshing contacts, once a second", "us", &refresh);
    line::print("taking a read of the list in", "us", &lists);
}
