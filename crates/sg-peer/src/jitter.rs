//! Jitter for periodic work, seeded so that a run can be replayed.

use std::sync::atomic::{AtomicU64, Ordering};

use sg_types::{id, revision::Incarnation};

/// The increment of the SplitMix64 generator.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// The multipliers of the SplitMix64 generator.
const MIX_A: u64 = 0xbf58_476d_1ce4_e5b9;
const MIX_B: u64 = 0x94d0_49bb_1331_11eb;

/// A generator of random fractions.
#[derive(Debug)]
pub(crate) struct Jitter {
    state: AtomicU64,
}

impl Jitter {
    /// Creates a generator whose seed depends on the instance and its incarnation.
    pub(crate) fn new(instance: &id::Instance, incarnation: Incarnation) -> Self {
        let hash = blake3::hash(instance.as_str().as_bytes());
        let name = hash.as_bytes()[..8]
            .iter()
            .fold(0, |seed, byte| seed << 8 | u64::from(*byte));
        Self {
            state: AtomicU64::new(name ^ incarnation.get()),
        }
    }

    /// Returns a number in the range from 0 to 1, without 1.
    pub(crate) fn fraction(&self) -> f64 {
        let mut z = self.state.fetch_add(STEP, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(MIX_A);
        z = (z ^ (z >> 27)).wrapping_mul(MIX_B);
        z ^= z >> 31;
        (z >> 11) as f64 / (1_u64 << 53) as f64
    }
}
