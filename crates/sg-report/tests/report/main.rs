//! Tests of merging the reports of instances, and of the report on the effect of a revision.

mod fleet;
mod why;

use quickcheck::quickcheck;
use sg_report::{
    Counts, Latency,
    counts::Place,
    explain::{self, Evidence, RevisionInfo, Window},
    status::Fleet,
};
use sg_tree::predict::Prediction;
use sg_types::prelude::*;

fn counts(north: u64, south: u64, ran: u64, refused: u64) -> Counts {
    let mut counts = Counts::default();
    for (region, requests) in [("north", north), ("south", south)] {
        let place = Place {
            service: id::Service::new("desk").expect("valid name"),
            region: id::Region::new(region).expect("valid name"),
        };
        counts.traffic.insert(place, requests);
    }
    let account = counts.accounts.entry("a".into()).or_default();
    account.ran = ran;
    account.refused.insert(Reason::OverRate, refused);
    // `TicketMissing` is counted once for each ticket fetched, which is not a refusal.
    account.refused.insert(Reason::TicketMissing, 100);
    for _ in 0..ran {
        account.latency.record(Span::from_millis(10));
    }
    counts
}

fn evidence(name: &str, before: Counts, after: Counts) -> Evidence {
    let window = |counts| Window {
        span: Span::from_secs(10),
        counts,
        others: 0,
    };
    Evidence {
        instance: id::Instance::new(name).expect("valid name"),
        incarnation: Incarnation::new(1),
        age: Span::from_secs(10),
        before: Some(window(before)),
        after: window(after),
    }
}

#[test]
fn report_names_other_changes_of_revision_in_its_windows() {
    let mut evidence = evidence("e1", counts(1, 0, 1, 0), counts(1, 0, 1, 0));
    evidence.after.others = 7;
    let info = RevisionInfo {
        revision: Revision::new(7),
        author: "ann".into(),
        note: "".into(),
        accepted: "2026-12-03T20:40:54Z".into(),
        difference: sg_tree::diff::Difference::default(),
        prediction: Prediction::default(),
    };
    let report = explain::report(info, &[evidence], Vec::new(), &Fleet::default());
    let note = "Other changes of revision in the time after: 7; the figures after are theirs too.";
    for text in [report.to_markdown(), report.to_string()] {
        assert!(text.contains(note), "{text}");
        assert!(!text.contains("in the time before"), "{text}");
    }
}

#[test]
fn report_merges_evidence_and_names_the_worst_served_account() {
    let all = [
        evidence("e1", counts(10, 0, 10, 0), counts(5, 5, 8, 2)),
        evidence("e2", counts(10, 0, 10, 0), counts(5, 5, 10, 0)),
    ];
    let info = RevisionInfo {
        revision: Revision::new(7),
        author: "ann".into(),
        note: "half to the south".into(),
        accepted: "2026-12-03T20:40:54Z".into(),
        difference: sg_tree::diff::Difference::default(),
        prediction: Prediction::default(),
    };
    let silent = vec![id::Instance::new("e3").expect("valid name")];
    let report = explain::report(info, &all, silent, &Fleet::default());
    assert_eq!(report.moves[0].before, Some(1.0));
    assert_eq!(report.moves[0].after, Some(0.5));
    assert_eq!(report.accounts[0].after.goodput, Some(0.9));
    assert_eq!(report.worst.after.as_deref(), Some("a"));
    let markdown = report.to_markdown();
    assert!(
        markdown.contains("| desk | south | 0 / 10 | 0.00% | 50.00% | +50.00 points |"),
        "{markdown}"
    );
    assert!(
        markdown.contains("desk: 50.00 percentage points"),
        "{markdown}"
    );
    assert!(
        markdown.contains("| a | over-rate | 0.00% | 10.00% |"),
        "{markdown}"
    );
    assert!(
        markdown.contains("a (100.00% ran); after: a (90.00% ran)"),
        "{markdown}"
    );
    assert!(markdown.contains("64 MiB each"), "{markdown}");
    assert!(!markdown.contains("theirs too"), "{markdown}");
    assert!(markdown.contains("e3 gave no evidence"), "{markdown}");
    let text = report.to_string();
    assert!(text.contains("over-rate"), "{text}");
    assert!(!text.contains("ticket-missing"), "{text}");
    let json = serde_json::to_string(&report).expect("report serializes");
    assert_eq!(
        serde_json::from_str::<explain::Report>(&json).expect("report deserializes"),
        report
    );
}

#[test]
fn rollout_duration_excludes_instances_that_started_later() {
    let evidence_of_age = |name, secs, has_window_before| {
        let mut evidence = evidence(name, Counts::default(), Counts::default());
        evidence.age = Span::from_secs(secs);
        evidence.before = evidence.before.filter(|_| has_window_before);
        evidence
    };
    let all = [
        evidence_of_age("e1", 100, true),
        evidence_of_age("e2", 98, true),
        evidence_of_age("e3", 5, false),
    ];
    let info = RevisionInfo {
        revision: Revision::new(7),
        author: "ann".into(),
        accepted: "2026-12-03T20:40:54Z".into(),
        note: "".into(),
        difference: sg_tree::diff::Difference::default(),
        prediction: Prediction::default(),
    };
    let report = explain::report(info, &all, Vec::new(), &Fleet::default());
    let spread = report.spread.expect("evidence was given");
    assert_eq!(spread.took, Span::from_secs(2));
    assert_eq!(spread.first, Span::from_secs(100));
    assert_eq!(spread.last, Span::from_secs(5));
}

#[test]
fn attempts_and_waits_are_merged_and_subtracted() {
    let with = |attempts: u64| {
        let mut counts = counts(0, 0, 0, 0);
        let account = counts.accounts.entry("a".into()).or_default();
        account.attempts = attempts;
        for _ in 0..attempts {
            account.waited.record(Span::from_millis(3));
        }
        counts
    };
    let mut sum = with(5).since(&with(2));
    sum.merge(&with(4));
    let account = &sum.accounts["a"];
    assert_eq!((account.attempts, account.waited.count()), (7, 7));
}

quickcheck! {
    fn quantile_is_accurate_to_within_a_fifth(micros: u32) -> bool {
        let span = Span::from_micros(u64::from(micros % 30_000_000) + 64);
        let mut latency = Latency::default();
        latency.record(span);
        let found = latency.quantile(0.99).unwrap_or_default().as_secs_f64();
        found >= span.as_secs_f64() * 0.999 && found <= span.as_secs_f64() * 1.2
    }

    fn merging_the_increase_restores_the_histogram(old: Vec<u16>, new: Vec<u16>) -> bool {
        let mut before = Latency::default();
        old.iter().for_each(|ms| before.record(Span::from_millis(u64::from(*ms))));
        let mut now = before.clone();
        new.iter().for_each(|ms| now.record(Span::from_millis(u64::from(*ms))));
        let mut sum = now.since(&before);
        let counted = sum.count() == new.len() as u64;
        sum.merge(&before);
        counted && sum == now
    }
}
