//! Broken trees in the store, and instances that come and go.

use bytes::Bytes;
use sg_peer::member::Status;
use sg_store::{Store, head, memory::Fault};
use sg_tree::Digest;
use sg_types::prelude::*;

use super::fleet::{DOWN, Fleet, tree};

const SOON: Span = Span::from_secs(5);

/// Puts a head for `tree` into the store without the checks of publishing.
async fn force(fleet: &Fleet, tree: &sg_tree::Node, digest: Digest) -> Revision {
    let placed = head::read(&fleet.store)
        .await
        .expect("reads")
        .expect("stands");
    let mut head = placed.head;
    head.revision = head.revision.next();
    head.digest = digest;
    head.chunks = 1;
    let text = serde_json::to_vec(tree).expect("writes");
    let key = format!("sg/tree/{}/{}/0000", head.revision, head.change);
    fleet.store.overwrite(&key, text);
    let value = serde_json::to_vec(&head).expect("writes");
    fleet.store.overwrite(head::KEY, Bytes::from(value));
    head.revision
}

#[tokio::test(start_paused = true)]
async fn a_faulty_tree_keeps_the_last_good_one_but_withdraws_its_keys() {
    let mut fleet = Fleet::started(7, 3).await;
    let secret = Digest::of("secret");
    let mut faulty = tree(7, Some("secret"));
    faulty.set(&"/accounts/a/colour".parse().expect("a path"), "red");
    force(&fleet, &faulty, faulty.digest()).await;
    fleet.pass(SOON).await;
    for entry in &fleet.entries {
        let config = &entry.handle.config;
        assert_eq!(config.in_force(), Revision::new(1));
        assert_eq!(config.newest().revision, Revision::new(2));
        assert!(!config.refusal().expect("reported").faults.is_empty());
        assert!(config.view().expect("a view").keys.contains_key(&secret));
    }
    faulty.set(
        &"/accounts/a/keys/k/withdrawn".parse().expect("a path"),
        "yes",
    );
    force(&fleet, &faulty, faulty.digest()).await;
    fleet.pass(SOON).await;
    fleet.add(7, true).await;
    fleet.pass(SOON).await;
    for index in fleet.all().filter(|index| *index < 7) {
        let config = &fleet.entries[index].handle.config;
        let view = config.view().expect("the last good one");
        assert_eq!(view.revision, Revision::new(1));
        assert!(!view.keys.contains_key(&secret), "withdrawn all the same");
        assert!(fleet.is_fresh(index));
    }
}

#[tokio::test(start_paused = true)]
async fn a_corrupt_tree_keeps_the_last_good_one() {
    let fleet = Fleet::started(7, 3).await;
    force(&fleet, &tree(7, None), Digest::of("another")).await;
    fleet.pass(Span::from_secs(60)).await;
    for index in fleet.all() {
        assert_eq!(fleet.in_force(index), Revision::new(1));
        assert!(fleet.is_fresh(index), "a majority has nothing newer");
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_went_back_reverts_nobody() {
    let fleet = Fleet::started(7, 3).await;
    let first = fleet
        .store
        .get(head::KEY)
        .await
        .expect("reads")
        .expect("stands");
    let second = fleet.publish(&tree(7, None)).await;
    fleet.pass(SOON).await;
    fleet.store.overwrite(head::KEY, first.value);
    fleet.pass(Span::from_secs(60)).await;
    assert!(fleet.all().all(|index| fleet.in_force(index) == second));
}

#[tokio::test(start_paused = true)]
async fn an_instance_replaced_twice_in_a_row_is_one_member() {
    let mut fleet = Fleet::started(7, 3).await;
    for _ in 0..2 {
        fleet.entries.remove(6);
        fleet.add(6, false).await;
        fleet.pass(Span::from_secs(1)).await;
    }
    fleet.pass(SOON).await;
    let now = fleet.timer.now();
    let newest = fleet.entries[6].identity.clone();
    for entry in &fleet.entries[..6] {
        let members = entry.handle.members.everybody(now);
        let found: Vec<_> = members
            .iter()
            .filter(|member| member.instance == newest.instance)
            .collect();
        assert_eq!(found.len(), 1);
        assert_eq!(found[0].incarnation, Some(newest.incarnation));
        assert_eq!(found[0].status, Status::Alive);
        let place = |run| entry.handle.members.entry(&newest.instance, run, now);
        assert!(place(newest.incarnation).is_some());
        assert!(
            place(Incarnation::new(7)).is_none(),
            "the first run is gone"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_list_may_be_stale_missing_or_doubled() {
    let mut fleet = Fleet::started(7, 3).await;
    {
        let mut entries = fleet.list.entries.lock();
        entries.retain(|entry| entry.instance.as_str() != "i3");
        let mut doubled = entries[0].clone();
        doubled.place.peer.set_port(1);
        entries.push(doubled);
        let mut stale = entries[1].clone();
        stale.instance = id::Instance::new("long-gone").expect("a name");
        stale.place.peer.set_port(2);
        entries.push(stale);
    }
    fleet.add(7, false).await;
    fleet.pass(Span::from_secs(60)).await;
    let now = fleet.timer.now();
    for entry in &fleet.entries[1..3] {
        let status = |name: &str| {
            let members = entry.handle.members.everybody(now);
            members
                .iter()
                .find(|member| member.instance.as_str() == name)
                .map(|member| member.status)
        };
        assert_eq!(status("i0"), Some(Status::Alive), "doubled");
        assert_eq!(status("i3"), Some(Status::Alive), "missing");
        assert_eq!(status("i7"), Some(Status::Alive), "never listed");
        assert_eq!(status("long-gone"), Some(Status::Suspect), "stale");
    }
}

#[tokio::test(start_paused = true)]
async fn notices_reach_everybody_once_within_a_second() {
    for count in [7, 28] {
        let fleet = Fleet::started(count, 3).await;
        fleet.net.set_delay(Span::from_millis(20));
        let subscribe = |entry: &super::fleet::Entry| entry.handle.notices.subscribe();
        let mut inboxes: Vec<_> = fleet.entries[1..].iter().map(subscribe).collect();
        let notice = Notice::Leaving {
            service: id::Service::new("s").expect("a name"),
            target: id::Target::new("t").expect("a name"),
        };
        fleet.entries[0].handle.notices.announce(notice.clone());
        fleet.pass(Span::from_secs(1)).await;
        for inbox in &mut inboxes {
            assert_eq!(inbox.try_recv().ok(), Some(notice.clone()));
        }
        fleet.pass(Span::from_secs(30)).await;
        assert!(inboxes.iter_mut().all(|inbox| inbox.try_recv().is_err()));
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_between_instances_lose_no_notice() {
    let fleet = Fleet::started(7, 3).await;
    let mut inbox = fleet.entries[1].handle.notices.subscribe();
    fleet.net.lose_answers(true);
    let notice = Notice::Leaving {
        service: id::Service::new("s").expect("a name"),
        target: id::Target::new("t").expect("a name"),
    };
    fleet.entries[0].handle.notices.announce(notice.clone());
    fleet.pass(Span::from_secs(3)).await;
    fleet.net.lose_answers(false);
    fleet.pass(SOON).await;
    assert_eq!(inbox.try_recv().ok(), Some(notice));
    assert!(inbox.try_recv().is_err(), "once");
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_is_known_at_once() {
    let mut fleet = Fleet::started(7, 3).await;
    let leaver = fleet.entries.remove(6);
    let name = leaver.identity.instance.clone();
    leaver.handle.stop().await;
    let now = fleet.timer.now();
    for entry in &fleet.entries {
        let members = entry.handle.members.everybody(now);
        let member = members.iter().find(|member| member.instance == name);
        let status = member.expect("still known").status;
        assert!(
            matches!(status, Status::Leaving | Status::Gone),
            "{status:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn lost_store_answers_and_an_outage_cost_nobody_its_slot() {
    let fleet = Fleet::started(7, 3).await;
    let lossy = Fault {
        lose_answers: 3,
        ..Fault::default()
    };
    fleet.set_store(lossy, fleet.all());
    fleet.pass(Span::from_secs(30)).await;
    fleet.set_store(DOWN, fleet.all());
    fleet.pass(Span::from_secs(120)).await;
    let mut slots: Vec<_> = fleet
        .entries
        .iter()
        .flat_map(|entry| entry.handle.report().slots)
        .collect();
    slots.sort_unstable();
    slots.dedup();
    assert_eq!(slots.len(), 7, "a slot each, confirmed by vouching");
}
