//! How long a request may wait in the queue and still be answered in time.
//!
//! The time from the start of an attempt to the first event or the whole answer is tracked as a
//! mean and a mean deviation. What the latency objective leaves beyond that may be spent in the
//! queue. A request that waits longer misses its objective whichever target it gets.

use std::time::Duration;

/// Settings of the wait limit.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimitOptions {
    /// Weight of each new sample in the mean and the deviation.
    pub gain: f64,
    /// Mean deviations above the mean to allow for.
    pub deviations: f64,
    /// Lower bound of the limit: some slots become free within it, and a caller that is turned away
    /// and told to retry loses more.
    pub min_wait: Duration,
}

impl Default for WaitLimitOptions {
    fn default() -> Self {
        // The gain averages over some dozens of answers; two mean deviations cover 19 of 20
        // answers.
        WaitLimitOptions { gain: 0.03, deviations: 2.0, min_wait: Duration::from_millis(20) }
    }
}

/// Wait limit from the response times of a service's targets.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimit {
    options: WaitLimitOptions,
    mean_s: f64,
    deviation_s: f64,
    is_known: bool,
}

impl WaitLimit {
    /// Creates a limit without samples.
    pub fn new(options: WaitLimitOptions) -> Self {
        WaitLimit { options, mean_s: 0.0, deviation_s: 0.0, is_known: false }
    }

    /// Records the time from the start of an attempt to its answer or its first event.
    pub fn record_answer(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();

        if !self.is_known {
            self.is_known = true;
            self.mean_s = took_s;
            return;
        }

        let error_s = took_s - self.mean_s;
        self.mean_s += self.options.gain * error_s;
        self.deviation_s += self.options.gain * (error_s.abs() - self.deviation_s);
    }

    /// Mean time to an answer.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Longest time in the queue for a request with this objective.
    pub fn max_wait(&self, objective: Duration) -> Duration {
        let needed_s = self.mean_s + self.options.deviations * self.deviation_s;

        objective.saturating_sub(Duration::from_secs_f64(needed_s)).max(self.options.min_wait)
    }
}
