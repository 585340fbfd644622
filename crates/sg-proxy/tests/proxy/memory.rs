//! The memory budget and the choice of the holds that give up their bytes.

use sg_clock::Timer;
use sg_proxy::memory::{
    self, Budget, Exhausted, Stage, Use,
    victim::{self, Candidate, Progress},
};
use sg_types::prelude::*;

fn candidate(key: u64, stage: Stage, bytes: u64, age_secs: u64, progress: f64) -> Candidate {
    Candidate {
        key,
        stage,
        bytes,
        age: Span::from_secs(age_secs),
        progress,
    }
}

/// Guards against refusing callers that send steadily while stalled bodies hold the memory.
#[test]
fn least_progress_for_bytes_and_age_gives_up_first() {
    let stalled = candidate(1, Stage::Open, 16 << 20, 4, 1000.0);
    let dripping = candidate(2, Stage::Open, 8 << 20, 9, 10.0);
    let steady = candidate(3, Stage::Open, 16 << 20, 4, 8e6);
    let all = [steady, stalled, dripping];
    assert_eq!(victim::choose(&all, 3, 1 << 20), Some(vec![2]));
    assert_eq!(victim::choose(&all, 3, 20 << 20), Some(vec![2, 1]));
    assert_eq!(victim::choose(&all, 1, 20 << 20), None);
    assert_eq!(victim::choose(&all, 2, 1), None);
}

/// Guards against callers of about the same speed displacing each other until none completes.
#[test]
fn holds_with_about_the_same_progress_keep_their_bytes() {
    let own = candidate(1, Stage::Open, 16 << 20, 4, 8e6);
    let similar = candidate(2, Stage::Open, 16 << 20, 4, 5e6);
    let stalled = candidate(3, Stage::Open, 16 << 20, 4, 3e6);
    assert_eq!(victim::choose(&[own, similar], 1, 1), None);
    assert_eq!(
        victim::choose(&[own, similar, stalled], 1, 1),
        Some(vec![3])
    );
}

/// Guards against losing work at targets, or never evicting it when nothing else is left.
#[test]
fn forwarded_requests_come_last_and_kept_holds_never() {
    let forwarded = candidate(1, Stage::Forwarded, 16 << 20, 9, 0.0);
    let kept = candidate(2, Stage::Kept, 16 << 20, 9, 0.0);
    let open = candidate(3, Stage::Open, 1 << 10, 1, 1e6);
    assert_eq!(victim::choose(&[forwarded, kept, open], 3, 1), None);
    let asking = candidate(4, Stage::Forwarded, 1 << 20, 1, 1e6);
    let all = [forwarded, kept, open, asking];
    assert_eq!(victim::choose(&all, 4, 1 << 20), Some(vec![3, 1]));
    assert_eq!(victim::choose(&all, 4, 17 << 20), None);
}

/// Guards against progress of long ago protecting a body that has stalled.
#[test]
fn progress_fades() {
    let start = Instant::START;
    let mut progress = Progress::new(start);
    progress.record(1 << 20, start);
    let later = progress.recent(start + Span::from_secs(10));
    assert!(later < 1100.0, "{later}");
}

#[tokio::test]
async fn growth_beyond_the_budget_evicts_the_stalled_hold() {
    let budget = Budget::new(Bytes::new(1 << 20), Timer::new());
    let stalled = budget.hold(Use::Request);
    stalled.grow(Bytes::new(800 << 10)).unwrap();
    let steady = budget.hold(Use::Request);
    steady.grow(Bytes::new(1 << 10)).unwrap();
    steady.record_progress(Bytes::new(1 << 20));
    let owner = async {
        stalled.evicted().await;
        assert_eq!(stalled.grow(Bytes::new(1)), Err(Exhausted));
        drop(stalled);
    };
    let (grown, ()) = tokio::join!(steady.grow_when_released(Bytes::new(512 << 10)), owner);
    assert_eq!(grown, Ok(()));
    let usage = budget.usage();
    assert_eq!(usage.total(), steady.bytes());
    assert_eq!(usage.evictions[Use::Request as usize], 1);
    drop(steady);
    assert_eq!(budget.usage().total(), Bytes::new(0));
}

/// Guards against large bodies taking the room of ordinary small requests.
#[tokio::test]
async fn small_holds_have_room_while_large_ones_fill_the_rest() {
    let budget = Budget::new(Bytes::new(16 << 20), Timer::new());
    let large = budget.hold(Use::Request);
    large.set_stage(Stage::Forwarded);
    large.grow(budget.largest_hold()).unwrap();
    assert_eq!(large.grow(Bytes::new(1)), Err(Exhausted));
    let small = budget.hold(Use::Request);
    assert_eq!(small.grow(Bytes::new(4 << 10)), Ok(()));
    large.shrink(Bytes::new(4 << 10));
    assert_eq!(large.grow(Bytes::new(1)), Err(Exhausted));
}

/// Guards against callers that do not read large responses exceeding the budget together.
#[tokio::test]
async fn forwarded_responses_beyond_the_budget_give_up_the_least_progress() {
    let limit = memory::FORWARDED_BYTES.get() * 5 / 2;
    let budget = Budget::new(Bytes::new(limit), Timer::new());
    let holds: Vec<_> = (0..4).map(|_| budget.hold(Use::Response)).collect();
    for hold in &holds {
        hold.record_progress(Bytes::new(1 << 20));
        hold.grow_to_forward();
    }
    let evictions = budget.usage().evictions[Use::Response as usize];
    assert_eq!(evictions, 2);
}
