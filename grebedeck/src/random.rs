//! Random numbers of the process.

use grebedeck_core::RandomSource;
use rand::Rng;
use rand::rngs::ThreadRng;

/// Random source that uses the thread's generator.
pub struct ProcessRandom(ThreadRng);

impl Default for ProcessRandom {
    fn default() -> Self {
        ProcessRandom(rand::rng())
    }
}

impl RandomSource for ProcessRandom {
    fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { self.0.random_range(0..bound) }
    }

    fn unit(&mut self) -> f64 {
        self.0.random()
    }
}

/// Generates a random request id.
pub fn request_id() -> grebedeck_core::RequestId {
    rand::rng().random()
}
