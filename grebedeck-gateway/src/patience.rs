//! How long a request may wait for a place and still be answered in time.
//!
//! What a target needs from taking a request to the first event of its answer, or to a whole answer, is
//! followed by its mean and its spread. What is left of the objective beyond that may be spent on
//! waiting. A request that waits longer is late wherever it goes.

use std::time::Duration;

/// Settings of the patience.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimitOptions {
    /// Weight of each new time in the mean and the spread.
    pub gain: f64,
    /// Mean deviations above the mean that are allowed for.
    pub deviations: f64,
    /// Least patience: some places become free within it, and a caller who is told to come back loses
    /// more.
    pub min_wait: Duration,
}

impl Default for WaitLimitOptions {
    fn default() -> Self {
        // Some dozens of answers; two mean deviations cover 19 of 20 answers.
        WaitLimitOptions { gain: 0.03, deviations: 2.0, min_wait: Duration::from_millis(20) }
    }
}

/// Times that a service's targets need for an answer.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimit {
    options: WaitLimitOptions,
    mean_s: f64,
    deviation_s: f64,
    is_known: bool,
}

impl WaitLimit {
    /// Makes the patience with targets that were not seen yet.
    pub fn new(options: WaitLimitOptions) -> Self {
        WaitLimit { options, mean_s: 0.0, deviation_s: 0.0, is_known: false }
    }

    /// Takes in the time from a request's place to its answer or its first event.
    pub fn record_answer(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();

        if !self.is_known {
            self.is_known = true;
            self.mean_s = took_s;
            return;
        }

        let off_s = took_s - self.mean_s;
        self.mean_s += self.options.gain * off_s;
        self.deviation_s += self.options.gain * (off_s.abs() - self.deviation_s);
    }

    /// Gets the mean time to an answer.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Gets how long a request with this objective may wait for a place.
    pub fn max_wait(&self, objective: Duration) -> Duration {
        let needed_s = self.mean_s + self.options.deviations * self.deviation_s;

        objective.saturating_sub(Duration::from_secs_f64(needed_s)).max(self.options.min_wait)
    }
}
