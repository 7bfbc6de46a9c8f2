//! Traces of popularity.

use grebedeck_core::{RandomSource, Step, random::SeededSource};

/// How popularity changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceKind {
    /// It does not.
    Steady,
    /// Every expert drifts on its own.
    Slow,
    /// Groups of experts rise and fall together over a day.
    Topic,
    /// A few experts become popular at once, and are forgotten over a while.
    Launch,
    /// Two patterns alternate.
    Flip,
    /// Popularity is steady, and one rank is slow for a while.
    Stall,
}

impl TraceKind {
    /// All kinds, in the order of reports.
    pub const ALL: [TraceKind; 6] = [
        TraceKind::Steady,
        TraceKind::Slow,
        TraceKind::Topic,
        TraceKind::Launch,
        TraceKind::Flip,
        TraceKind::Stall,
    ];

    /// Gets the kind's name.
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

/// Shape of a trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceOptions {
    /// Experts of a layer.
    pub experts: usize,
    /// Layers.
    pub layers: usize,
    /// Ranks, for a stall.
    pub ranks: usize,
    /// Period of `flip` and of `topic`, and mean time between launches.
    pub period_steps: Step,
}

/// How often popularity is drawn anew.
pub const TICK_STEPS: Step = 50;

/// Number of topics.
const TOPICS: usize = 6;
/// Exponent of the distribution of popularity over experts.
const ZIPF: f64 = 0.7;
/// How much an expert's log-popularity drifts in a tick.
const DRIFT: f64 = 0.012;
/// How much more popular a launched expert becomes.
const LAUNCH_FACTOR: f64 = 12.0;
/// Part of a launch that is left after a tick.
const LAUNCH_DECAY: f64 = 0.985;
/// Experts of a layer that a launch makes popular.
const LAUNCHED: usize = 3;
/// Slowness of a stalled rank.
const STALL_FACTOR: f32 = 1.6;

/// A trace as it unfolds.
pub struct Trace {
    kind: TraceKind,
    options: TraceOptions,
    random: SeededSource,
    base: Vec<Vec<f64>>,
    other: Vec<Vec<f64>>,
    topics: Vec<Vec<usize>>,
    launched: Vec<Vec<f64>>,
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
        let (base, other) = (zipf(), zipf());
        let topic = |random: &mut SeededSource| {
            (0..options.experts).map(|_| random.below(TOPICS)).collect::<Vec<_>>()
        };
        let topics = (0..options.layers).map(|_| topic(&mut random)).collect();
        let launched = vec![vec![0.0; options.experts]; options.layers];
        let next_launch = options.period_steps / 2;

        Trace { kind, options, random, base, other, topics, launched, next_launch, last_launch: 0 }
    }

    /// Gets the step of the last sharp swing; 0 where there was none.
    pub fn last_launch(&self) -> Step {
        self.last_launch
    }

    /// Moves on to a step that is a multiple of [`TICK_STEPS`]; gives each layer's fractions.
    pub fn advance(&mut self, step: Step) -> Vec<Vec<f32>> {
        match self.kind {
            TraceKind::Slow => self.drift(),
            TraceKind::Launch => self.launch(step),
            _ => {}
        }

        let layers = 0..self.options.layers;
        layers.map(|layer| normalise(&self.weights(layer, step))).collect()
    }

    /// Gets how slow each rank is at a step.
    pub fn rank_costs(&self, step: Step) -> Vec<f32> {
        let mut costs = vec![1.0; self.options.ranks];
        let period = self.options.period_steps;
        let stalled = self.kind == TraceKind::Stall && (step / (period / 2).max(1)) % 2 == 1;

        if stalled {
            costs[(step / period) as usize % self.options.ranks] = STALL_FACTOR;
        }

        costs
    }

    fn weights(&self, layer: usize, step: Step) -> Vec<f64> {
        let base = &self.base[layer];
        let period = self.options.period_steps.max(1);

        match self.kind {
            TraceKind::Steady | TraceKind::Slow | TraceKind::Stall => base.clone(),
            TraceKind::Flip if (step / period) % 2 == 1 => self.other[layer].clone(),
            TraceKind::Flip => base.clone(),
            TraceKind::Launch => {
                let launched = &self.launched[layer];
                base.iter().zip(launched).map(|(b, l)| b * (1.0 + l)).collect()
            }
            TraceKind::Topic => {
                let phase = step as f64 / period as f64 * std::f64::consts::TAU;
                let topic = |t: usize| {
                    let shift = t as f64 / TOPICS as f64 * std::f64::consts::TAU;
                    (1.2 * (phase + shift).sin()).exp()
                };
                base.iter().zip(&self.topics[layer]).map(|(b, t)| b * topic(*t)).collect()
            }
        }
    }

    fn drift(&mut self) {
        for layer in &mut self.base {
            for weight in layer {
                *weight *= (DRIFT * normal(&mut self.random)).exp();
            }
        }
    }

    fn launch(&mut self, step: Step) {
        self.launched.iter_mut().flatten().for_each(|l| *l *= LAUNCH_DECAY);

        if step < self.next_launch {
            return;
        }

        self.last_launch = step;
        let wait = (self.options.period_steps as f64 * (0.5 + self.random.unit())) as Step;
        self.next_launch = step + wait.max(TICK_STEPS);

        for layer in &mut self.launched {
            for _ in 0..LAUNCHED {
                let expert = self.random.below(layer.len());
                layer[expert] = LAUNCH_FACTOR;
            }
        }
    }
}

fn draw_zipf(experts: usize, random: &mut SeededSource) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=experts).map(|n| (n as f64).powf(-ZIPF)).collect();

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
