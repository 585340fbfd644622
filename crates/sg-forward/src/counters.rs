//! Counters for operators, by client account and by service and region.

use parking_lot::Mutex;
use sg_report::{Counts, counts::Place};
use sg_types::prelude::*;

use crate::trace::Trace;

/// The account name under which callers of open routes are counted.
const OPEN_ROUTES: &str = "open";

/// The counters by client account and by service and region.
#[derive(Debug, Default)]
pub struct Counters {
    counts: Mutex<Counts>,
}

impl Counters {
    /// Counts a reply.
    pub fn record(&self, trace: &Trace, outcome: Outcome, reason: Reason, now: Instant) {
        let place = traffic_place(trace);
        let mut counts = self.counts.lock();
        let account = trace
            .account
            .as_ref()
            .map_or(OPEN_ROUTES, id::Account::as_str);
        if !counts.accounts.contains_key(account) {
            counts
                .accounts
                .insert(account.into(), sg_report::counts::Account::default());
        }
        if let Some(account) = counts.accounts.get_mut(account) {
            account.attempts += trace.attempts.len() as u64;
            account.waited.record(trace.waited(now));
            match outcome {
                Outcome::Ran => {
                    account.ran += 1;
                    account.latency.record(now.since(trace.arrived));
                }
                Outcome::NotRun => *account.refused.entry(reason).or_default() += 1,
                Outcome::Unknown => account.unknown += 1,
            }
        }
        if let Some(place) = place {
            *counts.traffic.entry(place).or_default() += 1;
        }
    }

    /// Returns a copy of the counters.
    #[must_use]
    pub fn snapshot(&self) -> Counts {
        self.counts.lock().clone()
    }
}

/// Returns the service and region of the last attempt.
fn traffic_place(trace: &Trace) -> Option<Place> {
    let (service, _) = trace.route.as_ref()?;
    let attempt = trace.attempts.last()?;
    Some(Place {
        service: service.clone(),
        region: attempt.region.clone(),
    })
}
