//! Estimates the time from ordering a hold until all ranks are armed.
//!
//! If a hold is ordered for an earlier pass than that, the group waits for it; if for a much later
//! one, a worse placement stays in use for longer. The time depends on the group's size, its links
//! and the load of the processes, so it is estimated from the most recent changeovers.

use std::collections::VecDeque;
use std::time::Duration;

/// Changeovers that are considered. There is one every few seconds, and a slow one has to drop out
/// soon. The mean plus two deviations of eight allowed 0.35 to 0.6 s after an initial one of 0.24
/// s, where 0.16 s were needed (192 ranks).
const MAX_SAMPLES: usize = 4;
/// Margin on top of the longest of them, as a ratio.
const MARGIN_RATIO: f64 = 0.1;

/// Durations of the most recent changeovers.
#[derive(Clone, Debug, Default)]
pub(super) struct ArmingTime {
    samples: VecDeque<Duration>,
}

impl ArmingTime {
    /// Records the duration of a changeover.
    pub(super) fn record(&mut self, duration: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }

        self.samples.push_back(duration);
    }

    /// Returns the time to allow for a changeover; `initial` while none has been recorded.
    pub(super) fn expected(&self, initial: Duration) -> Duration {
        let longest = self.samples.iter().max();

        longest.map_or(initial, |longest| longest.mul_f64(1.0 + MARGIN_RATIO))
    }
}
