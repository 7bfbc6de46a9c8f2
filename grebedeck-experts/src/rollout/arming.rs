//! How long it takes from ordering a hold until all ranks are armed.
//!
//! A pass that begins later than that can be held without anybody waiting for it. The time follows the
//! group's size, its links and the load of the processes, so it is taken from the changeovers that were seen.

use std::time::Duration;

/// Weight of each new time in the mean and the deviation: as in the estimate of a round trip, RFC 6298.
const GAIN: f64 = 0.125;
/// Mean deviations above the mean that are allowed for: 19 in 20 changeovers end within them.
const DEVIATIONS: f64 = 2.0;
/// Deviation of the first time that is seen, as a part of it; also as in RFC 6298.
const FIRST_DEVIATION: f64 = 0.5;

/// The times that were seen.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArmingTime {
    /// Mean and mean deviation, in seconds.
    seen: Option<(f64, f64)>,
}

impl ArmingTime {
    /// Takes in how long a changeover took.
    pub(super) fn note(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        let Some((mean_s, deviation_s)) = &mut self.seen else {
            self.seen = Some((took_s, took_s * FIRST_DEVIATION));
            return;
        };
        let off_s = took_s - *mean_s;
        *mean_s += GAIN * off_s;
        *deviation_s += GAIN * (off_s.abs() - *deviation_s);
    }

    /// Gets the time to allow for; `first` while none was seen.
    pub(super) fn expected(&self, first: Duration) -> Duration {
        self.seen.map_or(first, |(mean_s, deviation_s)| {
            Duration::from_secs_f64(mean_s + DEVIATIONS * deviation_s)
        })
    }
}
