//! Tracks the other instances: those that sent a beacon lately and those registered in the store.

use std::net::SocketAddr;

use sg_types::prelude::*;

use crate::frame::Beacon;

/// The time without a beacon after which an instance is considered gone. It spans several beacon
/// intervals, because a few beacons may be lost.
pub const SILENCE_TIMEOUT: Span = Span::from_millis(2_500);
/// The time for which the old fleet size stays in use after the fleet has shrunk, so that an instance's
/// share of a budget grows late and shrinks at once.
const FLEET_SHRINK_DELAY: Span = Span::from_secs(10);
/// The largest number of other instances' addresses in a beacon.
const MAX_OTHERS: usize = 6;

/// Another instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The instance's latest beacon.
    pub beacon: Beacon,
    /// The time at which the latest beacon arrived.
    pub last_seen: Instant,
    /// The highest loan number that was credited.
    last_loan: u64,
}

impl Member {
    /// Returns whether the instance sent a beacon within [`SILENCE_TIMEOUT`].
    fn is_alive(&self, now: Instant) -> bool {
        now.since(self.last_seen) <= SILENCE_TIMEOUT
    }
}

/// The other instances, by name.
#[derive(Debug, Clone, Default)]
pub struct Members {
    by_name: IndexMap<id::Instance, Member>,
    registered: IndexSet<id::Instance>,
    fleet_size: u32,
    /// The time at which the fleet last had `fleet_size` instances.
    fleet_size_at: Instant,
}

impl Members {
    /// Records a beacon that was heard at `now`, or earlier if another instance has passed the beacon on.
    /// Returns whether its sender is new, was restarted, or was silent for longer than [`SILENCE_TIMEOUT`].
    /// A beacon that is older than the known one changes nothing.
    pub fn record_beacon(&mut self, beacon: Beacon, now: Instant) -> bool {
        let known = self.by_name.get_mut(&beacon.instance);
        match known {
            Some(member) if now < member.last_seen => false,
            Some(member) if member.beacon.incarnation == beacon.incarnation => {
                let is_back = now.since(member.last_seen) > SILENCE_TIMEOUT;
                member.beacon = beacon;
                member.last_seen = now;
                is_back
            }
            _ => {
                let member = Member {
                    last_seen: now,
                    last_loan: 0,
                    beacon,
                };
                self.by_name.insert(member.beacon.instance.clone(), member);
                true
            }
        }
    }

    /// Replaces the set of instances that are registered in the store.
    pub fn set_registered(&mut self, registered: IndexSet<id::Instance>) {
        self.registered = registered;
    }

    /// Returns the last beacon of `instance`, if it is known.
    #[must_use]
    pub fn beacon(&self, instance: &id::Instance) -> Option<&Beacon> {
        self.by_name.get(instance).map(|member| &member.beacon)
    }

    /// Returns the instances that sent a beacon within [`SILENCE_TIMEOUT`].
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let members = self.by_name.values();
        members.filter(move |member| member.is_alive(now))
    }

    /// Returns the number of instances in the fleet, including `own`. A decrease takes effect only
    /// after a delay of several seconds, so that budgets divided by this number are not handed out
    /// twice while instances disagree.
    pub fn fleet_size(&mut self, own: &id::Instance, now: Instant) -> u32 {
        let mut counted: IndexSet<&id::Instance> = self.registered.iter().collect();
        let members = self.by_name.values();
        let alive = members.filter(|member| member.is_alive(now));
        counted.extend(alive.map(|member| &member.beacon.instance));
        counted.insert(own);
        let count = counted.len() as u32;
        if count >= self.fleet_size || now.since(self.fleet_size_at) > FLEET_SHRINK_DELAY {
            self.fleet_size = count;
            self.fleet_size_at = now;
        }
        self.fleet_size
    }

    /// Returns the sorted names of all instances that may send to targets, including `own`.
    #[must_use]
    pub fn instance_names(&self, own: &id::Instance, now: Instant) -> Vec<id::Instance> {
        let mut names: IndexSet<id::Instance> = self.registered.clone();
        names.extend(self.alive(now).map(|member| member.beacon.instance.clone()));
        names.insert(own.clone());
        let mut names: Vec<id::Instance> = names.into_iter().collect();
        names.sort();
        names
    }

    /// Returns the regions of the other instances that may send to targets, as far as they are known.
    #[must_use]
    pub fn instance_regions(&self, now: Instant) -> IndexMap<id::Instance, id::Region> {
        let members = self.by_name.iter();
        let counted = members
            .filter(|(name, member)| member.is_alive(now) || self.registered.contains(*name));
        let regions =
            counted.map(|(name, member)| (name.clone(), member.beacon.location.region.clone()));
        regions.collect()
    }

    /// Records a loan of `from` and returns whether its number is new, so that a duplicated datagram is
    /// not credited twice.
    pub fn record_loan(
        &mut self,
        from: &id::Instance,
        incarnation: Incarnation,
        number: u64,
    ) -> bool {
        let Some(member) = self.by_name.get_mut(from) else {
            return false;
        };
        if member.beacon.incarnation != incarnation || number <= member.last_loan {
            return false;
        }
        member.last_loan = number;
        true
    }

    /// Returns the mesh addresses of some live instances, which a beacon passes on so that an instance
    /// discovers the fleet through any single other instance.
    #[must_use]
    pub fn other_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let alive = self
            .alive(now)
            .map(|member| member.beacon.location.mesh_address);
        alive.take(MAX_OTHERS).collect()
    }

    /// Removes instances that sent no beacon for longer than `retention` and are not registered.
    pub fn remove_silent(&mut self, retention: Span, now: Instant) {
        self.by_name.retain(|name, member| {
            now.since(member.last_seen) <= retention || self.registered.contains(name)
        });
    }
}
