//! Gathers the status of the instance from its components.

use serde::Serialize;
use sg_peer::member::Status;
use sg_report::status::{Action, HeldTarget, Instance, Split, State};
use sg_types::prelude::*;

use crate::daemon::Components;

/// Reports of all components.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    node: sg_peer::report::Node,
    shares: sg_share::report::Engine,
    steering: sg_steer::report::Engine,
}

impl Report {
    pub(super) fn of(components: &Components) -> Self {
        Self {
            node: components.node.report(),
            shares: components.node.shares.report(),
            steering: components.steering.report(components.timer.now()),
        }
    }
}

/// Returns the status of the instance.
pub(super) fn instance_status(components: &Components) -> Instance {
    let now = components.timer.now();
    let report = Report::of(components);
    let in_force = components.evidence.in_force(now);
    let alive = report
        .node
        .members
        .iter()
        .filter(|member| member.status == Status::Alive)
        .count();
    Instance {
        instance: components.settings.instance.clone(),
        incarnation: components.incarnation,
        region: components.settings.region.clone(),
        domain: components.settings.domain.clone(),
        uptime: now.since(Instant::START),
        state: instance_state(components, &report),
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
        in_hand: components.request_path.in_flight(),
        alive: u32::try_from(alive).unwrap_or(u32::MAX),
        splits: splits(&report.steering),
        held: held(&report.steering),
        acts: acts(&report),
    }
}

fn instance_state(components: &Components, report: &Report) -> State {
    if *components.stopping.borrow() {
        return State::Leaving;
    }
    if !components.ready.is_ready() {
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

/// Returns the targets that steering excludes or restricts.
fn held(steering: &sg_steer::report::Engine) -> Vec<HeldTarget> {
    let mut held = Vec::new();
    for (service, report) in &steering.services {
        let held_targets = report.regions.values().flat_map(|region| &region.out);
        held.extend(held_targets.map(|target| HeldTarget {
            service: service.clone(),
            target: target.target.clone(),
            why: serialized_name(&target.why),
            in_flight: target.in_flight,
        }));
    }
    held
}

/// Returns the automatic actions that are in progress, each with its cause.
fn acts(report: &Report) -> Vec<Action> {
    let mut acts = Vec::new();
    for (service, service_report) in &report.steering.services {
        if service_report.phase != sg_steer::report::Phase::Steady {
            acts.push(Action {
                what: serialized_name(&service_report.phase),
                about: service.to_string().into(),
                why: serialized_name(&service_report.cause),
            });
        }
        let held_targets = service_report
            .regions
            .values()
            .flat_map(|region| &region.out);
        acts.extend(held_targets.map(|target| Action {
            what: "holds back".into(),
            about: format!("{service}/{}", target.target).into(),
            why: serialized_name(&target.why),
        }));
    }
    for member in &report.node.members {
        if matches!(member.status, Status::Suspect | Status::Leaving) {
            acts.push(Action {
                what: "passes over".into(),
                about: member.instance.to_string().into(),
                why: member.status.as_str().into(),
            });
        }
    }
    acts
}

/// Returns the serialized name of an enum variant.
fn serialized_name(value: &impl Serialize) -> Arc<str> {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or("-").into()
}
