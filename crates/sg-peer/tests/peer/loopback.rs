//! Tests with instances over loopback sockets.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU64, Ordering},
};

use sg_clock::Timer;
use sg_peer::{
    Frame, Metrics, Node, Options, Rpc, Transport,
    core::Identity,
    frame::Place,
    list::Listed,
    node::{self, Handle},
    rpc::Guard,
};
use sg_store::{change, head::Date, memory, publish};
use sg_types::prelude::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::{
    fleet::{List, tree},
    net::ENVELOPE_BYTES,
};

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("has an address")
}

fn identity(index: u64) -> Identity {
    Identity {
        instance: id::Instance::new(format!("i{index}")).expect("valid name"),
        incarnation: Incarnation::new(index),
        place: Place {
            domain: id::Domain::new(format!("d{index}")).expect("valid name"),
            region: id::Region::new("r").expect("valid name"),
            peer: free_address(),
            entry: SocketAddr::from(([127, 0, 0, 1], 1)),
            admin: None,
        },
    }
}

async fn publish(store: &memory::Store, base: u64) {
    let options = publish::Options {
        base: Revision::new(base),
        author: "ann".into(),
        note: "test".into(),
        change: change::Id::new(u128::from(base)),
        time: Date::default(),
    };
    let slots = tree(3, None);
    publish::publish(store, &slots, options)
        .await
        .expect("publish accepted");
}

async fn wait_for_revision(handles: &[Handle<Guard>], revision: u64) {
    for handle in handles {
        let mut changes = handle.config.changes();
        let wanted = |view: &Option<Arc<sg_tree::View>>| {
            view.as_ref()
                .is_some_and(|view| view.revision >= Revision::new(revision))
        };
        changes.wait_for(wanted).await.expect("the instance runs");
    }
}

/// Guards against a transport that works in memory but not over sockets.
#[tokio::test]
async fn three_instances_agree_over_sockets() {
    let timer = Timer::new();
    let store = memory::Store::new(timer.clone());
    publish(&store, 0).await;
    let identities: Vec<_> = (0..3).map(identity).collect();
    let list = List::default();
    list.entries
        .lock()
        .extend(identities.iter().map(|identity| Listed {
            instance: identity.instance.clone(),
            place: identity.place.clone(),
            leaving: false,
        }));
    let mut handles = Vec::new();
    for (index, identity) in identities.into_iter().enumerate() {
        // Only the first instance reaches the store. The others get the tree from it.
        let own = store.connect();
        if index > 0 {
            own.set_fault(super::fleet::STORE_DOWN);
        }
        let options = Options {
            listen: identity.place.peer,
            identity,
            share: sg_share::engine::Options::default(),
            budgets: node::account_budgets,
            list_period: Span::from_millis(200),
            stop_within: Span::from_secs(1),
            metrics: Metrics::new().expect("metrics"),
        };
        let rpc = Rpc::new(Span::from_secs(1));
        let started = Node::start(options, timer.clone(), own, list.clone(), rpc).await;
        handles.push(started.expect("starts"));
    }
    wait_for_revision(&handles, 1).await;
    let start = timer.now();
    publish(&store, 1).await;
    wait_for_revision(&handles, 2).await;
    println!(
        "loopback: in force everywhere after {}",
        timer.now().since(start)
    );
    for handle in handles {
        handle.stop().await;
    }
}

/// Starts a proxy that forwards one connection to `to` and counts the bytes in both directions.
async fn counting_proxy(to: SocketAddr) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds");
    let address = listener.local_addr().expect("has an address");
    let bytes = Arc::new(AtomicU64::new(0));
    let total = Arc::clone(&bytes);
    tokio::spawn(async move {
        let (near, _) = listener.accept().await.expect("accepts");
        let far = tokio::net::TcpStream::connect(to).await.expect("connects");
        let (from_near, to_near) = near.into_split();
        let (from_far, to_far) = far.into_split();
        tokio::join!(
            copy_and_count(from_near, to_far, Arc::clone(&total)),
            copy_and_count(from_far, to_near, total)
        );
    });
    (address, bytes)
}

async fn copy_and_count(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    total: Arc<AtomicU64>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        total.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// The traffic tests count each exchange in memory with a fixed overhead. Guards against HTTP
/// headers that exceed it.
#[tokio::test]
async fn exchange_overhead_is_bounded_and_oversized_frames_are_refused() {
    let rpc = Rpc::new(Span::from_secs(1));
    let timer = Timer::new();
    let store = memory::Store::new(timer.clone());
    let me = identity(0);
    let address = me.place.peer;
    let options = Options {
        listen: address,
        identity: me,
        share: sg_share::engine::Options::default(),
        budgets: node::account_budgets,
        list_period: Span::from_secs(1),
        stop_within: Span::ZERO,
        metrics: Metrics::new().expect("metrics"),
    };
    let handle = Node::start(options, timer, store, List::default(), rpc.clone())
        .await
        .expect("starts");
    let text = r#"{"f":"entry-09","i":18446744073709551615,"n":1,"r":1234,"d":"00","s":[3],
        "c":1250}"#;
    let frame: Frame = serde_json::from_str(text).expect("valid frame");
    let (proxy, bytes) = counting_proxy(address).await;
    rpc.exchange(proxy, &frame).await.expect("frame accepted");
    let first = bytes.load(Ordering::Relaxed);
    let response = rpc.exchange(proxy, &frame).await.expect("frame accepted");
    let wire = bytes.load(Ordering::Relaxed) - first;
    let frames = frame.size() + response.size();
    println!("an exchange: {wire} bytes on the wire, {frames} of them frames");
    assert!(
        wire <= frames as u64 + ENVELOPE_BYTES,
        "overhead that the traffic budget assumes"
    );
    let many = Frame {
        shares: vec![sg_share::Message::Seek; 65],
        ..frame
    };
    rpc.exchange(address, &many).await.expect_err("too much");
    drop(handle);
}
