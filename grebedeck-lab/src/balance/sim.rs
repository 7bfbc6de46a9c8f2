//! The model itself.

use std::time::Instant;

use grebedeck_core::random::SeededSource;
use grebedeck_core::{RandomSource, Rank, Step};
use grebedeck_experts::map::{ExpertMap, Move};
use serde::Serialize;

use super::policy::{Policy, PolicyKind, clairvoyant};
use super::trace::{TICK_STEPS, Trace, TraceKind, TraceOptions, normal};

/// How a user weighs step time against the cost of rebalancing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Weight of step time above the ideal.
    pub skew_weight: f32,
    /// Weight of moved weights and lost steps.
    pub cost_weight: f32,
}

/// A user that weighs skew more heavily.
pub const SKEW_PROFILE: Profile = Profile { skew_weight: 3.0, cost_weight: 1.0 };
/// A user that weighs the cost of rebalancing more heavily.
pub const COST_PROFILE: Profile = Profile { skew_weight: 1.0, cost_weight: 3.0 };

/// Parameters of the model.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Ranks of the group.
    pub ranks: Rank,
    /// Experts of a layer.
    pub experts: usize,
    /// Layers.
    pub layers: usize,
    /// Experts of a layer that fit on a rank.
    pub slots_per_rank: u16,
    /// Time of a step without tokens.
    pub base_ms: f64,
    /// Time that the tokens of a step take on a rank, if all ranks are level.
    pub work_ms: f64,
    /// Tokens routed in each layer and step, over all experts.
    pub tokens_per_step: f64,
    /// Time to load one expert of one layer from the store.
    pub move_ms: f64,
    /// Slowness of a rank while it loads.
    pub load_slowdown: f32,
    /// Steps between two reports of counters.
    pub counts_steps: Step,
    /// Reports by which counters are late.
    pub lag_reports: usize,
    /// Part of the reports that are lost.
    pub gaps: f64,
    /// Steps between two decisions.
    pub plan_steps: Step,
    /// Steps between a switch's order and the switch.
    pub lead_steps: Step,
    /// Period of the trace.
    pub period_steps: Step,
    /// Steps at the start whose skew is not counted, since nothing was known yet.
    pub warm_up_steps: Step,
    /// Steps of a run.
    pub steps: Step,
    /// How costs are weighed.
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

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The policy.
    pub policy: &'static str,
    /// Mean of the slowest rank's time over the mean rank's.
    pub skew_mean: f64,
    /// Median of it.
    pub skew_p50: f64,
    /// 95th percentile of it.
    pub skew_p95: f64,
    /// 99th percentile of it.
    pub skew_p99: f64,
    /// 95th percentile outside of the first 2 s after a sharp swing.
    pub calm_skew_p95: f64,
    /// Steps that were held back.
    pub lost_steps: u64,
    /// Experts of a layer that were loaded.
    pub moves: u64,
    /// Moves in the second half of the run, when a steady policy should have settled.
    pub late_moves: u64,
    /// Switches of the map.
    pub switches: u64,
    /// Experts whose placement or shares changed, over all switches.
    pub changed_experts: u64,
    /// Steps of ranks that were slowed by loading.
    pub disturbed_rank_steps: u64,
    /// Longest decision, in milliseconds.
    pub plan_ms_max: f64,
    /// Time above the ideal, in milliseconds.
    pub skew_cost_ms: f64,
    /// Cost of moves and lost steps, in milliseconds.
    pub move_cost_ms: f64,
    /// Both, weighed by the profile, in milliseconds for each 1,000 steps.
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
    draws: SeededSource,
    faults: SeededSource,
    map: ExpertMap,
    fractions: Vec<Vec<f32>>,
    costs: Vec<f32>,
    counted: Vec<Vec<f32>>,
    late: Vec<(Vec<Vec<f32>>, Step)>,
    loading: Option<Loading>,
    skews: Vec<(f32, bool)>,
    skew_cost_ms: f64,
    moves: u64,
    late_moves: u64,
    switches: u64,
    changed_experts: u64,
    disturbed: u64,
    plan_ms_max: f64,
}

/// Runs a policy on a trace; the same seed gives the same draws to every policy.
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
        draws: SeededSource::new(seed ^ 0x5eed),
        faults: SeededSource::new(seed ^ 0xfa17),
        map,
        fractions: Vec::new(),
        costs: vec![1.0; setup.ranks.into()],
        counted: vec![vec![0.0; setup.experts]; setup.layers],
        late: Vec::new(),
        loading: None,
        skews: Vec::new(),
        skew_cost_ms: 0.0,
        moves: 0,
        late_moves: 0,
        switches: 0,
        changed_experts: 0,
        disturbed: 0,
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
            self.disturbed += 1;
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
        let swung = self.trace.last_launch();
        let calm = swung == 0 || step > swung + (2_000.0 / took_ms) as Step;

        self.skew_cost_ms += took_ms - mean_ms;

        if step >= self.setup.warm_up_steps {
            self.skews.push(((took_ms / mean_ms) as f32, calm));
        }

        took_ms
    }

    /// Draws a step's tokens for each expert of a layer, and counts them.
    fn draw_counts(&mut self, layer: usize) -> Vec<f32> {
        let tokens = self.setup.tokens_per_step;
        let mut counts = Vec::with_capacity(self.setup.experts);

        for (expert, fraction) in self.fractions[layer].iter().enumerate() {
            let expected = f64::from(*fraction) * tokens;
            let count = (expected + expected.sqrt() * normal(&mut self.draws)).max(0.0) as f32;
            self.counted[layer][expert] += count;
            counts.push(count);
        }

        counts
    }

    /// Reports what was counted; reports are late, and some are lost.
    fn deliver_counts(&mut self, step: Step) {
        let empty = vec![vec![0.0; self.setup.experts]; self.setup.layers];
        self.late.push((std::mem::replace(&mut self.counted, empty), step));

        if self.late.len() <= self.setup.lag_reports {
            return;
        }

        let (counts, until_step) = self.late.remove(0);

        if self.faults.unit() >= self.setup.gaps {
            self.policy.observe(counts, until_step);
        }
    }

    fn decide(&mut self, step: Step) {
        if self.loading.is_some() {
            return;
        }

        // Engines report their own time per token, with some noise.
        let noisy = |c: &f32, r: &mut SeededSource| c * (1.0 + 0.01 * normal(r) as f32);
        let costs: Vec<f32> = self.costs.iter().map(|c| noisy(c, &mut self.faults)).collect();
        let start = Instant::now();
        let next = self.policy.decide(&self.map, &costs, step);
        self.plan_ms_max = self.plan_ms_max.max(start.elapsed().as_secs_f64() * 1e3);

        if let Some(map) = next {
            // What travels is the rounded difference, and so that is what ranks use.
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

    /// Gets the rank that is loading weights now.
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
        let due = |l: &mut Loading| l.switch_at.is_some_and(|at| step >= at);

        if let Some(loading) = self.loading.take_if(due) {
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
        let weighed = self.skew_cost_ms * f64::from(setup.profile.skew_weight)
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
            disturbed_rank_steps: self.disturbed,
            plan_ms_max: self.plan_ms_max,
            skew_cost_ms: self.skew_cost_ms,
            move_cost_ms,
            total_cost: weighed * 1000.0 / setup.steps as f64,
        }
    }
}

fn quantile(sorted: &[f32], q: f64) -> f64 {
    let at = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));

    sorted.get(at).map_or(0.0, |s| f64::from(*s))
}
