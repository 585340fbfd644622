//! Hashes that are the same on all instances of one build.

use std::hash::{BuildHasher, Hash};

use foldhash::quality::FixedState;

/// The seed of the hashes that spread callers.
pub(crate) const SEED: u64 = 0x5347;

/// The hash of `value` under `seed`.
pub(crate) fn of(seed: u64, value: impl Hash) -> u64 {
    FixedState::with_seed(seed).hash_one(value)
}

/// Mixes two hashes.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    of(a, b)
}
