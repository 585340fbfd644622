//! Properties by quickcheck from a fixed seed, printed, that `SG_SEED` replaces.

use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 1;
const SIZE: usize = 100;

/// Checks that `property` holds.
pub fn holds(property: impl Testable) {
    let given = std::env::var("SG_SEED").ok();
    let seed = given.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("SG_SEED={seed}");
    let rng = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new().rng(rng).quickcheck(property);
}
