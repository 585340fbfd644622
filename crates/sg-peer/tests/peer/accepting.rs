//! When a change counts as accepted.

use sg_peer::accept::{Change, Follower, Progress};
use sg_types::prelude::*;

use super::fleet::{DOWN, Fleet, tree};

const V: Span = Span::from_secs(5);

fn change(revision: Revision) -> Change {
    Change {
        revision,
        slots_before: 7,
        slots: 7,
        validity: V,
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_that_a_cut_off_instance_lacks_is_accepted_once_that_one_is_fenced() {
    let fleet = Fleet::started(7, 3).await;
    fleet.set_store(DOWN, [0]);
    fleet.net.cut_off(1, fleet.peers_of(&[0]));
    let revision = fleet.publish(&tree(7, None)).await;
    let known = fleet
        .entries
        .iter()
        .map(|entry| entry.identity.instance.clone());
    let mut follower = Follower::new(change(revision), known);
    for _ in 0..100 {
        for entry in &fleet.entries[1..] {
            follower.take(&entry.handle.report(), fleet.timer.now());
        }
        let progress = follower.progress(fleet.timer.now());
        assert!(
            !progress.is_accepted() || !fleet.is_fresh(0),
            "accepted while it serves"
        );
        if progress.is_accepted() {
            assert_eq!(
                progress.missing(),
                [fleet.entries[0].identity.instance.clone()]
            );
            return;
        }
        fleet.pass(Span::from_millis(100)).await;
    }
    panic!("the change was never accepted");
}

#[tokio::test(start_paused = true)]
async fn a_minority_accepts_nothing_and_everybody_accepts_at_once() {
    let fleet = Fleet::started(7, 3).await;
    let revision = fleet.publish(&tree(7, None)).await;
    fleet.pass(Span::from_secs(2)).await;
    let known = fleet
        .entries
        .iter()
        .map(|entry| entry.identity.instance.clone());
    let mut follower = Follower::new(change(revision), known);
    for entry in &fleet.entries[..3] {
        follower.take(&entry.handle.report(), fleet.timer.now());
    }
    let later = fleet.timer.now() + Span::from_secs(600);
    assert!(
        matches!(follower.progress(later), Progress::Waiting { missing } if missing.len() == 4)
    );
    for entry in &fleet.entries[3..] {
        follower.take(&entry.handle.report(), fleet.timer.now());
    }
    assert_eq!(follower.progress(fleet.timer.now()), Progress::Everywhere);
}

#[tokio::test(start_paused = true)]
async fn more_slots_need_a_majority_of_the_old_and_of_the_new_number() {
    let fleet = Fleet::started(7, 3).await;
    let revision = fleet.publish(&tree(7, None)).await;
    fleet.pass(Span::from_secs(2)).await;
    let grown = Change {
        slots: 14,
        ..change(revision)
    };
    let missing = id::Instance::new("missing").expect("a name");
    let mut follower = Follower::new(grown, [missing]);
    for entry in &fleet.entries {
        follower.take(&entry.handle.report(), fleet.timer.now());
    }
    let later = fleet.timer.now() + Span::from_secs(600);
    assert!(
        matches!(follower.progress(later), Progress::Waiting { .. }),
        "7 of 14 slots"
    );
}

#[tokio::test(start_paused = true)]
async fn a_pause_of_the_process_ends_freshness_before_anything_else_happens() {
    let fleet = Fleet::started(7, 3).await;
    let before = fleet.timer.now();
    assert!(fleet.is_fresh(0));
    // What a request sees that reads the clock first thing after a pause.
    assert!(
        !fleet.entries[0]
            .handle
            .fresh
            .is_fresh(before + Span::from_secs(60))
    );
    fleet.net.cut_off(1, fleet.peers_of(&[0]));
    fleet.set_store(DOWN, [0]);
    tokio::time::advance(std::time::Duration::from_secs(60)).await;
    assert!(!fleet.is_fresh(0));
    fleet.pass(Span::from_secs(5)).await;
    let pauses = fleet.entries[0].counter("sg_pauses_total");
    assert!(pauses >= 1.0, "the pause is counted");
    assert!(!fleet.is_fresh(0));
    fleet.net.heal();
    fleet.pass(Span::from_secs(5)).await;
    assert!(fleet.is_fresh(0));
}
