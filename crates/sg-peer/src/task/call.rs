//! Task that calls contacts when they are due.

use std::sync::Arc;

use sg_types::{id, time::Span};
use tokio::task::JoinSet;

use crate::{
    shared::Shared,
    transport::{Error, Transport},
};

/// The maximum time between checks for due calls.
const LOOK: Span = Span::from_millis(50);
/// The timeout of a call.
const TIMEOUT: Span = Span::from_secs(1);
/// The lateness of a check from which the process counts as paused.
const PAUSE: Span = Span::from_secs(1);
/// The maximum number of concurrent calls.
const MAX_CALLS: usize = 64;

pub(crate) async fn run(shared: Arc<Shared>, transport: impl Transport) {
    let mut calls = JoinSet::new();
    loop {
        let latest = shared.timer.now() + LOOK;
        let next = shared.core.lock().next_call();
        let planned = next.map_or(latest, |next| next.min(latest));
        let woken = shared.wake.notified();
        // Both a wake-up and the elapsed deadline start the next check.
        let _ = shared.timer.until(planned, woken).await;
        let now = shared.timer.now();
        let late = now.since(latest);
        if late >= PAUSE {
            shared.metrics.pauses.inc();
            log::warn!("the process was paused for {late}");
            shared.core.lock().wake(now);
        }
        shared.sync(now);
        while calls.try_join_next().is_some() {}
        if calls.len() >= MAX_CALLS {
            continue;
        }
        let due = shared.core.lock().due(now);
        for to in due {
            calls.spawn(call(Arc::clone(&shared), transport.clone(), to));
        }
    }
}

async fn call(shared: Arc<Shared>, transport: impl Transport, to: id::Instance) {
    let sent = shared.timer.now();
    shared.sync(sent);
    let (request, address) = {
        let mut core = shared.core.lock();
        let request = core.request(&to, sent);
        let address = core.members().place(&to).map(|place| place.peer);
        (request, address)
    };
    let Some(address) = address else {
        shared.core.lock().failed(&to, sent);
        return;
    };
    shared.metrics.frame("sent", request.size());
    let exchange = transport.exchange(address, &request);
    let result = shared.timer.until(sent + TIMEOUT, exchange).await;
    let result = result.unwrap_or(Err(Error::Timeout));
    let now = shared.timer.now();
    shared.sync(now);
    let taken = result.and_then(|answer| {
        let mut core = shared.core.lock();
        core.answered(&to, &request, answer, sent, now)
            .map_err(Error::from)
    });
    match taken {
        Ok(effects) => shared.apply(effects, now),
        Err(error) => {
            let labels = [error.as_str()];
            shared.metrics.failed.with_label_values(&labels).inc();
            shared.core.lock().failed(&to, now);
        }
    }
    shared.sync(now);
    // News for this instance may have come up during the call.
    shared.wake.notify_one();
}
