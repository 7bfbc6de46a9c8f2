//! Source of randomness that is passed into the deciders.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Draws random numbers for a decider.
///
/// A decider never opens a source of its own, so that a run can be repeated from its seed.
pub trait RandomSource {
    /// Draws a number below `bound`, or 0 where `bound` is 0.
    fn below(&mut self, bound: usize) -> usize;

    /// Draws a number in `0.0..1.0`.
    fn unit(&mut self) -> f64;
}

/// A generator for tests and benches, repeatable from its seed.
#[derive(Clone, Debug)]
pub struct SeededSource(ChaCha8Rng);

impl SeededSource {
    /// Makes a source from a seed.
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
