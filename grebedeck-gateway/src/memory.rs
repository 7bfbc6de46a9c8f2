//! Budget for a share of the process's memory, divided among many holders.
//!
//! Small holders may use the whole budget. Large holders leave a part of it free, so that a few
//! large responses that nobody reads do not cause many small ones to be refused.

/// Holding up to which a holder counts as small, in bytes: about what the socket of a caller that
/// reads takes at once.
pub const SMALL_BYTES: usize = 16 << 10;
/// Part of the budget that may be in use after a reservation by a large holder.
const LARGE_HOLDER_SHARE: f64 = 0.75;

/// Memory budget, in bytes.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    max_bytes: usize,
    used_bytes: usize,
    peak_bytes: usize,
}

impl MemoryBudget {
    /// Creates an unused budget.
    pub fn new(max_bytes: usize) -> Self {
        MemoryBudget { max_bytes, used_bytes: 0, peak_bytes: 0 }
    }

    /// Reserves more for a holder that already has `held_bytes`; returns whether there was enough
    /// left.
    pub fn try_reserve(&mut self, held_bytes: usize, more_bytes: usize) -> bool {
        let used = self.used_bytes.saturating_add(more_bytes);

        if used > self.limit_for(held_bytes.saturating_add(more_bytes)) {
            return false;
        }

        self.used_bytes = used;
        self.peak_bytes = self.peak_bytes.max(used);
        true
    }

    /// Releases reserved bytes.
    pub fn release(&mut self, bytes: usize) {
        self.used_bytes -= bytes;
    }

    /// Whether one holder could hold this much if nothing else were reserved.
    pub fn can_hold(&self, bytes: usize) -> bool {
        bytes <= self.limit_for(bytes)
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Highest number of bytes in use at any time.
    pub fn peak_bytes(&self) -> usize {
        self.peak_bytes
    }

    /// Size of the budget.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    fn limit_for(&self, held_bytes: usize) -> usize {
        if held_bytes <= SMALL_BYTES {
            self.max_bytes
        } else {
            (self.max_bytes as f64 * LARGE_HOLDER_SHARE) as usize
        }
    }
}
