//! How a part of a process's memory is dealt out among many holders.
//!
//! Whoever holds little gets as much as there is. Whoever holds much leaves a part to the others, so that a few
//! large answers that nobody reads do not turn away the many small ones.

/// What a holder may have and still count as small, in bytes: the socket of a caller that reads takes about as
/// much at once.
pub const SMALL_BYTES: usize = 16 << 10;
/// Part that all together may have taken for a large holder to get more.
const LARGE_PART: f64 = 0.75;

/// A part of memory.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    max_bytes: usize,
    used_bytes: usize,
    peak_bytes: usize,
}

impl MemoryBudget {
    /// Makes one of which nothing is taken.
    pub fn new(max_bytes: usize) -> Self {
        MemoryBudget { max_bytes, used_bytes: 0, peak_bytes: 0 }
    }

    /// Takes more for a holder that has some already; tells whether there was enough left.
    pub fn try_reserve(&mut self, held_bytes: usize, more_bytes: usize) -> bool {
        let used = self.used_bytes.saturating_add(more_bytes);

        if used > self.limit_for(held_bytes.saturating_add(more_bytes)) {
            return false;
        }

        self.used_bytes = used;
        self.peak_bytes = self.peak_bytes.max(used);
        true
    }

    /// Gives back what was taken.
    pub fn release(&mut self, bytes: usize) {
        self.used_bytes -= bytes;
    }

    /// Tells whether a holder of that much could get it if nobody else held anything.
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.limit_for(bytes)
    }

    /// Gets the bytes that are taken.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Gets the most bytes that were taken at a time.
    pub fn peak_bytes(&self) -> usize {
        self.peak_bytes
    }

    /// Gets the bytes that may be taken.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    fn limit_for(&self, held_bytes: usize) -> usize {
        if held_bytes <= SMALL_BYTES {
            self.max_bytes
        } else {
            (self.max_bytes as f64 * LARGE_PART) as usize
        }
    }
}
