//! Tests of the acceptance of changes.

use sg_peer::accept::{Change, Follower, Progress};
use sg_types::prelude::*;

use super::fleet::{Fleet, STORE_DOWN, tree};

const VALIDITY: Span = Span::from_secs(5);

fn change(revision: Revision) -> Change {
    Change {
        revision,
        slots_before: 7,
        slots: 7,
        validity: VALIDITY,
    }
}

/// An instance that is partitioned from its peers and the store keeps serving by the previous
/// revision for a while. Guards against acceptance of a change before that instance has stopped
/// serving keyed routes.
#[tokio::test(start_paused = true)]
async fn change_is_accepted_once_the_missing_instance_is_fenced() {
    let fleet = Fleet::start(7, 3).await;
    fleet.set_store_fault(STORE_DOWN, [0]);
    fleet.net.partition(1, fleet.peer_addresses(&[0]));
    let revision = fleet.publish(&tree(7, None)).await;
    let known = fleet
        .instances
        .iter()
        .map(|instance| instance.identity.instance.clone());
    let mut follower = Follower::new(change(revision), known);
    for _ in 0..100 {
        for instance in &fleet.instances[1..] {
            follower.take(&instance.handle.report(), fleet.timer.now());
        }
        let progress = follower.progress(fleet.timer.now());
        assert!(
            !progress.is_accepted() || !fleet.is_fresh(0),
            "accepted while the missing instance still serves"
        );
        if progress.is_accepted() {
            assert_eq!(
                progress.missing(),
                [fleet.instances[0].identity.instance.clone()]
            );
            return;
        }
        fleet.sleep(Span::from_millis(100)).await;
    }
    panic!("the change was never accepted");
}

/// Guards against acceptance by a minority after any length of time, and against a wait for fencing
/// when no instance is missing.
#[tokio::test(start_paused = true)]
async fn change_needs_a_majority_and_is_accepted_at_once_when_in_force_everywhere() {
    let fleet = Fleet::start(7, 3).await;
    let revision = fleet.publish(&tree(7, None)).await;
    fleet.sleep(Span::from_secs(2)).await;
    let known = fleet
        .instances
        .iter()
        .map(|instance| instance.identity.instance.clone());
    let mut follower = Follower::new(change(revision), known);
    for instance in &fleet.instances[..3] {
        follower.take(&instance.handle.report(), fleet.timer.now());
    }
    let later = fleet.timer.now() + Span::from_secs(600);
    assert!(
        matches!(follower.progress(later), Progress::Waiting { missing } if missing.len() == 4)
    );
    for instance in &fleet.instances[3..] {
        follower.take(&instance.handle.report(), fleet.timer.now());
    }
    assert_eq!(follower.progress(fleet.timer.now()), Progress::Everywhere);
}

/// Guards against a change of the number of slots that is accepted with a majority of the old slots
/// alone, while holders of the new slots serve without the change.
#[tokio::test(start_paused = true)]
async fn change_of_slot_count_needs_majorities_of_both_counts() {
    let fleet = Fleet::start(7, 3).await;
    let revision = fleet.publish(&tree(7, None)).await;
    fleet.sleep(Span::from_secs(2)).await;
    let grown = Change {
        slots: 14,
        ..change(revision)
    };
    let missing = id::Instance::new("missing").expect("valid name");
    let mut follower = Follower::new(grown, [missing]);
    for instance in &fleet.instances {
        follower.take(&instance.handle.report(), fleet.timer.now());
    }
    let later = fleet.timer.now() + Span::from_secs(600);
    assert!(
        matches!(follower.progress(later), Progress::Waiting { .. }),
        "7 of 14 slots"
    );
}

/// A request may run before the tasks after a pause. Guards against freshness that holds until a
/// task has noticed the pause.
#[tokio::test(start_paused = true)]
async fn freshness_ends_with_a_process_pause_before_any_task_runs() {
    let fleet = Fleet::start(7, 3).await;
    let before = fleet.timer.now();
    assert!(fleet.is_fresh(0));
    // The check of a request that reads the clock first after a pause.
    assert!(
        !fleet.instances[0]
            .handle
            .fresh
            .is_fresh(before + Span::from_secs(60))
    );
    fleet.net.partition(1, fleet.peer_addresses(&[0]));
    fleet.set_store_fault(STORE_DOWN, [0]);
    tokio::time::advance(std::time::Duration::from_secs(60)).await;
    assert!(!fleet.is_fresh(0));
    fleet.sleep(Span::from_secs(5)).await;
    let pauses = fleet.instances[0].counter("sg_pauses_total");
    assert!(pauses >= 1.0, "the pause is counted");
    assert!(!fleet.is_fresh(0));
    fleet.net.heal();
    fleet.sleep(Span::from_secs(5)).await;
    assert!(fleet.is_fresh(0));
}
