//! Hashes that are equal on all instances of the same build.

use std::hash::{BuildHasher, Hash};

use foldhash::quality::FixedState;

/// The seed of the hashes that distribute callers over entries.
pub(crate) const SEED: u64 = 0x5347;

/// Returns the hash of `value` with `seed`.
pub(crate) fn of(seed: u64, value: impl Hash) -> u64 {
    FixedState::with_seed(seed).hash_one(value)
}

/// Combines two hashes into one.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    of(a, b)
}
