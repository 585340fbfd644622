//! Computes headroom and drain time from the records of targets.

use sg_types::prelude::*;

use crate::{
    check::drain_event,
    history::{History, Observation},
};

/// The window over which use is averaged, in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// The targets of one service in one region.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pool {
    service: id::Service,
    region: id::Region,
}

/// The use of a pool's slots.
#[derive(Debug, Default)]
struct Usage {
    slots: u32,
    /// Busy slot time in microseconds, by window.
    busy_us: Vec<u64>,
}

impl Usage {
    fn record_run(&mut self, start_us: u64, end_us: u64) {
        let mut at = start_us;
        while at < end_us {
            let window = at / WINDOW_US;
            let end = end_us.min((window + 1) * WINDOW_US);
            let index = window as usize;
            if self.busy_us.len() <= index {
                self.busy_us.resize(index + 1, 0);
            }
            self.busy_us[index] += end - at;
            at = end;
        }
    }

    fn unused_share(&self) -> f64 {
        let busiest_us = self.busy_us.iter().max().copied().unwrap_or(0);
        let capacity_us = u64::from(self.slots) * WINDOW_US;
        1.0 - busiest_us as f64 / capacity_us.max(1) as f64
    }
}

/// Returns the share of unused capacity in the busiest second of the busiest pool.
pub(super) fn headroom(history: &History) -> f64 {
    let mut pools: IndexMap<Pool, Usage> = IndexMap::new();
    for observation in &history.targets {
        let service = history.view.services.get(&observation.service);
        let Some(target) = service.and_then(|service| service.targets.get(&observation.name))
        else {
            continue;
        };
        let pool = Pool {
            service: observation.service.clone(),
            region: target.region.clone(),
        };
        let usage = pools.entry(pool).or_default();
        usage.slots += target.slots;
        for run in &observation.records.runs {
            usage.record_run(run.start_us, run.end_us);
        }
    }
    pools.values().map(Usage::unused_share).fold(1.0, f64::min)
}

/// Returns the longest time of a drained target from the drain request to the end of its last request.
pub(super) fn drain_ms(history: &History) -> Option<f64> {
    let targets = history.targets.iter();
    targets
        .filter_map(|observation| drain_time_us(history, observation))
        .max()
        .map(|us| us as f64 / US_PER_MS)
}

fn drain_time_us(history: &History, observation: &Observation) -> Option<u64> {
    let drain_requested_us =
        drain_event(history, observation).map(|event| event.requested.as_nanos() / 1_000);
    let drain_start_us = drain_requested_us.or(observation.records.leaving_us)?;
    let ends = observation.records.runs.iter().map(|run| run.end_us);
    Some(
        ends.max()
            .unwrap_or(drain_start_us)
            .saturating_sub(drain_start_us),
    )
}
