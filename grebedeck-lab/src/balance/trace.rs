//! Synthetic traces of the popularity of experts.

use grebedeck_core::{RandomSource, Step, random::SeededSource};

/// Kind of change of the popularity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceKind {
    /// No change.
    Steady,
    /// Independent random drift of every expert.
    Slow,
    /// Groups of experts rise and fall together over a period, as over a day.
    Topic,
    /// A few experts suddenly become popular, and their popularity decays.
    Launch,
    /// Two distributions alternate.
    Flip,
    /// Popularity does not change, and one rank is slow in every second half period.
    Stall,
}

impl TraceKind {
    /// All kinds, in the order of the printed results.
    pub const ALL: [TraceKind; 6] = [
        TraceKind::Steady,
        TraceKind::Slow,
        TraceKind::Topic,
        TraceKind::Launch,
        TraceKind::Flip,
        TraceKind::Stall,
    ];

    /// Gets the kind's name in options and printed results.
    pub fn name(self) -> &'static str {
        match self {
            TraceKind::Steady => "steady",
            TraceKind::Slow => "slow",
            TraceKind::Topic => "topic",
            TraceKind::Launch => "launch",
            TraceKind::Flip => "flip",
            TraceKind::Stall => "stall",
        }
    }

    /// Finds a kind by its name.
    pub fn parse(name: &str) -> Option<TraceKind> {
        TraceKind::ALL.into_iter().find(|k| k.name() == name)
    }
}

/// Parameters of a trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceOptions {
    /// Experts per layer.
    pub experts: usize,
    /// Number of layers.
    pub layers: usize,
    /// Number of ranks, of which `Stall` slows one.
    pub ranks: usize,
    /// Period of `Topic`, `Flip` and `Stall`, and mean time between launches.
    pub period_steps: Step,
}

/// Interval of updates of the popularity.
pub const TICK_STEPS: Step = 50;

const TOPICS: usize = 6;
/// Exponent of the Zipf distribution of popularity over experts.
const ZIPF_EXPONENT: f64 = 0.7;
/// Standard deviation of the change of an expert's log-popularity per update.
const DRIFT_SIGMA: f64 = 0.012;
/// Popularity that a launch adds to an expert, as a multiple of its base popularity.
const LAUNCH_BOOST: f64 = 12.0;
/// Fraction of a launch's popularity that remains after an update.
const LAUNCH_DECAY: f64 = 0.985;
/// Experts per layer that a launch makes popular.
const LAUNCHED_EXPERTS: usize = 3;
/// Factor by which a stalled rank is slower.
const STALL_SLOWDOWN: f32 = 1.6;

/// Generator of a trace.
pub struct Trace {
    kind: TraceKind,
    options: TraceOptions,
    random: SeededSource,
    base: Vec<Vec<f64>>,
    alternate: Vec<Vec<f64>>,
    topic_of_expert: Vec<Vec<usize>>,
    boosts: Vec<Vec<f64>>,
    next_launch: Step,
    last_launch: Step,
}

impl Trace {
    /// Starts a trace.
    pub fn new(kind: TraceKind, options: TraceOptions, seed: u64) -> Self {
        let mut random = SeededSource::new(seed);
        let mut zipf = || -> Vec<Vec<f64>> {
            (0..options.layers).map(|_| draw_zipf(options.experts, &mut random)).collect()
        };
        let (base, alternate) = (zipf(), zipf());
        let topic = |random: &mut SeededSource| {
            (0..options.experts).map(|_| random.below(TOPICS)).collect::<Vec<_>>()
        };
        let topic_of_expert = (0..options.layers).map(|_| topic(&mut random)).collect();
        let boosts = vec![vec![0.0; options.experts]; options.layers];
        let next_launch = options.period_steps / 2;

        Trace {
            kind,
            options,
            random,
            base,
            alternate,
            topic_of_expert,
            boosts,
            next_launch,
            last_launch: 0,
        }
    }

    /// Gets the step of the last launch, or 0 before the first.
    pub fn last_launch(&self) -> Step {
        self.last_launch
    }

    /// Advances to a step that is a multiple of [`TICK_STEPS`] and gets each layer's fractions.
    pub fn advance(&mut self, step: Step) -> Vec<Vec<f32>> {
        match self.kind {
            TraceKind::Slow => self.drift(),
            TraceKind::Launch => self.launch(step),
            _ => {}
        }

        let layers = 0..self.options.layers;
        layers.map(|layer| normalise(&self.weights(layer, step))).collect()
    }

    /// Gets the slowdown of each rank at a step.
    pub fn rank_costs(&self, step: Step) -> Vec<f32> {
        let mut costs = vec![1.0; self.options.ranks];
        let period = self.options.period_steps;
        let is_stalled = self.kind == TraceKind::Stall && (step / (period / 2).max(1)) % 2 == 1;

        if is_stalled {
            costs[(step / period) as usize % self.options.ranks] = STALL_SLOWDOWN;
        }

        costs
    }

    fn weights(&self, layer: usize, step: Step) -> Vec<f64> {
        let base = &self.base[layer];
        let period = self.options.period_steps.max(1);

        match self.kind {
            TraceKind::Steady | TraceKind::Slow | TraceKind::Stall => base.clone(),
            TraceKind::Flip if (step / period) % 2 == 1 => self.alternate[layer].clone(),
            TraceKind::Flip => base.clone(),
            TraceKind::Launch => {
                let boosts = &self.boosts[layer];
                base.iter().zip(boosts).map(|(b, l)| b * (1.0 + l)).collect()
            }
            TraceKind::Topic => {
                let phase = step as f64 / period as f64 * std::f64::consts::TAU;
                let topic = |t: usize| {
                    let shift = t as f64 / TOPICS as f64 * std::f64::consts::TAU;
                    (1.2 * (phase + shift).sin()).exp()
                };
                base.iter().zip(&self.topic_of_expert[layer]).map(|(b, t)| b * topic(*t)).collect()
            }
        }
    }

    fn drift(&mut self) {
        for layer in &mut self.base {
            for weight in layer {
                *weight *= (DRIFT_SIGMA * normal(&mut self.random)).exp();
            }
        }
    }

    fn launch(&mut self, step: Step) {
        self.boosts.iter_mut().flatten().for_each(|l| *l *= LAUNCH_DECAY);

        if step < self.next_launch {
            return;
        }

        self.last_launch = step;
        let wait = (self.options.period_steps as f64 * (0.5 + self.random.unit())) as Step;
        self.next_launch = step + wait.max(TICK_STEPS);

        for layer in &mut self.boosts {
            for _ in 0..LAUNCHED_EXPERTS {
                let expert = self.random.below(layer.len());
                layer[expert] = LAUNCH_BOOST;
            }
        }
    }
}

fn draw_zipf(experts: usize, random: &mut SeededSource) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=experts).map(|n| (n as f64).powf(-ZIPF_EXPONENT)).collect();

    for at in (1..weights.len()).rev() {
        weights.swap(at, random.below(at + 1));
    }

    weights
}

fn normalise(weights: &[f64]) -> Vec<f32> {
    let sum: f64 = weights.iter().sum();

    weights.iter().map(|w| (w / sum) as f32).collect()
}

/// Draws from the standard normal distribution.
pub fn normal(random: &mut impl RandomSource) -> f64 {
    let radius = (-2.0 * (1.0 - random.unit()).ln()).sqrt();

    radius * (std::f64::consts::TAU * random.unit()).cos()
}
