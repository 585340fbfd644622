//! Tests of configuration and freshness in an entire fleet.

use sg_peer::member::Status;
use sg_store::memory::Fault;
use sg_tree::Digest;
use sg_types::prelude::*;

use super::{
    fleet::{Fleet, STORE_DOWN, tree},
    net::ENVELOPE_BYTES,
};

const IN_FORCE_WITHIN: Span = Span::from_secs(5);

/// Guards against slow dissemination and against keys that outlive their withdrawal.
#[tokio::test(start_paused = true)]
async fn change_is_in_force_everywhere_within_seconds() {
    for count in [7, 28] {
        let fleet = Fleet::start(count, 3).await;
        let all: Vec<_> = fleet.all().collect();
        assert!(all.iter().all(|index| fleet.is_fresh(*index)));
        let revision = fleet.publish(&tree(count as u32, None)).await;
        let took = fleet
            .wait_until_in_force(revision, &all, IN_FORCE_WITHIN)
            .await;
        println!("{count} instances: in force everywhere after {took:?}");
        assert!(took.is_some());
        let view = fleet.instances[0]
            .handle
            .config
            .view()
            .expect("view in force");
        assert!(!view.keys.contains_key(&Digest::of("secret")));
    }
}

/// Each store call takes 1 s. Guards against a loss of freshness and against late changes.
#[tokio::test(start_paused = true)]
async fn slow_store_delays_a_change_by_less_than_the_bound() {
    let fleet = Fleet::start(7, 3).await;
    let slow = Fault {
        delay: Span::from_secs(1),
        ..Fault::default()
    };
    fleet.set_store_fault(slow, fleet.all());
    fleet.sleep(Span::from_secs(20)).await;
    let all: Vec<_> = fleet.all().collect();
    assert!(all.iter().all(|index| fleet.is_fresh(*index)));
    let revision = fleet.publish(&tree(7, None)).await;
    let took = fleet
        .wait_until_in_force(revision, &all, IN_FORCE_WITHIN)
        .await;
    println!("store slow by 1 s: in force everywhere after {took:?}");
    assert!(took.is_some());
}

/// While one instance alone reaches the store, all others must get a change from peers.
#[tokio::test(start_paused = true)]
async fn one_instance_with_store_access_is_enough() {
    let fleet = Fleet::start(7, 3).await;
    fleet.set_store_fault(STORE_DOWN, 1..7);
    fleet.sleep(Span::from_secs(20)).await;
    let all: Vec<_> = fleet.all().collect();
    let revision = fleet.publish(&tree(7, None)).await;
    let took = fleet
        .wait_until_in_force(revision, &all, IN_FORCE_WITHIN)
        .await;
    println!("one instance reaches the store: in force everywhere after {took:?}");
    assert!(took.is_some());
}

/// Guards against a tree whose chunks take longer than a request may, and that begins again each time.
#[tokio::test(start_paused = true)]
async fn tree_arrives_over_a_narrow_link() {
    for (rate, bound) in [(200e3, IN_FORCE_WITHIN), (20e3, Span::from_secs(25))] {
        let fleet = Fleet::start(7, 3).await;
        fleet.set_store_fault(STORE_DOWN, 1..7);
        fleet.net.set_tree_rate(rate);
        fleet.sleep(Span::from_secs(20)).await;
        let mut large = tree(7, None);
        for key in 0..2_500 {
            let digest = Digest::of(key.to_string()).to_string();
            let path = format!("/accounts/a/keys/k{key}/digest");
            large.set(&path.parse().expect("valid path"), &digest);
        }
        let revision = fleet.publish(&large).await;
        let all: Vec<_> = fleet.all().collect();
        let took = fleet.wait_until_in_force(revision, &all, bound).await;
        println!("{rate} bytes per second: in force everywhere after {took:?}");
        assert!(took.is_some(), "{rate} bytes per second");
    }
}

/// Votes of a majority must replace confirmations while the store is down.
#[tokio::test(start_paused = true)]
async fn freshness_survives_a_store_outage_of_an_hour() {
    let fleet = Fleet::start(7, 3).await;
    fleet.set_store_fault(STORE_DOWN, fleet.all());
    for second in 0..3_600 {
        fleet.sleep(Span::from_secs(1)).await;
        for index in fleet.all() {
            assert!(fleet.is_fresh(index), "instance {index} at {second} s");
        }
    }
}

/// A minority without the store and the majority can miss a key withdrawal, so it must not serve
/// keyed routes.
#[tokio::test(start_paused = true)]
async fn partitioned_minority_loses_freshness_and_the_majority_keeps_it() {
    let fleet = Fleet::start(7, 3).await;
    let (minority, majority) = ([0, 1, 2], [3, 4, 5, 6]);
    fleet.set_store_fault(STORE_DOWN, minority);
    fleet.net.partition(1, fleet.peer_addresses(&minority));
    let withdrawn = fleet.publish(&tree(7, None)).await;
    let took = fleet
        .wait_until_in_force(withdrawn, &majority, IN_FORCE_WITHIN)
        .await;
    assert!(took.is_some(), "the majority installs the change");
    fleet.sleep(IN_FORCE_WITHIN).await;
    for index in minority {
        assert!(
            !fleet.is_fresh(index),
            "{index} can't know of the withdrawal"
        );
        assert!(
            fleet.instances[index].handle.config.view().is_some(),
            "routes without keys are still served"
        );
    }
    fleet.set_store_fault(STORE_DOWN, majority);
    fleet.sleep(Span::from_secs(60)).await;
    assert!(majority.iter().all(|index| fleet.is_fresh(*index)));
    assert!(minority.iter().all(|index| !fleet.is_fresh(*index)));
    fleet.net.heal();
    let took = fleet
        .wait_until_in_force(withdrawn, &minority, IN_FORCE_WITHIN)
        .await;
    assert!(took.is_some(), "the minority gets the change from peers");
}

/// Starts a fleet in which instance 0 is partitioned at revision 1 during a store outage, and adds
/// a new instance that reaches only `group`. Returns the index of the new instance.
async fn fleet_with_stale_instance(group: impl IntoIterator<Item = usize>) -> (Fleet, usize) {
    let mut fleet = Fleet::start(7, 3).await;
    fleet.set_store_fault(STORE_DOWN, [0]);
    fleet.net.partition(1, fleet.peer_addresses(&[0]));
    fleet.publish(&tree(7, None)).await;
    fleet.sleep(Span::from_secs(30)).await;
    fleet.set_store_fault(STORE_DOWN, fleet.all());
    fleet.sleep(Span::from_secs(30)).await;
    assert_eq!(fleet.in_force(0), Revision::new(1));
    let group: Vec<_> = group.into_iter().collect();
    fleet.net.partition(2, fleet.peer_addresses(&group));
    // Evidence from before the partition is valid for a short time after it.
    let is_minority = group.len() <= 3;
    fleet
        .sleep(Span::from_secs(if is_minority { 30 } else { 0 }))
        .await;
    fleet.start_instance(7, true).await;
    let new = fleet.instances.len() - 1;
    fleet.instances[new].store.set_fault(STORE_DOWN);
    fleet.net.partition(2, fleet.peer_addresses(&[new]));
    (fleet, new)
}

/// Guards against a new instance that installs revision 1 from a stale peer instead of waiting for
/// a majority.
#[tokio::test(start_paused = true)]
async fn new_instance_in_an_outage_never_installs_an_older_revision() {
    let (fleet, new) = fleet_with_stale_instance(0..7).await;
    let took = fleet
        .wait_until_in_force(Revision::new(1), &[new], IN_FORCE_WITHIN)
        .await;
    println!("a new instance in an outage has a tree after {took:?}");
    assert_eq!(
        fleet.in_force(new),
        Revision::new(2),
        "not the earlier revision"
    );
    assert!(fleet.is_fresh(new));
}

/// A minority can be behind, so its tree must not be the first one in force.
#[tokio::test(start_paused = true)]
async fn new_instance_with_a_minority_installs_nothing() {
    let (fleet, new) = fleet_with_stale_instance([0, 1, 2]).await;
    fleet.sleep(Span::from_secs(60)).await;
    assert_eq!(fleet.in_force(new), Revision::default());
    assert!(!fleet.is_fresh(new));
}

/// Guards against store load from instances that are not relays.
#[tokio::test(start_paused = true)]
async fn store_calls_do_not_grow_with_the_fleet() {
    let mut config_calls_per_second = Vec::new();
    for count in sizes(&[7, 14, 28]) {
        let fleet = Fleet::start(count, 2).await;
        let config_calls = |fleet: &Fleet| -> u64 {
            let counts = fleet
                .instances
                .iter()
                .map(|instance| instance.handle.store_calls());
            counts.map(|calls| calls.config).sum()
        };
        let all_calls = |fleet: &Fleet| -> u64 {
            fleet
                .instances
                .iter()
                .map(|instance| instance.store.calls().total())
                .sum()
        };
        let (config, total) = (config_calls(&fleet), all_calls(&fleet));
        fleet.sleep(Span::from_secs(60)).await;
        let config = (config_calls(&fleet) - config) as f64 / 60.0;
        let total = (all_calls(&fleet) - total) as f64 / 60.0;
        println!("{count} instances: {config:.2} calls/s for configuration, {total:.2} in all");
        config_calls_per_second.push(config);
    }
    // Two relays in each of two failure domains call the store, regardless of the size of the
    // fleet.
    assert!(
        config_calls_per_second
            .iter()
            .all(|calls| *calls <= config_calls_per_second[0] * 1.1)
    );
}

/// The budget for control traffic per instance, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 2_000.0;

/// Returns the given fleet sizes and those in `SG_NODES`, such as `112,448`.
pub fn sizes(default_sizes: &[usize]) -> Vec<usize> {
    let more = std::env::var("SG_NODES").unwrap_or_default();
    let more = more.split(',').filter_map(|size| size.parse().ok());
    default_sizes.iter().copied().chain(more).collect()
}

/// Guards against control traffic per instance that exceeds its budget in a larger fleet.
#[tokio::test(start_paused = true)]
async fn steady_traffic_is_within_the_budget() {
    for count in sizes(&[7, 28, 56]) {
        let fleet = Fleet::start(count, 3).await;
        let (frames, bytes) = fleet.net.traffic();
        fleet.sleep(Span::from_secs(60)).await;
        let (frames, bytes) = (
            fleet.net.traffic().0 - frames,
            fleet.net.traffic().1 - bytes,
        );
        let each = 60.0 * count as f64;
        let wire = (bytes + frames / 2 * ENVELOPE_BYTES) as f64 / each;
        println!(
            "{count} instances: {:.2} exchanges/s, {:.0} bytes a frame, {wire:.0} bytes/s an \
             instance with the envelope",
            frames as f64 / 2.0 / each,
            bytes as f64 / frames as f64
        );
        assert!(
            wire < MAX_BYTES_PER_SECOND,
            "{count} instances: {wire} bytes a second"
        );
    }
}

/// The maximum time for a notice to reach every instance.
const NOTICE_WITHIN: Span = Span::from_secs(1);
/// The delay of an exchange.
const ROUND_TRIP: Span = Span::from_millis(70);
/// The maximum time until every instance knows a new one, given that the list is read every 2 s.
const KNOWN_WITHIN: Span = Span::from_secs(4);

/// Announces a notice on the first instance. Returns the time until all others have received it, or
/// `None` after the maximum.
async fn notice_delay(fleet: &Fleet) -> Option<Span> {
    let others = fleet.instances.iter().skip(1);
    let mut waiting: Vec<_> = others
        .map(|instance| instance.handle.notices.subscribe())
        .collect();
    let start = fleet.timer.now();
    fleet.instances[0].handle.notices.announce(Notice::Leaving {
        service: id::Service::new("s").expect("valid name"),
        target: id::Target::new("t").expect("valid name"),
    });
    loop {
        waiting.retain_mut(|notices| notices.try_recv().is_err());
        let waited = fleet.timer.now().since(start);
        if waiting.is_empty() {
            return Some(waited);
        }
        if waited >= NOTICE_WITHIN {
            return None;
        }
        fleet.sleep(Span::from_millis(5)).await;
    }
}

/// Starts an instance. Returns the time until all others know it, or `None` after the maximum.
async fn discovery_delay(fleet: &mut Fleet) -> Option<Span> {
    let count = fleet.instances.len();
    let start = fleet.timer.now();
    fleet.start_instance(count, true).await;
    let name = fleet.instances[count].identity.instance.clone();
    loop {
        let now = fleet.timer.now();
        let knows = |index: usize| {
            let everybody = fleet.instances[index].handle.members.everybody(now);
            let mut known = everybody.iter();
            known.any(|member| member.instance == name && member.status != Status::Gone)
        };
        if (0..count).all(knows) {
            return Some(now.since(start));
        }
        if now.since(start) >= KNOWN_WITHIN {
            return None;
        }
        fleet.sleep(Span::from_millis(20)).await;
    }
}

/// Guards against dissemination that is too slow in a larger fleet with a delay of 70 ms.
#[tokio::test(start_paused = true)]
async fn notices_changes_and_new_instances_spread_in_time() {
    for count in sizes(&[7, 28]) {
        let mut fleet = Fleet::start(count, 3).await;
        fleet.net.set_delay(ROUND_TRIP);
        fleet.sleep(Span::from_secs(5)).await;
        let notice = notice_delay(&fleet).await;
        let all: Vec<_> = fleet.all().collect();
        let revision = fleet.publish(&tree(count as u32, None)).await;
        let change = fleet
            .wait_until_in_force(revision, &all, IN_FORCE_WITHIN)
            .await;
        let known = discovery_delay(&mut fleet).await;
        let [notice, change, known] = [notice, change, known].map(|took| took.map(Span::as_millis));
        println!(
            "{count} instances, {ROUND_TRIP} an exchange: notice {notice:?} ms, change {change:?} ms, \
             newcomer {known:?} ms"
        );
        assert!(notice.is_some() && change.is_some() && known.is_some());
    }
}
