//! Assigns the slots of the services that this instance dispatches, and carries messages about slots.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};

use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};
use sg_dispatch::{
    Decision, Group,
    duty::{self, Candidate},
    estimates::Estimates,
    exchange::{Message, ServiceKey},
    room::Bounds,
};
use sg_mesh::{
    members::Member,
    slots::{Packet, Writer},
};
use sg_proxy::slots::{Link, Post};
use sg_types::prelude::*;

use crate::daemon::Context;

/// Interval at which groups handle leases and waits whose time is over, a fraction of the shortest work.
const TICK_INTERVAL: Span = Span::from_millis(100);
/// Time after the start in which an instance does not dispatch, because it has not heard all others yet. Beacons
/// of other failure domains come in digests, up to about a second apart.
const SETTLING_TIME: Span = Span::from_millis(1_000);
/// Time without a beacon after which an instance does not dispatch for others any more. It spans two beacon
/// intervals of a large fleet, so that a lost beacon moves no service.
const SILENCE_TIMEOUT: Span = Span::from_millis(2_000);
/// Time without a message after which an instance that is not the dispatcher of a service forgets the group.
const GROUP_RETENTION: Span = Span::from_secs(3);
/// Bounds of the requests that wait for a slot of a service. A waiting request takes about half a KiB.
const WAITING_BOUNDS: Bounds = Bounds {
    requests: 4_096,
    bytes: Bytes::new(2 << 20),
    time: Span::from_secs(20),
};

/// The state of the assignment of slots.
#[derive(Debug)]
pub(crate) struct State {
    /// Whether this instance may dispatch.
    takes_part: AtomicBool,
    dispatch: Mutex<Dispatch>,
    metrics: Metrics,
}

/// The groups that this instance assigns slots for.
#[derive(Debug, Default)]
struct Dispatch {
    desks: IndexMap<ServiceKey, Desk>,
    /// The addresses of asking instances, and when each sent its last message.
    senders: IndexMap<Incarnation, (SocketAddr, Instant)>,
}

/// The group of a service.
#[derive(Debug)]
struct Desk {
    service: id::Service,
    group: Group,
    estimates: Estimates,
    /// Whether this instance is the dispatcher by its own view. Other instances may see another one for a moment,
    /// so that this one answers anyway.
    is_named: bool,
    has_targets: bool,
    last_used: Instant,
}

#[derive(Debug)]
struct Metrics {
    decisions: IntCounterVec,
    dispatching: IntGaugeVec,
    leases: IntGaugeVec,
    waiting: IntGaugeVec,
}

impl Metrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauges = |name: &str, help: &str| IntGaugeVec::new(Opts::new(name, help), &["service"]);
        let metrics = Self {
            decisions: IntCounterVec::new(
                Opts::new(
                    "sg_slot_decisions_total",
                    "Decisions of this instance as a dispatcher.",
                ),
                &["service", "decision"],
            )?,
            dispatching: gauges(
                "sg_slot_dispatching",
                "Whether this instance dispatches the service.",
            )?,
            leases: gauges("sg_slot_leases", "Slots in use by granted requests.")?,
            waiting: gauges("sg_slot_waiting", "Requests that wait for a slot.")?,
        };
        registry.register(Box::new(metrics.decisions.clone()))?;
        for gauge in [&metrics.dispatching, &metrics.leases, &metrics.waiting] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(metrics)
    }

    fn record(&self, service: &id::Service, decision: &Decision) {
        let label = match decision {
            Decision::Grant { .. } => "grant",
            Decision::Wait { .. } => "wait",
            Decision::Reject { .. } => "reject",
        };
        let labels = [service.as_str(), label];
        self.decisions.with_label_values(&labels).inc();
    }
}

impl State {
    /// Creates the state of an instance that takes no part, and registers its metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            takes_part: AtomicBool::new(false),
            dispatch: Mutex::default(),
            metrics: Metrics::register(registry)?,
        })
    }

    /// Returns whether this instance may dispatch.
    pub fn takes_part(&self) -> bool {
        self.takes_part.load(Ordering::Relaxed)
    }

    fn has_groups(&self) -> bool {
        !self.dispatch.lock().desks.is_empty()
    }
}

/// Delivers messages, and handles in time what is over in the groups of this instance.
pub(crate) async fn run<D: Send + Sync + 'static, I, S>(context: Arc<Context<D, I, S>>) {
    let mut posts = Vec::new();
    let mut ticks = context.timer.every(TICK_INTERVAL);
    loop {
        tokio::select! {
            () = context.core.slots.wait_for_posts() => deliver(&context, &mut posts),
            tick = ticks.tick(), if context.slots.has_groups() => tick_groups(&context, tick.now),
        }
    }
}

/// Delivers all messages, those for one receiver in as few datagrams as possible.
fn deliver<D, I, S>(context: &Context<D, I, S>, posts: &mut Vec<Post>) {
    let mut writers: IndexMap<(SocketAddr, Incarnation), Writer> = IndexMap::new();
    loop {
        context.core.slots.take_posts(posts);
        if posts.is_empty() {
            break;
        }
        let now = context.timer.now();
        for post in posts.drain(..) {
            let Link::Remote(address) = post.to else {
                handle(context, post.service, post.message, Link::Local, now);
                continue;
            };
            let asking = post.message.ticket().sender;
            let writer = writers
                .entry((address, asking))
                .or_insert_with(|| Writer::new(asking));
            if let Some(full) = writer.push(post.service, &post.message) {
                context.gossip.send_bytes(&full, address);
            }
        }
    }
    for ((address, _), writer) in writers {
        context.gossip.send_bytes(&writer.finish(), address);
    }
}

/// Handles the messages of a datagram that arrived from the address `from`.
pub(crate) fn receive<D, I, S>(
    context: &Context<D, I, S>,
    packet: Packet,
    from: SocketAddr,
    now: Instant,
) {
    for (service, message) in packet.messages {
        handle(context, service, message, Link::Remote(from), now);
    }
}

fn handle<D, I, S>(
    context: &Context<D, I, S>,
    service: ServiceKey,
    message: Message,
    from: Link,
    now: Instant,
) {
    let ticket = message.ticket();
    if let Message::Decision(decision) = message {
        context.core.slots.handle(service, decision, from, now);
        return;
    }
    let mut dispatch = context.slots.dispatch.lock();
    if let Link::Remote(address) = from {
        dispatch.senders.insert(ticket.sender, (address, now));
    }
    let begins = matches!(message, Message::Ask(_) | Message::Adopt(_));
    if begins && !dispatch.desks.contains_key(&service) {
        let Some(desk) = Desk::open(context, service, now) else {
            return;
        };
        dispatch.desks.insert(service, desk);
    }
    let Some(desk) = dispatch.desks.get_mut(&service) else {
        return;
    };
    desk.last_used = now;
    let decisions = match message {
        // Without targets, nothing is known of the service yet, and the asking instance decides alone.
        Message::Ask(mut ask) if desk.has_targets => {
            desk.estimates.equalize(&mut ask);
            desk.group.ask(ask, now)
        }
        Message::End { end, .. } => desk.group.end(ticket, end, now),
        Message::Cancel { .. } => desk.group.cancel(ticket, now),
        Message::Adopt(lease) => {
            desk.group.adopt([lease], now);
            Vec::new()
        }
        Message::Ask(_) | Message::Decision(_) => Vec::new(),
    };
    let answers = dispatch.address(context, service, decisions);
    drop(dispatch);
    send_answers(context, answers, now);
}

/// Sends decisions to the asking instances. This instance's own ones are handled at once.
fn send_answers<D, I, S>(context: &Context<D, I, S>, answers: Vec<Post>, now: Instant) {
    for answer in answers {
        match (answer.to, answer.message) {
            (Link::Local, Message::Decision(decision)) => {
                let slots = &context.core.slots;
                slots.handle(answer.service, decision, Link::Local, now);
            }
            (to, message) => context.core.slots.post(Post {
                to,
                message,
                ..answer
            }),
        }
    }
}

fn tick_groups<D, I, S>(context: &Context<D, I, S>, now: Instant) {
    let mut answers = Vec::new();
    let mut dispatch = context.slots.dispatch.lock();
    let desks = dispatch.desks.iter_mut();
    let decisions: Vec<_> = desks
        .map(|(key, desk)| (*key, desk.group.tick(now)))
        .collect();
    for (service, decisions) in decisions {
        answers.extend(dispatch.address(context, service, decisions));
    }
    drop(dispatch);
    send_answers(context, answers, now);
}

impl Dispatch {
    /// Returns the decisions with the ways to the instances that asked.
    fn address<D, I, S>(
        &self,
        context: &Context<D, I, S>,
        service: ServiceKey,
        decisions: Vec<Decision>,
    ) -> Vec<Post> {
        let Some(desk) = self.desks.get(&service) else {
            return Vec::new();
        };
        let posts = decisions.into_iter().filter_map(|decision| {
            context.slots.metrics.record(&desk.service, &decision);
            let sender = decision.ticket().sender;
            let to = match sender == context.incarnation {
                true => Link::Local,
                false => Link::Remote(self.senders.get(&sender)?.0),
            };
            Some(Post {
                to,
                service,
                message: Message::Decision(decision),
            })
        });
        posts.collect()
    }
}

impl Dispatch {
    /// Takes back the slots of instances whose run has ended, and returns whom they go to.
    fn remove_gone<D, I, S>(&mut self, context: &Context<D, I, S>, now: Instant) -> Vec<Post> {
        if self.senders.is_empty() {
            return Vec::new();
        }
        let members = context.members.lock();
        let alive = members.alive(now);
        let alive: IndexSet<Incarnation> = alive.map(|member| member.beacon.incarnation).collect();
        drop(members);
        let gone = self.senders.extract_if(.., |run, (_, last)| {
            !alive.contains(run) && now.since(*last) > SILENCE_TIMEOUT
        });
        let gone: Vec<Incarnation> = gone.map(|(run, _)| run).collect();
        let mut answers = Vec::new();
        for run in gone {
            let desks = self.desks.iter_mut();
            let decisions: Vec<_> = desks
                .map(|(key, desk)| (*key, desk.group.leave(run, now)))
                .collect();
            for (service, decisions) in decisions {
                answers.extend(self.address(context, service, decisions));
            }
        }
        answers
    }
}

impl Desk {
    /// Creates a group for the service with the key `key`, if this instance may dispatch it.
    fn open<D, I, S>(context: &Context<D, I, S>, key: ServiceKey, now: Instant) -> Option<Self> {
        if !context.slots.takes_part() {
            return None;
        }
        let catalog = context.core.catalog()?;
        let mut services = catalog.services.keys();
        let service = services.find(|service| ServiceKey::of(service) == key)?;
        let mut desk = Self {
            service: service.clone(),
            group: Group::new(WAITING_BOUNDS, now),
            estimates: Estimates::default(),
            is_named: false,
            has_targets: false,
            last_used: now,
        };
        desk.update_targets(context, now);
        Some(desk)
    }

    fn update_targets<D, I, S>(&mut self, context: &Context<D, I, S>, now: Instant) {
        let targets = context.core.target_views(&self.service);
        self.has_targets = targets.iter().any(|target| target.is_usable);
        self.group.set_targets(targets, now);
    }
}

/// Names the dispatchers of all services anew, and gives the groups of this instance the targets of now.
pub(crate) fn update<D, I, S>(context: &Context<D, I, S>, now: Instant) {
    let catalog = context.core.catalog();
    let catalog = catalog.filter(|catalog| catalog.has_large_responses());
    let takes_part = catalog.is_some()
        && context.is_ready()
        && !context.core.is_cut_off()
        && now.since(Instant::START) >= SETTLING_TIME;
    context
        .slots
        .takes_part
        .store(takes_part, Ordering::Relaxed);
    let mut dispatchers = IndexMap::new();
    if let Some(catalog) = &catalog {
        dispatchers = name_dispatchers(context, catalog.services.keys(), now);
    }
    let mut dispatch = context.slots.dispatch.lock();
    for (service, link) in &dispatchers {
        let key = ServiceKey::of(service);
        if *link == Link::Local
            && !dispatch.desks.contains_key(&key)
            && let Some(desk) = Desk::open(context, key, now)
        {
            dispatch.desks.insert(key, desk);
        }
    }
    dispatch.desks.retain(|_, desk| {
        let is_named = dispatchers.get(&desk.service) == Some(&Link::Local);
        desk.set_named(is_named, &context.slots.metrics);
        let is_used = now.since(desk.last_used) < GROUP_RETENTION;
        is_named || (takes_part && is_used)
    });
    for desk in dispatch.desks.values_mut() {
        desk.update_targets(context, now);
        desk.report(&context.slots.metrics);
    }
    let answers = dispatch.remove_gone(context, now);
    drop(dispatch);
    send_answers(context, answers, now);
    context.core.slots.set_dispatchers(dispatchers, now);
}

impl Desk {
    fn set_named(&mut self, is_named: bool, metrics: &Metrics) {
        if self.is_named == is_named {
            return;
        }
        self.is_named = is_named;
        let gauge = metrics
            .dispatching
            .with_label_values(&[self.service.as_str()]);
        gauge.set(is_named.into());
        if is_named {
            log::info!(service:% = self.service; "dispatching service");
        } else {
            log::info!(
                service:% = self.service, leases = self.group.leases(), waiting = self.group.waiting();
                "no longer dispatching service"
            );
        }
    }

    fn report(&self, metrics: &Metrics) {
        let service = [self.service.as_str()];
        let leases = metrics.leases.with_label_values(&service);
        leases.set(self.group.leases() as i64);
        let waiting = metrics.waiting.with_label_values(&service);
        waiting.set(self.group.waiting() as i64);
    }
}

/// Returns the dispatchers of `services` in the region of this instance.
fn name_dispatchers<'a, D, I, S>(
    context: &Context<D, I, S>,
    services: impl Iterator<Item = &'a id::Service>,
    now: Instant,
) -> IndexMap<id::Service, Link> {
    let settings = &context.settings;
    let members = context.members.lock();
    let alive = members.alive(now).filter(|member| {
        let beacon = &member.beacon;
        beacon.takes_slots
            && beacon.ready
            && !beacon.leaving
            && !beacon.cut_off
            && beacon.location.region == settings.region
            && now.since(member.last_seen) <= SILENCE_TIMEOUT
            && !is_silent(context, member)
    });
    let others = alive.map(|member| {
        let candidate = Candidate {
            instance: &member.beacon.instance,
            memory_mb: member.beacon.memory_mb,
        };
        (candidate, Link::Remote(member.beacon.location.mesh_address))
    });
    let own = context.slots.takes_part().then(|| {
        let candidate = Candidate {
            instance: &settings.instance,
            memory_mb: settings.limits.memory_mb.unwrap_or(0),
        };
        (candidate, Link::Local)
    });
    let (candidates, links): (Vec<Candidate<'_>>, Vec<Link>) = others.chain(own).unzip();
    let named = services.filter_map(|service| {
        let index = duty::dispatcher(service, &settings.region, &candidates)?;
        Some((service.clone(), links[index]))
    });
    named.collect()
}

/// Returns whether `member` left asks unanswered and has sent no beacon since. The next instance then takes over
/// before the beacons are missed.
fn is_silent<D, I, S>(context: &Context<D, I, S>, member: &Member) -> bool {
    let link = Link::Remote(member.beacon.location.mesh_address);
    let silent_at = context.core.slots.silent_at(link);
    silent_at.is_some_and(|at| member.last_seen <= at)
}
