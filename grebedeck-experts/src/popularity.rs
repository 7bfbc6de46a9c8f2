//! Estimate of how many tokens go to each expert, from late and patchy counters.
//!
//! Each expert's fraction of its layer's tokens is followed by a scalar Kalman filter. Sampling
//! noise is known from the number of tokens counted, and what the innovations show beyond it is
//! drift; so the filter is calm on noise and fast after a swing. Counters that come late or twice
//! are recognised by their step range and left out; after a gap the estimate is only less certain.

use grebedeck_core::{Layer, Step};

/// Settings of the estimator.
#[derive(Clone, Debug)]
pub struct PopularityOptions {
    /// How much more the counts vary than independent tokens would.
    pub overdispersion: f32,
    /// Weight of the newest innovation in the estimate of drift.
    pub drift_gain: f32,
    /// Smallest weight of a new count, so that the estimate never freezes.
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
    /// The layer that was counted.
    pub layer: Layer,
    /// First step after the counted range.
    pub until_step: Step,
    /// Tokens routed to each expert.
    pub tokens: &'a [f32],
}

#[derive(Clone, Debug)]
struct LayerEstimate {
    fractions: Vec<f32>,
    variances: Vec<f32>,
    /// Variance that drift and swings add per step, over all experts of the layer.
    drift_per_step: f32,
    /// The same, without sharp swings.
    calm_drift_per_step: f32,
    swings: Swings,
    reports: u32,
    until_step: Step,
}

/// When sharp swings came, to tell how long the next quiet time may last.
#[derive(Clone, Debug, Default)]
struct Swings {
    last_step: Option<Step>,
    /// Reports in a row that showed a swing.
    in_row: u32,
    /// Usual steps from one swing to the next; none until two were seen.
    interval_steps: Option<f32>,
}

/// Part of the layer's squared popularity that a report must differ by to count as a swing.
const SWING_PART: f32 = 0.1;
/// Reports in a row after which a swing no longer counts as a single one.
const SWING_REPORTS: u32 = 3;

impl Swings {
    fn note(&mut self, is_swing: bool, until_step: Step, report_steps: f32) {
        if !is_swing {
            self.in_row = 0;
            return;
        }

        self.in_row += 1;

        if self.in_row == 1 {
            let since = self.last_step.replace(until_step).map(|last| (until_step - last) as f32);
            self.learn(since);
        } else if self.in_row >= SWING_REPORTS {
            // Swings that follow each other faster than reports do look like one without end.
            self.learn(Some(report_steps * SWING_REPORTS as f32));
        }
    }

    fn learn(&mut self, interval: Option<f32>) {
        let Some(interval) = interval else {
            return;
        };

        let known = self.interval_steps.unwrap_or(interval);
        self.interval_steps = Some(0.5 * (known + interval));
    }
}

/// The estimate for all layers of a model.
#[derive(Clone, Debug)]
pub struct Popularity {
    options: PopularityOptions,
    layers: Vec<LayerEstimate>,
}

impl Popularity {
    /// Makes an estimate that takes all experts as equally popular.
    pub fn new(layers: Layer, experts: u16, options: PopularityOptions) -> Self {
        let even = 1.0 / f32::from(experts);
        let layer = LayerEstimate {
            fractions: vec![even; usize::from(experts)],
            // Nothing is known yet, so the first count is taken nearly as it is.
            variances: vec![even * even * 4.0; usize::from(experts)],
            drift_per_step: 0.0,
            calm_drift_per_step: 0.0,
            swings: Swings::default(),
            reports: 0,
            until_step: 0,
        };

        Popularity { options, layers: vec![layer; usize::from(layers)] }
    }

    /// Takes in counts; tells whether they were new.
    pub fn observe(&mut self, counts: &LayerCounts<'_>) -> bool {
        let Some(layer) = self.layers.get_mut(usize::from(counts.layer)) else {
            return false;
        };

        let total: f32 = counts.tokens.iter().sum();
        let known = counts.tokens.len() == layer.fractions.len();

        if counts.until_step <= layer.until_step || total <= 0.0 || !known {
            return false;
        }

        let steps = (counts.until_step - layer.until_step) as f32;
        layer.until_step = counts.until_step;
        layer.update(counts.tokens, total, steps, &self.options);

        true
    }

    /// Gets each expert's fraction of the layer's tokens; they add up to one.
    pub fn fractions(&self, layer: Layer) -> &[f32] {
        &self.layers[usize::from(layer)].fractions
    }

    /// Gets for how many steps a layer's popularity is expected to stay much as it is.
    ///
    /// That is until slow drift has moved about a tenth of the tokens, or until the next sharp
    /// swing, judged by those that were seen.
    pub fn horizon_steps(&self, layer: Layer) -> f32 {
        let layer = &self.layers[usize::from(layer)];
        let experts = layer.fractions.len() as f32;
        // The drift's variance is summed over experts; a tenth of all tokens moving between
        // experts corresponds to this much of it.
        let tolerated = 0.16 / experts;
        let drift = layer.calm_drift_per_step;
        let by_drift = if drift <= 0.0 { f32::INFINITY } else { tolerated / drift };

        by_drift.min(layer.swings.interval_steps.unwrap_or(f32::INFINITY))
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
        let drift_each = self.drift_per_step * steps / self.fractions.len() as f32;
        let even = 1.0 / self.fractions.len() as f32;

        for (at, count) in tokens.iter().enumerate() {
            // Popular experts drift by more, in proportion to their popularity.
            let weight = self.fractions[at] / even;
            let prior = self.variances[at] + drift_each * weight;
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
        let mut surplus = 0.0;

        for (at, count) in tokens.iter().enumerate() {
            let innovation = count / total - self.fractions[at];
            surplus += innovation * innovation - noise[at] - self.variances[at];
        }

        let squared: f32 = self.fractions.iter().map(|f| f * f).sum();
        // The first report differs from an estimate that knew nothing.
        let is_swing = self.reports > 0 && surplus > SWING_PART * squared;
        self.swings.note(is_swing, self.until_step, steps);
        self.reports += 1;

        let seen = (surplus / steps).max(0.0);

        if !is_swing && self.reports > SWING_REPORTS {
            let gain = options.drift_gain;
            self.calm_drift_per_step += gain * (seen - self.calm_drift_per_step);
        }

        let rises = seen > self.drift_per_step;
        // A swing must show at once, and calm is believed slowly.
        let gain = if rises { (options.drift_gain * 3.0).min(1.0) } else { options.drift_gain };
        self.drift_per_step += gain * (seen - self.drift_per_step);
    }
}

fn sampling_variance(estimate: f32, seen: f32, total: f32, overdispersion: f32) -> f32 {
    // The mean of both keeps the noise from vanishing where one of them is zero.
    let fraction = 0.5 * (estimate + seen) + 0.5 / total;

    overdispersion * fraction / total
}
