//! Background tasks that keep the components up to date.

use std::sync::Arc;

use sg_peer::member::Status;
use sg_tree::View;
use sg_types::prelude::*;
use tokio::{sync::broadcast::error::RecvError, task::JoinSet};

use super::{Components, Error};
use crate::{lookup, probe::Prober, splits};

/// Interval between steering updates.
const STEER_PERIOD: Span = Span::from_millis(250);

/// Starts the tasks. Dropping the returned set aborts them.
pub(super) fn spawn(components: &Components) -> Result<JoinSet<()>, Error> {
    let mut tasks = JoinSet::new();
    let prober = Prober::new(components.steering.clone(), components.timer.clone())?;
    tasks.spawn(prober.run());
    tasks.spawn(apply_views(components.clone()));
    tasks.spawn(dispatch_notices(components.clone()));
    tasks.spawn(run_steering(components.clone()));
    Ok(tasks)
}

/// Applies each new view to steering and evidence. Marks the instance as ready after the first
/// view, once steering has adopted the splits of other instances.
async fn apply_views(components: Components) {
    let mut changes = components.node.config.changes();
    loop {
        let view: Option<Arc<View>> = changes.borrow_and_update().clone();
        if let Some(view) = view {
            let now = components.timer.now();
            components.steering.configure(&view, now);
            let counts = components.request_path.counters();
            components
                .evidence
                .record_revision(view.revision, counts, now);
            if !components.ready.is_ready() {
                splits::adopt(&components).await;
                components.ready.mark_ready();
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Forwards notices of other instances to steering and the request path.
async fn dispatch_notices(components: Components) {
    let mut notices = components.node.notices.subscribe();
    loop {
        match notices.recv().await {
            Ok(notice) => {
                components
                    .steering
                    .handle_notice(&notice, components.timer.now());
                components.request_path.handle_notice(notice);
            }
            Err(RecvError::Lagged(missed)) => log::warn!("missed {missed} notices of peers"),
            Err(RecvError::Closed) => return,
        }
    }
}

/// Updates steering periodically, and gives the number of live instances to steering and the list
/// of instances to lookups.
async fn run_steering(components: Components) {
    let mut ticks = components.timer.every(STEER_PERIOD);
    loop {
        let now = ticks.tick().await.now;
        let peers = components.node.members.everybody(now);
        let alive = peers
            .iter()
            .filter(|member| member.status == Status::Alive)
            .count();
        let instances = u32::try_from(alive).unwrap_or(u32::MAX).saturating_add(1);
        components.steering.set_instances(instances, now);
        components.steering.tick(now);
        components
            .evidence
            .sample_if_due(|| components.request_path.counters(), now);
        if let Some(view) = components.node.config.view() {
            components
                .lookup
                .refresh(&view, lookup::members(&components, now));
        }
    }
}
