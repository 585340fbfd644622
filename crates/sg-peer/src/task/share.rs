//! Task that drives the share engine.

use std::sync::Arc;

use sg_share::engine;
use sg_types::time::Span;
use tokio::sync::Notify;

use crate::{member::Status, shared::Shared};

/// The minimum time between two rounds, which lets refused takes accumulate.
const LEAST_GAP: Span = Span::from_millis(10);

/// Ticks the engine every `period`, and polls it when a take was refused.
pub(crate) async fn run(shared: Arc<Shared>, poke: Arc<Notify>, period: Span) {
    let mut next = shared.timer.now();
    loop {
        let woken = shared.timer.until(next, poke.notified()).await;
        let now = shared.timer.now();
        let actions = match woken {
            Ok(()) => shared.engine.lock().poll(now),
            Err(_) => {
                next = now + period;
                shared.engine.lock().tick(now)
            }
        };
        shared.act(actions, now);
        shared.timer.sleep(LEAST_GAP).await;
    }
}

/// Passes the current peers to the engine.
pub(crate) fn tell_peers(shared: &Shared) {
    let now = shared.timer.now();
    let everybody = shared.core.lock().everybody(now);
    let peers = everybody
        .into_iter()
        .filter(|member| !matches!(member.status, Status::Gone | Status::Leaving))
        .filter_map(|member| {
            Some(engine::Peer {
                instance: member.instance,
                incarnation: member.incarnation?,
            })
        })
        .collect();
    shared.engine.lock().peers(peers, now);
}
