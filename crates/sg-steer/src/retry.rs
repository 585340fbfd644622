//! Budget for retries and hedges as a share of all requests instead of a limit per request.

use sg_types::{percent::PPM_PER_WHOLE, prelude::*};

/// Maximum number of extra attempts that the budget saves up.
pub const BURST_ATTEMPTS: u64 = 5;

/// Cost of one extra attempt, in millionths of an attempt.
const ATTEMPT_PPM: u64 = PPM_PER_WHOLE as u64;

/// Token bucket that gains a share of an attempt for each request and spends a whole one on each
/// extra attempt.
///
/// The bucket starts empty, so the number of extra attempts stays below that share of the requests
/// at any time, and below the share plus [`BURST_ATTEMPTS`] in any period.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    saved_ppm: u64,
}

impl Budget {
    /// Adds the share of a request's first attempt.
    pub fn deposit(&mut self, share: Percent) {
        let saved = self.saved_ppm + u64::from(share.as_ppm());
        self.saved_ppm = saved.min(BURST_ATTEMPTS * ATTEMPT_PPM);
    }

    /// Takes one extra attempt and returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        // Requiring more than one saved attempt, not exactly one, keeps the number of extra
        // attempts strictly below the share.
        if self.saved_ppm <= ATTEMPT_PPM {
            return false;
        }
        self.saved_ppm -= ATTEMPT_PPM;
        true
    }
}
