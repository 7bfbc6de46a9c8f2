//! Limits the load of a model's group so that the pauses between the events of its streams stay
//! short.
//!
//! All ranks run each forward pass together, so its duration depends on the requests of the whole
//! group, and on how well experts are placed at the moment. A gateway observes it as the pause
//! between the events of its own streams. A pass takes a base time without any requests, plus about
//! the same time for each request. The pauses and the load at which they were observed therefore
//! give the load at which pauses would be as desired.
//!
//! A slow rank makes each pass longer whatever the load is. The load that would meet the limit may
//! then be so small that a higher load is worth more, although all its responses are late. In that
//! case as many requests are admitted as can end before their deadline.

use std::time::Duration;

use grebedeck_core::Moment;

/// Settings of the load limit.
#[derive(Clone, Copy, Debug)]
pub struct PacingOptions {
    /// Duration of a pass without any requests.
    pub base: Duration,
    /// Longest pause with which a stream has its full value.
    pub pause_limit: Duration,
    /// Mean deviations by which the mean pause is kept below that limit.
    pub deviations: f64,
    /// Weight of each new pause in the mean.
    pub gain: f64,
    /// Weight of each new pause in the long-term mean and deviation.
    pub long_gain: f64,
    /// Age at which the mean expires.
    pub sample_lifetime: Duration,
    /// Lowest load that is always allowed, in requests per slot.
    pub min_load: f64,
    /// Value of a late response, as a fraction of one in time.
    pub late_value: f64,
    /// Longest pause with which a stream still ends before its deadline.
    pub late_limit: Duration,
}

impl PacingOptions {
    /// Settings for passes that take `base` without any requests.
    pub fn new(base: Duration, pause_limit: Duration) -> Self {
        PacingOptions {
            base,
            pause_limit,
            // A stream is late if its longest pause is. Compared with a fixed fraction of 0.8 of
            // the limit, 3 deviations gained 0.012 ± 0.005 of value where popularity shifts often,
            // and 2 and 4 gained nothing. Where popularity does not shift, 3 deviations cost 0.02
            // to 0.03 on days of high load compared with 1.5, as callers are refused.
            deviations: 2.0,
            // Some dozens of pauses, which a gateway observes within a tenth of a second.
            gain: 0.03,
            // A thousand pauses, which take some seconds: popularity shifts about as often.
            long_gain: 0.001,
            sample_lifetime: Duration::from_secs(1),
            // Enough to observe the pauses of a recovering group at once.
            min_load: 0.3,
            // 0.49 to 0.51 for streams, by the users' sheets.
            late_value: 0.5,
            late_limit: Duration::MAX,
        }
    }

    /// Settings for streams that usually take `usual_passes` passes and have to end within
    /// `deadline`.
    pub fn with_deadline(self, deadline: Duration, usual_passes: f64) -> Self {
        let late_limit = deadline.div_f64(usual_passes.max(1.0) * LONG_STREAM_RATIO);

        PacingOptions { late_limit: late_limit.max(self.pause_limit), ..self }
    }
}

/// Length of a long stream, as a multiple of the usual one. With lengths that deviate by 0.8 of
/// their mean, as on the users' sheets, 9 in 10 are shorter. A stream that does not end before its
/// deadline has used a slot for nothing.
const LONG_STREAM_RATIO: f64 = 2.0;

/// Rate limiter for the prompts that a gateway sends to a group.
///
/// All ranks wait in each pass for the one that reads the most prompt tokens, so prompts that begin
/// together make every stream pause. After an outage hundreds of them arrive at once.
#[derive(Clone, Copy, Debug)]
pub struct PromptLimiter {
    tokens_per_s: f64,
    burst: Duration,
    free_at: Moment,
}

impl PromptLimiter {
    /// Creates a limiter. After an idle time, prompts worth `burst` at the full rate may begin at
    /// once.
    pub fn new(tokens_per_s: f64, burst: Duration) -> Self {
        PromptLimiter { tokens_per_s, burst, free_at: Moment::ZERO }
    }

    /// Sets the rate, as targets and gateways come and go.
    pub fn set_rate(&mut self, tokens_per_s: f64) {
        self.tokens_per_s = tokens_per_s;
    }

    /// Time until the next prompt may begin.
    pub fn wait(&self, now: Moment) -> Duration {
        self.free_at.saturating_sub(now)
    }

    /// Records the start of a prompt.
    pub fn take(&mut self, tokens: u64, now: Moment) {
        let earliest = now.saturating_sub(self.burst);
        let duration = Duration::from_secs_f64(tokens as f64 / self.tokens_per_s.max(1.0));
        self.free_at = self.free_at.max(earliest) + duration;
    }
}

/// Load limit of one service's group.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    options: PacingOptions,
    mean_s: f64,
    long_mean_s: f64,
    /// Mean deviation, as a fraction of the mean.
    spread: f64,
    observed_at: Option<Moment>,
}

/// Spread to assume before pauses are observed.
const INITIAL_SPREAD: f64 = 0.2;
/// Upper bound of the spread, so that an outage does not keep requests out for long.
const MAX_SPREAD: f64 = 0.5;

impl Pacing {
    /// Creates the limit of a group without observations.
    pub fn new(options: PacingOptions) -> Self {
        Pacing { options, mean_s: 0.0, long_mean_s: 0.0, spread: INITIAL_SPREAD, observed_at: None }
    }

    /// Records the pause between two events of one stream.
    pub fn record_pause(&mut self, pause: Duration, now: Moment) {
        let pause_s = pause.as_secs_f64();
        self.record_spread(pause_s);

        if self.is_known(now) {
            self.mean_s += self.options.gain * (pause_s - self.mean_s);
        } else {
            self.mean_s = pause_s;
        }

        self.observed_at = Some(now);
    }

    fn record_spread(&mut self, pause_s: f64) {
        if self.long_mean_s <= 0.0 {
            self.long_mean_s = pause_s;
        }

        self.long_mean_s += self.options.long_gain * (pause_s - self.long_mean_s);
        let error = (pause_s / self.long_mean_s.max(1e-6) - 1.0).abs();
        self.spread += self.options.long_gain * (error - self.spread);
    }

    /// Mean pause to aim for. Pauses vary and the longest one of a stream decides, so it is below
    /// the limit.
    pub fn desired_pause(&self) -> Duration {
        let spread = self.spread.min(MAX_SPREAD);

        self.options.pause_limit.div_f64(1.0 + self.options.deviations * spread)
    }

    /// Mean pause, if it was observed recently.
    pub fn pause(&self, now: Moment) -> Option<Duration> {
        self.is_known(now).then(|| Duration::from_secs_f64(self.mean_s))
    }

    /// Load at which pauses would be as desired, in requests per slot, given the current `load` of
    /// the group. `slowdown` is that of the slowest rank, which all others wait for; `full` is the
    /// upper bound of the result.
    pub fn allowed_load(&self, load: f64, slowdown: f64, full: f64, now: Moment) -> f64 {
        if !self.is_known(now) {
            return full;
        }

        let usual_base_s = self.options.base.as_secs_f64();
        let desired_s = self.desired_pause().as_secs_f64();
        let empty_pass_s = (usual_base_s * slowdown).min(self.mean_s);
        // A pause shorter than an empty pass allows no conclusion about the load.
        let load_dependent_s = (self.mean_s - empty_pass_s).max(usual_base_s * 0.1);
        let in_time = (load * (desired_s - empty_pass_s) / load_dependent_s).clamp(0.0, full);
        let late_s = self.options.late_limit.as_secs_f64();
        let least = self.options.min_load.min(full);
        let late = (load * (late_s - empty_pass_s) / load_dependent_s).clamp(least, full);
        let at_late_s = empty_pass_s + load_dependent_s * late / load.max(self.options.min_load);
        let is_better_late = late / at_late_s * self.options.late_value > in_time / desired_s;

        if is_better_late { late } else { in_time.max(least) }
    }

    fn is_known(&self, now: Moment) -> bool {
        self.observed_at.is_some_and(|at| now < at + self.options.sample_lifetime)
    }
}
