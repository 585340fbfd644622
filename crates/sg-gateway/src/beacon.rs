//! The beacons by which instances announce their state to each other.

use std::{net::SocketAddr, sync::atomic::Ordering};

use sg_mesh::{
    frame::{Beacon, Frame, Location, RateStatement, Retained},
    members::Member,
};
use sg_place::rate_limit;
use sg_proxy::planning::InstanceLoad;
use sg_store::{Store, version::Era};
use sg_types::prelude::*;

use crate::{Interpreter, Protocol, daemon::Context, digests, following, registry, slots};

/// The least interval between two beacons of an instance.
const BEACON_INTERVAL: Span = Span::from_millis(400);
/// The number of receivers of a beacon from which the interval grows with them.
const BEACON_FLEET: f64 = 10.0;
/// The largest factor by which the interval grows. Several beacons still fit into the time after which a
/// silent instance counts as gone.
const MAX_BEACON_FACTOR: f64 = 2.0;
/// The time without a beacon after which an instance is removed from the members.
const MEMBER_RETENTION: Span = Span::from_secs(60);

/// The number of intervals after which a beacon also goes to instances that were not heard of lately.
const INTERVALS_PER_DISCOVERY: u32 = 4;

/// Returns the interval between two beacons in the current fleet.
pub(crate) fn interval<D, I, S>(context: &Context<D, I, S>, now: Instant) -> Span {
    let members = context.members.lock();
    let receivers = members
        .alive(now)
        .filter(|member| needs_beacon(context, member));
    let receivers = receivers.count() as f64;
    BEACON_INTERVAL.mul_f64((receivers / BEACON_FLEET).clamp(1.0, MAX_BEACON_FACTOR))
}

/// Returns whether this instance's beacons go to `member`. Instances of other failure domains get them in
/// digests, unless they are of a release that doesn't read digests.
fn needs_beacon<D, I, S>(context: &Context<D, I, S>, member: &Member) -> bool {
    !member.beacon.takes_digests || member.beacon.location.domain == context.settings.domain
}

/// Rounds a number of slots to hundredths.
fn round_slots(slots: f64) -> f64 {
    (slots * 100.0).round() / 100.0
}

/// Sends this instance's beacon to the other instances.
pub(crate) fn send<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    load: InstanceLoad,
    now: Instant,
) {
    let other_addresses = context.members.lock().other_addresses(now);
    let last_changes = context.replica.last_changes();
    let positions = context.replica.positions();
    let has_eras = context.replica.era() > Era::default();
    let eras = positions.iter().filter(|_| has_eras);
    let demand = load.demand.into_iter();
    let demand = demand.map(|(service, slots)| (service, round_slots(slots)));
    let bound = load.bound.into_iter();
    let bound = bound.map(|(service, region, slots)| (service, region, round_slots(slots)));
    let bound = bound.filter(|(.., slots)| *slots > 0.0);
    let takes_slots = context.slots.takes_part();
    let memory_mb = context.settings.limits.memory_mb.unwrap_or(0);
    let beacon = Beacon {
        instance: context.settings.instance.clone(),
        incarnation: context.incarnation,
        location: Location {
            domain: context.settings.domain.clone(),
            region: context.settings.region.clone(),
            caller_address: context.settings.serve,
            mesh_address: context.settings.mesh_address(),
        },
        ready: context.is_ready(),
        leaving: context.core.is_draining(),
        cut_off: context.core.is_cut_off(),
        eras: eras.map(|position| position.era().get()).collect(),
        positions: positions
            .iter()
            .map(|position| position.revision())
            .collect(),
        changed: last_changes
            .iter()
            .map(|version| version.revision())
            .collect(),
        retained: retained(context),
        follows: following::reaches_store(context, now),
        takes_digests: true,
        takes_slots,
        memory_mb: if takes_slots { memory_mb } else { 0 },
        demand: demand.collect(),
        bound: bound.collect(),
        wanted_tokens: Vec::new(),
        other_addresses,
        rate_statements: rate_statements(context),
    };
    *context.digests.own_beacon.lock() = Some((beacon.clone(), now));
    let number = context.digests.beacon_count.fetch_add(1, Ordering::Relaxed);
    let discovers = number.is_multiple_of(INTERVALS_PER_DISCOVERY);
    let addresses = match digests::is_settling(now) {
        true => addresses(context, now),
        false => receivers(context, discovers, now),
    };
    let frame = Frame::Beacon(Box::new(beacon));
    context.gossip.send(&frame, addresses);
    digests::send(context, now);
}

/// Returns the addresses that this instance's beacon is sent to, with those of instances that were not
/// heard of lately if `discovers`.
fn receivers<D, I, S>(
    context: &Context<D, I, S>,
    discovers: bool,
    now: Instant,
) -> IndexSet<SocketAddr> {
    let all = addresses(context, now);
    let members = context.members.lock();
    let alive: IndexMap<SocketAddr, bool> = members
        .alive(now)
        .map(|member| {
            (
                member.beacon.location.mesh_address,
                needs_beacon(context, member),
            )
        })
        .collect();
    let is_receiver = |address: &SocketAddr| alive.get(address).copied().unwrap_or(discovers);
    all.into_iter().filter(is_receiver).collect()
}

/// Records a beacon that was heard at `heard_at`. Returns whether other instances have to know of the
/// change at once.
pub(crate) fn record<D, I, S>(
    context: &Context<D, I, S>,
    beacon: Beacon,
    heard_at: Instant,
    now: Instant,
) -> bool {
    if beacon.instance == context.settings.instance {
        return false;
    }
    apply_to_core(context, &beacon);
    let (incarnation, instance) = (beacon.incarnation, beacon.instance.clone());
    let prefixes_ahead = prefixes_ahead(context, &beacon);
    let mut members = context.members.lock();
    let previous = members.beacon(&instance);
    let is_urgent = previous.is_some_and(|previous| beacon.is_urgent_after(previous));
    let is_newly_cut_off = beacon.cut_off && !previous.is_some_and(|previous| previous.cut_off);
    let is_neighbor = beacon.location.domain == context.settings.domain;
    let is_news = members.record_beacon(beacon, heard_at);
    drop(members);
    if is_newly_cut_off && is_neighbor {
        context.core.record_neighbor_cut();
    }
    if is_news {
        context.core.announce_departures_again();
        log::info!(
            other:% = instance, incarnation = incarnation.get(),
            age_ms = now.since(heard_at).as_millis();
            "instance heard"
        );
    }
    for index in prefixes_ahead {
        context.ahead[index].notify_one();
    }
    if is_urgent {
        slots::update(context, now);
    }
    is_urgent
}

/// Returns the prefixes of which the sender of `beacon` knows a change that this instance doesn't know.
fn prefixes_ahead<D, I, S>(context: &Context<D, I, S>, beacon: &Beacon) -> Vec<usize> {
    let positions = context.replica.positions();
    let positions = positions.iter().enumerate();
    let ahead = positions.filter(|(index, position)| beacon.last_change(*index) > **position);
    ahead.map(|(index, _)| index).collect()
}

/// Returns the addresses of all known instances: live instances, the instances that their beacons
/// name, seeds and registered instances. Removes members that were silent for too long.
pub(crate) fn addresses<D, I, S>(context: &Context<D, I, S>, now: Instant) -> IndexSet<SocketAddr> {
    let mut addresses = IndexSet::new();
    let mut members = context.members.lock();
    members.remove_silent(MEMBER_RETENTION, now);
    for member in members.alive(now) {
        addresses.insert(member.beacon.location.mesh_address);
        addresses.extend(member.beacon.other_addresses.iter().copied());
    }
    drop(members);
    addresses.extend(context.settings.seed_mesh_addresses());
    let registered = registry::registered_instances(context).into_iter();
    addresses.extend(registered.map(|(_, mesh)| mesh));
    addresses.swap_remove(&context.settings.mesh_address());
    addresses
}

/// Applies what the request path needs to know of another instance's beacon.
pub(crate) fn apply_to_core<D, I, S>(context: &Context<D, I, S>, beacon: &Beacon) {
    adopt_rate_statements(context, &beacon.rate_statements);
    if beacon.cut_off {
        context.core.forget_losses(&beacon.instance);
    }
}

/// Returns the versions of what this instance retains of earlier eras of the store.
fn retained<D, I, S>(context: &Context<D, I, S>) -> Vec<Retained> {
    let lasting = context.replica.lasting().into_iter();
    let retained = lasting.map(|(index, versions)| Retained {
        index,
        versions: versions.into(),
    });
    retained.collect()
}

/// Returns what targets stated to this instance lately about the rates that they take.
fn rate_statements<D, I, S>(context: &Context<D, I, S>) -> Vec<RateStatement> {
    let statements = context.core.rate_statements().into_iter();
    statements
        .map(|(target, statement)| RateStatement {
            target,
            rate: statement.rate,
            age_ms: statement.age.as_millis(),
        })
        .collect()
}

/// Adopts what another instance announces about the rates that targets take.
fn adopt_rate_statements<D, I, S>(context: &Context<D, I, S>, announced: &[RateStatement]) {
    for RateStatement {
        target,
        rate,
        age_ms,
    } in announced
    {
        let statement = rate_limit::Statement {
            rate: *rate,
            age: Span::from_millis(*age_ms),
        };
        context.core.adopt_rate_statement(target, statement);
    }
}
