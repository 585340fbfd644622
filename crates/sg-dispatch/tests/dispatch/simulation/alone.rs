//! Choices of instances that decide alone.

use sg_place::pool::{Query, Rejection};
use sg_types::prelude::*;

use super::{Event, Simulation, at, name};

impl Simulation {
    /// Chooses a target as an instance that decides alone.
    pub(super) fn choose(&mut self, index: usize, now: u64) {
        let request = &self.requests[index];
        let kind = self.service.kinds[request.kind];
        let work = &self.work[request.instance][request.kind];
        let object = self.object(index);
        let query = Query {
            object: Some(object),
            placement_key: object,
            may_leave_region: false,
            warm_work_seconds: work.expected_work_seconds(true),
            cold_work_seconds: work.expected_work_seconds(false),
            cold_fraction: work.cold_fraction(),
            typical_work_seconds: work.typical_work_seconds(),
            tried: &request.tried,
            home_regions: &[],
            account_home_regions: &[],
            cold_rate: 0.0,
            remaining_seconds: kind.deadline_seconds - (now - request.arrived) as f64 / 1e6,
            shift_limiter: &self.limiter,
            now: at(now),
        };
        let instance = request.instance;
        let pool = &mut self.pools[instance];
        match pool.choose(&query, &self.locations[instance], &IndexSet::new()) {
            Ok(choice) => {
                pool.record_send(&choice.target.id, Some(object), at(now));
                let is_home = choice.is_highest_ranked;
                self.send(index, &choice.target.id, choice.warm, is_home, now);
            }
            Err(Rejection::NoRoom(seconds) | Rejection::Paused(seconds)) => {
                self.refuse(index, seconds, now);
            }
            Err(Rejection::NoTarget) => {}
        }
    }

    /// Tells the caller to retry, once.
    pub(super) fn refuse(&mut self, index: usize, retry_after_seconds: f64, now: u64) {
        let request = &mut self.requests[index];
        let deadline_seconds = self.service.kinds[request.kind].deadline_seconds;
        let left = deadline_seconds - (now - request.arrived) as f64 / 1e6;
        if request.is_retry || retry_after_seconds > left / 3.0 {
            return;
        }
        request.is_retry = true;
        request.tried.clear();
        let pause = (retry_after_seconds * 1e6) as u64;
        // The retry has a ticket of its own.
        let retry = request.clone();
        self.requests.push(retry);
        self.schedule(now + pause, Event::Arrive(self.requests.len() - 1));
    }

    /// Sends a request that a target refused to a second one, chosen by the instance.
    pub(super) fn try_next(&mut self, index: usize, refused: id::Target, now: u64) {
        let mut next = self.requests[index].clone();
        if !next.tried.is_empty() {
            return;
        }
        next.tried.push(refused);
        next.is_granted = false;
        self.requests.push(next);
        self.choose(self.requests.len() - 1, now);
    }

    pub(super) fn share_loads(&mut self, now: u64) {
        for index in 0..self.servers.len() {
            let report = self.report(index, now);
            let id: id::Target = name(&format!("t{index}"));
            for pool in &mut self.pools {
                pool.record_report(&id, report, at(now));
            }
        }
    }
}
