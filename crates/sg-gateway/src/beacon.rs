//! The beacons by which instances announce their state to each other.

use std::net::SocketAddr;

use sg_mesh::frame::{Beacon, Frame, Location, RateStatement};
use sg_place::rate_limit;
use sg_proxy::planning::InstanceLoad;
use sg_store::{Store, version::Era};
use sg_types::prelude::*;

use crate::{Interpreter, Protocol, daemon::Context, registry};

/// The least interval between two beacons of an instance.
const BEACON_INTERVAL: Span = Span::from_millis(400);
/// The number of instances from which the interval grows with the fleet, because a beacon goes to every
/// instance.
const BEACON_FLEET: f64 = 10.0;
/// The largest factor by which the interval grows. Several beacons still fit into the time after which a
/// silent instance counts as gone.
const MAX_BEACON_FACTOR: f64 = 2.0;
/// The time without a beacon after which an instance is removed from the members.
const MEMBER_RETENTION: Span = Span::from_secs(60);

/// Returns the interval between two beacons in the current fleet.
pub(crate) fn interval<D, I, S>(context: &Context<D, I, S>, now: Instant) -> Span {
    let others = context.members.lock().alive(now).count() as f64;
    BEACON_INTERVAL.mul_f64((others / BEACON_FLEET).clamp(1.0, MAX_BEACON_FACTOR))
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
    let positions = context.replica.positions();
    let has_eras = context.replica.era() > Era::default();
    let eras = positions.iter().filter(|_| has_eras);
    let demand = load.demand.into_iter();
    let demand = demand.map(|(service, slots)| (service, round_slots(slots)));
    let bound = load.bound.into_iter();
    let bound = bound.map(|(service, region, slots)| (service, region, round_slots(slots)));
    let bound = bound.filter(|(.., slots)| *slots > 0.0);
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
        demand: demand.collect(),
        bound: bound.collect(),
        wanted_tokens: Vec::new(),
        other_addresses,
        rate_statements: rate_statements(context),
    };
    let addresses = addresses(context, now);
    let frame = Frame::Beacon(Box::new(beacon));
    context.gossip.send(&frame, addresses);
}

/// Returns the addresses that beacons are sent to: live instances, the instances that their beacons
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
