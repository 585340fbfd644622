//! The fair queue, in virtual time.

use std::collections::{BTreeSet, VecDeque};

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sg_forward::fair::{Place, Queue};
use sg_types::prelude::*;

fn place(weight: u32, limit: u32, deadline: Instant) -> Place {
    Place {
        weight,
        limit,
        deadline,
    }
}

const FAR: Instant = Instant::from_nanos(u64::MAX);

#[test]
fn classes_are_served_by_weight() {
    let mut queue = Queue::default();
    for number in 0..60 {
        queue
            .push(
                "heavy",
                place(3, 60, FAR),
                Instant::START,
                ("heavy", number),
            )
            .expect("room");
        queue
            .push(
                "light",
                place(1, 60, FAR),
                Instant::START,
                ("light", number),
            )
            .expect("room");
    }
    let served: Vec<_> = std::iter::from_fn(|| queue.pop(Instant::START))
        .take(40)
        .collect();
    let heavy = served.iter().filter(|(class, _)| *class == "heavy").count();
    assert_eq!(heavy, 30);
}

#[test]
fn a_class_is_bounded_and_waiters_past_their_deadline_are_skipped() {
    let mut queue = Queue::default();
    let soon = Instant::from_nanos(10);
    queue
        .push("a", place(1, 2, soon), Instant::START, 1)
        .expect("room");
    queue
        .push("a", place(1, 2, FAR), Instant::START, 2)
        .expect("room");
    assert!(
        queue
            .push("a", place(1, 2, FAR), Instant::START, 3)
            .is_err()
    );
    assert!(
        queue.push("a", place(1, 2, FAR), soon, 3).is_ok(),
        "the late one gave way"
    );
    assert_eq!(queue.pop(soon), Some(2));
    assert_eq!(queue.pop(soon), Some(3));
    assert_eq!(queue.pop(soon), None);
    assert!(queue.is_empty());
}

quickcheck! {
    fn nothing_is_lost_and_each_class_keeps_its_order(pushes: Vec<(u8, u8)>) -> bool {
        let mut queue = Queue::default();
        for (number, (class, weight)) in pushes.iter().enumerate() {
            let class = class % 4;
            let place = place(u32::from(*weight), u32::MAX, FAR);
            queue.push(class, place, Instant::START, (class, number)).expect("room");
        }
        let mut last = [None; 4];
        let mut count = 0;
        while let Some((class, number)) = queue.pop(Instant::START) {
            let before = last[usize::from(class)].replace(number);
            if before.is_some_and(|before| before >= number) {
                return false;
            }
            count += 1;
        }
        count == pushes.len()
    }
}

const ACCOUNTS: u64 = 8;
const SLOTS: usize = 16;
const SECONDS: u64 = 60;
const SERVICE: Span = Span::from_millis(20);
/// Requests a second that each account pays for; together they use three quarters of the slots.
const RATE: u64 = 75;

/// Requests that an account may make at once.
const BURST: f64 = 20.0;

/// Whether accounts are held to their rate, and how waiters are taken.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    /// As the request path does it.
    AdmittedFair,
    /// Without admission.
    Fair,
    /// Without admission, and by arrival.
    Arrival,
}

/// A token bucket for each account.
struct Buckets([(f64, Instant); ACCOUNTS as usize]);

impl Buckets {
    fn admit(&mut self, account: u64, now: Instant) -> bool {
        let (tokens, last) = &mut self.0[account as usize];
        let refill = now.since(*last).as_secs_f64() * RATE as f64;
        *tokens = (*tokens + refill).min(BURST);
        *last = now;
        let admitted = *tokens >= 1.0;
        if admitted {
            *tokens -= 1.0;
        }
        admitted
    }
}

/// The 99th percentile of the wait and work of accounts 1 to 7, with account 0 at `factor` times its
/// rate.
fn p99(seed: u64, factor: u64, order: Order) -> Span {
    let mut arrivals = BTreeSet::new();
    for account in 0..ACCOUNTS {
        // One generator an account, so that the others' requests are the same in each run.
        let mut random = StdRng::seed_from_u64(seed * ACCOUNTS + account);
        let count = RATE * SECONDS * if account == 0 { factor } else { 1 };
        for _ in 0..count {
            let at = random.random_range(0..SECONDS * 1_000_000_000);
            arrivals.insert((Instant::from_nanos(at), account));
        }
    }
    let mut run = Run::new(order);
    for (at, account) in arrivals {
        run.arrive(account, at);
    }
    run.finish(FAR);
    run.p99()
}

struct Run {
    order: Order,
    buckets: Buckets,
    queue: Queue<u64, (u64, Instant)>,
    line: VecDeque<(u64, Instant)>,
    ends: BTreeSet<(Instant, u64)>,
    started: u64,
    waits: Vec<Span>,
}

impl Run {
    fn new(order: Order) -> Self {
        Self {
            order,
            buckets: Buckets([(BURST, Instant::START); ACCOUNTS as usize]),
            queue: Queue::default(),
            line: VecDeque::new(),
            ends: BTreeSet::new(),
            started: 0,
            waits: Vec::new(),
        }
    }

    fn arrive(&mut self, account: u64, now: Instant) {
        self.finish(now);
        if self.order == Order::AdmittedFair && !self.buckets.admit(account, now) {
            return;
        }
        match self.order {
            Order::AdmittedFair | Order::Fair => {
                let place = place(1, 64, now + Span::from_secs(2));
                let _ = self.queue.push(account, place, now, (account, now));
            }
            Order::Arrival => self.line.push_back((account, now)),
        }
        self.serve(now);
    }

    fn finish(&mut self, until: Instant) {
        while let Some((end, number)) = self.ends.first().copied().filter(|(end, _)| *end <= until)
        {
            self.ends.remove(&(end, number));
            self.serve(end);
        }
    }

    fn serve(&mut self, now: Instant) {
        while self.ends.len() < SLOTS {
            let next = match self.order {
                Order::AdmittedFair | Order::Fair => self.queue.pop(now),
                Order::Arrival => self.line.pop_front(),
            };
            let Some((account, arrived)) = next else {
                return;
            };
            self.started += 1;
            self.ends.insert((now + SERVICE, self.started));
            if account != 0 {
                self.waits.push(now.since(arrived) + SERVICE);
            }
        }
    }

    fn p99(mut self) -> Span {
        self.waits.sort();
        self.waits[self.waits.len() * 99 / 100]
    }
}

#[test]
fn an_account_at_ten_times_its_rate_leaves_the_others_alone() {
    const MOST: f64 = 1.2;
    for seed in [1, 2, 3, 4, 5] {
        let without = p99(seed, 1, Order::AdmittedFair);
        let ratio = |order| p99(seed, 10, order).as_secs_f64() / without.as_secs_f64();
        let admitted = ratio(Order::AdmittedFair);
        let fair = ratio(Order::Fair);
        let arrival = ratio(Order::Arrival);
        println!("seed {seed}: {admitted:.3}, queue alone {fair:.3}, by arrival {arrival:.3}");
        assert!(admitted <= MOST, "seed {seed}: {admitted}");
        assert!(
            fair > MOST,
            "seed {seed}: missing admission is seen: {fair}"
        );
        assert!(
            arrival > fair,
            "seed {seed}: a queue by arrival is seen: {arrival}"
        );
    }
}
