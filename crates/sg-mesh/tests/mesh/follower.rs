//! Following a prefix of the store through outages, and fetching changes from another instance while
//! the store is unreachable.

use bytes::Bytes;
use sg_clock::Timer;
use sg_mesh::{
    follower::{self, Options, Replica, Update},
    mirror::Snapshot,
    relay,
    retention::Retention,
};
use sg_store::{Precondition, Store, Version, memory};
use sg_types::prelude::*;
use tokio::{net::TcpListener, sync::mpsc};

const PREFIX: &str = "t/";

fn start(store: &memory::Store, timer: &Timer) -> (Arc<Replica>, mpsc::UnboundedReceiver<Update>) {
    let (replica, updates) = Replica::new([Retention::default()]);
    let options = Options {
        prefix: PREFIX.into(),
        watch_timeout: Span::from_millis(500),
        min_watch_interval: Span::from_millis(100),
    };
    let follower = follower::run(replica.clone(), store.clone(), timer.clone(), 0, options);
    tokio::spawn(follower);
    (replica, updates)
}

async fn write(store: &memory::Store, key: &str, value: &'static str) {
    let found = store.get(key).await.expect("a response");
    let expect = found.map_or(Precondition::Absent, |found| {
        Precondition::At(found.version)
    });
    let value = Bytes::from(value);
    store.swap(key, expect, value, None).await.expect("a write");
}

async fn next_changes(
    updates: &mut mpsc::UnboundedReceiver<Update>,
) -> Vec<sg_mesh::mirror::Change> {
    loop {
        let update = updates.recv().await.expect("an update");
        if !update.changes.is_empty() {
            return update.changes;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn changes_arrive_in_order_and_after_an_outage() {
    let timer = Timer::new();
    let store = memory::Store::new(timer.clone());
    let operator = store.connect();
    write(&store, "t/a", "one").await;
    let (replica, mut updates) = start(&store, &timer);
    assert_eq!(
        next_changes(&mut updates).await[0].value,
        Some(Bytes::from("one"))
    );
    write(&store, "t/a", "two").await;
    assert_eq!(
        next_changes(&mut updates).await[0].value,
        Some(Bytes::from("two"))
    );
    let down = memory::Fault {
        down: true,
        ..memory::Fault::default()
    };
    store.set_fault(down);
    timer.sleep(Span::from_secs(5)).await;
    assert!(replica.contact(0).failing_since.is_some());
    write(&operator, "t/a", "three").await;
    store.set_fault(memory::Fault::default());
    assert_eq!(
        next_changes(&mut updates).await[0].value,
        Some(Bytes::from("three"))
    );
    let contact = replica.contact(0);
    assert!(contact.failing_since.is_none() && contact.last_recovery.is_some());
}

#[tokio::test]
async fn an_instance_without_the_store_fetches_changes_from_another() {
    let timer = Timer::new();
    let store = memory::Store::new(timer.clone());
    write(&store, "t/a", "one").await;
    write(&store, "t/b", "one").await;
    let (near, mut updates) = start(&store, &timer);
    next_changes(&mut updates).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(relay::serve(near.clone(), timer.clone(), listener));
    let (far, mut far_updates) = Replica::new([Retention::default()]);
    let fetched = relay::fetch(&far, &timer, &[address], 0)
        .await
        .expect("changes");
    assert_eq!(fetched.changes, 2);
    assert_eq!(next_changes(&mut far_updates).await.len(), 2);
    assert_eq!(far.position(0), near.position(0));
    assert!(far.position(0) > Version::default());
    // A second fetch returns no changes.
    assert_eq!(
        relay::fetch(&far, &timer, &[address], 0)
            .await
            .expect("a response")
            .changes,
        0
    );
    assert!(relay::fetch(&far, &timer, &[address], 9).await.is_err());
}

/// Guards against a target that has left being used on by an instance that fetches the changes from one that
/// has just started, whose listing does not show what was there before.
#[tokio::test]
async fn changes_fetched_from_an_instance_that_has_just_started_remove_what_is_gone() {
    let timer = Timer::new();
    let store = memory::Store::new(timer.clone());
    write(&store, "t/gone", "one").await;
    write(&store, "t/kept", "one").await;
    let (known, mut known_updates) = Replica::new([Retention::default()]);
    known.merge(0, snapshot_of(&store, &timer).await);
    next_changes(&mut known_updates).await;
    let gone = store.get("t/gone").await.expect("a response");
    let version = gone.expect("an entry").version;
    let removed = store.remove("t/gone", version).await;
    assert!(removed.expect("a response"));
    let (started, mut updates) = start(&store, &timer);
    next_changes(&mut updates).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(relay::serve(started, timer.clone(), listener));
    let fetched = relay::fetch(&known, &timer, &[address], 0).await;
    fetched.expect("changes");
    let update = known_updates.try_recv().expect("an update");
    let changes = update.changes;
    assert_eq!(changes.len(), 1);
    assert_eq!((&*changes[0].key, &changes[0].value), ("t/gone", &None));
}

/// Returns what an instance that has just listed the store tells of the prefix.
async fn snapshot_of(store: &memory::Store, timer: &Timer) -> Snapshot {
    let (replica, mut updates) = start(store, timer);
    next_changes(&mut updates).await;
    let snapshot = replica.snapshot_after(0, Version::default());
    snapshot.expect("a followed prefix")
}

/// Guards against entries that count as lapsed although the store was away too shortly for that: targets that
/// were removed meanwhile would be used for seconds.
#[tokio::test(start_paused = true)]
async fn only_a_long_outage_counts_as_one_in_which_entries_may_have_lapsed() {
    let down = memory::Fault {
        down: true,
        ..memory::Fault::default()
    };
    for (outage, has_lapsed) in [(300, false), (3_000, true)] {
        let timer = Timer::new();
        let store = memory::Store::new(timer.clone());
        write(&store, "t/a", "one").await;
        let (replica, mut updates) = start(&store, &timer);
        next_changes(&mut updates).await;
        store.set_fault(down);
        while replica.contact(0).failing_since.is_none() {
            timer.sleep(Span::from_millis(10)).await;
        }
        timer.sleep(Span::from_millis(outage)).await;
        store.set_fault(memory::Fault::default());
        while replica.contact(0).failing_since.is_some() {
            timer.sleep(Span::from_millis(10)).await;
        }
        let contact = replica.contact(0);
        assert_eq!(
            contact.last_recovery.is_some(),
            has_lapsed,
            "{outage} ms: {contact:?}"
        );
    }
}

/// Guards against changes that are applied before the recovery that they came with is known.
#[tokio::test(start_paused = true)]
async fn recovery_is_known_when_its_changes_arrive() {
    let timer = Timer::new();
    let store = memory::Store::new(timer.clone());
    let operator = store.connect();
    write(&store, "t/a", "one").await;
    let (replica, mut updates) = start(&store, &timer);
    next_changes(&mut updates).await;
    let down = memory::Fault {
        down: true,
        ..memory::Fault::default()
    };
    store.set_fault(down);
    timer.sleep(Span::from_secs(5)).await;
    write(&operator, "t/a", "two").await;
    store.set_fault(memory::Fault::default());
    next_changes(&mut updates).await;
    assert!(replica.contact(0).last_recovery.is_some());
}
