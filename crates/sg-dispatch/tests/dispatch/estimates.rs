//! Instances that estimate the work of a route differently get slots alike.

use sg_dispatch::{Ask, Bid, Ticket, estimates::Estimates};
use sg_types::prelude::*;

fn ask(sender: u64, warm_millis: u64) -> Ask {
    let warm_work = Span::from_millis(warm_millis);
    Ask {
        ticket: Ticket {
            sender: Incarnation::new(sender),
            number: 1,
        },
        object: None,
        bid: Bid {
            priority: 1,
            objective_left: Span::from_secs(1),
            deadline_left: Span::from_secs(2),
            work: warm_work,
            waited: Span::ZERO,
            account: None,
            route: "safe".parse().expect("a name"),
        },
        warm_work,
        cold_work: warm_work + warm_work,
        excluded: Vec::new(),
    }
}

/// Waiting requests are ordered by their work, so that an instance whose estimate is a little greater would starve.
#[test]
fn differing_estimates_of_one_route_become_equal() {
    let mut estimates = Estimates::default();
    let mut works = IndexSet::new();
    for round in 0..60 {
        for (sender, millis) in [(1, 98), (2, 100), (3, 102)] {
            let mut ask = ask(sender, millis);
            estimates.equalize(&mut ask);
            if round > 0 {
                works.insert((ask.warm_work, ask.cold_work));
            }
        }
    }
    let [(warm, cold)] = works.iter().collect::<Vec<_>>()[..] else {
        panic!("{works:?}");
    };
    assert!(warm.as_millis().abs_diff(100) <= 6 && cold.as_millis().abs_diff(200) <= 12);
}

#[test]
fn estimates_follow_a_change_of_the_work() {
    let mut estimates = Estimates::default();
    for millis in [100, 1_000] {
        let mut last = ask(1, millis);
        for _ in 0..100 {
            last = ask(1, millis);
            estimates.equalize(&mut last);
        }
        assert!(last.warm_work.as_millis().abs_diff(millis) < millis / 10);
    }
}
