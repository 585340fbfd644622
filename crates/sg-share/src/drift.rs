//! Safety margins for clocks that run at different rates.

use sg_types::prelude::*;

const PARTS_PER_MILLION: u128 = 1_000_000;
/// The upper limit of the configured error. As the error approaches 100%, the time to wait grows
/// without bound, because hardly any time passes on the slowest clock.
const MAX_ERROR_PPM: u32 = 500_000;

/// The maximum error of a clock's rate relative to true time, in millionths.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drift(u128);

impl Drift {
    pub(crate) fn new(error: Percent) -> Self {
        Self(u128::from(error.as_ppm().min(MAX_ERROR_PPM)))
    }

    /// Returns the time to wait by the fastest clock until `span` has passed on the slowest one.
    pub(crate) fn safe_wait(self, span: Span) -> Span {
        let nanos = u128::from(span.as_nanos()) * (PARTS_PER_MILLION + self.0)
            / (PARTS_PER_MILLION - self.0)
            + 1;
        Span::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the nano-units that accrue at `rate_micros` during `span`. The span is measured by a
    /// clock that may run fast, so the result is scaled down to true time.
    pub(crate) fn accrue(self, rate_micros: u64, span: Span) -> u64 {
        let nanos = u128::from(rate_micros) * u128::from(span.as_nanos()) / PARTS_PER_MILLION;
        u64::try_from(nanos * (PARTS_PER_MILLION - self.0) / PARTS_PER_MILLION).unwrap_or(u64::MAX)
    }
}
