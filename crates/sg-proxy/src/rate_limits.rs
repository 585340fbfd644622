//! The rates that targets state, as responses and other instances tell them.

use sg_place::rate_limit::{Change, Statement};
use sg_types::prelude::*;

use crate::Core;

/// Maximum number of statements that are announced at once.
const MAX_ANNOUNCED: usize = 64;

impl<D> Core<D> {
    /// Records what a response of `target` to a request sent at `sent_at` states.
    pub fn record_rate_limit(&self, target: &id::Target, stated: Option<Rate>, sent_at: Instant) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let pool = state.pool_of(target);
        let change = pool.and_then(|(pool, location)| {
            pool.record_rate_limit(target, stated, sent_at, location, now)
        });
        drop(state);
        if let Some(change) = change {
            self.report_rate_change(target, change, "response", now);
        }
    }

    /// Returns what targets stated to this instance lately, the latest first, for the other instances.
    #[must_use]
    pub fn rate_statements(&self) -> Vec<(id::Target, Statement)> {
        let now = self.timer.now();
        let state = self.state.lock();
        let pools = state.pools.values();
        let statements = pools.flat_map(|pool| pool.statements(now));
        let mut statements: Vec<_> = statements
            .map(|(target, statement)| (target.clone(), statement))
            .collect();
        drop(state);
        statements.sort_by_key(|(_, statement)| statement.age);
        statements.truncate(MAX_ANNOUNCED);
        statements
    }

    /// Adopts what another instance announces about the rate that `target` takes.
    pub fn adopt_rate_statement(&self, target: &id::Target, announced: Statement) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let pool = state.pool_of(target);
        let change = pool
            .and_then(|(pool, location)| pool.adopt_statement(target, announced, location, now));
        drop(state);
        if let Some(change) = change {
            self.report_rate_change(target, change, "instance", now);
        }
    }

    /// Logs and counts a change; `source` says who told it.
    fn report_rate_change(
        &self,
        target: &id::Target,
        change: Change,
        source: &'static str,
        now: Instant,
    ) {
        let label = match change {
            Change::Stated(_) => "stated",
            Change::Lifted => "lifted",
        };
        self.metrics.record_rate_limit_change(label, source);
        if !self.log_limiter.admit(now) {
            return;
        }
        match change {
            Change::Stated(rate) => log::info!(
                target_id:% = target, per_second = rate.as_f64(), source;
                "target rate limit stated"
            ),
            Change::Lifted => log::info!(
                target_id:% = target, source;
                "target rate limit lifted"
            ),
        }
    }
}
