//! The tasks that keep the parts of an instance told.

use std::sync::Arc;

use sg_peer::member::Status;
use sg_tree::View;
use sg_types::prelude::*;
use tokio::{sync::broadcast::error::RecvError, task::JoinSet};

use super::{Error, Parts};
use crate::{lookup, positions, probe::Prober};

/// How often steering takes stock.
const STEER_PERIOD: Span = Span::from_millis(250);

/// Starts the tasks. Dropping the set ends them.
pub(super) fn spawn(parts: &Parts) -> Result<JoinSet<()>, Error> {
    let mut tasks = JoinSet::new();
    let prober = Prober::new(parts.steer.clone(), parts.timer.clone())?;
    tasks.spawn(prober.run());
    tasks.spawn(follow(parts.clone()));
    tasks.spawn(listen(parts.clone()));
    tasks.spawn(steer(parts.clone()));
    Ok(tasks)
}

/// Puts each view in force in the parts that keep a state of their own.
async fn follow(parts: Parts) {
    let mut changes = parts.node.config.changes();
    loop {
        let view: Option<Arc<View>> = changes.borrow_and_update().clone();
        if let Some(view) = view {
            let now = parts.timer.now();
            parts.steer.configure(&view, now);
            let counts = parts.path.counts();
            parts.evidence.adopt(view.revision, counts, now);
            if !parts.ready.is_ready() {
                positions::adopt(&parts).await;
                parts.ready.set();
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Passes notices of other instances on.
async fn listen(parts: Parts) {
    let mut notices = parts.node.notices.subscribe();
    loop {
        match notices.recv().await {
            Ok(notice) => {
                parts.steer.on_notice(&notice, parts.timer.now());
                parts.path.on_notice(notice);
            }
            Err(RecvError::Lagged(missed)) => log::warn!("{missed} notices were missed"),
            Err(RecvError::Closed) => return,
        }
    }
}

/// Lets steering take stock, and tells it and look-ups which instances there are.
async fn steer(parts: Parts) {
    let mut ticks = parts.timer.every(STEER_PERIOD);
    loop {
        let now = ticks.tick().await.now;
        let others = parts.node.members.everybody(now);
        let alive = others
            .iter()
            .filter(|member| member.status == Status::Alive)
            .count();
        let entries = u32::try_from(alive).unwrap_or(u32::MAX).saturating_add(1);
        parts.steer.fleet(entries, now);
        parts.steer.tick(now);
        parts.evidence.tick(|| parts.path.counts(), now);
        if let Some(view) = parts.node.config.view() {
            parts.lookup.refresh(&view, lookup::members(&parts, now));
        }
    }
}
