//! Source of randomness that is passed into the deciders.

/// Draws random numbers for a decider.
///
/// A decider never opens a source of its own, so that a run can be repeated from its seed.
pub trait RandomSource {
    /// Draws a number below `bound`, or 0 where `bound` is 0.
    fn below(&mut self, bound: usize) -> usize;

    /// Draws a number in `0.0..1.0`.
    fn unit(&mut self) -> f64;
}

/// A small generator for tests and benches (xorshift), repeatable from its seed.
#[derive(Clone, Debug)]
pub struct SeededSource {
    state: u64,
}

impl SeededSource {
    /// Makes a source from a seed.
    pub fn new(seed: u64) -> Self {
        // A zero state would stay zero for ever.
        SeededSource { state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 }
    }

    fn next(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;

        self.state.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
}

impl RandomSource for SeededSource {
    fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { (self.next() % bound as u64) as usize }
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
