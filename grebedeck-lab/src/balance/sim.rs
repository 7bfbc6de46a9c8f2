//! Simulation of a group's steps under a policy.

use std::time::Instant;

use grebedeck_core::random::SeededSource;
use grebedeck_core::{RandomSource, Rank, Step};
use grebedeck_experts::map::{ExpertMap, Move};
use serde::Serialize;

use super::policy::{Policy, PolicyKind, clairvoyant};
use super::trace::{TICK_STEPS, Trace, TraceKind, TraceOptions, normal};

/// Weights of step time and of the cost of rebalancing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Weight of the step time above that of balanced ranks.
    pub skew_weight: f32,
    /// Weight of the time spent on loading experts.
    pub cost_weight: f32,
}

/// Profile that emphasises low skew.
pub const SKEW_PROFILE: Profile = Profile { skew_weight: 3.0, cost_weight: 1.0 };
/// Profile that emphasises few moves.
pub const COST_PROFILE: Profile = Profile { skew_weight: 1.0, cost_weight: 3.0 };

/// Parameters of the simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of ranks.
    pub ranks: Rank,
    /// Experts per layer.
    pub experts: usize,
    /// Number of layers.
    pub layers: usize,
    /// Experts of one layer that fit on one rank.
    pub slots_per_rank: u16,
    /// Time of a step without tokens.
    pub base_ms: f64,
    /// Time that the tokens of a step take if all ranks are balanced.
    pub work_ms: f64,
    /// Tokens routed per layer and step, over all experts.
    pub tokens_per_step: f64,
    /// Time to load one expert of one layer from the weight store.
    pub move_ms: f64,
    /// Factor by which a rank is slower while it loads.
    pub load_slowdown: f32,
    /// Steps between two reports of token counts.
    pub counts_steps: Step,
    /// Delay of reports, in report intervals.
    pub lag_reports: usize,
    /// Fraction of reports that are lost.
    pub gaps: f64,
    /// Steps between two decisions.
    pub plan_steps: Step,
    /// Steps between the end of loading and the switch of the map.
    pub lead_steps: Step,
    /// Period of the trace, in steps.
    pub period_steps: Step,
    /// Steps at the start whose skew is not counted, because no popularity is known yet.
    pub warm_up_steps: Step,
    /// Steps per run.
    pub steps: Step,
    /// Weights for the total cost.
    pub profile: Profile,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            ranks: 16,
            experts: 64,
            layers: 4,
            slots_per_rank: 6,
            base_ms: 3.0,
            work_ms: 3.0,
            tokens_per_step: 8192.0,
            move_ms: 44.0,
            load_slowdown: 1.1,
            counts_steps: 160,
            lag_reports: 1,
            gaps: 0.05,
            plan_steps: 160,
            lead_steps: 16,
            period_steps: 10_000,
            warm_up_steps: 2_000,
            steps: 30_000,
            profile: SKEW_PROFILE,
        }
    }
}

impl Setup {
    /// Gets the time that a layer's tokens would take on a single rank.
    pub fn layer_work_ms(&self) -> f64 {
        self.work_ms * f64::from(self.ranks) / self.layers as f64
    }
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the policy.
    pub policy: &'static str,
    /// Mean skew: step time of the slowest rank, divided by that of the mean rank.
    pub skew_mean: f64,
    /// Median skew.
    pub skew_p50: f64,
    /// 95th percentile of the skew.
    pub skew_p95: f64,
    /// 99th percentile of the skew.
    pub skew_p99: f64,
    /// 95th percentile of the skew, without the first 2 s after a launch.
    pub calm_skew_p95: f64,
    /// Always 0: the simulation does not hold steps.
    pub lost_steps: u64,
    /// Experts loaded, counted per layer.
    pub moves: u64,
    /// Moves in the second half of the run, when a stable policy should have converged.
    pub late_moves: u64,
    /// Number of switches to a new map.
    pub switches: u64,
    /// Experts whose placement or shares changed, summed over all switches.
    pub changed_experts: u64,
    /// Number of rank steps slowed by loading.
    pub disturbed_rank_steps: u64,
    /// Maximum real time of a decision, in milliseconds.
    pub plan_ms_max: f64,
    /// Step time above that of balanced ranks, in milliseconds.
    pub skew_cost_ms: f64,
    /// Time spent on loading experts, in milliseconds.
    pub move_cost_ms: f64,
    /// Sum of both costs weighted by the profile, in milliseconds per 1,000 steps.
    pub total_cost: f64,
}

struct Loading {
    map: ExpertMap,
    moves: Vec<Move>,
    left_ms: f64,
    switch_at: Option<Step>,
}

struct Sim<'a> {
    setup: &'a Setup,
    kind: PolicyKind,
    policy: Policy,
    trace: Trace,
    token_draws: SeededSource,
    noise: SeededSource,
    map: ExpertMap,
    fractions: Vec<Vec<f32>>,
    costs: Vec<f32>,
    counts: Vec<Vec<f32>>,
    delayed_counts: Vec<(Vec<Vec<f32>>, Step)>,
    loading: Option<Loading>,
    skews: Vec<(f32, bool)>,
    skew_cost_ms: f64,
    moves: u64,
    late_moves: u64,
    switches: u64,
    changed_experts: u64,
    disturbed_rank_steps: u64,
    plan_ms_max: f64,
}

/// Simulates a policy on a trace. Every policy sees the same random draws for the same seed.
pub fn run(kind: PolicyKind, trace: TraceKind, setup: &Setup, seed: u64) -> Report {
    let options = TraceOptions {
        experts: setup.experts,
        layers: setup.layers,
        ranks: setup.ranks.into(),
        period_steps: setup.period_steps,
    };
    let map = ExpertMap::spread(
        setup.ranks,
        setup.experts as u16,
        setup.layers as u16,
        setup.slots_per_rank,
    );
    let mut sim = Sim {
        setup,
        kind,
        policy: Policy::new(kind, setup),
        trace: Trace::new(trace, options, seed),
        token_draws: SeededSource::new(seed ^ 0x5eed),
        noise: SeededSource::new(seed ^ 0xfa17),
        map,
        fractions: Vec::new(),
        costs: vec![1.0; setup.ranks.into()],
        counts: vec![vec![0.0; setup.experts]; setup.layers],
        delayed_counts: Vec::new(),
        loading: None,
        skews: Vec::new(),
        skew_cost_ms: 0.0,
        moves: 0,
        late_moves: 0,
        switches: 0,
        changed_experts: 0,
        disturbed_rank_steps: 0,
        plan_ms_max: 0.0,
    };

    for step in 0..setup.steps {
        sim.step(step);
    }

    sim.report()
}

impl Sim<'_> {
    fn step(&mut self, step: Step) {
        if step.is_multiple_of(TICK_STEPS) {
            self.fractions = self.trace.advance(step);
            self.costs = self.trace.rank_costs(step);

            if self.kind == PolicyKind::Clairvoyant {
                self.map = clairvoyant(&self.fractions, &self.costs, self.setup);
            }
        }

        if step.is_multiple_of(self.setup.counts_steps) && step > 0 {
            self.deliver_counts(step);
        }

        if step.is_multiple_of(self.setup.plan_steps) && step > 0 {
            self.decide(step);
        }

        self.switch_if_due(step);
        let took_ms = self.make_step(step);
        self.load(took_ms, step);
    }

    fn make_step(&mut self, step: Step) -> f64 {
        let mut costs = self.costs.clone();

        if let Some(rank) = self.loading_rank() {
            costs[usize::from(rank)] *= self.setup.load_slowdown;
            self.disturbed_rank_steps += 1;
        }

        let (mut worst, mut mean) = (0.0f64, 0.0f64);

        for layer in 0..self.setup.layers {
            let counts = self.draw_counts(layer);
            let loads = self.map.layers[layer].rank_loads(&counts, self.setup.ranks);
            let times = loads.iter().zip(&costs).map(|(l, c)| f64::from(l * c));
            worst += times.clone().fold(0.0, f64::max);
            mean += times.sum::<f64>() / f64::from(self.setup.ranks);
        }

        let scale = self.setup.layer_work_ms() / self.setup.tokens_per_step;
        let took_ms = self.setup.base_ms + worst * scale;
        let mean_ms = self.setup.base_ms + mean * scale;
        let last_launch = self.trace.last_launch();
        let is_calm = last_launch == 0 || step > last_launch + (2_000.0 / took_ms) as Step;

        self.skew_cost_ms += took_ms - mean_ms;

        if step >= self.setup.warm_up_steps {
            self.skews.push(((took_ms / mean_ms) as f32, is_calm));
        }

        took_ms
    }

    /// Draws the tokens of a step for each expert of a layer and adds them to the counts.
    fn draw_counts(&mut self, layer: usize) -> Vec<f32> {
        let tokens = self.setup.tokens_per_step;
        let mut counts = Vec::with_capacity(self.setup.experts);

        for (expert, fraction) in self.fractions[layer].iter().enumerate() {
            let expected = f64::from(*fraction) * tokens;
            let count =
                (expected + expected.sqrt() * normal(&mut self.token_draws)).max(0.0) as f32;
            self.counts[layer][expert] += count;
            counts.push(count);
        }

        counts
    }

    /// Reports the counts to the policy, with a delay and with losses.
    fn deliver_counts(&mut self, step: Step) {
        let empty = vec![vec![0.0; self.setup.experts]; self.setup.layers];
        self.delayed_counts.push((std::mem::replace(&mut self.counts, empty), step));

        if self.delayed_counts.len() <= self.setup.lag_reports {
            return;
        }

        let (counts, until_step) = self.delayed_counts.remove(0);

        if self.noise.unit() >= self.setup.gaps {
            self.policy.observe(counts, until_step);
        }
    }

    fn decide(&mut self, step: Step) {
        if self.loading.is_some() {
            return;
        }

        // Engines measure their own time per token, with some noise.
        let noisy = |c: &f32, r: &mut SeededSource| c * (1.0 + 0.01 * normal(r) as f32);
        let costs: Vec<f32> = self.costs.iter().map(|c| noisy(c, &mut self.noise)).collect();
        let start = Instant::now();
        let next = self.policy.decide(&self.map, &costs, step);
        self.plan_ms_max = self.plan_ms_max.max(start.elapsed().as_secs_f64() * 1e3);

        if let Some(map) = next {
            // Ranks receive the map as a delta with rounded shares, so the delta is applied here.
            let delta = self.map.delta_to(&map);
            let map = self.map.apply_delta(&delta).unwrap_or(map);
            map.assert_valid();
            self.changed_experts += delta.experts.len() as u64;
            let moves = self.map.moves_to(&map);
            let left_ms = moves.len() as f64 * self.setup.move_ms;
            self.moves += moves.len() as u64;
            self.late_moves += if step > self.setup.steps / 2 { moves.len() as u64 } else { 0 };
            self.loading = Some(Loading { map, moves, left_ms, switch_at: None });
        }
    }

    /// Gets the rank that currently loads weights.
    fn loading_rank(&self) -> Option<Rank> {
        let loading = self.loading.as_ref()?;
        let left = (loading.left_ms / self.setup.move_ms).ceil() as usize;

        left.checked_sub(1).map(|at| loading.moves[at].rank)
    }

    fn load(&mut self, took_ms: f64, step: Step) {
        let Some(loading) = &mut self.loading else {
            return;
        };

        loading.left_ms = (loading.left_ms - took_ms).max(0.0);

        if loading.left_ms == 0.0 && loading.switch_at.is_none() {
            loading.switch_at = Some(step + self.setup.lead_steps);
        }
    }

    fn switch_if_due(&mut self, step: Step) {
        let is_due = |l: &mut Loading| l.switch_at.is_some_and(|at| step >= at);

        if let Some(loading) = self.loading.take_if(is_due) {
            self.map = loading.map;
            self.switches += 1;
        }
    }

    fn report(self) -> Report {
        let mut all: Vec<f32> = self.skews.iter().map(|(s, _)| *s).collect();
        let mut calm: Vec<f32> = self.skews.iter().filter(|(_, c)| *c).map(|(s, _)| *s).collect();
        all.sort_by(f32::total_cmp);
        calm.sort_by(f32::total_cmp);

        let setup = self.setup;
        let move_cost_ms = self.moves as f64 * setup.move_ms;
        let weighted_ms = self.skew_cost_ms * f64::from(setup.profile.skew_weight)
            + move_cost_ms * f64::from(setup.profile.cost_weight);

        Report {
            policy: self.kind.name(),
            skew_mean: all.iter().map(|s| f64::from(*s)).sum::<f64>() / all.len() as f64,
            skew_p50: quantile(&all, 0.5),
            skew_p95: quantile(&all, 0.95),
            skew_p99: quantile(&all, 0.99),
            calm_skew_p95: quantile(&calm, 0.95),
            lost_steps: 0,
            moves: self.moves,
            late_moves: self.late_moves,
            switches: self.switches,
            changed_experts: self.changed_experts,
            disturbed_rank_steps: self.disturbed_rank_steps,
            plan_ms_max: self.plan_ms_max,
            skew_cost_ms: self.skew_cost_ms,
            move_cost_ms,
            total_cost: weighted_ms * 1000.0 / setup.steps as f64,
        }
    }
}

fn quantile(sorted: &[f32], q: f64) -> f64 {
    let at = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));

    sorted.get(at).map_or(0.0, |s| f64::from(*s))
}
