//! State of one region within a pool.

use sg_types::prelude::*;

use crate::Completion;

/// Weight of one attempt in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Number of attempts since the last stage of a shift that are needed to judge whether the region
/// is warm.
const MIN_SAMPLES: u32 = 20;
/// Highest rate of failures and refusals at which a region counts as warm.
const MAX_FAILURE_RATE: f64 = 0.1;
/// Factor by which a warm region may be slower than before the stage or than the usual service
/// time.
const MAX_SLOWDOWN: f64 = 1.5;
/// Maximum number of refused requests that are counted as waiting.
const MAX_WAITING: u32 = 4096;
/// Time after which half of the waiting requests are assumed to have been cancelled.
const WAITING_HALF_LIFE: Span = Span::from_secs(1);

/// Performance of a region since the last stage of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Warmth {
    /// Too few attempts have ended to judge the region.
    Unknown,
    /// Responses are as fast as before.
    Warm,
    /// Requests succeed, but slower than before.
    Slow,
    /// Requests fail or are refused.
    Failing,
}

/// The targets of a region and its performance since the last stage of a shift.
#[derive(Debug)]
pub(crate) struct Region {
    pub(crate) name: id::Region,
    /// Indices of the targets that can take a request now.
    pub(crate) available: Vec<usize>,
    /// Number of targets in the tree.
    pub(crate) target_count: u32,
    /// Number of targets that can take work, now or once they have a free slot.
    pub(crate) usable_count: u32,
    /// Number of targets that are ejected under the ejection cap.
    pub(crate) ejected_count: u32,
    /// Number of refused requests that the region was selected for and that may still be waiting.
    waiting: u32,
    last_decay: Instant,
    samples: u32,
    failure_rate: f64,
    mean_latency: f64,
    latency_before_stage: f64,
}

impl Region {
    pub(crate) const fn new(name: id::Region) -> Self {
        Self {
            name,
            available: Vec::new(),
            target_count: 0,
            usable_count: 0,
            ejected_count: 0,
            waiting: 0,
            last_decay: Instant::START,
            samples: 0,
            failure_rate: 0.0,
            mean_latency: 0.0,
            latency_before_stage: 0.0,
        }
    }

    /// Records how an attempt in the region ended.
    pub(crate) fn record_completion(&mut self, completion: Completion) {
        let failed = match completion {
            Completion::Cancelled | Completion::Leaving => return,
            Completion::Responded { failed, latency } => {
                let seconds = latency.as_secs_f64();
                let weight = if self.mean_latency == 0.0 {
                    1.0
                } else {
                    AVERAGE_WEIGHT
                };
                self.mean_latency += (seconds - self.mean_latency) * weight;
                failed
            }
            Completion::Shed
            | Completion::ConnectFailed
            | Completion::ConnectionLost
            | Completion::TimedOut => true,
        };
        self.samples = self.samples.saturating_add(1);
        let failure = f64::from(u8::from(failed));
        self.failure_rate += (failure - self.failure_rate) * AVERAGE_WEIGHT;
    }

    /// Starts to measure whether the region is warm after the stage that begins now.
    pub(crate) fn start_stage(&mut self) {
        self.latency_before_stage = self.mean_latency;
        self.samples = 0;
    }

    /// Returns the performance of the region since the last stage. `service_time` is the usual time
    /// of a request.
    pub(crate) fn warmth(&self, service_time: Span) -> Warmth {
        let max_latency = self.latency_before_stage.max(service_time.as_secs_f64()) * MAX_SLOWDOWN;
        if self.samples < MIN_SAMPLES {
            Warmth::Unknown
        } else if self.failure_rate > MAX_FAILURE_RATE {
            Warmth::Failing
        } else if self.mean_latency > max_latency {
            Warmth::Slow
        } else {
            Warmth::Warm
        }
    }

    /// Returns whether the region has a target that can take a request now.
    pub(crate) const fn has_available(&self) -> bool {
        !self.available.is_empty()
    }

    /// Returns the region without its targets, which a new revision adds again.
    pub(crate) fn without_targets(self) -> Self {
        Self {
            available: Vec::new(),
            target_count: 0,
            usable_count: 0,
            ejected_count: 0,
            ..self
        }
    }

    /// Counts a refused request that the region was selected for.
    pub(crate) fn add_waiting(&mut self) {
        self.waiting = (self.waiting + 1).min(MAX_WAITING);
    }

    /// Returns whether requests that the region was selected for may be waiting.
    pub(crate) const fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Removes one waiting request, which was started, from the count.
    pub(crate) fn remove_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Halves the number of waiting requests every [`WAITING_HALF_LIFE`], because most of them have
    /// been cancelled.
    pub(crate) fn decay_waiting(&mut self, now: Instant) {
        if now.since(self.last_decay) >= WAITING_HALF_LIFE {
            self.waiting /= 2;
            self.last_decay = now;
        }
    }
}
