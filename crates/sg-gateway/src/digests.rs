//! The exchange of beacons between failure domains.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use parking_lot::Mutex;
use sg_mesh::{
    digest::{Digest, Heard, Received},
    duty,
    frame::{Beacon, Frame},
};
use sg_types::prelude::*;

use crate::{beacon, daemon::Context};

/// The time after the start in which an instance does no duty: until it has heard its neighbours, it would take
/// every duty for its own. Beacons go to all instances directly then.
const SETTLING_TIME: Span = Span::from_millis(500);

/// The state of the exchange.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The last beacon of this instance, with its time.
    pub own_beacon: Mutex<Option<(Beacon, Instant)>>,
    /// The number of beacons sent so far.
    pub beacon_count: AtomicU32,
    /// The number of digests sent so far.
    sent: AtomicU64,
    received: Mutex<Received>,
    /// Whether a neighbour has told something that other failure domains have to know soon.
    is_requested: AtomicBool,
    /// Whether instances of earlier builds were alive lately.
    has_earlier_builds: AtomicBool,
}

/// Returns whether this instance has just started.
pub(crate) fn is_settling(now: Instant) -> bool {
    now.since(Instant::START) < SETTLING_TIME
}

impl State {
    /// Asks for a digest at the next tick, so that changes of many neighbours at once take one digest.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Relaxed);
    }
}

/// Sends the digest that was asked for since the last tick, if any.
pub(crate) fn send_requested<D, I, S>(context: &Context<D, I, S>, now: Instant) {
    if context.digests.is_requested.swap(false, Ordering::Relaxed) {
        send(context, now);
    }
}

/// Tells when the first instance of an earlier build is heard, and when the last one is gone.
pub(crate) fn report_earlier_builds<D, I, S>(context: &Context<D, I, S>, now: Instant) {
    let count = duty::earlier_builds(&context.members.lock(), now);
    let had = context
        .digests
        .has_earlier_builds
        .swap(count > 0, Ordering::Relaxed);
    if had != (count > 0) {
        log::info!(count; "instances of earlier builds");
    }
}

/// Sends the beacons of this failure domain to the instances that exchange those of the others, if this
/// instance does so for its own one.
pub(crate) fn send<D, I, S>(context: &Context<D, I, S>, now: Instant) {
    if is_settling(now) {
        return;
    }
    let settings = &context.settings;
    let Some((own, own_at)) = context.digests.own_beacon.lock().clone() else {
        return;
    };
    let members = context.members.lock();
    let place = duty::exchange_place(&members, &settings.instance, &settings.domain, now);
    let Some(place) = place else {
        return;
    };
    let alive = members.alive(now);
    let neighbours = alive.filter(|member| member.beacon.location.domain == settings.domain);
    let neighbours = neighbours.map(|member| (member.beacon.clone(), member.last_seen));
    let heard = std::iter::once((own, own_at)).chain(neighbours);
    let heard = heard.map(|(beacon, at)| Heard {
        age_ms: now.since(at).as_millis(),
        beacon: Beacon {
            other_addresses: Vec::new(),
            ..beacon
        },
    });
    let heard: Vec<Heard> = heard.collect();
    let domains = settings
        .domains
        .keys()
        .filter(|domain| **domain != settings.domain);
    let draw = |count| rand::random_range(0..count);
    let receivers = domains.filter_map(|domain| duty::receiver(&members, domain, place, now, draw));
    let receivers = receivers.map(|member| member.beacon.location.mesh_address);
    let receivers: Vec<SocketAddr> = receivers.collect();
    drop(members);
    if receivers.is_empty() {
        return;
    }
    let sent = context.digests.sent.load(Ordering::Relaxed);
    let digests = match Digest::pack(context.incarnation, sent + 1, &heard) {
        Ok(digests) => digests,
        Err(error) => {
            log::warn!(error:% = error; "digest not sent");
            return;
        }
    };
    let sent = sent + digests.len() as u64;
    context.digests.sent.store(sent, Ordering::Relaxed);
    for digest in digests {
        context
            .gossip
            .send(&Frame::Digest(digest), receivers.iter().copied());
    }
}

/// Records the beacons of a digest and passes the digest on in this failure domain.
pub(crate) fn receive<D, I, S>(context: &Context<D, I, S>, digest: &Digest, now: Instant) {
    if digest.sender == context.incarnation || !context.digests.received.lock().record(digest, now)
    {
        return;
    }
    if !digest.is_passed_on {
        let members = context.members.lock();
        let neighbours = members.alive(now).filter(|member| {
            member.beacon.takes_digests && member.beacon.location.domain == context.settings.domain
        });
        let addresses = neighbours.map(|member| member.beacon.location.mesh_address);
        let addresses: Vec<SocketAddr> = addresses.collect();
        drop(members);
        context
            .gossip
            .send(&Frame::Digest(digest.passed_on()), addresses);
    }
    let beacons = match digest.unpack() {
        Ok(beacons) => beacons,
        Err(error) => {
            log::debug!(error:% = error; "digest skipped");
            return;
        }
    };
    for heard in beacons {
        let heard_at = now - Span::from_millis(heard.age_ms);
        beacon::record(context, heard.into_beacon(), heard_at, now);
    }
}
