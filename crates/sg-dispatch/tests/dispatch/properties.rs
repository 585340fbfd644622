//! Properties of the order and of the waiting room, on random requests.

use quickcheck::{Arbitrary, Gen, QuickCheck, quickcheck};
use sg_dispatch::{
    Bid, Room,
    room::{Bounds, Cause},
};
use sg_types::prelude::*;

use crate::{
    loads::{load, run},
    play::{Kind, Load, share},
    room::bid,
};

/// A request and the time in milliseconds after which the next one arrives.
#[derive(Debug, Clone)]
struct Arrival {
    bid: Bid,
    gap: u64,
}

impl Arbitrary for Arrival {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |most: u64| u64::arbitrary(g) % most;
        let mut bid = bid(below(4) as u32, 50 + below(3_000), 500 + below(12_000));
        bid.objective_left = Span::from_millis(below(4_000));
        bid.account = id::Account::new(format!("account-{}", below(3))).ok();
        let gap = below(200);
        Self { bid, gap }
    }
}

/// What became of a request: its number, the cause if it was rejected, and its pause in milliseconds.
type Fate = (usize, Option<Cause>, u64);

/// Offers the requests one after another and takes the next one after every third, with all times
/// multiplied by `scale`.
fn fates(arrivals: &[Arrival], bounds: Bounds, slots: u32, scale: u64) -> Vec<Fate> {
    let scaled = |span: Span| Span::from_nanos(span.as_nanos() * scale);
    let time = scaled(bounds.time);
    let mut now = Instant::START;
    let mut room = Room::new(Bounds { time, ..bounds }, now);
    room.set_slots(slots);
    let mut fates = Vec::new();
    for (number, Arrival { bid, gap }) in arrivals.iter().enumerate() {
        let bid = Bid {
            objective_left: scaled(bid.objective_left),
            deadline_left: scaled(bid.deadline_left),
            work: scaled(bid.work),
            ..bid.clone()
        };
        let mut rejected = room.expire(now);
        rejected.extend(room.offer(bid, Bytes::new(1), number, now).rejected);
        fates.extend(rejected.iter().map(|rejected| {
            let pause = rejected.retry_after.as_nanos() / scale / 1_000_000;
            (rejected.item, Some(rejected.cause), pause)
        }));
        if number % 3 == 2 {
            let taken = room.take_next(|_, _| true, now);
            fates.extend(taken.map(|taken| (taken.item, None, 0)));
        }
        now += scaled(Span::from_millis(*gap));
    }
    fates
}

fn bounds(requests: usize) -> Bounds {
    Bounds {
        requests,
        bytes: Bytes::new(1_000),
        time: Span::from_secs(10),
    }
}

quickcheck! {
    // Guards against constants that fit one deployment's times only.
    fn scaling_all_times_changes_nothing(arrivals: Vec<Arrival>, scale: u8) -> bool {
        let scale = u64::from(scale % 16) + 1;
        fates(&arrivals, bounds(20), 4, 1) == fates(&arrivals, bounds(20), 4, scale)
    }

    // Guards against a request that is rejected because there are more slots or more places.
    fn more_capacity_never_rejects_more(arrivals: Vec<Arrival>, last: Arrival, more: u8) -> bool {
        let is_admitted = |slots: u32, places: usize| {
            let mut room = Room::new(bounds(places), Instant::START);
            room.set_slots(1_000);
            for arrival in &arrivals {
                room.offer(arrival.bid.clone(), Bytes::new(1), (), Instant::START);
            }
            room.set_slots(slots);
            let offer = room.offer(last.bid.clone(), Bytes::new(1), (), Instant::START);
            offer.expected.is_some()
        };
        let more = u32::from(more);
        let before = is_admitted(2, 10);
        !before || is_admitted(2 + more, 10) && is_admitted(1_000, 10 + more as usize)
    }

    // Guards against a less urgent request that keeps the place of a more urgent one.
    fn urgent_request_is_not_rejected_for_another(arrivals: Vec<Arrival>) -> bool {
        let mut room = Room::new(bounds(8), Instant::START);
        room.set_slots(1_000);
        let mut rejected = Vec::new();
        for Arrival { bid, .. } in arrivals {
            rejected.extend(room.offer(bid, Bytes::new(1), (), Instant::START).rejected);
        }
        let outbid = rejected.iter().filter(|rejected| rejected.cause != Cause::Hopeless);
        let lost: Vec<&Bid> = outbid.map(|rejected| &rejected.bid).collect();
        let mut kept = std::iter::from_fn(|| room.take_next(|_, _| true, Instant::START));
        kept.all(|kept| lost.iter().all(|lost| {
            lost.priority >= kept.bid.priority || lost.work > kept.bid.work
        }))
    }

    // Guards against requests that are lost, or handled twice.
    fn every_request_has_one_fate(arrivals: Vec<Arrival>) -> bool {
        let mut numbers: Vec<usize> = Vec::new();
        let mut room = Room::new(bounds(8), Instant::START);
        for (number, Arrival { bid, .. }) in arrivals.iter().enumerate() {
            let offer = room.offer(bid.clone(), Bytes::new(1), number, Instant::START);
            numbers.extend(offer.rejected.iter().map(|rejected| rejected.item));
        }
        numbers.extend(room.take_next(|_, _| true, Instant::START).map(|taken| taken.item));
        // The instance stops while requests wait.
        numbers.extend(room.close(Instant::START).iter().map(|rejected| rejected.item));
        numbers.sort_unstable();
        room.bytes() == Bytes::new(0) && numbers.into_iter().eq(0..arrivals.len())
    }
}

/// Guards against a kind or an account that is served less than a quarter as often as all, whatever the
/// kinds need and whatever slots are left.
#[test]
fn fairness_share() {
    fn is_fair((kinds, lack, seed): (Vec<(u8, u8, u8)>, u8, u64)) -> bool {
        let names = ["first", "second", "third"];
        let kind = |((rate, work, priority), name): (&(u8, u8, u8), &'static str)| {
            let work = 0.2 + f64::from(work % 30) / 10.0;
            Kind {
                name,
                per_second: 10.0 + f64::from(rate % 30),
                work,
                objective: work * 0.8,
                time: work * 4.0,
                priority: u32::from(priority % 3),
                worth: 1.0,
                tail: 0.0,
                is_known: true,
            }
        };
        let kinds: Vec<Kind> = kinds.iter().zip(names).map(kind).collect();
        if kinds.is_empty() {
            return true;
        }
        let full = load(&kinds);
        let slots = full.slots * usize::from(50 + lack % 50) / 100;
        let load = Load {
            slots,
            seed,
            objects: 100_000,
            ..full
        };
        let requests = run("ordered", &load);
        let all = share(&load, &requests, |_| true).served;
        let kinds = (0..kinds.len()).map(|kind| share(&load, &requests, |r| r.kind == kind));
        let accounts = (0..6).map(|account| share(&load, &requests, |r| r.account == account));
        kinds.chain(accounts).all(|got| got.served >= all / 4.0)
    }
    QuickCheck::new()
        .tests(12)
        .quickcheck(is_fair as fn(_) -> bool);
}
