//! Policies for the expert map of a group.

use std::time::Duration;

use grebedeck_core::{Layer, Step};
use grebedeck_experts::map::ExpertMap;
use grebedeck_experts::plan::{ChangeBudget, GroupState, PlanOptions, Planner, max_rank_time};
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::share::{DEFAULT_PASSES, balance};
use grebedeck_experts::{Popularity, PopularityOptions};

use super::pack::pack;
use super::sim::Setup;

/// Kind of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Keeps the first map.
    Static,
    /// Repacks at a fixed interval.
    Repack,
    /// Repacks when the skew exceeds a threshold.
    Threshold,
    /// Grebedeck's [`Planner`].
    Ours,
    /// Knows the true popularity and moves experts at no cost: the bound.
    Clairvoyant,
}

impl PolicyKind {
    /// All policies, in the order of the printed results.
    pub const ALL: [PolicyKind; 5] = [
        PolicyKind::Static,
        PolicyKind::Repack,
        PolicyKind::Threshold,
        PolicyKind::Ours,
        PolicyKind::Clairvoyant,
    ];

    /// Gets the policy's name in options and printed results.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Static => "static",
            PolicyKind::Repack => "repack",
            PolicyKind::Threshold => "threshold",
            PolicyKind::Ours => "ours",
            PolicyKind::Clairvoyant => "clairvoyant",
        }
    }

    /// Finds a policy by its name.
    pub fn parse(name: &str) -> Option<PolicyKind> {
        PolicyKind::ALL.into_iter().find(|k| k.name() == name)
    }
}

/// Interval of `Repack`.
const REPACK_STEPS: Step = 3000;
/// Skew above which `Threshold` repacks.
const SKEW_THRESHOLD: f32 = 1.15;
/// Number of latest count windows that a packing uses.
const MAX_PACK_WINDOWS: usize = 10;

/// Policy with its state: it observes token counts and decides on new maps.
pub struct Policy {
    kind: PolicyKind,
    setup: Setup,
    planner: Planner,
    budget: ChangeBudget,
    popularity: Popularity,
    windows: Vec<Vec<Vec<f32>>>,
    last_pack_step: Step,
}

impl Policy {
    /// Creates a policy.
    pub fn new(kind: PolicyKind, setup: &Setup) -> Self {
        let options = PlanOptions {
            skew_weight: setup.profile.skew_weight,
            cost_weight: setup.profile.cost_weight,
            move_cost_ms: setup.move_ms as f32,
            ..PlanOptions::default()
        };

        Policy {
            kind,
            setup: setup.clone(),
            planner: Planner::new(options),
            budget: ChangeBudget::default(),
            popularity: Popularity::new(
                setup.layers as Layer,
                setup.experts as u16,
                PopularityOptions::default(),
            ),
            windows: Vec::new(),
            last_pack_step: 0,
        }
    }

    /// Records the token counts of a window, by layer and expert.
    pub fn observe(&mut self, counts: Vec<Vec<f32>>, until_step: Step) {
        for (layer, tokens) in counts.iter().enumerate() {
            let layer = layer as Layer;
            self.popularity.observe(&LayerCounts { layer, until_step, tokens });
        }

        self.windows.push(counts);

        if self.windows.len() > MAX_PACK_WINDOWS {
            self.windows.remove(0);
        }
    }

    /// Gets the next map if the policy changes the current one.
    pub fn decide(&mut self, map: &ExpertMap, costs: &[f32], step: Step) -> Option<ExpertMap> {
        match self.kind {
            PolicyKind::Static | PolicyKind::Clairvoyant => None,
            PolicyKind::Ours => {
                let step_ms = self.setup.base_ms + self.setup.work_ms;
                let now = Duration::from_secs_f64(step as f64 * step_ms / 1e3);
                let group = GroupState {
                    map,
                    popularity: &self.popularity,
                    layer_work_ms: self.setup.layer_work_ms() as f32,
                    rank_costs: costs,
                    max_changed_experts: self.budget.available(now),
                };

                let next = self.planner.plan(&group)?.map;
                self.budget.spend(map.delta_to(&next).experts.len());
                Some(next)
            }
            PolicyKind::Repack => self.pack_if(step >= self.last_pack_step + REPACK_STEPS, step),
            PolicyKind::Threshold => {
                let is_due =
                    self.skew(map, costs) > SKEW_THRESHOLD && step > self.last_pack_step + 300;
                self.pack_if(is_due, step)
            }
        }
    }

    fn pack_if(&mut self, is_due: bool, step: Step) -> Option<ExpertMap> {
        if !is_due || self.windows.is_empty() {
            return None;
        }

        self.last_pack_step = step;
        let costs = vec![1.0; self.setup.ranks.into()];
        Some(pack(&self.window_fractions(), &costs, self.setup.slots_per_rank))
    }

    fn window_fractions(&self) -> Vec<Vec<f32>> {
        let mut sums = vec![vec![0.0f32; self.setup.experts]; self.setup.layers];

        for window in &self.windows {
            for (sum, count) in sums.iter_mut().flatten().zip(window.iter().flatten()) {
                *sum += count;
            }
        }

        for layer in &mut sums {
            let total: f32 = layer.iter().sum::<f32>().max(1e-9);
            layer.iter_mut().for_each(|s| *s /= total);
        }

        sums
    }

    fn skew(&self, map: &ExpertMap, costs: &[f32]) -> f32 {
        let fractions = self.window_fractions();
        let (mut worst, mut mean) = (0.0, 0.0);

        for (layer, fractions) in map.layers.iter().zip(&fractions) {
            let loads = layer.rank_loads(fractions, map.ranks);
            worst += max_rank_time(&loads, costs);
            mean += loads.iter().zip(costs).map(|(l, c)| l * c).sum::<f32>() / costs.len() as f32;
        }

        worst / mean.max(1e-9)
    }
}

/// Packs by the true popularity with balanced shares, as the bound for all policies.
pub fn clairvoyant(fractions: &[Vec<f32>], costs: &[f32], setup: &Setup) -> ExpertMap {
    let mut map = pack(fractions, costs, setup.slots_per_rank);

    for (layer, fractions) in map.layers.iter_mut().zip(fractions) {
        balance(layer, fractions, costs, DEFAULT_PASSES);
    }

    map
}
