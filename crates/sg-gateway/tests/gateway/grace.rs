//! When the grace period of a stop begins.

use sg_gateway::grace::{EventLoop, Grace};
use sg_types::prelude::*;

const INTERVAL: Span = Span::from_millis(200);

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

/// Guards against a period that counts from when the process went on, whether or not the updates ran first.
#[test]
fn signal_after_a_suspension_counts_from_before_it() {
    for (name, waits, updates, earliest) in [
        ("idle", [1_150, 1_340], [1_000, 1_200], 1_150),
        ("busy", [1_338, 1_340], [1_000, 1_200], 1_338),
        ("suspended", [1_210, 2_900], [1_000, 1_200], 1_210),
        ("updates run first", [1_210, 2_901], [1_200, 2_900], 1_210),
        ("suspended twice", [2_910, 4_000], [1_200, 2_900], 2_910),
        ("never idle", [0, 10], [1_000, 1_200], 1_000),
        ("slow start", [0, 700], [0, 0], 0),
    ] {
        let mut known = EventLoop::default();
        waits.iter().for_each(|wait| known.record_wait(at(*wait)));
        let updates = updates.iter();
        updates.for_each(|update| known.record_updates(at(*update)));
        assert_eq!(known.earliest_signal(), at(earliest), "{name}");
    }
}

/// Guards against a period that counts from later than the signal was sent, whatever the process does meanwhile.
#[test]
fn grace_never_begins_after_the_signal() {
    fn begins_in_time(turns: Vec<(u16, u16, bool)>, sent_in: u16) -> bool {
        let mut known = EventLoop::default();
        let (mut now, mut due) = (Instant::START, Instant::START + INTERVAL);
        let mut signal: Option<(Instant, usize)> = None;
        let sent_in = usize::from(sent_in) % turns.len().max(1);
        for (turn, (wait, work, is_idle)) in turns.into_iter().enumerate() {
            if is_idle {
                known.record_wait(now);
            }
            // A wait ends when the updates are due, unless the process is suspended.
            let end = now + Span::from_millis(u64::from(wait) % 400);
            if turn == sent_in {
                signal = Some((now + end.since(now).mul_f64(0.5), turn));
            }
            // A signal ends a wait, and is read after the next one.
            if let Some((sent, _)) = signal.filter(|(_, sent_in)| turn > *sent_in) {
                return known.earliest_signal() <= sent;
            }
            now = end;
            if now >= due {
                known.record_updates(now);
                due = now + INTERVAL;
            }
            now += Span::from_millis(u64::from(work) % 60);
        }
        true
    }
    quickcheck::quickcheck(begins_in_time as fn(Vec<(u16, u16, bool)>, u16) -> bool);
}

#[test]
fn parts_of_the_grace_period_follow_each_other_and_end_before_it() {
    for seconds in [0.5, 6.0, 60.0] {
        let period = Span::from_secs(1).mul_f64(seconds);
        let grace = Grace::new(at(700), at(700), period);
        let times = [
            grace.admit_until(),
            grace.accept_until(),
            grace.answer_at(),
            grace.close_at(),
        ];
        assert!(
            times.is_sorted() && times[3] < at(700) + period,
            "{times:?}"
        );
        assert!(grace.answer_at() >= at(700) + period.mul_f64(5.0 / 6.0));
    }
}

/// Guards against requests that are given up while their targets may still be at work, after a short disturbance.
#[test]
fn requests_are_answered_in_the_last_part_of_the_period_whenever_the_signal_was_sent() {
    let period = Span::from_secs(6);
    for (earliest, handled) in [
        (1_000, 1_450),
        (1_000, 1_530),
        (1_000, 1_640),
        (1_000, 1_700),
    ] {
        let grace = Grace::new(at(earliest), at(handled), period);
        let (answer, close) = (grace.answer_at(), grace.close_at());
        assert!(answer >= at(handled + 5_000), "{handled}: {answer:?}");
        assert!(
            answer < close && close <= at(earliest + 5_880),
            "{handled}: {close:?}"
        );
    }
    let suspended = Grace::new(at(1_000), at(4_000), period);
    assert_eq!(suspended.answer_at(), at(1_000 + 5_700));
}
