//! Asks the fleet how far a drain is, and waits for it.

use sg_report::drain::{self, Progress, Scope};
use sg_types::prelude::*;

use crate::{Context, Error, fleet};

/// How far the drain is. If the operator said how long to wait, waits that long until it is done.
pub(super) async fn progress(
    context: &Context,
    scope: &Scope,
    revision: Revision,
) -> Result<Progress, Error> {
    let client = context.fleet()?;
    let start = context.timer.now();
    let patience = context.patience().unwrap_or(Span::ZERO);
    loop {
        let fleet = client.status().await?;
        let mut progress = drain::progress(&fleet, scope, revision);
        progress.waited = context.timer.now().since(start);
        if progress.done || progress.waited >= patience {
            return Ok(progress);
        }
        tokio::select! {
            () = context.timer.sleep(fleet::POLL) => {}
            () = context.interrupt.raised() => return Ok(progress),
        }
    }
}
