//! The targets of one service and the choice between them.

use std::net::SocketAddr;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sg_tree::{View, view};
use sg_types::prelude::*;

use crate::{
    End,
    engine::Options,
    observation::{self, Probe},
};

/// Where a target is. Shared by the pool and the guards of attempts.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) target: id::Target,
    pub(crate) address: SocketAddr,
    pub(crate) region: id::Region,
}

/// A counted attempt.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) place: Arc<Place>,
    pub(crate) at: Instant,
}

#[derive(Debug)]
struct Member {
    place: Arc<Place>,
    in_flight: u32,
    drain: bool,
    healthy: bool,
    leaving: bool,
}

#[derive(Debug)]
struct State {
    members: IndexMap<id::Target, Member>,
    probe_interval: Span,
    probe_timeout: Span,
    rng: SmallRng,
}

/// The targets of one service.
#[derive(Debug)]
pub(crate) struct Pool {
    service: id::Service,
    state: Mutex<State>,
}

impl Pool {
    pub(crate) fn new(service: &id::Service, options: &Options) -> Self {
        let state = State {
            members: IndexMap::new(),
            probe_interval: Span::ZERO,
            probe_timeout: Span::ZERO,
            rng: SmallRng::seed_from_u64(options.seed),
        };
        Self {
            service: service.clone(),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn configure(&self, _view: &View, service: &view::Service, _now: Instant) {
        let mut state = self.state.lock();
        let mut before = std::mem::take(&mut state.members);
        state.probe_interval = service.probe_interval;
        state.probe_timeout = service.connect_timeout;
        for (name, target) in &service.targets {
            let place = Place {
                target: name.clone(),
                address: target.address,
                region: target.region.clone(),
            };
            let kept = before.swap_remove(name);
            let member = Member {
                place: Arc::new(place),
                in_flight: kept.as_ref().map_or(0, |member| member.in_flight),
                drain: target.drain,
                healthy: kept.as_ref().is_none_or(|member| member.healthy),
                leaving: kept.as_ref().is_some_and(|member| member.leaving),
            };
            state.members.insert(name.clone(), member);
        }
    }

    pub(crate) fn observe(&self, target: &id::Target, seen: observation::Target, _now: Instant) {
        if let Some(member) = self.state.lock().members.get_mut(target) {
            member.healthy = seen.healthy;
            member.leaving = seen.leaving;
        }
    }

    pub(crate) fn leaving(&self, target: &id::Target, _now: Instant) {
        if let Some(member) = self.state.lock().members.get_mut(target) {
            member.leaving = true;
        }
    }

    pub(crate) fn probes(&self) -> Vec<Probe> {
        let state = self.state.lock();
        let members = state.members.values();
        let probe = |member: &Member| Probe {
            service: self.service.clone(),
            target: member.place.target.clone(),
            address: member.place.address,
            interval: state.probe_interval,
            timeout: state.probe_timeout,
        };
        members.map(probe).collect()
    }

    pub(crate) fn start(&self, tried: &[id::Target], now: Instant) -> Result<Start, Reason> {
        let mut state = self.state.lock();
        let State { members, rng, .. } = &mut *state;
        let open: Vec<usize> = (0..members.len())
            .filter(|index| {
                let member = &members[*index];
                let able = member.healthy && !member.drain && !member.leaving;
                able && !tried.contains(&member.place.target)
            })
            .collect();
        if open.is_empty() {
            return Err(Reason::NoTarget);
        }
        let a = open[rng.random_range(0..open.len())];
        let b = open[rng.random_range(0..open.len())];
        let best = if members[b].in_flight < members[a].in_flight {
            b
        } else {
            a
        };
        let member = &mut members[best];
        member.in_flight += 1;
        Ok(Start {
            place: Arc::clone(&member.place),
            at: now,
        })
    }

    pub(crate) fn in_flight(&self, place: &Place) -> u32 {
        let state = self.state.lock();
        state
            .members
            .get(&place.target)
            .map_or(1, |member| member.in_flight)
    }

    pub(crate) fn end(&self, start: &Start, end: End, _now: Instant) {
        let mut state = self.state.lock();
        let Some(member) = state.members.get_mut(&start.place.target) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        if end == End::Leaving {
            member.leaving = true;
        }
    }

    pub(crate) fn may_retry(&self, _now: Instant) -> bool {
        true
    }
}
