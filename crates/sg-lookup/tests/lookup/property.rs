//! Runs quickcheck properties with a fixed seed, which `SG_SEED` overrides. The seed is printed.

use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 1;
const SIZE: usize = 100;

/// Checks `property` and panics with a counterexample if it does not hold.
pub fn check(property: impl Testable) {
    let override_seed = std::env::var("SG_SEED").ok();
    let seed = override_seed
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(SEED);
    println!("SG_SEED={seed}");
    let rng = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new().rng(rng).quickcheck(property);
}
