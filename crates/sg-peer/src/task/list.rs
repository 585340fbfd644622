//! Task that reads the instance list periodically.

use std::sync::Arc;

use sg_types::time::Span;

use crate::{list::Source, shared::Shared};

pub(crate) async fn run(shared: Arc<Shared>, source: impl Source, period: Span) {
    let mut reachable = true;
    loop {
        let result = source.read().await;
        let now = shared.timer.now();
        let label = match &result {
            Ok(_) => "ok",
            Err(_) => "failed",
        };
        shared.metrics.list_reads.with_label_values(&[label]).inc();
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            log::warn!(
                "instance list reachable: {reachable}; if it is not, check its address in the settings; \
                 the members stay unchanged"
            );
        }
        // A failed read leaves the membership unchanged.
        if let Ok(outcome) = result {
            shared.core.lock().list(&outcome.entries, now);
        }
        shared.timer.sleep(period).await;
    }
}
