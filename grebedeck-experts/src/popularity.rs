//! Estimates the fraction of tokens that each expert receives, from late or incomplete counts.
//!
//! A scalar Kalman filter tracks each expert's fraction of its layer's tokens. The sampling noise
//! follows from the number of counted tokens; variance of the innovations beyond it is taken as
//! drift. The filter therefore smooths noise and follows an abrupt shift quickly. Late and
//! duplicate counts are recognised by their step and ignored. A gap in the counts only makes the
//! estimate less certain.

use grebedeck_core::{Layer, Step};

/// Options of the estimator.
#[derive(Clone, Debug)]
pub struct PopularityOptions {
    /// Ratio of the variance of the counts to that of independently routed tokens.
    pub overdispersion: f32,
    /// Weight of the newest innovation in the drift estimate, for decreasing drift. Increasing
    /// drift has three times this weight, at most 1.
    pub drift_gain: f32,
    /// Minimum weight of a new count, so that the estimate never stops adapting.
    pub min_gain: f32,
}

impl Default for PopularityOptions {
    fn default() -> Self {
        PopularityOptions { overdispersion: 1.5, drift_gain: 0.2, min_gain: 0.02 }
    }
}

/// Token counts of one layer over a range of steps.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerCounts<'a> {
    /// The counted layer.
    pub layer: Layer,
    /// End of the counted range of steps, exclusive.
    pub until_step: Step,
    /// Number of tokens routed to each expert.
    pub tokens: &'a [f32],
}

#[derive(Clone, Debug)]
struct LayerEstimate {
    fractions: Vec<f32>,
    variances: Vec<f32>,
    /// Variance per step due to drift and shifts, summed over the layer's experts.
    drift_per_step: f32,
    /// Variance per step without abrupt shifts.
    gradual_drift_per_step: f32,
    shifts: ShiftHistory,
    reports: u32,
    until_step: Step,
}

/// History of abrupt shifts, used to predict the time until the next one.
#[derive(Clone, Debug, Default)]
struct ShiftHistory {
    last_step: Option<Step>,
    /// Number of consecutive reports that showed a shift.
    consecutive_reports: u32,
    /// Smoothed number of steps between shifts; `None` until an interval was observed.
    interval_steps: Option<f32>,
}

/// Minimum squared deviation of a report that counts as a shift, as a fraction of the sum of the
/// squared popularities.
const SHIFT_FRACTION: f32 = 0.1;
/// Number of consecutive reports with a shift from which on they count as repeated shifts.
const REPEATED_SHIFT_REPORTS: u32 = 3;

impl ShiftHistory {
    fn record(&mut self, is_shift: bool, until_step: Step, report_steps: f32) {
        if !is_shift {
            self.consecutive_reports = 0;
            return;
        }

        self.consecutive_reports += 1;

        if self.consecutive_reports == 1 {
            let interval =
                self.last_step.replace(until_step).map(|last| (until_step - last) as f32);
            self.update_interval(interval);
        } else if self.consecutive_reports >= REPEATED_SHIFT_REPORTS {
            // Shifts that are more frequent than reports appear as one endless shift.
            self.update_interval(Some(report_steps * REPEATED_SHIFT_REPORTS as f32));
        }
    }

    fn update_interval(&mut self, interval: Option<f32>) {
        let Some(interval) = interval else {
            return;
        };

        let previous = self.interval_steps.unwrap_or(interval);
        self.interval_steps = Some(0.5 * (previous + interval));
    }
}

/// Estimated popularity of the experts in all layers of a model.
#[derive(Clone, Debug)]
pub struct Popularity {
    options: PopularityOptions,
    layers: Vec<LayerEstimate>,
}

impl Popularity {
    /// Creates an estimate that assumes equal popularity of all experts.
    pub fn new(layers: Layer, experts: u16, options: PopularityOptions) -> Self {
        let equal_fraction = 1.0 / f32::from(experts);
        let layer = LayerEstimate {
            fractions: vec![equal_fraction; usize::from(experts)],
            // The high variance lets the first count replace the initial estimate almost
            // completely.
            variances: vec![equal_fraction * equal_fraction * 4.0; usize::from(experts)],
            drift_per_step: 0.0,
            gradual_drift_per_step: 0.0,
            shifts: ShiftHistory::default(),
            reports: 0,
            until_step: 0,
        };

        Popularity { options, layers: vec![layer; usize::from(layers)] }
    }

    /// Updates the estimate with counts.
    ///
    /// Returns `false` and ignores them if they are empty, not newer than the last ones, or of an
    /// unknown layer or a different number of experts.
    pub fn observe(&mut self, counts: &LayerCounts<'_>) -> bool {
        let Some(layer) = self.layers.get_mut(usize::from(counts.layer)) else {
            return false;
        };

        let total: f32 = counts.tokens.iter().sum();
        let is_known_size = counts.tokens.len() == layer.fractions.len();

        if counts.until_step <= layer.until_step || total <= 0.0 || !is_known_size {
            return false;
        }

        let steps = (counts.until_step - layer.until_step) as f32;
        layer.until_step = counts.until_step;
        layer.update(counts.tokens, total, steps, &self.options);

        true
    }

    /// Returns each expert's fraction of the layer's tokens; the fractions add up to one.
    pub fn fractions(&self, layer: Layer) -> &[f32] {
        &self.layers[usize::from(layer)].fractions
    }

    /// Returns the number of steps for which a layer's popularity is expected to remain similar.
    ///
    /// The horizon ends when gradual drift has moved about a tenth of the tokens between experts,
    /// or after the usual interval between abrupt shifts, whichever is earlier.
    pub fn horizon_steps(&self, layer: Layer) -> f32 {
        let layer = &self.layers[usize::from(layer)];
        let experts = layer.fractions.len() as f32;
        // The variance of the drift is summed over the experts. This value corresponds to a tenth
        // of all tokens moving between experts.
        let max_variance = 0.16 / experts;
        let drift = layer.gradual_drift_per_step;
        let drift_horizon = if drift <= 0.0 { f32::INFINITY } else { max_variance / drift };

        drift_horizon.min(layer.shifts.interval_steps.unwrap_or(f32::INFINITY))
    }
}

impl LayerEstimate {
    fn update(&mut self, tokens: &[f32], total: f32, steps: f32, options: &PopularityOptions) {
        let noise: Vec<f32> = self
            .fractions
            .iter()
            .zip(tokens)
            .map(|(f, t)| sampling_variance(*f, t / total, total, options.overdispersion))
            .collect();

        self.update_drift(tokens, total, steps, &noise, options);
        let mean_drift = self.drift_per_step * steps / self.fractions.len() as f32;
        let equal_fraction = 1.0 / self.fractions.len() as f32;

        for (at, count) in tokens.iter().enumerate() {
            // The variance of the drift is proportional to an expert's popularity.
            let weight = self.fractions[at] / equal_fraction;
            let prior = self.variances[at] + mean_drift * weight;
            let gain = (prior / (prior + noise[at])).clamp(options.min_gain, 1.0);

            self.fractions[at] += gain * (count / total - self.fractions[at]);
            self.variances[at] = prior * (1.0 - gain);
        }

        let sum: f32 = self.fractions.iter().sum();
        self.fractions.iter_mut().for_each(|f| *f = (*f / sum).max(0.0));
    }

    fn update_drift(
        &mut self,
        tokens: &[f32],
        total: f32,
        steps: f32,
        noise: &[f32],
        options: &PopularityOptions,
    ) {
        let mut excess_variance = 0.0;

        for (at, count) in tokens.iter().enumerate() {
            let innovation = count / total - self.fractions[at];
            excess_variance += innovation * innovation - noise[at] - self.variances[at];
        }

        let sum_of_squares: f32 = self.fractions.iter().map(|f| f * f).sum();
        // The first report differs from the initial estimate without a shift.
        let is_shift = self.reports > 0 && excess_variance > SHIFT_FRACTION * sum_of_squares;
        self.shifts.record(is_shift, self.until_step, steps);
        self.reports += 1;

        let observed = (excess_variance / steps).max(0.0);

        if !is_shift && self.reports > REPEATED_SHIFT_REPORTS {
            let gain = options.drift_gain;
            self.gradual_drift_per_step += gain * (observed - self.gradual_drift_per_step);
        }

        let is_rising = observed > self.drift_per_step;
        // Increases are followed quickly so that a shift takes effect at once; decreases, slowly.
        let gain = if is_rising { (options.drift_gain * 3.0).min(1.0) } else { options.drift_gain };
        self.drift_per_step += gain * (observed - self.drift_per_step);
    }
}

fn sampling_variance(estimate: f32, observed: f32, total: f32, overdispersion: f32) -> f32 {
    // The mean of both fractions keeps the noise above zero if one of them is zero.
    let fraction = 0.5 * (estimate + observed) + 0.5 / total;

    overdispersion * fraction / total
}
