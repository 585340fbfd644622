//! Tests the fair queue in virtual time.

use std::collections::{BTreeSet, VecDeque};

use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sg_forward::fair_queue::{Queue, QueueParams};
use sg_types::prelude::*;

fn params(weight: u32, limit: u32, deadline: Instant) -> QueueParams {
    QueueParams {
        weight,
        limit,
        deadline,
    }
}

const FAR_FUTURE: Instant = Instant::from_nanos(u64::MAX);

#[test]
fn classes_are_served_by_weight() {
    let mut queue = Queue::default();
    for number in 0..60 {
        queue
            .push(
                "heavy",
                params(3, 60, FAR_FUTURE),
                Instant::START,
                ("heavy", number),
            )
            .expect("room");
        queue
            .push(
                "light",
                params(1, 60, FAR_FUTURE),
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
        .push("a", params(1, 2, soon), Instant::START, 1)
        .expect("room");
    queue
        .push("a", params(1, 2, FAR_FUTURE), Instant::START, 2)
        .expect("room");
    assert!(
        queue
            .push("a", params(1, 2, FAR_FUTURE), Instant::START, 3)
            .is_err()
    );
    assert!(
        queue.push("a", params(1, 2, FAR_FUTURE), soon, 3).is_ok(),
        "the expired waiter is removed"
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
            let params = params(u32::from(*weight), u32::MAX, FAR_FUTURE);
            queue.push(class, params, Instant::START, (class, number)).expect("room");
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
const SERVICE_TIME: Span = Span::from_millis(20);
/// The paid rate of each account in requests per second. All accounts together use three quarters
/// of the slots.
const RATE_PER_SECOND: u64 = 75;

/// The burst of an account in requests.
const BURST: f64 = 20.0;

/// Whether accounts are limited to their rate, and the order of service.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Rate limits and the fair queue, as on the request path.
    AdmittedFair,
    /// The fair queue without rate limits.
    Fair,
    /// First come, first served, without rate limits.
    Arrival,
}

/// A token bucket for each account.
struct Buckets([(f64, Instant); ACCOUNTS as usize]);

impl Buckets {
    fn admit(&mut self, account: u64, now: Instant) -> bool {
        let (tokens, last) = &mut self.0[account as usize];
        let refill = now.since(*last).as_secs_f64() * RATE_PER_SECOND as f64;
        *tokens = (*tokens + refill).min(BURST);
        *last = now;
        let admitted = *tokens >= 1.0;
        if admitted {
            *tokens -= 1.0;
        }
        admitted
    }
}

/// Returns the 99th percentile of the time in the queue and in service for accounts 1 to 7, with
/// account 0 at `factor` times its rate.
fn p99(seed: u64, factor: u64, policy: Policy) -> Span {
    let mut arrivals = BTreeSet::new();
    for account in 0..ACCOUNTS {
        // Each account has its own generator, so that the requests of the others are equal in all
        // runs.
        let mut random = StdRng::seed_from_u64(seed * ACCOUNTS + account);
        let count = RATE_PER_SECOND * SECONDS * if account == 0 { factor } else { 1 };
        for _ in 0..count {
            let at = random.random_range(0..SECONDS * 1_000_000_000);
            arrivals.insert((Instant::from_nanos(at), account));
        }
    }
    let mut run = Simulation::new(policy);
    for (at, account) in arrivals {
        run.arrive(account, at);
    }
    run.finish(FAR_FUTURE);
    run.p99()
}

struct Simulation {
    policy: Policy,
    buckets: Buckets,
    queue: Queue<u64, (u64, Instant)>,
    fifo: VecDeque<(u64, Instant)>,
    completions: BTreeSet<(Instant, u64)>,
    started: u64,
    waits: Vec<Span>,
}

impl Simulation {
    fn new(policy: Policy) -> Self {
        Self {
            policy,
            buckets: Buckets([(BURST, Instant::START); ACCOUNTS as usize]),
            queue: Queue::default(),
            fifo: VecDeque::new(),
            completions: BTreeSet::new(),
            started: 0,
            waits: Vec::new(),
        }
    }

    fn arrive(&mut self, account: u64, now: Instant) {
        self.finish(now);
        if self.policy == Policy::AdmittedFair && !self.buckets.admit(account, now) {
            return;
        }
        match self.policy {
            Policy::AdmittedFair | Policy::Fair => {
                let params = params(1, 64, now + Span::from_secs(2));
                let _ = self.queue.push(account, params, now, (account, now));
            }
            Policy::Arrival => self.fifo.push_back((account, now)),
        }
        self.serve(now);
    }

    fn finish(&mut self, until: Instant) {
        while let Some((end, number)) = self
            .completions
            .first()
            .copied()
            .filter(|(end, _)| *end <= until)
        {
            self.completions.remove(&(end, number));
            self.serve(end);
        }
    }

    fn serve(&mut self, now: Instant) {
        while self.completions.len() < SLOTS {
            let next = match self.policy {
                Policy::AdmittedFair | Policy::Fair => self.queue.pop(now),
                Policy::Arrival => self.fifo.pop_front(),
            };
            let Some((account, arrived)) = next else {
                return;
            };
            self.started += 1;
            self.completions.insert((now + SERVICE_TIME, self.started));
            if account != 0 {
                self.waits.push(now.since(arrived) + SERVICE_TIME);
            }
        }
    }

    fn p99(mut self) -> Span {
        self.waits.sort();
        self.waits[self.waits.len() * 99 / 100]
    }
}

#[test]
fn an_account_at_ten_times_its_rate_does_not_delay_the_others() {
    const MAX_RATIO: f64 = 1.2;
    for seed in [1, 2, 3, 4, 5] {
        let without = p99(seed, 1, Policy::AdmittedFair);
        let ratio = |policy| p99(seed, 10, policy).as_secs_f64() / without.as_secs_f64();
        let admitted = ratio(Policy::AdmittedFair);
        let fair = ratio(Policy::Fair);
        let arrival = ratio(Policy::Arrival);
        println!("seed {seed}: {admitted:.3}, queue alone {fair:.3}, by arrival {arrival:.3}");
        assert!(admitted <= MAX_RATIO, "seed {seed}: {admitted}");
        assert!(
            fair > MAX_RATIO,
            "seed {seed}: missing rate limits are detected: {fair}"
        );
        assert!(
            arrival > fair,
            "seed {seed}: a first-come queue is detected: {arrival}"
        );
    }
}
