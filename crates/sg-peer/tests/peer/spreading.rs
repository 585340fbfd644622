//! Configuration and freshness over a whole fleet.

use sg_peer::member::Status;
use sg_store::memory::Fault;
use sg_tree::Digest;
use sg_types::prelude::*;

use super::{
    fleet::{DOWN, Fleet, tree},
    net::ENVELOPE,
};

const IN_FORCE_WITHIN: Span = Span::from_secs(5);

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_everywhere_within_seconds() {
    for count in [7, 28] {
        let fleet = Fleet::started(count, 3).await;
        let all: Vec<_> = fleet.all().collect();
        assert!(all.iter().all(|index| fleet.is_fresh(*index)));
        let revision = fleet.publish(&tree(count as u32, None)).await;
        let took = fleet.until_in_force(revision, &all, IN_FORCE_WITHIN).await;
        println!("{count} instances: in force everywhere after {took:?}");
        assert!(took.is_some());
        let view = fleet.entries[0].handle.config.view().expect("a view");
        assert!(!view.keys.contains_key(&Digest::of("secret")));
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_delays_a_change_by_less_than_the_bound() {
    let fleet = Fleet::started(7, 3).await;
    let slow = Fault {
        delay: Span::from_secs(1),
        ..Fault::default()
    };
    fleet.set_store(slow, fleet.all());
    fleet.pass(Span::from_secs(20)).await;
    let all: Vec<_> = fleet.all().collect();
    assert!(all.iter().all(|index| fleet.is_fresh(*index)));
    let revision = fleet.publish(&tree(7, None)).await;
    let took = fleet.until_in_force(revision, &all, IN_FORCE_WITHIN).await;
    println!("store slow by 1 s: in force everywhere after {took:?}");
    assert!(took.is_some());
}

#[tokio::test(start_paused = true)]
async fn one_instance_that_reaches_the_store_is_enough() {
    let fleet = Fleet::started(7, 3).await;
    fleet.set_store(DOWN, 1..7);
    fleet.pass(Span::from_secs(20)).await;
    let all: Vec<_> = fleet.all().collect();
    let revision = fleet.publish(&tree(7, None)).await;
    let took = fleet.until_in_force(revision, &all, IN_FORCE_WITHIN).await;
    println!("one instance reaches the store: in force everywhere after {took:?}");
    assert!(took.is_some());
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_an_hour_costs_no_freshness() {
    let fleet = Fleet::started(7, 3).await;
    fleet.set_store(DOWN, fleet.all());
    for second in 0..3_600 {
        fleet.pass(Span::from_secs(1)).await;
        for index in fleet.all() {
            assert!(fleet.is_fresh(index), "instance {index} at {second} s");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_minority_cut_off_stops_keyed_routes_and_the_majority_goes_on() {
    let fleet = Fleet::started(7, 3).await;
    let (minority, majority) = ([0, 1, 2], [3, 4, 5, 6]);
    fleet.set_store(DOWN, minority);
    fleet.net.cut_off(1, fleet.peers_of(&minority));
    let withdrawn = fleet.publish(&tree(7, None)).await;
    let took = fleet
        .until_in_force(withdrawn, &majority, IN_FORCE_WITHIN)
        .await;
    assert!(took.is_some(), "the majority has it");
    fleet.pass(IN_FORCE_WITHIN).await;
    for index in minority {
        assert!(
            !fleet.is_fresh(index),
            "{index} can't know of the withdrawal"
        );
        assert!(
            fleet.entries[index].handle.config.view().is_some(),
            "open routes go on"
        );
    }
    fleet.set_store(DOWN, majority);
    fleet.pass(Span::from_secs(60)).await;
    assert!(majority.iter().all(|index| fleet.is_fresh(*index)));
    assert!(minority.iter().all(|index| !fleet.is_fresh(*index)));
    fleet.net.heal();
    let took = fleet
        .until_in_force(withdrawn, &minority, IN_FORCE_WITHIN)
        .await;
    assert!(took.is_some(), "the minority learns it from peers");
}

/// A fleet in which instance 0 was left behind at revision 1, cut off, in an outage; and a new
/// instance that reaches `group`.
async fn with_one_behind(group: impl IntoIterator<Item = usize>) -> (Fleet, usize) {
    let mut fleet = Fleet::started(7, 3).await;
    fleet.set_store(DOWN, [0]);
    fleet.net.cut_off(1, fleet.peers_of(&[0]));
    fleet.publish(&tree(7, None)).await;
    fleet.pass(Span::from_secs(30)).await;
    fleet.set_store(DOWN, fleet.all());
    fleet.pass(Span::from_secs(30)).await;
    assert_eq!(fleet.in_force(0), Revision::new(1));
    let group: Vec<_> = group.into_iter().collect();
    fleet.net.cut_off(2, fleet.peers_of(&group));
    // Evidence from before the cut would still be true for a moment.
    let is_minority = group.len() <= 3;
    fleet
        .pass(Span::from_secs(if is_minority { 30 } else { 0 }))
        .await;
    fleet.add(7, true).await;
    let new = fleet.entries.len() - 1;
    fleet.entries[new].store.set_fault(DOWN);
    fleet.net.cut_off(2, fleet.peers_of(&[new]));
    (fleet, new)
}

#[tokio::test(start_paused = true)]
async fn a_new_instance_in_an_outage_never_reverts() {
    let (fleet, new) = with_one_behind(0..7).await;
    let took = fleet
        .until_in_force(Revision::new(1), &[new], IN_FORCE_WITHIN)
        .await;
    println!("a new instance in an outage has a tree after {took:?}");
    assert_eq!(
        fleet.in_force(new),
        Revision::new(2),
        "never the earlier one"
    );
    assert!(fleet.is_fresh(new));
}

#[tokio::test(start_paused = true)]
async fn a_new_instance_with_a_minority_serves_nothing() {
    let (fleet, new) = with_one_behind([0, 1, 2]).await;
    fleet.pass(Span::from_secs(60)).await;
    assert_eq!(fleet.in_force(new), Revision::default());
    assert!(!fleet.is_fresh(new));
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_do_not_grow_with_the_fleet() {
    let mut per_second = Vec::new();
    for count in sizes(&[7, 14, 28]) {
        let fleet = Fleet::started(count, 2).await;
        let heads = |fleet: &Fleet| -> u64 {
            let counts = fleet.entries.iter().map(|entry| entry.handle.store_calls());
            counts.map(|calls| calls.config).sum()
        };
        let all = |fleet: &Fleet| -> u64 {
            fleet
                .entries
                .iter()
                .map(|entry| entry.store.calls().total())
                .sum()
        };
        let (config, total) = (heads(&fleet), all(&fleet));
        fleet.pass(Span::from_secs(60)).await;
        let config = (heads(&fleet) - config) as f64 / 60.0;
        let total = (all(&fleet) - total) as f64 / 60.0;
        println!("{count} instances: {config:.2} calls/s for configuration, {total:.2} in all");
        per_second.push(config);
    }
    // Two relays in each of two failure domains, whatever the size of the fleet.
    assert!(per_second.iter().all(|calls| *calls <= per_second[0] * 1.1));
}

/// What an instance may spend on control, in bytes a second.
const BUDGET: f64 = 2_000.0;

/// Sizes to look at: those of every run, and those in `SG_NODES`, as in `112,448`.
pub fn sizes(usual: &[usize]) -> Vec<usize> {
    let more = std::env::var("SG_NODES").unwrap_or_default();
    let more = more.split(',').filter_map(|size| size.parse().ok());
    usual.iter().copied().chain(more).collect()
}

#[tokio::test(start_paused = true)]
async fn steady_traffic_is_within_the_budget() {
    for count in sizes(&[7, 28, 56]) {
        let fleet = Fleet::started(count, 3).await;
        let (frames, bytes) = fleet.net.traffic();
        fleet.pass(Span::from_secs(60)).await;
        let (frames, bytes) = (
            fleet.net.traffic().0 - frames,
            fleet.net.traffic().1 - bytes,
        );
        let each = 60.0 * count as f64;
        let wire = (bytes + frames / 2 * ENVELOPE) as f64 / each;
        println!(
            "{count} instances: {:.2} exchanges/s, {:.0} bytes a frame, {wire:.0} bytes/s an \
             instance with the envelope",
            frames as f64 / 2.0 / each,
            bytes as f64 / frames as f64
        );
        assert!(wire < BUDGET, "{count} instances: {wire} bytes a second");
    }
}

/// Notices are everywhere within this.
const NOTICE_WITHIN: Span = Span::from_secs(1);
/// How long a frame takes to another instance and back.
const FAR: Span = Span::from_millis(70);
/// The list is read every 2 s; a new instance is then known to all.
const KNOWN_WITHIN: Span = Span::from_secs(4);

/// Waits until all but the first have got a notice of the first; returns how long that took.
async fn notice_spread(fleet: &Fleet) -> Option<Span> {
    let others = fleet.entries.iter().skip(1);
    let mut waiting: Vec<_> = others
        .map(|entry| entry.handle.notices.subscribe())
        .collect();
    let start = fleet.timer.now();
    fleet.entries[0].handle.notices.announce(Notice::Leaving {
        service: id::Service::new("s").expect("a name"),
        target: id::Target::new("t").expect("a name"),
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
        fleet.pass(Span::from_millis(5)).await;
    }
}

/// Waits until all know a new instance; returns how long that took.
async fn newcomer_known(fleet: &mut Fleet) -> Option<Span> {
    let count = fleet.entries.len();
    let start = fleet.timer.now();
    fleet.add(count, true).await;
    let name = fleet.entries[count].identity.instance.clone();
    loop {
        let now = fleet.timer.now();
        let knows = |index: usize| {
            let everybody = fleet.entries[index].handle.members.everybody(now);
            let mut known = everybody.iter();
            known.any(|member| member.instance == name && member.status != Status::Gone)
        };
        if (0..count).all(knows) {
            return Some(now.since(start));
        }
        if now.since(start) >= KNOWN_WITHIN {
            return None;
        }
        fleet.pass(Span::from_millis(20)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn news_spreads_in_time_at_each_size() {
    for count in sizes(&[7, 28]) {
        let mut fleet = Fleet::started(count, 3).await;
        fleet.net.set_delay(FAR);
        fleet.pass(Span::from_secs(5)).await;
        let notice = notice_spread(&fleet).await;
        let all: Vec<_> = fleet.all().collect();
        let revision = fleet.publish(&tree(count as u32, None)).await;
        let change = fleet.until_in_force(revision, &all, IN_FORCE_WITHIN).await;
        let known = newcomer_known(&mut fleet).await;
        let [notice, change, known] = [notice, change, known].map(|took| took.map(Span::as_millis));
        println!(
            "{count} instances, {FAR} an exchange: notice {notice:?} ms, change {change:?} ms, \
             newcomer {known:?} ms"
        );
        assert!(notice.is_some() && change.is_some() && known.is_some());
    }
}
