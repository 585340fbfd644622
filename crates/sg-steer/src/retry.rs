//! The budget of retries and hedges: a share of the requests, not a number for each.

use sg_types::{percent::WHOLE, prelude::*};

/// The most attempts that the budget saves up.
pub const BURST: u64 = 5;

const ATTEMPT: u64 = WHOLE as u64;

/// Saves a share of each request and spends a whole one on each extra attempt.
///
/// It starts empty, so after any number of requests the extra attempts stay below that share of
/// them, and in any stretch of time below the share plus [`BURST`].
#[derive(Debug, Clone, Default)]
pub struct Budget {
    saved_ppm: u64,
}

impl Budget {
    /// Counts a request's first attempt.
    pub fn deposit(&mut self, share: Percent) {
        let saved = self.saved_ppm + u64::from(share.as_ppm());
        self.saved_ppm = saved.min(BURST * ATTEMPT);
    }

    /// Takes one extra attempt, if there is one.
    pub fn take(&mut self) -> bool {
        // More than one attempt, not just one, keeps the sum strictly below the share.
        if self.saved_ppm <= ATTEMPT {
            return false;
        }
        self.saved_ppm -= ATTEMPT;
        true
    }
}
