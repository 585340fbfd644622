//! Bounds retries, that is, sends beyond the first of a request, so that they never multiply the
//! load.

use sg_types::prelude::*;

/// Fleet-wide retry limit over a window.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Allowed retries, as a fraction of the requests.
    pub ratio: f64,
    /// Allowed retries of the whole fleet in a window, in addition to the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window: Span,
}

/// Part of the ratio that is used. Retries may fall into another window than the requests that
/// earned them, so the ratio is not used in full.
const RATIO_FACTOR: f64 = 0.85;
/// Part of the slack that is used, because all instances may spend theirs at the same time.
const SLACK_FACTOR: f64 = 0.6;

/// One instance's part of a service's retry budget.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Creates a budget with this instance's part of the slack.
    #[must_use]
    pub fn new(bounds: &Bounds, instances: u32, now: Instant) -> Self {
        Self {
            tokens: capacity(bounds, instances),
            refilled_at: now,
        }
    }

    /// Records a request, which earns a fraction of a retry.
    pub fn record_request(&mut self, bounds: &Bounds, instances: u32) {
        self.tokens = (self.tokens + bounds.ratio * RATIO_FACTOR).min(capacity(bounds, instances));
    }

    /// Takes one retry and returns whether the budget allowed it.
    pub fn take_retry(&mut self, bounds: &Bounds, instances: u32, now: Instant) -> bool {
        let max_tokens = capacity(bounds, instances);
        let refill = bounds.slack * SLACK_FACTOR / f64::from(instances.max(1))
            * (now.since(self.refilled_at).as_secs_f64() / bounds.window.as_secs_f64())
            / 2.0;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(max_tokens);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the maximum number of tokens: half of this instance's part of the slack. The other half
/// is refilled over a window.
fn capacity(bounds: &Bounds, instances: u32) -> f64 {
    (bounds.slack * SLACK_FACTOR / 2.0 / f64::from(instances.max(1))).max(1.0)
}
