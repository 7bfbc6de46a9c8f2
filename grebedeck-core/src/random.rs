//! Source of randomness that is passed into the decision logic.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random number generator for the decision logic.
///
/// Decision logic never creates a generator of its own, so that a run can be reproduced from its
/// seed.
pub trait RandomSource {
    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize;

    /// Returns a random number in `0.0..1.0`.
    fn unit(&mut self) -> f64;
}

/// Deterministic generator for tests and benchmarks.
#[derive(Clone, Debug)]
pub struct SeededSource(ChaCha8Rng);

impl SeededSource {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        SeededSource(ChaCha8Rng::seed_from_u64(seed))
    }
}

impl RandomSource for SeededSource {
    fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { self.0.random_range(0..bound) }
    }

    fn unit(&mut self) -> f64 {
        self.0.random()
    }
}
