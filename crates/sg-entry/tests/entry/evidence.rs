//! Evidence of revisions: what each side counts, what is remembered, and what it takes.

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

/// Time in which one request runs a second, and the counters are offered each second.
fn pass(recorder: &Recorder, from: u64, until: u64) {
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

/// The seconds, the requests that ran, and other changes.
fn side(window: &sg_report::explain::Window) -> (u64, u64, u32) {
    let ran = window.counts.accounts.get("a").map_or(0, |one| one.ran);
    (window.span.as_millis() / 1_000, ran, window.others)
}

#[test]
fn a_long_time_in_force_is_counted_whole_and_no_further() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    pass(&recorder, 1, 1_000);
    adopt(&recorder, 2, 1_000);
    pass(&recorder, 1_001, 1_500);
    adopt(&recorder, 3, 1_500);
    pass(&recorder, 1_501, 2_000);
    let second = explain(&recorder, 2, 2_000).expect("known");
    assert_eq!(side(&second.before.expect("seen")), (1_000, 1_000, 0));
    assert_eq!(side(&second.after), (500, 500, 0));
    let third = explain(&recorder, 3, 2_000).expect("known");
    assert_eq!(side(&third.before.expect("seen")), (500, 500, 0));
    assert_eq!(side(&third.after), (500, 500, 0));
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

#[test]
fn many_changes_are_counted_for_a_minute_on_each_side() {
    let recorder = recorder();
    for revision in 1..=200 {
        adopt(&recorder, revision, 3 * revision);
    }
    let one = explain(&recorder, 100, 601).expect("known");
    // 20 changes of three seconds each, one of which is where the side begins or ends.
    assert_eq!(side(&one.before.expect("seen")), (60, 60, 19));
    assert_eq!(side(&one.after), (60, 60, 19));
    // The latest ones have counted only so long.
    let last = explain(&recorder, 199, 601).expect("known");
    assert_eq!(side(&last.after), (4, 4, 1));
}

#[test]
fn a_change_after_quiet_time_is_counted_for_little_more_than_a_minute() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    pass(&recorder, 1, 5_000);
    adopt(&recorder, 2, 5_000);
    adopt(&recorder, 3, 5_010);
    pass(&recorder, 5_011, 9_000);
    let second = explain(&recorder, 2, 9_000).expect("known");
    let (secs, ran, others) = side(&second.after);
    // The counters are cut each five seconds.
    assert!((60..=65).contains(&secs), "{secs} s");
    assert_eq!((ran, others), (secs, 1));
    let third = explain(&recorder, 3, 9_000).expect("known").before;
    let (secs, ran, others) = side(&third.expect("seen"));
    assert!((60..=65).contains(&secs), "{secs} s");
    assert_eq!((ran, others), (secs, 1));
}

#[test]
fn changes_close_together_share_a_point_in_time() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    adopt(&recorder, 2, 100);
    adopt(&recorder, 3, 101);
    let third = explain(&recorder, 3, 200).expect("known");
    assert_eq!(third.age, Span::from_secs(99));
    assert_eq!(side(&third.before.expect("seen")), (100, 100, 1));
    assert_eq!(side(&third.after), (100, 100, 0));
}

/// The counters of many active accounts.
fn busy(step: u64) -> Counts {
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

#[test]
fn memory_is_bounded_and_the_oldest_goes_first() {
    let recorder = recorder().with_memory_limit(MIB);
    let steps = 100;
    for step in 1..=steps {
        recorder.record_revision(Revision::new(step), busy(step), at(step * 2));
        assert!(
            recorder.size_bytes() <= MIB,
            "{} bytes",
            recorder.size_bytes()
        );
    }
    let now = at(steps * 2 + 1);
    let known = |revision| recorder.explain(Revision::new(revision), &busy(steps), now);
    assert!(known(1).is_none());
    let last = known(steps).expect("known");
    let before = last.before.expect("seen");
    let ran = before.counts.accounts["a0"].ran;
    assert_eq!(Span::from_secs(2 * ran), before.span);
}

#[test]
fn quiet_time_costs_nothing() {
    let recorder = recorder();
    adopt(&recorder, 1, 0);
    pass(&recorder, 1, 10_000);
    let early = recorder.size_bytes();
    pass(&recorder, 10_000, 90_000);
    assert!(
        recorder.size_bytes() <= early,
        "{early} to {}",
        recorder.size_bytes()
    );
    adopt(&recorder, 2, 90_000);
    let second = explain(&recorder, 2, 90_000).expect("known");
    assert_eq!(side(&second.before.expect("seen")), (90_000, 90_000, 0));
}
