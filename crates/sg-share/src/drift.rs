//! Safety margins for clocks that run at different rates.

use sg_types::prelude::*;

const PPM: u128 = 1_000_000;
/// Upper bound of the configured error, in millionths. With a greater error almost no time would
/// pass on the slowest clock.
const MOST: u32 = 500_000;

/// The maximum error of a clock's rate relative to true time, in millionths.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drift(u128);

impl Drift {
    pub(crate) fn new(error: Percent) -> Self {
        Self(u128::from(error.as_ppm().min(MOST)))
    }

    /// Returns the span to wait on the fastest clock so that `span` has passed on the slowest one.
    pub(crate) fn outlast(self, span: Span) -> Span {
        let nanos = u128::from(span.as_nanos()) * (PPM + self.0) / (PPM - self.0) + 1;
        Span::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the nano-units that accrue at `rate_micros` during `span`. The span is measured by a
    /// clock that may run fast, so the result is scaled down to true time.
    pub(crate) fn accrue(self, rate_micros: u64, span: Span) -> u64 {
        let nanos = u128::from(rate_micros) * u128::from(span.as_nanos()) / PPM;
        u64::try_from(nanos * (PPM - self.0) / PPM).unwrap_or(u64::MAX)
    }
}
