//! The state of the instance, gathered from its parts.

use serde::Serialize;
use sg_peer::member::Status;
use sg_report::status::{Act, Held, Instance, Split, State};
use sg_types::prelude::*;

use crate::daemon::Parts;

/// Everything that the parts report.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    node: sg_peer::report::Node,
    shares: sg_share::report::Engine,
    steering: sg_steer::report::Engine,
}

impl Report {
    pub(super) fn of(parts: &Parts) -> Self {
        Self {
            node: parts.node.report(),
            shares: parts.node.shares.report(),
            steering: parts.steer.report(parts.timer.now()),
        }
    }
}

/// The state of the instance.
pub(super) fn of(parts: &Parts) -> Instance {
    let now = parts.timer.now();
    let report = Report::of(parts);
    let in_force = parts.evidence.in_force(now);
    let alive = report
        .node
        .members
        .iter()
        .filter(|member| member.status == Status::Alive)
        .count();
    Instance {
        instance: parts.settings.instance.clone(),
        incarnation: parts.incarnation,
        region: parts.settings.region.clone(),
        domain: parts.settings.domain.clone(),
        uptime: now.since(Instant::START),
        state: state(parts, &report),
        revision: in_force.map_or(Revision::default(), |(revision, _)| revision),
        digest: report.node.digest,
        in_force: in_force.map_or(Span::ZERO, |(_, span)| span),
        fault: report
            .node
            .faults
            .first()
            .map(|fault| fault.to_string().into()),
        slot: report.node.slot,
        confirmed: report.shares.confirmed,
        in_hand: parts.path.in_hand(),
        alive: u32::try_from(alive).unwrap_or(u32::MAX),
        splits: splits(&report.steering),
        held: held(&report.steering),
        acts: acts(&report),
    }
}

fn state(parts: &Parts, report: &Report) -> State {
    if *parts.leaving.borrow() {
        return State::Leaving;
    }
    if !parts.ready.is_ready() {
        return State::Starting;
    }
    if report.node.fresh {
        State::Serving
    } else {
        State::Fenced
    }
}

fn splits(steering: &sg_steer::report::Engine) -> Vec<Split> {
    let mut splits = Vec::new();
    for (service, report) in &steering.services {
        for (region, report) in &report.regions {
            splits.push(Split {
                service: service.clone(),
                region: region.clone(),
                wanted: report.wanted,
                in_force: report.in_force,
                headroom: Some(report.headroom.as_f64()),
                in_flight: report.in_flight,
            });
        }
    }
    splits
}

/// The targets that are not used like the others.
fn held(steering: &sg_steer::report::Engine) -> Vec<Held> {
    let mut held = Vec::new();
    for (service, report) in &steering.services {
        let out = report.regions.values().flat_map(|region| &region.out);
        held.extend(out.map(|target| Held {
            service: service.clone(),
            target: target.target.clone(),
            why: text(&target.why),
            in_flight: target.in_flight,
        }));
    }
    held
}

/// What the instance does by itself, and why.
fn acts(report: &Report) -> Vec<Act> {
    let mut acts = Vec::new();
    for (service, steered) in &report.steering.services {
        if steered.phase != sg_steer::report::Phase::Steady {
            acts.push(Act {
                what: text(&steered.phase),
                about: service.to_string().into(),
                why: text(&steered.cause),
            });
        }
        let out = steered.regions.values().flat_map(|region| &region.out);
        acts.extend(out.map(|target| Act {
            what: "holds back".into(),
            about: format!("{service}/{}", target.target).into(),
            why: text(&target.why),
        }));
    }
    for member in &report.node.members {
        if matches!(member.status, Status::Suspect | Status::Leaving) {
            acts.push(Act {
                what: "passes over".into(),
                about: member.instance.to_string().into(),
                why: member.status.as_str().into(),
            });
        }
    }
    acts
}

/// A closed set's name as reports write it.
fn text(value: &impl Serialize) -> Arc<str> {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or("-").into()
}
