//! Whether a target works more slowly than expected.

use sg_types::prelude::*;

/// Number of recent responses from which the slowness is computed. The fastest of them counts: a
/// slow target is slow with every request, while an object that was evicted there slows only one.
const SAMPLES: usize = 4;
/// Minimum number of recent responses before a target can count as slow.
const MIN_SAMPLES: usize = 3;
/// Ratio of measured to expected time below which a target does not count as slow, because response
/// times vary by about a half.
pub const SLOW_RATIO: f64 = 1.6;

/// Recent ratios of measured to expected response time of a target.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    samples: Vec<(Instant, f64)>,
}

impl Speed {
    /// Records the measured and the expected time of a response.
    pub fn record(&mut self, seconds: f64, expected_seconds: f64, now: Instant) {
        if expected_seconds <= 0.0 {
            return;
        }
        if self.samples.len() >= SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push((now, seconds / expected_seconds));
    }

    /// Returns the ratio of measured to expected time of the fastest recent response, or 1 if the
    /// target does not count as slow. Responses count for `lifetime`.
    #[must_use]
    pub fn slowness(&self, lifetime: Span, now: Instant) -> f64 {
        let recent = self
            .samples
            .iter()
            .filter(|(at, _)| now.since(*at) < lifetime);
        let (count, least) = recent.fold((0, f64::MAX), |(count, least), (_, ratio)| {
            (count + 1, ratio.min(least))
        });
        if count < MIN_SAMPLES || least < SLOW_RATIO {
            return 1.0;
        }
        least
    }
}
