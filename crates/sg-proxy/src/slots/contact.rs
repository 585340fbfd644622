//! What an instance knows of the way to a dispatcher.

use sg_place::work_estimate::MovingAverage;
use sg_types::prelude::*;

use super::Metrics;

/// Least time until the first answer to an ask. An answer takes 1 to 2 ms in a region, and instances have a
/// small part of a core.
const MIN_TIMEOUT: Span = Span::from_millis(25);
/// Longest time until the first answer, so that a slow dispatcher costs little of an objective.
const MAX_TIMEOUT: Span = Span::from_millis(150);
/// Ratio of the time-out to the measured round trip.
const ROUND_TRIPS: f64 = 3.0;
/// Number of asks without an answer in a row after which a dispatcher counts as silent.
const MAX_SILENT_ASKS: u32 = 3;
/// Least time over which these asks are spread. A machine with 0.07 of a core may stand still for 0.1 s, in which a
/// busy instance asks several times.
const MIN_SILENCE: Span = Span::from_millis(200);
/// Time for which a silent dispatcher is not asked.
const BACK_OFF: Span = Span::from_secs(1);
/// Number of asks without an answer that are remembered, so that late answers lengthen the time-out.
const MAX_OPEN: usize = 32;

/// The way to a dispatcher.
#[derive(Debug, Default)]
pub(super) struct Contact {
    round_trip: MovingAverage,
    silent_asks: u32,
    /// When the first of these asks had no answer in time.
    first_silence_at: Instant,
    is_silent: bool,
    resume_at: Instant,
    /// When the dispatcher was last found silent.
    silent_at: Instant,
    /// When asks were sent that have no answer yet.
    open: IndexMap<u64, Instant>,
}

impl Contact {
    /// Returns whether the dispatcher may be asked now. A silent one gets a single ask after each back-off.
    pub fn may_ask(&mut self, now: Instant) -> bool {
        if !self.is_silent {
            return true;
        }
        let may_ask = now >= self.resume_at;
        if may_ask {
            self.resume_at = now + BACK_OFF;
        }
        may_ask
    }

    /// Records an ask and returns when its first answer is due.
    pub fn record_ask(&mut self, number: u64, now: Instant) -> Instant {
        if self.open.len() >= MAX_OPEN {
            self.open.shift_remove_index(0);
        }
        self.open.insert(number, now);
        let round_trips = self.round_trip.value().unwrap_or_default() * ROUND_TRIPS;
        let timeout = Span::from_secs(1).mul_f64(round_trips);
        now + timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Records an answer to the ask `number`, also if it is late.
    pub fn record_answer(&mut self, number: u64, now: Instant, metrics: &Metrics) {
        self.silent_asks = 0;
        self.is_silent = false;
        if let Some(asked_at) = self.open.shift_remove(&number) {
            let seconds = now.since(asked_at).as_secs_f64();
            self.round_trip.record_sample(seconds);
            metrics.round_trip.observe(seconds);
        }
    }

    /// Returns when the dispatcher was found silent, if it still counts as silent.
    pub fn silent_at(&self) -> Option<Instant> {
        self.is_silent.then_some(self.silent_at)
    }

    /// Records that an ask got no answer in time. Returns whether the dispatcher now counts as silent.
    pub fn record_silence(&mut self, now: Instant) -> bool {
        if self.silent_asks == 0 {
            self.first_silence_at = now;
        }
        self.silent_asks += 1;
        let lasts = now.since(self.first_silence_at);
        self.is_silent |= self.silent_asks >= MAX_SILENT_ASKS && lasts >= MIN_SILENCE;
        if self.is_silent {
            self.resume_at = now + BACK_OFF;
            self.silent_at = now;
        }
        self.is_silent
    }
}
