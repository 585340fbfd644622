//! Simulates a small fleet in virtual time, with a network that loses, delays, duplicates and
//! reorders messages, a store that fails, and clocks that drift apart.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sg_share::{
    Action, Budget, Engine, Event, Message,
    action::StoredClaim,
    budget,
    engine::{Options, Peer},
};
use sg_types::prelude::*;

use crate::{
    check::Check,
    scene::{CallerCounts, Faults, Load, ScheduledJob, Settings, Traffic},
};

pub const MILLI: u64 = 1_000_000;
pub const SEC: u64 = 1_000 * MILLI;

pub struct Node {
    pub engine: Option<Engine>,
    pub name: id::Instance,
    pub incarnation: Incarnation,
    pub rate_ppm: i64,
    offset: u64,
    paused_until: u64,
    backlog: Vec<Job>,
}

impl Node {
    /// Returns the time of the node's own clock at a true time.
    pub fn clock(&self, at: u64) -> Instant {
        let scaled = i128::from(at) * i128::from(1_000_000 + self.rate_ppm) / 1_000_000;
        Instant::from_nanos(scaled as u64 + self.offset)
    }
}

#[derive(Debug, Clone)]
pub enum Job {
    Tick(usize),
    Deliver(usize, Incarnation, Box<Event>),
    StoreCall(usize, Incarnation, Box<Action>, Instant),
    Arrival(usize),
    Retry(usize, u64),
}

pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub options: Options,
    pub check: Check,
    pub loads: Vec<Load>,
    pub callers: CallerCounts,
    pub store: IndexMap<Slot, StoredClaim>,
    pub sent: Vec<Traffic>,
    version: u64,
    order: u64,
    queue: BinaryHeap<Reverse<ScheduledJob>>,
    pub rng: StdRng,
    pub settings: Settings,
}

pub fn account(name: &str) -> budget::Id {
    budget::Id::Account(id::Account::new(name).expect("a name"))
}

pub fn budgets(rate: u64, burst: u32) -> IndexMap<budget::Id, Budget> {
    let budget = Budget {
        rate: Rate::per_second(rate),
        burst,
    };
    [(account("a"), budget)].into_iter().collect()
}

impl World {
    /// Creates `nodes` nodes and `slots` slots. The clocks run 1% fast on even nodes and 1% slow on
    /// odd ones.
    pub fn new(
        seed: u64,
        nodes: usize,
        slots: u32,
        budgets: IndexMap<budget::Id, Budget>,
        options: Options,
    ) -> Self {
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            faults: Faults::default(),
            options,
            check: Check::new(&budgets),
            loads: Vec::new(),
            callers: CallerCounts::default(),
            store: IndexMap::new(),
            sent: vec![Traffic::default(); nodes],
            version: 0,
            order: 0,
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            settings: Settings {
                revision: Revision::new(1),
                slots,
                budgets,
            },
        };
        for index in 0..nodes {
            let name = id::Instance::new(format!("entry-{index}")).expect("a name");
            world.nodes.push(Node {
                engine: None,
                name,
                incarnation: Incarnation::default(),
                rate_ppm: if index % 2 == 0 { 10_000 } else { -10_000 },
                offset: 0,
                paused_until: 0,
                backlog: Vec::new(),
            });
            world.start(index);
            world.push(MILLI * index as u64, Job::Tick(index));
        }
        world
    }

    fn push(&mut self, after: u64, job: Job) {
        self.order += 1;
        let due = ScheduledJob(self.now + after, self.order, job);
        self.queue.push(Reverse(due));
    }

    /// Starts a new incarnation of a node.
    pub fn start(&mut self, index: usize) {
        let incarnation = Incarnation::new(self.rng.random());
        let node = &mut self.nodes[index];
        node.incarnation = incarnation;
        node.offset = self.rng.random_range(0..1_000 * SEC);
        node.paused_until = 0;
        node.backlog.clear();
        let now = node.clock(self.now);
        let mut engine = Engine::new(node.name.clone(), incarnation, self.options.clone(), now);
        let Settings {
            revision,
            slots,
            budgets,
        } = self.settings.clone();
        engine.configure(revision, slots, budgets, now);
        node.engine = Some(engine);
        self.update_peers();
    }

    /// Reports the running nodes to all engines.
    pub fn update_peers(&mut self) {
        let peers: Vec<_> = self
            .nodes
            .iter()
            .filter(|node| node.engine.is_some())
            .map(|node| Peer {
                instance: node.name.clone(),
                incarnation: node.incarnation,
            })
            .collect();
        for node in &mut self.nodes {
            let now = node.clock(self.now);
            if let Some(engine) = &mut node.engine {
                engine.set_peers(peers.clone(), now);
            }
        }
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].engine = None;
    }

    pub fn pause(&mut self, index: usize, span: u64) {
        self.nodes[index].paused_until = self.now + span;
    }

    /// Records new settings. A node learns of them through [`Self::apply_settings`].
    pub fn configure(&mut self, slots: u32, budgets: IndexMap<budget::Id, Budget>) {
        self.check.configure(&budgets, self.now);
        self.settings = Settings {
            revision: self.settings.revision.next(),
            slots,
            budgets,
        };
    }

    /// Applies the newest settings on one node.
    pub fn apply_settings(&mut self, index: usize) {
        let Settings {
            revision,
            slots,
            budgets,
        } = self.settings.clone();
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        if let Some(engine) = &mut node.engine {
            engine.configure(revision, slots, budgets, now);
        }
    }

    pub fn load(&mut self, node: usize, id: budget::Id, per_second: f64, patience: u64) {
        self.loads.push(Load {
            node,
            id,
            per_second,
            patience,
        });
        self.push(0, Job::Arrival(self.loads.len() - 1));
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.0 > end {
                break;
            }
            let Some(Reverse(ScheduledJob(at, _, job))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.step(job);
        }
        self.now = end;
    }

    fn step(&mut self, job: Job) {
        match job {
            Job::Tick(index) => {
                self.push(self.options.interval.as_nanos(), Job::Tick(index));
                self.check.check_shares(&self.nodes, self.now);
                self.deliver_backlog(index);
                if self.is_awake(index) {
                    self.run_engine(index, Engine::tick);
                }
            }
            Job::Deliver(index, incarnation, ref event) => {
                if self.nodes[index].incarnation != incarnation && !is_message(event) {
                    return;
                }
                if self.now < self.nodes[index].paused_until {
                    self.nodes[index].backlog.push(job);
                    return;
                }
                self.run_engine(index, |engine, now| engine.handle(*event.clone(), now));
            }
            Job::StoreCall(index, run, action, sent) => self.call_store(index, run, *action, sent),
            Job::Arrival(load) => self.handle_arrival(load),
            Job::Retry(load, since) => self.take(load, since),
        }
    }

    fn is_awake(&self, index: usize) -> bool {
        self.nodes[index].engine.is_some() && self.now >= self.nodes[index].paused_until
    }

    /// Delivers the messages that arrived while a node was paused.
    fn deliver_backlog(&mut self, index: usize) {
        if self.is_awake(index) {
            for job in std::mem::take(&mut self.nodes[index].backlog) {
                self.step(job);
            }
        }
    }

    pub fn run_engine(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Engine, Instant) -> Vec<Action>,
    ) {
        let node = &mut self.nodes[index];
        let now = node.clock(self.now);
        let run = node.incarnation;
        let Some(engine) = &mut node.engine else {
            return;
        };
        for action in act(engine, now) {
            match action {
                Action::Send { to, message } => self.send(index, run, &to, &message),
                call => {
                    let delay = self
                        .rng
                        .random_range(self.faults.delay.0..=self.faults.delay.1);
                    self.push(delay, Job::StoreCall(index, run, Box::new(call), now));
                }
            }
        }
    }

    fn send(&mut self, from: usize, run: Incarnation, to: &id::Instance, message: &Message) {
        let text = serde_json::to_string(message).expect("a message is JSON");
        let message: Message = serde_json::from_str(&text).expect("JSON is a message");
        let traffic = &mut self.sent[from];
        traffic.messages += 1;
        traffic.bytes += text.len() as u64;
        traffic.to.insert(to.clone());
        let Some(target) = self.nodes.iter().position(|node| node.name == *to) else {
            return;
        };
        let side = |node: usize| self.faults.sides.get(&node).copied().unwrap_or(0);
        if side(from) != side(target) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let mut delay = self
                .rng
                .random_range(self.faults.delay.0..=self.faults.delay.1);
            if let Some(extra) = self
                .faults
                .extra_delay
                .filter(|extra| (extra.kind)(&message))
            {
                delay += extra.span;
            }
            let event = Event::Message {
                from: self.nodes[from].name.clone(),
                incarnation: run,
                message: message.clone(),
            };
            let target_incarnation = self.nodes[target].incarnation;
            self.push(
                delay,
                Job::Deliver(target, target_incarnation, Box::new(event)),
            );
        }
    }

    /// Executes a call in the store and sends the answer back.
    fn call_store(&mut self, index: usize, run: Incarnation, action: Action, sent: Instant) {
        let side = self.faults.sides.get(&index).copied().unwrap_or(0);
        if self.faults.store_down || self.faults.store_unreachable_from == Some(side) {
            return;
        }
        let mut event = match action {
            Action::ReadClaims => Event::Claims {
                sent,
                claims: self.store.values().cloned().collect(),
            },
            Action::WriteClaim { claim, expect } => {
                let slot = claim.slot;
                if self.store.get(&slot).map(|stored| stored.version) == expect {
                    self.version += 1;
                    let version = self.version;
                    let stored = StoredClaim {
                        claim: claim.clone(),
                        version,
                    };
                    self.store.insert(slot, stored);
                    Event::Written {
                        sent,
                        claim,
                        version,
                    }
                } else {
                    Event::NotWritten { slot }
                }
            }
            Action::Send { .. } => return,
        };
        if self.rng.random_bool(self.faults.answer_loss) {
            match event {
                Event::Written { claim, .. } => event = Event::NotWritten { slot: claim.slot },
                _ => return,
            }
        }
        let delay = self
            .rng
            .random_range(self.faults.delay.0..=self.faults.delay.1);
        self.push(delay, Job::Deliver(index, run, Box::new(event)));
    }

    fn handle_arrival(&mut self, load: usize) {
        let rate = self.loads[load].per_second;
        if rate > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            self.push((gap * SEC as f64) as u64, Job::Arrival(load));
            self.callers.asked += 1;
            self.take(load, self.now);
        }
    }

    fn take(&mut self, load: usize, since: u64) {
        const RETRY: u64 = 10 * MILLI;
        let Load {
            node, id, patience, ..
        } = self.loads[load].clone();
        if !self.is_awake(node) {
            return;
        }
        let now = self.nodes[node].clock(self.now);
        let Some(engine) = &mut self.nodes[node].engine else {
            return;
        };
        match engine.take(&id, 1, now) {
            Ok(()) => self.check.admit(&id, 1, self.now),
            Err(exhausted) => {
                let left = (since + patience).saturating_sub(self.now);
                let soon = exhausted.may_borrow || exhausted.retry_after.as_nanos() < left;
                self.run_engine(node, Engine::poll);
                if left >= RETRY && soon {
                    self.push(RETRY, Job::Retry(load, since));
                } else {
                    self.callers.refused += 1;
                }
            }
        }
    }

    /// Returns the units admitted by all running nodes.
    pub fn admitted(&self) -> u64 {
        let engines = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        engines
            .map(|engine| engine.report().counters.admitted)
            .sum()
    }

    pub fn slots_in_use(&self) -> IndexSet<Slot> {
        let mut slots = IndexSet::new();
        for node in &self.nodes {
            let now = node.clock(self.now);
            let engine = node.engine.iter();
            slots.extend(engine.flat_map(|engine| engine.slots_in_use(now)));
        }
        slots
    }

    /// Returns the fraction of callers that were refused since the last call.
    pub fn take_refused_fraction(&mut self) -> f64 {
        let callers = std::mem::take(&mut self.callers);
        callers.refused as f64 / callers.asked.max(1) as f64
    }
}

fn is_message(event: &Event) -> bool {
    matches!(event, Event::Message { .. })
}
