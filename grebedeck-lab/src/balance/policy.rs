//! The policies that are compared.

use std::time::Duration;

use grebedeck_core::{Layer, Step};
use grebedeck_experts::map::ExpertMap;
use grebedeck_experts::plan::{ChangeBudget, GroupState, PlanOptions, Planner, max_rank_time};
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::share::{DEFAULT_PASSES, balance};
use grebedeck_experts::{Popularity, PopularityOptions};

use super::pack::pack;
use super::sim::Setup;

/// Which policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The first map for ever.
    Static,
    /// A new packing every interval.
    Repack,
    /// A new packing when the skew passes a threshold.
    Threshold,
    /// The product's own.
    Ours,
    /// Knows the popularity, and moves for free.
    Clairvoyant,
}

impl PolicyKind {
    /// All policies, in the order of reports.
    pub const ALL: [PolicyKind; 5] = [
        PolicyKind::Static,
        PolicyKind::Repack,
        PolicyKind::Threshold,
        PolicyKind::Ours,
        PolicyKind::Clairvoyant,
    ];

    /// Gets the policy's name.
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

/// Steps between two packings of `repack`.
const REPACK_STEPS: Step = 3000;
/// Skew above which `threshold` packs anew.
const THRESHOLD: f32 = 1.15;
/// Windows of counts that a packing is based on.
const PACK_WINDOWS: usize = 10;

/// A policy at work: counts come in, maps go out.
pub struct Policy {
    kind: PolicyKind,
    setup: Setup,
    planner: Planner,
    budget: ChangeBudget,
    popularity: Popularity,
    windows: Vec<Vec<Vec<f32>>>,
    last_pack: Step,
}

impl Policy {
    /// Makes a policy.
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
            last_pack: 0,
        }
    }

    /// Takes in a window of counts, by layer and expert.
    pub fn observe(&mut self, counts: Vec<Vec<f32>>, until_step: Step) {
        for (layer, tokens) in counts.iter().enumerate() {
            let layer = layer as Layer;
            self.popularity.observe(&LayerCounts { layer, until_step, tokens });
        }

        self.windows.push(counts);

        if self.windows.len() > PACK_WINDOWS {
            self.windows.remove(0);
        }
    }

    /// Gives the next map, if there is to be one.
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
            PolicyKind::Repack => self.pack_if(step >= self.last_pack + REPACK_STEPS, step),
            PolicyKind::Threshold => {
                let due = self.skew(map, costs) > THRESHOLD && step > self.last_pack + 300;
                self.pack_if(due, step)
            }
        }
    }

    fn pack_if(&mut self, due: bool, step: Step) -> Option<ExpertMap> {
        if !due || self.windows.is_empty() {
            return None;
        }

        self.last_pack = step;
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

/// The bound: a packing by the true popularity, with the best shares.
pub fn clairvoyant(fractions: &[Vec<f32>], costs: &[f32], setup: &Setup) -> ExpertMap {
    let mut map = pack(fractions, costs, setup.slots_per_rank);

    for (layer, fractions) in map.layers.iter_mut().zip(fractions) {
        balance(layer, fractions, costs, DEFAULT_PASSES);
    }

    map
}
