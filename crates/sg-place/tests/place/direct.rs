//! Plays accounts with few holders whose requests arrive at all instances, with datagrams that are lost,
//! late and doubled, and counts requests that are refused within the rate and admitted beyond it.

use std::collections::{BTreeMap, HashSet};

use quickcheck::quickcheck;
use sg_place::{
    quota::{Bounds, TokenShare, divide_request, holder_fraction},
    search::{Search, Step},
};
use sg_types::prelude::*;

use crate::{at, location};

const INSTANCES: usize = 34;
const WARM_UP_MILLIS: u64 = 2_000;
/// Interval at which instances ask for tokens ahead of requests.
const TICK_MILLIS: u64 = 200;

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    bounds: Bounds,
    per_second: f64,
    seconds: u64,
    /// One in this many instances runs a build without direct tokens; 0 for none.
    old_every: usize,
    /// Datagrams in 1,000 that are lost.
    lost: u64,
    /// Datagrams in 1,000 that arrive twice, and that take up to 2 s if they are about direct tokens.
    disturbed: u64,
    /// Average time between two surges that use up all tokens of all instances, in milliseconds; 0 for
    /// none.
    surge_millis: u64,
    seed: u64,
}

/// Datagram between two instances. `asked_at` is set if the token is direct.
#[derive(Debug, Clone, Copy)]
enum Frame {
    Ask {
        tokens: u32,
        is_prefetch: bool,
        asked_at: Option<u64>,
    },
    Loan {
        tokens: u32,
        asked_at: Option<u64>,
        number: u64,
    },
}

#[derive(Debug)]
struct Waiting {
    instance: usize,
    arrived: u64,
    /// The number of asks so far, of a build without direct tokens.
    asked: u64,
    search: Option<Search>,
    is_within_rate: bool,
}

/// Bucket that all requests share, as if there were one instance.
#[derive(Debug)]
struct Bucket(f64);

#[derive(Debug, Default, Clone, Copy)]
struct Totals {
    within_rate: u32,
    refused: u32,
    asks: u32,
    empty: u32,
    /// The most tokens by which a window exceeded the burst and the rate over the window.
    excess: f64,
}

struct Run {
    scenario: Scenario,
    names: Vec<id::Instance>,
    fractions: Vec<f64>,
    shares: Vec<TokenShare>,
    frames: BTreeMap<(u64, u64), (usize, usize, Frame)>,
    count: u64,
    credited: HashSet<u64>,
    random: u64,
    /// What the admitted requests leave of the burst, refilled at the rate. It is negative exactly if some
    /// window that ends now exceeds the bound.
    meter: f64,
    totals: Totals,
}

impl Run {
    fn new(scenario: Scenario) -> Self {
        let account: id::Account = format!("a{}", scenario.seed).parse().expect("a name");
        let names: Vec<id::Instance> = (0..INSTANCES)
            .map(|index| format!("front-{index}").parse().expect("a name"))
            .collect();
        let part = |own| {
            let size = INSTANCES as u32;
            holder_fraction(&account, scenario.bounds, own, &names, size, 1.0)
        };
        Self {
            fractions: names.iter().map(part).collect(),
            names,
            shares: vec![TokenShare::new(at(0)); INSTANCES],
            frames: BTreeMap::new(),
            count: 0,
            credited: HashSet::new(),
            random: scenario.seed,
            meter: scenario.bounds.burst,
            totals: Totals::default(),
            scenario,
        }
    }

    fn next(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    /// Returns the share of an instance, refilled up to `now`.
    fn share(&mut self, index: usize, now: u64) -> &mut TokenShare {
        let share = &mut self.shares[index];
        share.refill(self.scenario.bounds, self.fractions[index], at(now));
        share
    }

    fn is_old(&self, instance: usize) -> bool {
        let every = self.scenario.old_every;
        every > 0 && instance.is_multiple_of(every)
    }

    fn holders(&self, own: usize) -> Vec<usize> {
        let others = (0..INSTANCES).filter(|other| *other != own);
        others
            .filter(|other| self.fractions[*other] > 0.0)
            .collect()
    }

    /// Sends a datagram. The instances with even and odd numbers are two regions.
    fn send(&mut self, now: u64, from: usize, to: usize, frame: Frame) {
        let (Frame::Ask { asked_at, .. } | Frame::Loan { asked_at, .. }) = frame;
        let disturbed = self.scenario.disturbed;
        let copies = 1 + u32::from(self.next(1_000) < disturbed);
        for _ in 0..copies {
            if self.next(1_000) < self.scenario.lost {
                continue;
            }
            let mut trip = if from % 2 == to % 2 { 1 } else { 36 };
            if self.next(1_000) < disturbed {
                // A loan that is not direct holds the bound only up to the maximum trip.
                trip += self.next(if asked_at.is_some() { 2_000 } else { 200 });
            }
            self.count += 1;
            self.frames
                .insert((now + trip, self.count), (from, to, frame));
        }
    }

    fn receive(&mut self, now: u64, from: usize, to: usize, frame: Frame) {
        match frame {
            Frame::Ask {
                tokens,
                is_prefetch,
                asked_at,
            } => {
                let asked_at = asked_at.filter(|_| !self.is_old(to));
                let (bounds, fraction) = (self.scenario.bounds, self.fractions[to]);
                let share = self.share(to, now);
                let lent = match asked_at {
                    Some(_) => share.lend_direct(tokens),
                    None => share.lend(tokens, bounds, fraction),
                };
                if is_prefetch && lent == 0 {
                    return;
                }
                self.totals.empty += u32::from(lent == 0);
                self.count += 1;
                let number = self.count;
                self.send(
                    now,
                    to,
                    from,
                    Frame::Loan {
                        tokens: lent,
                        asked_at,
                        number,
                    },
                );
            }
            Frame::Loan { number, .. } if !self.credited.insert(number) => {}
            Frame::Loan {
                tokens, asked_at, ..
            } => {
                let (is_old, from) = (self.is_old(to), self.names[from].clone());
                let share = self.share(to, now);
                match asked_at {
                    Some(asked_at) => share.credit_direct(tokens, at(asked_at), at(now)),
                    None if tokens == 0 && !is_old => {}
                    None => share.credit_loan(tokens, at(now)),
                }
                share.record_reply(from, tokens == 0, at(now));
            }
        }
    }

    fn admit(&mut self) {
        self.meter -= 1.0;
        self.totals.excess = self.totals.excess.max(-self.meter);
    }

    /// Lets a request wait one more millisecond. Returns whether it goes on waiting.
    fn wait(&mut self, now: u64, waiting: &mut Waiting) -> bool {
        let own = waiting.instance;
        if self.share(own, now).take_counted_token() {
            self.admit();
            return false;
        }
        let ask = |asked_at| Frame::Ask {
            tokens: 1,
            is_prefetch: false,
            asked_at,
        };
        let waited = now - waiting.arrived;
        let share = &mut self.shares[own];
        let is_refused = match &mut waiting.search {
            Some(search) => match search.next_step(share, at(now)) {
                Step::Ask(holder) => {
                    let holder = self.names.iter().position(|name| *name == holder);
                    self.totals.asks += 1;
                    self.send(now, own, holder.expect("a name"), ask(Some(now)));
                    false
                }
                Step::Wait(_) => false,
                Step::Refuse(_) => true,
            },
            None if waited >= 180 => {
                share.record_failed_wait(at(now));
                true
            }
            None if !share.may_borrow(at(now)) => true,
            None => {
                let holders = self.holders(own);
                if waiting.asked < 2 && waited >= waiting.asked * 90 && !holders.is_empty() {
                    waiting.asked += 1;
                    self.totals.asks += 1;
                    let holder = holders[self.next(holders.len() as u64) as usize];
                    self.send(now, own, holder, ask(None));
                }
                holders.is_empty()
            }
        };
        let counts = is_refused && waiting.is_within_rate && now >= WARM_UP_MILLIS;
        self.totals.refused += u32::from(counts);
        !is_refused
    }

    /// Returns the request that arrives at a random instance, unless it finds a token.
    fn arrive(&mut self, now: u64, bucket: &mut Bucket) -> Option<Waiting> {
        let is_within_rate = bucket.0 >= 1.0;
        bucket.0 -= f64::from(u8::from(is_within_rate));
        self.totals.within_rate += u32::from(is_within_rate && now >= WARM_UP_MILLIS);
        let own = self.next(INSTANCES as u64) as usize;
        if self.share(own, now).take_token() {
            self.admit();
            return None;
        }
        let mut holders = self.holders(own);
        for index in 1..holders.len() {
            let other = self.next(index as u64 + 1) as usize;
            holders.swap(index, other);
        }
        let mut location = location("west");
        location.instance_regions = (0..INSTANCES)
            .map(|other| {
                let region = if other % 2 == own % 2 { "west" } else { "east" };
                (self.names[other].clone(), region.parse().expect("a name"))
            })
            .collect();
        let holders = holders.into_iter().map(|index| self.names[index].clone());
        let search = Search::new(holders.collect(), &location, at(now + 180));
        Some(Waiting {
            instance: own,
            arrived: now,
            asked: 0,
            search: Some(search).filter(|_| !self.is_old(own)),
            is_within_rate,
        })
    }

    fn prefetch(&mut self, now: u64) {
        for own in 0..INSTANCES {
            let (bounds, fraction) = (self.scenario.bounds, self.fractions[own]);
            let wanted = self.share(own, now).wanted_tokens(bounds, fraction);
            let holders = self.holders(own);
            let first = self.next(INSTANCES as u64) as usize;
            for (index, tokens) in divide_request(wanted, holders.len())
                .into_iter()
                .enumerate()
            {
                let holder = holders[(first + index) % holders.len()];
                let frame = Frame::Ask {
                    tokens,
                    is_prefetch: true,
                    asked_at: None,
                };
                self.send(now, own, holder, frame);
            }
        }
    }

    fn play(mut self) -> Totals {
        let bounds = self.scenario.bounds;
        let mut bucket = Bucket(0.0);
        let mut waiting: Vec<Waiting> = Vec::new();
        for now in 0..self.scenario.seconds * 1_000 {
            bucket.0 = (bucket.0 + bounds.rate / 1_000.0).min(bounds.burst);
            self.meter = (self.meter + bounds.rate / 1_000.0).min(bounds.burst);
            while let Some(entry) = self.frames.first_entry().filter(|e| e.key().0 <= now) {
                let (from, to, frame) = entry.remove();
                self.receive(now, from, to, frame);
            }
            if now % TICK_MILLIS == 0 {
                self.prefetch(now);
            }
            let surge_millis = self.scenario.surge_millis;
            if surge_millis > 0 && self.next(surge_millis) == 0 {
                for own in 0..INSTANCES {
                    while self.share(own, now).take_counted_token() {
                        self.admit();
                    }
                }
            }
            if (self.next(1_000_000) as f64) < self.scenario.per_second * 1_000.0 {
                waiting.extend(self.arrive(now, &mut bucket));
            }
            waiting.retain_mut(|one| self.wait(now, one));
        }
        self.totals
    }
}

/// Returns the totals of 86 accounts with rates of 5 to 200 requests a second at 0.6 to 0.8 of them.
fn play_accounts(old_every: usize) -> Totals {
    let mut totals = Totals::default();
    for index in 0..86u64 {
        let rate = (5.0 * 40f64.powf(index as f64 / 85.0)).round();
        let scenario = Scenario {
            bounds: Bounds { rate, burst: rate },
            per_second: rate * (0.6 + 0.1 * (index % 3) as f64),
            seconds: 6,
            old_every,
            lost: 10,
            disturbed: 0,
            surge_millis: 0,
            seed: index + 1,
        };
        let run = Run::new(scenario).play();
        totals.within_rate += run.within_rate;
        totals.refused += run.refused;
        totals.asks += run.asks;
        totals.empty += run.empty;
        totals.excess = totals.excess.max(run.excess);
    }
    totals
}

/// If a token for a waiting request were lent like one asked for ahead of requests, small accounts would
/// be refused within their rates.
#[test]
fn small_accounts_within_their_rates_are_hardly_refused() {
    let (before, after) = (play_accounts(1), play_accounts(0));
    println!("before: {before:?}\nafter: {after:?}");
    let fraction = |totals: Totals| f64::from(totals.refused) / f64::from(totals.within_rate);
    println!("{:.4} {:.4}", fraction(before), fraction(after));
    assert!(fraction(after) < 0.02, "{after:?}");
    assert!(
        fraction(after) < 0.3 * fraction(before),
        "{before:?} {after:?}"
    );
}

/// A request with little time asks few holders, so its failure must not refuse other requests.
#[test]
fn search_with_little_time_does_not_pause_others() {
    let [near, far]: [id::Instance; 2] = ["near", "far"].map(|name| name.parse().expect("a name"));
    let mut location = location("west");
    for (name, region) in [(&near, "west"), (&far, "east")] {
        let region = region.parse().expect("a name");
        location.instance_regions.insert(name.clone(), region);
    }
    for (millis, is_paused) in [(40, false), (180, true)] {
        let mut share = TokenShare::new(at(0));
        let mut search = Search::new(vec![far.clone(), near.clone()], &location, at(millis));
        assert_eq!(search.next_step(&mut share, at(0)), Step::Ask(near.clone()));
        share.record_reply(near.clone(), true, at(2));
        if is_paused {
            assert_eq!(search.next_step(&mut share, at(2)), Step::Ask(far.clone()));
            share.record_reply(far.clone(), true, at(74));
        }
        let step = search.next_step(&mut share, at(74));
        assert!(matches!(step, Step::Refuse(_)), "{step:?}");
        assert_eq!(!share.may_borrow(at(75)), is_paused);
    }
}

quickcheck! {
    /// If a direct token counted longer at the borrower than at the lender, both could admit a request
    /// for it.
    fn no_window_exceeds_burst_and_rate(size: u8, load: u8, old_every: u8, seed: u64) -> bool {
        // Parts of exactly 6 tokens, so that no fraction of a token is left over.
        let burst = [6.0, 12.0, 24.0][usize::from(size) % 3];
        let rate = burst * f64::from(1 + size % 4);
        let scenario = Scenario {
            bounds: Bounds { rate, burst },
            per_second: rate * f64::from(1 + load % 12) / 10.0,
            seconds: 8,
            old_every: usize::from(old_every % 4),
            lost: 50,
            disturbed: 200,
            surge_millis: 700,
            seed,
        };
        Run::new(scenario).play().excess < 1e-6
    }
}
