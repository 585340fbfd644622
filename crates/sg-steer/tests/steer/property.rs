//! Property tests with quickcheck. The seed is fixed, printed, and overridden by `SG_SEED`.

use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 1;
const SIZE: usize = 100;

/// Checks that `property` holds for generated inputs.
pub fn check(property: impl Testable) {
    let given = std::env::var("SG_SEED").ok();
    let seed = given.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("SG_SEED={seed}");
    let rng = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new().rng(rng).quickcheck(property);
}
