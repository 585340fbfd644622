//! Task that drives the share engine.

use std::sync::Arc;

use sg_share::engine;
use sg_types::time::Span;
use tokio::sync::Notify;

use crate::{member::Status, shared::Shared};

/// The minimum time between two rounds, which lets refused takes accumulate.
const MIN_POLL_INTERVAL: Span = Span::from_millis(10);

/// Ticks the engine every `period`, and polls it when a take was refused.
pub(crate) async fn run(shared: Arc<Shared>, poll_request: Arc<Notify>, period: Span) {
    let mut next = shared.timer.now();
    loop {
        let woken = shared.timer.until(next, poll_request.notified()).await;
        let now = shared.timer.now();
        let actions = match woken {
            Ok(()) => shared.engine.lock().poll(now),
            Err(_) => {
                next = now + period;
                shared.engine.lock().tick(now)
            }
        };
        shared.perform(actions, now);
        shared.timer.sleep(MIN_POLL_INTERVAL).await;
    }
}

/// Passes the current peers to the engine.
pub(crate) fn update_peers(shared: &Shared) {
    let now = shared.timer.now();
    let members = shared.core.lock().member_snapshot(now);
    let peers = members
        .into_iter()
        .filter(|member| !matches!(member.status, Status::Gone | Status::Leaving))
        .filter_map(|member| {
            Some(engine::Peer {
                instance: member.instance,
                incarnation: member.incarnation?,
            })
        })
        .collect();
    shared.engine.lock().set_peers(peers, now);
}
