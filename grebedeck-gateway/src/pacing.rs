//! How many requests a model's group takes so that the pauses between its events stay short.
//!
//! All ranks make each pass together, so its length depends on the requests of the whole group, and on
//! how well experts are placed at the moment. A gateway sees it as the pause between the events of its
//! own streams. A pass takes some time without any request, and about the same more for each: from the
//! pauses and the load that they were seen at follows the load at which they would be as wanted.
//!
//! A rank that is slow makes each pass longer whatever the load is. Where so few requests would come in
//! time that more of them, all late, are worth more, as many are taken as end before their deadline.

use std::time::Duration;

use grebedeck_core::Moment;

/// Settings of the pace.
#[derive(Clone, Copy, Debug)]
pub struct PacingOptions {
    /// Time of a pass without any request.
    pub base: Duration,
    /// Longest pause with which a stream is of full use.
    pub pause_limit: Duration,
    /// Mean deviations that the mean pause is kept below that limit by.
    pub deviations: f64,
    /// Weight of each new pause in the mean.
    pub gain: f64,
    /// Weight of each new pause in the mean and the deviation over a longer time.
    pub long_gain: f64,
    /// Age at which the mean is no longer believed.
    pub sample_lifetime: Duration,
    /// Least load that is always allowed, in requests for each place.
    pub min_load: f64,
    /// What a late answer is worth, as a part of one in time.
    pub late_value: f64,
    /// Longest pause with which a stream still ends before its deadline.
    pub late_limit: Duration,
}

impl PacingOptions {
    /// Makes the settings for a pass that takes `base` without any request.
    pub fn new(base: Duration, pause_limit: Duration) -> Self {
        PacingOptions {
            base,
            pause_limit,
            // A stream is late by its longest pause. Against a fixed part of 0.8, 3 deviations gave +0.012 ± 0.005
            // of worth where popularity shifts often, and 2 and 4 nothing; where it does not, 3 cost 0.02 to 0.03
            // on days of high load against 1.5, by callers that are refused.
            deviations: 2.0,
            // Some dozens of pauses, which a gateway sees within a tenth of a second.
            gain: 0.03,
            // A thousand pauses, some seconds of them: shifts of what is popular come as often.
            long_gain: 0.001,
            sample_lifetime: Duration::from_secs(1),
            // Enough that a group that comes back shows its pace at once.
            min_load: 0.3,
            // The users' sheets give 0.49 to 0.51 for streams.
            late_value: 0.5,
            late_limit: Duration::MAX,
        }
    }

    /// Makes settings for streams that usually take so many passes and have to end within `deadline`.
    pub fn with_deadline(self, deadline: Duration, usual_passes: f64) -> Self {
        let late_limit = deadline.div_f64(usual_passes.max(1.0) * LONG_STREAM);

        PacingOptions { late_limit: late_limit.max(self.pause_limit), ..self }
    }
}

/// Length of a long stream, as a multiple of the usual one: with lengths that deviate by 0.8 of their mean, as on
/// the users' sheets, 9 in 10 are shorter. Streams that do not end before their deadline have taken places for
/// nothing.
const LONG_STREAM: f64 = 2.0;

/// Rate at which a gateway gives prompts to a group.
///
/// All ranks wait in each pass for the one that reads most, so prompts that begin together make every
/// stream pause. After an outage hundreds of them come at once.
#[derive(Clone, Copy, Debug)]
pub struct PromptLimiter {
    tokens_per_s: f64,
    burst: Duration,
    free_at: Moment,
}

impl PromptLimiter {
    /// Makes a rate; prompts worth `burst` of it may begin at once after a pause.
    pub fn new(tokens_per_s: f64, burst: Duration) -> Self {
        PromptLimiter { tokens_per_s, burst, free_at: Moment::ZERO }
    }

    /// Sets the rate, as targets and gateways come and go.
    pub fn set_rate(&mut self, tokens_per_s: f64) {
        self.tokens_per_s = tokens_per_s;
    }

    /// Gets the time until the next prompt may begin.
    pub fn wait(&self, now: Moment) -> Duration {
        self.free_at.saturating_sub(now)
    }

    /// Notes that a prompt begins.
    pub fn take(&mut self, tokens: u64, now: Moment) {
        let earliest = now.saturating_sub(self.burst);
        let takes = Duration::from_secs_f64(tokens as f64 / self.tokens_per_s.max(1.0));
        self.free_at = self.free_at.max(earliest) + takes;
    }
}

/// The pace of one service's group.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    options: PacingOptions,
    mean_s: f64,
    long_mean_s: f64,
    /// Mean deviation, as a part of the mean.
    spread: f64,
    seen_at: Option<Moment>,
}

/// Spread that is taken for granted until another was seen.
const FIRST_SPREAD: f64 = 0.2;
/// Greatest spread that is believed, so that some outage does not keep requests out for long.
const MAX_SPREAD: f64 = 0.5;

impl Pacing {
    /// Makes the pace of a group that was not seen yet.
    pub fn new(options: PacingOptions) -> Self {
        Pacing { options, mean_s: 0.0, long_mean_s: 0.0, spread: FIRST_SPREAD, seen_at: None }
    }

    /// Takes in the pause between two events of one stream.
    pub fn record_pause(&mut self, pause: Duration, now: Moment) {
        let pause_s = pause.as_secs_f64();
        self.note_spread(pause_s);

        if self.is_known(now) {
            self.mean_s += self.options.gain * (pause_s - self.mean_s);
        } else {
            self.mean_s = pause_s;
        }

        self.seen_at = Some(now);
    }

    fn note_spread(&mut self, pause_s: f64) {
        if self.long_mean_s <= 0.0 {
            self.long_mean_s = pause_s;
        }

        self.long_mean_s += self.options.long_gain * (pause_s - self.long_mean_s);
        let off = (pause_s / self.long_mean_s.max(1e-6) - 1.0).abs();
        self.spread += self.options.long_gain * (off - self.spread);
    }

    /// Gets the mean pause that is aimed at: pauses vary, and the longest of a stream decides.
    pub fn desired_pause(&self) -> Duration {
        let spread = self.spread.min(MAX_SPREAD);

        self.options.pause_limit.div_f64(1.0 + self.options.deviations * spread)
    }

    /// Gets the mean pause, where it was seen lately.
    pub fn pause(&self, now: Moment) -> Option<Duration> {
        self.is_known(now).then(|| Duration::from_secs_f64(self.mean_s))
    }

    /// Gets the load at which pauses would be as wanted, in requests for each place, for the load that
    /// the group has now. `slowdown` is that of the slowest rank, which all others wait for; `full` is
    /// the load that is allowed at the most.
    pub fn allowed_load(&self, load: f64, slowdown: f64, full: f64, now: Moment) -> f64 {
        if !self.is_known(now) {
            return full;
        }

        let usual_base_s = self.options.base.as_secs_f64();
        let aim_s = self.desired_pause().as_secs_f64();
        let empty_s = (usual_base_s * slowdown).min(self.mean_s);
        // Below the time of an empty pass nothing follows from the pause.
        let for_requests_s = (self.mean_s - empty_s).max(usual_base_s * 0.1);
        let in_time = (load * (aim_s - empty_s) / for_requests_s).clamp(0.0, full);
        let late_s = self.options.late_limit.as_secs_f64();
        let least = self.options.min_load.min(full);
        let late = (load * (late_s - empty_s) / for_requests_s).clamp(least, full);
        let at_late_s = empty_s + for_requests_s * late / load.max(self.options.min_load);
        let is_better_late = late / at_late_s * self.options.late_value > in_time / aim_s;

        if is_better_late { late } else { in_time.max(least) }
    }

    fn is_known(&self, now: Moment) -> bool {
        self.seen_at.is_some_and(|at| now < at + self.options.sample_lifetime)
    }
}
