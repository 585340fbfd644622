//! Tests with broken trees in the store, and with instances that start and stop.

use bytes::Bytes;
use sg_peer::member::Status;
use sg_store::{Store, head, memory::Fault};
use sg_tree::Digest;
use sg_types::prelude::*;

use super::fleet::{Fleet, STORE_DOWN, tree};

const SETTLE_TIME: Span = Span::from_secs(5);

/// Writes a head for `tree` to the store without the checks of publishing.
async fn write_unchecked_head(fleet: &Fleet, tree: &sg_tree::Node, digest: Digest) -> Revision {
    let placed = head::read(&fleet.store)
        .await
        .expect("reads")
        .expect("head exists");
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

/// A tree with faults must not replace the one in force, and its key withdrawals must not be lost
/// with it.
#[tokio::test(start_paused = true)]
async fn faulty_tree_keeps_the_last_valid_one_but_withdraws_keys() {
    let mut fleet = Fleet::start(7, 3).await;
    let secret = Digest::of("secret");
    let mut faulty = tree(7, Some("secret"));
    faulty.set(&"/accounts/a/colour".parse().expect("valid path"), "red");
    write_unchecked_head(&fleet, &faulty, faulty.digest()).await;
    fleet.sleep(SETTLE_TIME).await;
    for instance in &fleet.instances {
        let config = &instance.handle.config;
        assert_eq!(config.in_force(), Revision::new(1));
        assert_eq!(config.newest().revision, Revision::new(2));
        assert!(!config.refusal().expect("reported").faults.is_empty());
        assert!(
            config
                .view()
                .expect("view in force")
                .keys
                .contains_key(&secret)
        );
    }
    faulty.set(
        &"/accounts/a/keys/k/withdrawn".parse().expect("valid path"),
        "yes",
    );
    write_unchecked_head(&fleet, &faulty, faulty.digest()).await;
    fleet.sleep(SETTLE_TIME).await;
    fleet.start_instance(7, true).await;
    fleet.sleep(SETTLE_TIME).await;
    for index in fleet.all().filter(|index| *index < 7) {
        let config = &fleet.instances[index].handle.config;
        let view = config.view().expect("the last good one");
        assert_eq!(view.revision, Revision::new(1));
        assert!(
            !view.keys.contains_key(&secret),
            "the withdrawn key is removed"
        );
        assert!(fleet.is_fresh(index));
    }
}

/// Guards against the installation of a tree whose digest differs from the one in its head.
#[tokio::test(start_paused = true)]
async fn corrupt_tree_keeps_the_last_valid_one() {
    let fleet = Fleet::start(7, 3).await;
    write_unchecked_head(&fleet, &tree(7, None), Digest::of("another")).await;
    fleet.sleep(Span::from_secs(60)).await;
    for index in fleet.all() {
        assert_eq!(fleet.in_force(index), Revision::new(1));
        assert!(fleet.is_fresh(index), "a majority has no later revision");
    }
}

/// Guards against an instance that returns to an earlier revision when the store does, as after a
/// restore from a backup.
#[tokio::test(start_paused = true)]
async fn rollback_of_the_store_reverts_no_instance() {
    let fleet = Fleet::start(7, 3).await;
    let first = fleet
        .store
        .get(head::KEY)
        .await
        .expect("reads")
        .expect("head exists");
    let second = fleet.publish(&tree(7, None)).await;
    fleet.sleep(SETTLE_TIME).await;
    fleet.store.overwrite(head::KEY, first.value);
    fleet.sleep(Span::from_secs(60)).await;
    assert!(fleet.all().all(|index| fleet.in_force(index) == second));
}

/// Guards against members and entry addresses of incarnations that were replaced.
#[tokio::test(start_paused = true)]
async fn instance_replaced_twice_in_a_row_is_one_member() {
    let mut fleet = Fleet::start(7, 3).await;
    for _ in 0..2 {
        fleet.instances.remove(6);
        fleet.start_instance(6, false).await;
        fleet.sleep(Span::from_secs(1)).await;
    }
    fleet.sleep(SETTLE_TIME).await;
    let now = fleet.timer.now();
    let newest = fleet.instances[6].identity.clone();
    for instance in &fleet.instances[..6] {
        let members = instance.handle.members.everybody(now);
        let found: Vec<_> = members
            .iter()
            .filter(|member| member.instance == newest.instance)
            .collect();
        assert_eq!(found.len(), 1);
        assert_eq!(found[0].incarnation, Some(newest.incarnation));
        assert_eq!(found[0].status, Status::Alive);
        let place = |run| instance.handle.members.entry(&newest.instance, run, now);
        assert!(place(newest.incarnation).is_some());
        assert!(
            place(Incarnation::new(7)).is_none(),
            "the first incarnation was replaced"
        );
    }
}

/// The instance list lags behind the fleet. Guards against a status that depends on it while the
/// instance answers.
#[tokio::test(start_paused = true)]
async fn stale_missing_and_duplicate_list_entries_are_harmless() {
    let mut fleet = Fleet::start(7, 3).await;
    {
        let mut entries = fleet.list.entries.lock();
        entries.retain(|entry| entry.instance.as_str() != "i3");
        let mut doubled = entries[0].clone();
        doubled.place.peer.set_port(1);
        entries.push(doubled);
        let mut stale = entries[1].clone();
        stale.instance = id::Instance::new("long-gone").expect("valid name");
        stale.place.peer.set_port(2);
        entries.push(stale);
    }
    fleet.start_instance(7, false).await;
    fleet.sleep(Span::from_secs(60)).await;
    let now = fleet.timer.now();
    for instance in &fleet.instances[1..3] {
        let status = |name: &str| {
            let members = instance.handle.members.everybody(now);
            members
                .iter()
                .find(|member| member.instance.as_str() == name)
                .map(|member| member.status)
        };
        assert_eq!(status("i0"), Some(Status::Alive), "duplicate entry");
        assert_eq!(status("i3"), Some(Status::Alive), "missing entry");
        assert_eq!(status("i7"), Some(Status::Alive), "never listed");
        assert_eq!(status("long-gone"), Some(Status::Suspect), "stale entry");
    }
}

/// Contacts pass notices on to each other. Guards against slow delivery and against copies
/// delivered again.
#[tokio::test(start_paused = true)]
async fn notices_reach_every_instance_once_within_a_second() {
    for count in [7, 28] {
        let fleet = Fleet::start(count, 3).await;
        fleet.net.set_delay(Span::from_millis(20));
        let subscribe = |instance: &super::fleet::Instance| instance.handle.notices.subscribe();
        let mut inboxes: Vec<_> = fleet.instances[1..].iter().map(subscribe).collect();
        let notice = Notice::Leaving {
            service: id::Service::new("s").expect("valid name"),
            target: id::Target::new("t").expect("valid name"),
        };
        fleet.instances[0].handle.notices.announce(notice.clone());
        fleet.sleep(Span::from_secs(1)).await;
        for inbox in &mut inboxes {
            assert_eq!(inbox.try_recv().ok(), Some(notice.clone()));
        }
        fleet.sleep(Span::from_secs(30)).await;
        assert!(inboxes.iter_mut().all(|inbox| inbox.try_recv().is_err()));
    }
}

/// A notice in a request whose response was lost is sent again, and delivered once.
#[tokio::test(start_paused = true)]
async fn lost_responses_lose_no_notice() {
    let fleet = Fleet::start(7, 3).await;
    let mut inbox = fleet.instances[1].handle.notices.subscribe();
    fleet.net.lose_responses(true);
    let notice = Notice::Leaving {
        service: id::Service::new("s").expect("valid name"),
        target: id::Target::new("t").expect("valid name"),
    };
    fleet.instances[0].handle.notices.announce(notice.clone());
    fleet.sleep(Span::from_secs(3)).await;
    fleet.net.lose_responses(false);
    fleet.sleep(SETTLE_TIME).await;
    assert_eq!(inbox.try_recv().ok(), Some(notice));
    assert!(inbox.try_recv().is_err(), "delivered once");
}

/// Guards against instances that consider a stopped instance alive until it becomes suspect.
#[tokio::test(start_paused = true)]
async fn graceful_stop_is_known_at_once() {
    let mut fleet = Fleet::start(7, 3).await;
    let leaver = fleet.instances.remove(6);
    let name = leaver.identity.instance.clone();
    leaver.handle.stop().await;
    let now = fleet.timer.now();
    for instance in &fleet.instances {
        let members = instance.handle.members.everybody(now);
        let member = members.iter().find(|member| member.instance == name);
        let status = member.expect("still known").status;
        assert!(
            matches!(status, Status::Leaving | Status::Gone),
            "{status:?}"
        );
    }
}

/// Guards against instances that lose their slots when responses of the store are lost or the store
/// is down.
#[tokio::test(start_paused = true)]
async fn lost_store_responses_and_an_outage_keep_slots() {
    let fleet = Fleet::start(7, 3).await;
    let lossy = Fault {
        lose_responses: 3,
        ..Fault::default()
    };
    fleet.set_store_fault(lossy, fleet.all());
    fleet.sleep(Span::from_secs(30)).await;
    fleet.set_store_fault(STORE_DOWN, fleet.all());
    fleet.sleep(Span::from_secs(120)).await;
    let mut slots: Vec<_> = fleet
        .instances
        .iter()
        .flat_map(|instance| instance.handle.report().slots)
        .collect();
    slots.sort_unstable();
    slots.dedup();
    assert_eq!(
        slots.len(),
        7,
        "each instance keeps a slot, confirmed by peers that vouch for it"
    );
}
