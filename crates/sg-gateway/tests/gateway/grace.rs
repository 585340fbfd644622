//! When the grace period of a stop begins.

use sg_gateway::grace::{Grace, Ticks};
use sg_types::prelude::*;

const INTERVAL: Span = Span::from_millis(200);

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

/// Guards against a period that counts from when the process went on, whether or not the updates ran first.
#[test]
fn signal_after_a_suspension_counts_from_before_it() {
    for (name, ticks, handled, earliest) in [
        ("idle", [1_000, 1_200].as_slice(), 1_350, 1_350),
        ("usual lateness", &[1_000, 1_220], 1_460, 1_460),
        ("suspended", &[1_000, 1_200], 2_900, 1_200),
        ("updates run first", &[1_200, 2_900], 2_901, 1_200),
        ("suspended twice", &[1_200, 2_900], 4_000, 1_200),
        ("long ago", &[1_200, 2_900, 3_100], 3_250, 3_250),
        ("slow start", &[], 700, 0),
        ("late first updates", &[900], 910, 0),
    ] {
        let mut known = Ticks::new(INTERVAL);
        ticks.iter().for_each(|tick| known.record(at(*tick)));
        assert_eq!(known.earliest_signal(at(handled)), at(earliest), "{name}");
    }
}

/// Guards against a period that counts from later than the signal was sent, whatever the process does meanwhile.
#[test]
fn grace_never_begins_after_the_signal() {
    fn begins_in_time(turns: Vec<(u16, u16)>, sent_in: u16) -> bool {
        let mut known = Ticks::new(INTERVAL);
        let (mut now, mut due) = (Instant::START, Instant::START + INTERVAL);
        let mut signal: Option<(Instant, usize)> = None;
        let sent_in = usize::from(sent_in) % turns.len().max(1);
        for (turn, (wait, work)) in turns.into_iter().enumerate() {
            // A wait ends when the updates are due, unless the process is suspended.
            let end = now + Span::from_millis(u64::from(wait) % 400);
            if turn == sent_in {
                signal = Some((now + end.since(now).mul_f64(0.5), turn));
            }
            // A signal ends a wait, and is read after the next one.
            if let Some((sent, _)) = signal.filter(|(_, sent_in)| turn > *sent_in) {
                return known.earliest_signal(end) <= sent;
            }
            now = end;
            if now >= due {
                known.record(now);
                due = now + INTERVAL;
            }
            now = now + Span::from_millis(u64::from(work) % 60);
        }
        true
    }
    quickcheck::quickcheck(begins_in_time as fn(Vec<(u16, u16)>, u16) -> bool);
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
