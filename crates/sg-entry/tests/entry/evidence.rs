//! Tests of the evidence on revisions: length of the windows, eviction of changes and limit on
//! memory.

use sg_entry::evidence::Recorder;
use sg_report::{Counts, explain::Evidence};
use sg_types::prelude::*;

const MIB: usize = 1 << 20;

fn counts(ran: u64) -> Counts {
    let mut counts = Counts::default();
    counts.accounts.entry("a".into()).or_default().ran = ran;
    counts
}

fn recorder() -> Recorder {
    Recorder::new(
        id::Instance::new("e1").expect("a name"),
        Incarnation::new(1),
    )
}

fn at(secs: u64) -> Instant {
    Instant::START + Span::from_secs(secs)
}

/// Offers a sample every second, with one more request executed each time.
fn run_seconds(recorder: &Recorder, from: u64, until: u64) {
    for secs in from..until {
        recorder.sample_if_due(|| counts(secs), at(secs));
    }
}

fn adopt(recorder: &Recorder, revision: u64, secs: u64) {
    recorder.record_revision(Revision::new(revision), counts(secs), at(secs));
}

fn explain(recorder: &Recorder, revision: u64, secs: u64) -> Option<Evidence> {
    recorder.explain(Revision::new(revision), &counts(secs), at(secs))
}

/// Returns the length of a window in seconds, its requests, and its number of other changes.
fn window_values(window: &sg_report::explain::Window) -> (u64, u64, u32) {
    let ran = window
        .counts
        .accounts
        .get("a")
        .map_or(0, |account| account.ran);
    (window.span.as_millis() / 1_000, ran, window.others)
}

/// A window that is cut short, or that reaches beyond the neighbouring change, would attribute
/// counts to the wrong revision.
#[test]
fn windows_cover_the_whole_time_in_force_and_no_more() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    run_seconds(&recorder, 1, 1_000);
    adopt(&recorder, 2, 1_000);
    run_seconds(&recorder, 1_001, 1_500);
    adopt(&recorder, 3, 1_500);
    run_seconds(&recorder, 1_501, 2_000);
    let second = explain(&recorder, 2, 2_000).expect("known");
    assert_eq!(
        window_values(&second.before.expect("seen")),
        (1_000, 1_000, 0)
    );
    assert_eq!(window_values(&second.after), (500, 500, 0));
    let third = explain(&recorder, 3, 2_000).expect("known");
    assert_eq!(window_values(&third.before.expect("seen")), (500, 500, 0));
    assert_eq!(window_values(&third.after), (500, 500, 0));
    assert_eq!(third.age, Span::from_secs(500));
    assert!(
        explain(&recorder, 1, 2_000)
            .expect("known")
            .before
            .is_none()
    );
    assert!(explain(&recorder, 9, 2_000).is_none());
    let expected = (Revision::new(3), Span::from_secs(500));
    assert_eq!(recorder.in_force(at(2_000)), Some(expected));
}

/// With a change every three seconds, windows between neighbouring changes are too short to
/// compare.
#[test]
fn windows_extend_over_frequent_changes_to_one_minute() {
    let recorder = recorder();
    for revision in 1..=200 {
        adopt(&recorder, revision, 3 * revision);
    }
    let one = explain(&recorder, 100, 601).expect("known");
    // Sixty seconds hold 20 changes, one of which is at the boundary of the window.
    assert_eq!(window_values(&one.before.expect("seen")), (60, 60, 19));
    assert_eq!(window_values(&one.after), (60, 60, 19));
    // The window after a recent change ends at the time of the query.
    let last = explain(&recorder, 199, 601).expect("known");
    assert_eq!(window_values(&last.after), (4, 4, 1));
}

/// Merging samples near a change would widen the windows of that change.
#[test]
fn windows_of_close_changes_after_merged_samples_stay_short() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    run_seconds(&recorder, 1, 5_000);
    adopt(&recorder, 2, 5_000);
    adopt(&recorder, 3, 5_010);
    run_seconds(&recorder, 5_011, 9_000);
    let second = explain(&recorder, 2, 9_000).expect("known");
    let (secs, ran, others) = window_values(&second.after);
    // Samples are taken every five seconds.
    assert!((60..=65).contains(&secs), "{secs} s");
    assert_eq!((ran, others), (secs, 1));
    let third = explain(&recorder, 3, 9_000).expect("known").before;
    let (secs, ran, others) = window_values(&third.expect("seen"));
    assert!((60..=65).contains(&secs), "{secs} s");
    assert_eq!((ran, others), (secs, 1));
}

/// A sample per change would use unlimited memory when changes follow each other closely.
#[test]
fn changes_within_the_minimum_spacing_share_a_sample() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    adopt(&recorder, 2, 100);
    adopt(&recorder, 3, 101);
    let third = explain(&recorder, 3, 200).expect("known");
    assert_eq!(third.age, Span::from_secs(99));
    assert_eq!(window_values(&third.before.expect("seen")), (100, 100, 1));
    assert_eq!(window_values(&third.after), (100, 100, 0));
}

/// Returns the counters of 100 active accounts.
fn busy_counts(step: u64) -> Counts {
    let mut counts = Counts::default();
    for name in 0..100 {
        let account = counts.accounts.entry(format!("a{name}").into());
        let account = account.or_default();
        account.ran = step;
        for _ in 0..step {
            account.latency.record(Span::from_millis(500));
        }
    }
    counts
}

/// Many active accounts make each sample large. Eviction must keep the latest windows correct.
#[test]
fn memory_is_limited_and_the_oldest_samples_are_evicted() {
    let recorder = recorder().with_memory_limit(MIB);
    let steps = 100;
    for step in 1..=steps {
        recorder.record_revision(Revision::new(step), busy_counts(step), at(step * 2));
        assert!(
            recorder.size_bytes() <= MIB,
            "{} bytes",
            recorder.size_bytes()
        );
    }
    let now = at(steps * 2 + 1);
    let explain_at_end =
        |revision| recorder.explain(Revision::new(revision), &busy_counts(steps), now);
    assert!(explain_at_end(1).is_none());
    let last = explain_at_end(steps).expect("known");
    let before = last.before.expect("seen");
    let ran = before.counts.accounts["a0"].ran;
    assert_eq!(Span::from_secs(2 * ran), before.span);
}

/// Samples are taken every few seconds, also while the revision is unchanged, and would add up if
/// they were not merged.
#[test]
fn memory_does_not_grow_without_changes() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    run_seconds(&recorder, 1, 10_000);
    let size_before = recorder.size_bytes();
    run_seconds(&recorder, 10_000, 90_000);
    assert!(
        recorder.size_bytes() <= size_before,
        "{size_before} to {}",
        recorder.size_bytes()
    );
    adopt(&recorder, 2, 90_000);
    let second = explain(&recorder, 2, 90_000).expect("known");
    assert_eq!(
        window_values(&second.before.expect("seen")),
        (90_000, 90_000, 0)
    );
}
