//! What the dispatcher knows of one target.

use sg_place::{hash::Object, member::LoadReport, pace, speed::Speed};
use sg_types::prelude::*;

use crate::message::TargetView;

/// Requests beyond its slots that a target gets, so that no slot is idle for the round trip of the next
/// grant.
const QUEUE: u32 = 1;
/// Maximum number of objects that are recorded as warm at a target.
const MAX_WARM_OBJECTS: usize = 64;
/// Minimum number of objects that a target is assumed to keep warm.
const MIN_WARM_OBJECTS: f64 = 2.0;
/// Increase of the assumed number of warm objects after a response about one of the least recently used
/// ones that was warm, against a decrease by 1 if it was cold.
const WARM_INCREASE: f64 = 0.25;
/// Maximum number of doublings of the time without grants.
const MAX_DOUBLINGS: u32 = 3;
/// How long a response counts for the slowness, as a multiple of the typical work. A target with free slots
/// gets the responses that can clear it within that time.
const SPEED_LIFETIME: f64 = 10.0;
/// Factor by which a target that has just started works more slowly.
const COLD_TARGET_FACTOR: f64 = 2.0;

/// A target and what the dispatcher knows of it.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub id: id::Target,
    view_slots: u32,
    reported_slots: Option<u32>,
    pub is_listed: bool,
    is_usable: bool,
    pub is_cold: bool,
    /// Leases at the target.
    pub leases: u32,
    /// Sum of the expected work of the leases, in seconds.
    lease_seconds: f64,
    /// Leases that run for much longer than expected.
    pub long_running: u32,
    /// Requests at the target beyond the leases; below zero if the ends of leases were lost.
    others: i64,
    others_at: Instant,
    /// Requests that wait for this target at the dispatcher.
    pub queued: u32,
    pub pace: Option<pace::Sample>,
    pub speed: Speed,
    /// Objects in the order of their last beginning at the target, the latest last.
    objects: Vec<Object>,
    warm_capacity: f64,
    failures: u32,
    blocked_until: Instant,
    /// Position in the order by load.
    pub load_key: Option<u64>,
}

impl Target {
    pub fn new(view: &TargetView) -> Self {
        Self {
            id: view.id.clone(),
            view_slots: view.slots,
            reported_slots: None,
            is_listed: true,
            is_usable: view.is_usable,
            is_cold: view.is_cold,
            leases: 0,
            lease_seconds: 0.0,
            long_running: 0,
            others: 0,
            others_at: Instant::START,
            queued: 0,
            pace: None,
            speed: Speed::default(),
            objects: Vec::new(),
            warm_capacity: MAX_WARM_OBJECTS as f64,
            failures: 0,
            blocked_until: Instant::START,
            load_key: None,
        }
    }

    /// Updates the description. A target that turns cold has lost its warm objects.
    pub fn update(&mut self, view: &TargetView) {
        if view.slots != self.view_slots {
            self.reported_slots = None;
        }
        if view.is_cold && !self.is_cold {
            self.objects.clear();
            self.pace = None;
        }
        self.view_slots = view.slots;
        self.is_listed = true;
        self.is_usable = view.is_usable;
        self.is_cold = view.is_cold;
    }

    /// Returns whether the target may get requests, now or once it has room.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_listed && self.is_usable && self.blocked_until <= now
    }

    /// Returns the requests that the target runs at once for others than its long-running leases.
    pub fn slots(&self) -> u32 {
        if self.is_cold {
            return 1;
        }
        self.reported_slots.unwrap_or(self.view_slots).max(1)
    }

    /// Returns an estimate of the requests at the target.
    pub fn load(&self) -> u32 {
        let load = i64::from(self.leases) + self.others;
        u32::try_from(load.max(0)).unwrap_or(u32::MAX)
    }

    /// Returns an estimate of the requests at the target and those that wait for it.
    pub fn load_with_queue(&self) -> u32 {
        self.load().saturating_add(self.queued)
    }

    /// Returns whether the target may get one more request now. A queue behind long-running requests
    /// would delay short ones.
    pub fn has_room(&self, now: Instant) -> bool {
        let queue = match self.is_cold || self.long_running > 0 {
            true => 0,
            false => QUEUE,
        };
        self.is_usable(now) && self.load() < self.slots().saturating_add(queue)
    }

    /// Returns the utilisation by the requests at the target and those that wait for it.
    pub fn utilization(&self) -> f64 {
        f64::from(self.load_with_queue()) / f64::from(self.slots())
    }

    /// Returns the time until the target would begin one more request, in seconds. `typical_seconds`
    /// is the work of a request of which nothing else is known.
    pub fn wait_seconds(&self, typical_seconds: f64, now: Instant) -> f64 {
        let slots = self.slots().saturating_sub(self.long_running).max(1);
        let load = self.load_with_queue().saturating_sub(self.long_running);
        if load < slots {
            return 0.0;
        }
        let mean_seconds = match self.leases {
            0 => typical_seconds,
            leases => self.lease_seconds / f64::from(leases),
        };
        let ahead = f64::from(load - slots + 1);
        ahead / f64::from(slots) * mean_seconds * self.slowness(typical_seconds, now)
    }

    /// Returns the factor by which work takes longer than usual, apart from the pace.
    pub fn work_factor(&self, typical_seconds: f64, now: Instant) -> f64 {
        let cold = if self.is_cold {
            COLD_TARGET_FACTOR
        } else {
            1.0
        };
        cold * self.slowness(typical_seconds, now)
    }

    fn slowness(&self, typical_seconds: f64, now: Instant) -> f64 {
        let lifetime = Span::from_secs(1).mul_f64(typical_seconds * SPEED_LIFETIME);
        self.speed.slowness(lifetime, now)
    }

    /// Records the beginning of a lease.
    pub fn begin(&mut self, work_seconds: f64) {
        self.leases += 1;
        self.lease_seconds += work_seconds;
    }

    /// Records the end of a lease.
    pub fn end(&mut self, work_seconds: f64) {
        self.leases = self.leases.saturating_sub(1);
        self.lease_seconds = match self.leases {
            0 => 0.0,
            _ => (self.lease_seconds - work_seconds).max(0.0),
        };
    }

    /// Corrects the count by the target's report. Only long-running leases may have ended unnoticed:
    /// other requests that are missing in the report are on their way to the target.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        let reported = i64::from(report.running) + i64::from(report.waiting);
        let difference = reported - i64::from(self.leases);
        self.others = difference.max(-i64::from(self.long_running));
        self.others_at = now;
        self.reported_slots = (report.slots > 0).then_some(report.slots);
        if let Some(pace) = report.pace {
            self.pace = Some(pace::Sample { pace, at: now });
        }
    }

    /// Returns whether time alone has changed what is known of the target.
    pub fn is_outdated(&self, long_running: u32, lifetime: Span, now: Instant) -> bool {
        self.long_running != long_running
            || self.is_report_stale(lifetime, now)
            || self.is_usable(now) != self.load_key.is_some()
    }

    fn is_report_stale(&self, lifetime: Span, now: Instant) -> bool {
        self.others != 0 && now.since(self.others_at) > lifetime
    }

    /// Forgets a correction that is older than `lifetime`.
    pub fn expire_report(&mut self, lifetime: Span, now: Instant) {
        if self.is_report_stale(lifetime, now) {
            self.others = 0;
        }
    }

    /// Records that a request was not run or was lost. A single failure says nothing about the target,
    /// because the request may be its cause; after more in a row, the target gets no grants for a time
    /// that doubles with each.
    pub fn record_failure(&mut self, typical: Span, now: Instant) {
        self.failures += 1;
        let Some(doublings) = self.failures.checked_sub(2) else {
            return;
        };
        let length = typical.mul_f64(f64::from(1u32 << doublings.min(MAX_DOUBLINGS)));
        self.blocked_until = now + length;
    }

    /// Records that the target responded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns how many objects the target began after `object`, if the object is warm there.
    pub fn depth(&self, object: Object) -> Option<usize> {
        let mut latest_first = self.objects.iter().rev();
        let depth = latest_first.position(|known| *known == object)?;
        ((depth as f64) < self.warm_capacity).then_some(depth)
    }

    /// Records that a request about `object` begins. Returns an object that is forgotten for it.
    pub fn begin_object(&mut self, object: Object) -> Option<Object> {
        self.objects.retain(|known| *known != object);
        self.objects.push(object);
        let is_full = self.objects.len() > MAX_WARM_OBJECTS;
        is_full.then(|| self.objects.remove(0))
    }

    /// Records that the first request about `object` did not run.
    pub fn forget_object(&mut self, object: Object) {
        self.objects.retain(|known| *known != object);
    }

    /// Forgets all objects and returns them.
    pub fn take_objects(&mut self) -> Vec<Object> {
        std::mem::take(&mut self.objects)
    }

    /// Learns how many objects the target keeps warm from a request about an object that was expected
    /// to be warm with `depth` objects begun after it.
    pub fn record_warmth(&mut self, depth: usize, was_cold: bool) {
        let depth = depth as f64;
        if was_cold && depth < self.warm_capacity {
            self.warm_capacity = (self.warm_capacity - 1.0).max(MIN_WARM_OBJECTS);
        } else if !was_cold && depth * 2.0 >= self.warm_capacity {
            let grown = self.warm_capacity + WARM_INCREASE;
            self.warm_capacity = grown.min(MAX_WARM_OBJECTS as f64);
        }
    }
}
