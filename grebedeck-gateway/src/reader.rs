//! A peer that is written to, and whether it still takes something.

use std::time::Duration;

use grebedeck_core::Moment;

/// What became of the last write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteWait {
    /// It may be waited for this long.
    For(Duration),
    /// The peer has taken nothing for too long.
    Stalled,
    /// The time of the whole is over.
    TimedOut,
}

/// A peer that reads.
#[derive(Clone, Debug)]
pub struct WriteTimeouts {
    limit: Duration,
    until: Moment,
    took_at: Moment,
}

impl WriteTimeouts {
    /// Makes a peer that is given up when it takes nothing for `limit`, and at `until` in any case.
    pub fn new(limit: Duration, until: Moment, now: Moment) -> Self {
        WriteTimeouts { limit, until, took_at: now }
    }

    /// Notes that the peer has taken some bytes.
    pub fn record_progress(&mut self, now: Moment) {
        self.took_at = now;
    }

    /// Tells how long it may be waited for.
    pub fn remaining(&self, now: Moment) -> WriteWait {
        if now >= self.until {
            return WriteWait::TimedOut;
        }

        match self.limit.saturating_sub(now - self.took_at) {
            Duration::ZERO => WriteWait::Stalled,
            left => WriteWait::For(left.min(self.until - now)),
        }
    }
}
