//! Task that calls contacts when they are due.

use std::sync::Arc;

use sg_types::{id, time::Span};
use tokio::task::JoinSet;

use crate::{
    shared::Shared,
    transport::{Error, Transport},
};

/// The maximum time between checks for due calls.
const CHECK_INTERVAL: Span = Span::from_millis(50);
/// The timeout of a call.
const CALL_TIMEOUT: Span = Span::from_secs(1);
/// The lateness of a check from which the process counts as paused.
const PAUSE_THRESHOLD: Span = Span::from_secs(1);
/// The maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 64;

pub(crate) async fn run(shared: Arc<Shared>, transport: impl Transport) {
    let mut calls = JoinSet::new();
    loop {
        let latest = shared.timer.now() + CHECK_INTERVAL;
        let next = shared.core.lock().next_due();
        let planned = next.map_or(latest, |next| next.min(latest));
        let woken = shared.wake.notified();
        // Both a wake-up and the elapsed deadline start the next check.
        let _ = shared.timer.until(planned, woken).await;
        let now = shared.timer.now();
        let late = now.since(latest);
        if late >= PAUSE_THRESHOLD {
            shared.metrics.pauses.inc();
            log::warn!("the process was paused for {late}; calling all contacts");
            shared.core.lock().make_all_due(now);
        }
        shared.sync_core(now);
        while calls.try_join_next().is_some() {}
        if calls.len() >= MAX_CONCURRENT_CALLS {
            continue;
        }
        let due = shared.core.lock().take_due(now);
        for to in due {
            calls.spawn(call(Arc::clone(&shared), transport.clone(), to));
        }
    }
}

async fn call(shared: Arc<Shared>, transport: impl Transport, to: id::Instance) {
    let sent = shared.timer.now();
    shared.sync_core(sent);
    let (request, address) = {
        let mut core = shared.core.lock();
        let request = core.build_request(&to, sent);
        let address = core.members().place(&to).map(|place| place.peer);
        (request, address)
    };
    let Some(address) = address else {
        shared.core.lock().handle_failure(&to, sent);
        return;
    };
    shared.metrics.record_frame("sent", request.size());
    let exchange = transport.exchange(address, &request);
    let result = shared.timer.until(sent + CALL_TIMEOUT, exchange).await;
    let result = result.unwrap_or(Err(Error::Timeout));
    let now = shared.timer.now();
    shared.sync_core(now);
    let handled = result.and_then(|response| {
        let mut core = shared.core.lock();
        core.handle_response(&to, &request, response, sent, now)
            .map_err(Error::from)
    });
    match handled {
        Ok(effects) => shared.apply_effects(effects, now),
        Err(error) => {
            let labels = [error.as_str()];
            shared.metrics.failed.with_label_values(&labels).inc();
            shared.core.lock().handle_failure(&to, now);
        }
    }
    shared.sync_core(now);
    // Updates for this instance may have been queued during the call.
    shared.wake.notify_one();
}
