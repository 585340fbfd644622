//! Tests of single decisions of the waiting room.

use sg_dispatch::{
    Bid,
    room::{Bounds, Cause, Offer, Room},
};
use sg_types::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

pub fn bid(priority: u32, work_millis: u64, deadline_millis: u64) -> Bid {
    Bid {
        priority,
        objective_left: Span::from_millis(deadline_millis / 4),
        deadline_left: Span::from_millis(deadline_millis),
        work: Span::from_millis(work_millis),
        waited: Span::ZERO,
        account: None,
        route: id::Route::new(format!("route-{priority}")).expect("valid name"),
    }
}

fn room(requests: usize) -> Room<u64> {
    let bounds = Bounds {
        requests,
        bytes: Bytes::new(1 << 20),
        time: Span::from_secs(10),
    };
    let mut room = Room::new(bounds, at(0));
    room.set_slots(8);
    room
}

fn offer(room: &mut Room<u64>, bid: Bid, item: u64) -> Offer<u64> {
    room.offer(bid, Bytes::new(100), item, at(0))
}

#[test]
fn urgent_request_displaces_one_that_costs_less() {
    let mut room = room(2);
    offer(&mut room, bid(1, 500, 4_000), 1);
    offer(&mut room, bid(2, 500, 4_000), 2);
    let offered = offer(&mut room, bid(0, 500, 4_000), 3);
    let displaced = &offered.rejected[0];
    assert_eq!((displaced.item, displaced.cause), (2, Cause::Displaced));
    assert!(displaced.retry_after > Span::ZERO);
    let refused = offer(&mut room, bid(2, 500, 4_000), 4);
    assert_eq!(
        (refused.expected, refused.rejected[0].cause),
        (None, Cause::Outbid)
    );
    let order = std::iter::from_fn(|| room.take_next(|_, _| true, at(0)));
    assert_eq!(order.map(|taken| taken.item).collect::<Vec<_>>(), [3, 1]);
}

#[test]
fn request_past_its_objective_yields_but_is_served() {
    let mut room = room(8);
    offer(&mut room, bid(1, 1_500, 4_000), 1);
    offer(&mut room, bid(1, 900, 4_000), 2);
    let taken = room.take_next(|_, _| true, at(0));
    assert_eq!(taken.map(|taken| taken.item), Some(2));
    let taken = room.take_next(|_, _| true, at(0));
    assert_eq!(taken.map(|taken| taken.item), Some(1));
}

#[test]
fn nothing_waits_that_cannot_be_served() {
    let mut room = room(100);
    let hopeless = offer(&mut room, bid(0, 900, 800), 1);
    assert_eq!(hopeless.rejected[0].cause, Cause::Hopeless);
    offer(&mut room, bid(0, 500, 800), 2);
    assert!(room.expire(at(75)).is_empty());
    assert_eq!(room.take_next(|_, _| true, at(76)), None);
    assert_eq!(room.expire(at(76))[0].item, 2);
    assert!(room.is_empty());
    assert_eq!(room.bytes(), Bytes::new(0));
}

#[test]
fn callers_rejected_together_come_back_at_different_times() {
    let mut room = room(50);
    for item in 0..50 {
        offer(&mut room, bid(1, 100, 6_000), item);
    }
    let mut pauses: Vec<Span> = room
        .expire(at(5_950))
        .iter()
        .map(|r| r.retry_after)
        .collect();
    pauses.sort();
    pauses.dedup();
    assert_eq!(pauses.len(), 50);
}

/// Guards against usual demand that is learned in overloads only: an account that was granted slots at once
/// isn't hot when it first waits, and one that asks for six times as much is.
#[test]
fn granted_requests_count_as_usual_demand() {
    let mut room = room(100);
    let of = |account: &str| Bid {
        account: id::Account::new(account).ok(),
        ..bid(1, 500, 4_000)
    };
    for step in 0..600 {
        let now = at(step * 100);
        room.record_grant(&of("steady"), now);
        if step % 6 == 0 || step >= 500 {
            room.record_grant(&of("hot"), now);
        }
    }
    room.offer(of("hot"), Bytes::new(1), 1, at(60_000));
    room.offer(of("steady"), Bytes::new(1), 2, at(60_000));
    let taken = room.take_next(|_, _| true, at(60_000));
    assert_eq!(taken.map(|taken| taken.item), Some(2));
}
