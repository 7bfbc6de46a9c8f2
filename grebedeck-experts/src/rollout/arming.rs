//! How long it takes from ordering a hold until all ranks are armed.
//!
//! A pass that begins later than that can be held without anybody waiting for it; one that begins much later
//! keeps a worse placement in use. The time follows the group's size, its links and the load of the processes, so it
//! is taken from the newest changeovers.

use std::collections::VecDeque;
use std::time::Duration;

/// Changeovers that are looked at: some come each few seconds, and a slow one is to be forgotten soon. A mean
/// with two deviations over eight of them allowed 0.35 to 0.6 s after a first one of 0.24 s, where 0.16 s were
/// needed, by the logs of a day with 192 ranks.
const NEWEST: usize = 4;
/// Part that is allowed on top of the longest of them.
const MARGIN: f64 = 0.1;

/// The times that were seen.
#[derive(Clone, Debug, Default)]
pub(super) struct ArmingTime {
    newest: VecDeque<Duration>,
}

impl ArmingTime {
    /// Takes in how long a changeover took.
    pub(super) fn note(&mut self, took: Duration) {
        if self.newest.len() == NEWEST {
            self.newest.pop_front();
        }

        self.newest.push_back(took);
    }

    /// Gets the time to allow for; `first` while none was seen.
    pub(super) fn expected(&self, first: Duration) -> Duration {
        let longest = self.newest.iter().max();

        longest.map_or(first, |longest| longest.mul_f64(1.0 + MARGIN))
    }
}
