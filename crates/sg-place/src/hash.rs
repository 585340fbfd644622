//! Rendezvous hashing, by which all instances compute the same ranking without communication.

use std::hash::{BuildHasher, Hash};

use foldhash::quality::FixedState;

/// Seed of all hashes. It must be the same on all instances, or their rankings would differ.
const SEED: u64 = 0x5347_5241_4e4b_0001;
/// Bits of a hash that form the fraction.
const FRACTION_BITS: u32 = 53;

/// Object that a request is about, or another key by which targets and instances are ranked. A
/// target responds faster to requests about objects that it handled recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Object(u64);

impl Object {
    /// Returns the object called `name` within `scope`.
    #[must_use]
    pub fn new(scope: impl Hash, name: impl Hash) -> Self {
        Self(FixedState::with_seed(SEED).hash_one((scope, name)))
    }

    /// Returns the object whose [`to_bits`](Self::to_bits) are `bits`.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the number by which instances tell each other of the object.
    #[must_use]
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// Returns the score of `other` for this object. The highest score ranks first, and the score
    /// is the same on all instances.
    #[must_use]
    pub fn score(self, other: impl Hash) -> u64 {
        FixedState::with_seed(self.0).hash_one(other)
    }

    /// Returns the score of `other` as a fraction above 0 and at most 1.
    #[must_use]
    pub fn fraction(self, other: impl Hash) -> f64 {
        let top = self.score(other) >> (u64::BITS - FRACTION_BITS);
        (top as f64 + 1.0) / (1u64 << FRACTION_BITS) as f64
    }
}
