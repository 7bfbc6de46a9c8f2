//! Time limits on writing to a peer that may read slowly or not at all.

use std::time::Duration;

use grebedeck_core::Moment;

/// Whether a write may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteWait {
    /// The write may block for this long.
    For(Duration),
    /// The peer has accepted no bytes for the stall limit.
    Stalled,
    /// The overall deadline has passed.
    TimedOut,
}

/// Stall limit and overall deadline of the writes to one peer.
#[derive(Clone, Debug)]
pub struct WriteTimeouts {
    stall_limit: Duration,
    deadline: Moment,
    progress_at: Moment,
}

impl WriteTimeouts {
    /// Sets a limit on the time without progress, and a deadline for the whole.
    pub fn new(stall_limit: Duration, deadline: Moment, now: Moment) -> Self {
        WriteTimeouts { stall_limit, deadline, progress_at: now }
    }

    /// Records that the peer accepted some bytes.
    pub fn record_progress(&mut self, now: Moment) {
        self.progress_at = now;
    }

    /// Time that the next write may block.
    pub fn remaining(&self, now: Moment) -> WriteWait {
        if now >= self.deadline {
            return WriteWait::TimedOut;
        }

        match self.stall_limit.saturating_sub(now - self.progress_at) {
            Duration::ZERO => WriteWait::Stalled,
            left => WriteWait::For(left.min(self.deadline - now)),
        }
    }
}
