//! Periodic maintenance of the contacts, the gauges and the share engine's list of peers, about
//! once a second.

use std::sync::Arc;

use prometheus::IntCounter;
use sg_types::time::Span;

use crate::{member::Status, shared::Shared, task::share};

/// The interval between rounds of maintenance.
const MAINTENANCE_PERIOD: Span = Span::from_secs(1);
/// The interval between rounds while no other instance is known, such as after the start.
const STARTUP_PERIOD: Span = Span::from_millis(50);

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut was_fresh = false;
    loop {
        let now = shared.timer.now();
        shared.sync_core(now);
        shared.core.lock().refresh(now);
        share::update_peers(&shared);
        update_gauges(&shared);
        let fresh = shared.fresh.is_fresh(now);
        if was_fresh && !fresh {
            shared.metrics.stale_spells.inc();
            log::warn!("keyed routes are refused: no confirmation from the store or a majority");
        }
        if fresh && !was_fresh {
            log::info!("keyed routes are served");
        }
        was_fresh = fresh;
        shared.wake.notify_one();
        let alone = shared.core.lock().contacts().peers.is_empty();
        let period = if alone {
            STARTUP_PERIOD
        } else {
            MAINTENANCE_PERIOD
        };
        shared.timer.sleep(period).await;
    }
}

fn update_gauges(shared: &Shared) {
    let now = shared.timer.now();
    let metrics = &shared.metrics;
    let (members, relay, counts) = {
        let core = shared.core.lock();
        (core.member_snapshot(now), core.is_relay(), core.counts())
    };
    for status in Status::ALL {
        let count = members.iter().filter(|member| member.status == status);
        let gauge = metrics.members.with_label_values(&[status.as_str()]);
        gauge.set(i64::try_from(count.count()).unwrap_or(i64::MAX));
    }
    metrics.relay.set(i64::from(relay));
    metrics.fresh.set(i64::from(shared.fresh.is_fresh(now)));
    let revisions = [
        ("newest", shared.config.newest().revision),
        ("in-force", shared.config.in_force()),
    ];
    for (state, revision) in revisions {
        let gauge = metrics.revision.with_label_values(&[state]);
        gauge.set(i64::try_from(revision.get()).unwrap_or(i64::MAX));
    }
    raise_to(
        &metrics
            .violations
            .with_label_values(&["revision-goes-forward"]),
        shared.config.regressions(),
    );
    let events = [
        ("notice-announced", counts.announced),
        ("notice-delivered", counts.delivered),
        ("notice-duplicate", counts.duplicates),
        ("shares-dropped", counts.shares_dropped),
        ("revision-conflict", counts.conflicts),
    ];
    for (event, total) in events {
        let counter = metrics.events.with_label_values(&[event]);
        raise_to(&counter, total);
    }
}

/// Raises a counter to `total`.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
