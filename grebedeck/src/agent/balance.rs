//! Counters in, plans out: what the first member of a group knows of the group's load.

use grebedeck_core::{Layer, Moment, Rank, Step};
use grebedeck_experts::counter::{decode_count, encode_count};
use grebedeck_experts::plan::{GroupState, PlanOptions, max_rank_time};
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::{ChangeBudget, ExpertMap, Plan, Planner, Popularity, PopularityOptions};
use grebedeck_net::platform::EngineState;

use crate::message::GroupCounts;
use crate::settings::BalanceSettings;

/// Shape of a group's model and ranks, as an engine tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shape {
    ranks: Rank,
    experts: u16,
    layers: Layer,
    slots_per_rank: u16,
}

/// Follows the group's load and plans its maps.
pub struct Balance {
    settings: BalanceSettings,
    planner: Planner,
    budget: ChangeBudget,
    shape: Option<Shape>,
    first_map: Option<ExpertMap>,
    popularity: Option<Popularity>,
    rank_costs: Vec<f32>,
    last_counts: Vec<Vec<u64>>,
    /// Counts of all members since the last observation.
    gathered: Vec<Vec<f32>>,
    gathered_until: Step,
    expected_skew: Option<f32>,
}

impl Balance {
    /// Makes a balance that knows nothing yet.
    pub fn new(settings: BalanceSettings) -> Self {
        let options = PlanOptions {
            skew_weight: settings.skew_weight,
            cost_weight: settings.cost_weight,
            move_cost_ms: settings.move_cost_ms,
            ..PlanOptions::default()
        };

        Balance {
            settings,
            planner: Planner::new(options),
            budget: ChangeBudget::default(),
            shape: None,
            first_map: None,
            popularity: None,
            rank_costs: Vec::new(),
            last_counts: Vec::new(),
            gathered: Vec::new(),
            gathered_until: 0,
            expected_skew: None,
        }
    }

    /// Gets the slowest rank's expected time over the mean, with the map in use.
    pub fn expected_skew(&self) -> Option<f32> {
        self.expected_skew
    }

    /// Gets the map that the group's engines start with, once one of them told the group's shape.
    pub fn first_map(&self) -> Option<&ExpertMap> {
        self.first_map.as_ref()
    }

    /// Gets what the engine has counted since it was read last.
    pub fn since_last(&mut self, state: &EngineState) -> Option<GroupCounts> {
        let shape = shape_of(state)?;

        if self.shape != Some(shape) {
            self.start(shape);
        }

        let counts: Vec<Vec<u64>> = state.layers.iter().map(|l| l.tokens.clone()).collect();
        let last = std::mem::replace(&mut self.last_counts, counts);

        // Counters that went back belong to an engine that was replaced.
        if last.len() != self.last_counts.len() || went_back(&last, &self.last_counts) {
            return None;
        }

        let since = |(now, before): (&Vec<u64>, &Vec<u64>)| -> Vec<u8> {
            now.iter().zip(before).map(|(n, b)| encode_count(n - b)).collect()
        };
        let layers = self.last_counts.iter().zip(&last).map(since).enumerate();

        Some(GroupCounts {
            until_step: state.next_step,
            ranks: state.ranks.clone(),
            rank_costs: state.rank_costs.clone(),
            layers: layers.map(|(layer, tokens)| (layer as Layer, tokens)).collect(),
        })
    }

    fn start(&mut self, shape: Shape) {
        self.shape = Some(shape);
        self.first_map =
            Some(ExpertMap::spread(shape.ranks, shape.experts, shape.layers, shape.slots_per_rank));
        self.popularity =
            Some(Popularity::new(shape.layers, shape.experts, PopularityOptions::default()));
        self.rank_costs = vec![1.0; usize::from(shape.ranks)];
        self.gathered = vec![vec![0.0; usize::from(shape.experts)]; usize::from(shape.layers)];
        self.last_counts.clear();
    }

    /// Takes in a member's counts.
    pub fn count(&mut self, counts: &GroupCounts) {
        for (rank, cost) in counts.ranks.iter().zip(&counts.rank_costs) {
            if let Some(known) = self.rank_costs.get_mut(usize::from(*rank)) {
                *known = cost.clamp(0.1, 100.0);
            }
        }

        for (layer, tokens) in &counts.layers {
            let Some(gathered) = self.gathered.get_mut(usize::from(*layer)) else {
                continue;
            };

            for (sum, count) in gathered.iter_mut().zip(tokens) {
                *sum += decode_count(*count);
            }
        }

        self.gathered_until = self.gathered_until.max(counts.until_step);
    }

    /// Gives a better map where one is worth its cost.
    pub fn plan(&mut self, map: &ExpertMap, now: Moment) -> Option<Plan> {
        let popularity = self.popularity.as_mut()?;

        for (layer, tokens) in self.gathered.iter_mut().enumerate() {
            let until_step = self.gathered_until;
            popularity.observe(&LayerCounts { layer: layer as Layer, until_step, tokens });
            tokens.fill(0.0);
        }

        let popularity = self.popularity.as_ref()?;
        self.expected_skew = Some(skew_of(map, popularity, &self.rank_costs));

        let plan = self.planner.plan(&GroupState {
            map,
            popularity,
            layer_work_ms: self.settings.layer_work_ms,
            rank_costs: &self.rank_costs,
            max_changed_experts: self.budget.available(now),
        })?;

        self.budget.spend(map.delta_to(&plan.map).experts.len());
        Some(plan)
    }
}

fn shape_of(state: &EngineState) -> Option<Shape> {
    let experts = state.layers.first()?.tokens.len() as u16;

    Some(Shape {
        ranks: state.group_ranks,
        experts,
        layers: state.layers.len() as Layer,
        slots_per_rank: state.slots_per_rank,
    })
}

fn went_back(before: &[Vec<u64>], now: &[Vec<u64>]) -> bool {
    before.iter().flatten().zip(now.iter().flatten()).any(|(b, n)| n < b)
}

fn skew_of(map: &ExpertMap, popularity: &Popularity, rank_costs: &[f32]) -> f32 {
    let mut total = 0.0;
    let mut worst = 0.0;

    for (layer, placed) in map.layers.iter().enumerate() {
        let loads = placed.rank_loads(popularity.fractions(layer as Layer), map.ranks);
        let mean: f32 =
            loads.iter().zip(rank_costs).map(|(l, c)| l * c).sum::<f32>() / f32::from(map.ranks);
        worst += max_rank_time(&loads, rank_costs);
        total += mean;
    }

    if total > 0.0 { worst / total } else { 1.0 }
}
