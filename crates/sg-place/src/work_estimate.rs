//! Estimates from responses how long requests of a route take at a target.

use sg_types::prelude::*;

/// Weight of a new sample in a moving average.
const SMOOTHING: f64 = 0.05;
/// Minimum ratio of cold to warm work. On some routes, the two can't be told apart by measurement.
const MIN_COLD_RATIO: f64 = 1.3;
/// Minimum work of a request.
const MIN_WORK_SECONDS: f64 = 0.001;
/// Number of warm samples from which the measured time decides whether an object was warm.
const MIN_WARM_SAMPLES: f64 = 8.0;
/// Number of samples that are averaged with equal weights before the moving average applies.
const EQUAL_WEIGHT_SAMPLES: f64 = 20.0;
/// Initial estimate of the work of a warm request, as a fraction of the latency objective.
const INITIAL_WARM_FRACTION: f64 = 0.5;
/// Initial estimate of the work of a cold request, as a fraction of the latency objective.
const INITIAL_COLD_FRACTION: f64 = 1.4;

/// Number of average deviations by which the longest work exceeds the average work. For the usual distributions, one
/// or two requests in a hundred take longer.
const LONGEST_DEVIATIONS: f64 = 4.0;
/// Minimum ratio of the longest work to the expected work.
const MIN_LONGEST_RATIO: f64 = 1.5;

/// An exponential moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingAverage {
    value: f64,
    samples: f64,
}

impl MovingAverage {
    /// Adds `sample` to the average.
    pub fn record_sample(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(1.0 / SMOOTHING);
        let weight = if self.samples < EQUAL_WEIGHT_SAMPLES {
            1.0 / self.samples
        } else {
            SMOOTHING
        };
        self.value += (sample - self.value) * weight;
    }

    /// Returns the average, or `None` without samples.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.value)
    }
}

/// Estimates of the work of a route's requests, that is, of their time at a target without waiting.
#[derive(Debug, Clone, Copy)]
pub struct WorkEstimate {
    objective_seconds: f64,
    warm: MovingAverage,
    cold: MovingAverage,
    all: MovingAverage,
    /// Deviation of the work of all requests from their average.
    deviation: MovingAverage,
    cold_fraction: MovingAverage,
    initial_cold_fraction: f64,
}

impl WorkEstimate {
    /// Creates estimates from the latency objective only. `initial_cold_fraction` is the fraction
    /// of cold objects at the highest-ranked target that is assumed before the first response.
    #[must_use]
    pub fn new(objective: Span, initial_cold_fraction: f64) -> Self {
        Self {
            objective_seconds: objective.as_secs_f64(),
            warm: MovingAverage::default(),
            cold: MovingAverage::default(),
            all: MovingAverage::default(),
            deviation: MovingAverage::default(),
            cold_fraction: MovingAverage::default(),
            initial_cold_fraction,
        }
    }

    /// Records the time that a target worked. `known_warm` says that the object was known to be
    /// warm there. Once there are enough warm samples, the time itself decides between warm and
    /// cold, because the object may have been evicted, or warmed by another instance.
    pub fn record(&mut self, seconds: f64, known_warm: bool) {
        let seconds = seconds.max(MIN_WORK_SECONDS);
        let warm = if self.warm.samples >= MIN_WARM_SAMPLES {
            seconds < self.threshold_seconds()
        } else {
            known_warm
        };
        let average = if warm { &mut self.warm } else { &mut self.cold };
        average.record_sample(seconds);
        if let Some(typical) = self.all.value() {
            self.deviation.record_sample((seconds - typical).abs());
        }
        self.all.record_sample(seconds);
    }

    /// Records the time that the highest-ranked target worked on an object that was not known to be
    /// warm. The time decides whether the object was cold there.
    pub fn record_highest_ranked(&mut self, seconds: f64) {
        let cold = seconds > self.threshold_seconds();
        self.cold_fraction.record_sample(f64::from(cold));
    }

    /// Returns the work from which an object counts as cold.
    fn threshold_seconds(&self) -> f64 {
        (self.expected_work_seconds(true) + self.expected_work_seconds(false)) / 2.0
    }

    /// Returns the fraction of requests that find their object cold at the highest-ranked target.
    #[must_use]
    pub fn cold_fraction(&self) -> f64 {
        self.cold_fraction
            .value()
            .unwrap_or(self.initial_cold_fraction)
    }

    /// Returns the average work of all requests, as an estimate for a request that waits.
    #[must_use]
    pub fn typical_work_seconds(&self) -> f64 {
        self.all.value().unwrap_or_else(|| self.threshold_seconds())
    }

    /// Returns the ratio of the longest work, leaving out rare exceptions, to the expected work of a request
    /// whose object is warm or cold.
    #[must_use]
    pub fn longest_ratio(&self, warm: bool) -> f64 {
        let deviation = self.deviation.value().unwrap_or(0.0);
        let by_deviation = self.all.value().unwrap_or(0.0) + LONGEST_DEVIATIONS * deviation;
        // What seldom takes long counts as cold, also if requests have no object.
        let longest = by_deviation.max(self.cold.value().unwrap_or(0.0));
        (longest / self.expected_work_seconds(warm)).max(MIN_LONGEST_RATIO)
    }

    /// Returns the expected work of a request whose object is warm or cold.
    #[must_use]
    pub fn expected_work_seconds(&self, warm: bool) -> f64 {
        if warm {
            self.warm
                .value()
                .unwrap_or(self.objective_seconds * INITIAL_WARM_FRACTION)
        } else {
            let least = self.warm.value().unwrap_or(0.0);
            let cold = self
                .cold
                .value()
                .unwrap_or(self.objective_seconds * INITIAL_COLD_FRACTION);
            cold.max(least * MIN_COLD_RATIO)
        }
    }
}
