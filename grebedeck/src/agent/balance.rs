//! The balancer of a group's first member: it estimates the load of experts from the members' token
//! counts and plans the group's maps.

use grebedeck_core::{Layer, Moment, Rank, Step};
use grebedeck_experts::counter::{decode_count, encode_count};
use grebedeck_experts::plan::{GroupState, PlanOptions, max_rank_time};
use grebedeck_experts::popularity::LayerCounts;
use grebedeck_experts::{ChangeBudget, ExpertMap, Plan, Planner, Popularity, PopularityOptions};
use grebedeck_net::platform::EngineState;

use crate::message::GroupCounts;
use crate::settings::BalanceSettings;

/// Dimensions of a group's model and ranks, as an engine reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Dimensions {
    ranks: Rank,
    experts: u16,
    layers: Layer,
    slots_per_rank: u16,
}

/// Estimates the group's load and plans its maps.
pub struct GroupBalancer {
    settings: BalanceSettings,
    planner: Planner,
    budget: ChangeBudget,
    dimensions: Option<Dimensions>,
    initial_map: Option<ExpertMap>,
    popularity: Option<Popularity>,
    rank_costs: Vec<f32>,
    last_counts: Vec<Vec<u64>>,
    /// Counts of all members since the last update of the popularity, by layer and expert.
    pending_counts: Vec<Vec<f32>>,
    pending_until: Step,
    expected_skew: Option<f32>,
}

impl GroupBalancer {
    /// Creates a balancer without data.
    pub fn new(settings: BalanceSettings) -> Self {
        let options = PlanOptions {
            skew_weight: settings.skew_weight,
            cost_weight: settings.cost_weight,
            move_cost_ms: settings.move_cost_ms,
            ..PlanOptions::default()
        };

        GroupBalancer {
            settings,
            planner: Planner::new(options),
            budget: ChangeBudget::default(),
            dimensions: None,
            initial_map: None,
            popularity: None,
            rank_costs: Vec::new(),
            last_counts: Vec::new(),
            pending_counts: Vec::new(),
            pending_until: 0,
            expected_skew: None,
        }
    }

    /// Expected time of the slowest rank relative to the mean, with the map in use.
    pub fn expected_skew(&self) -> Option<f32> {
        self.expected_skew
    }

    /// Map that the group's engines start with, once the group's dimensions are known.
    pub fn initial_map(&self) -> Option<&ExpertMap> {
        self.initial_map.as_ref()
    }

    /// Returns the tokens that the engine counted since the previous call; `None` for the first
    /// reading of an engine.
    pub fn counts_since_last(&mut self, state: &EngineState) -> Option<GroupCounts> {
        let dimensions = dimensions_of(state)?;

        if self.dimensions != Some(dimensions) {
            self.reset(dimensions);
        }

        let counts: Vec<Vec<u64>> = state.layers.iter().map(|l| l.tokens.clone()).collect();
        let last = std::mem::replace(&mut self.last_counts, counts);

        // Counters that decreased belong to an engine that replaced the previous one.
        if last.len() != self.last_counts.len() || has_decreased(&last, &self.last_counts) {
            return None;
        }

        let difference = |(now, before): (&Vec<u64>, &Vec<u64>)| -> Vec<u8> {
            now.iter().zip(before).map(|(n, b)| encode_count(n - b)).collect()
        };
        let layers = self.last_counts.iter().zip(&last).map(difference).enumerate();

        Some(GroupCounts {
            until_step: state.next_step,
            ranks: state.ranks.clone(),
            rank_costs: state.rank_costs.clone(),
            layers: layers.map(|(layer, tokens)| (layer as Layer, tokens)).collect(),
        })
    }

    fn reset(&mut self, dimensions: Dimensions) {
        self.dimensions = Some(dimensions);
        self.initial_map = Some(ExpertMap::spread(
            dimensions.ranks,
            dimensions.experts,
            dimensions.layers,
            dimensions.slots_per_rank,
        ));
        self.popularity = Some(Popularity::new(
            dimensions.layers,
            dimensions.experts,
            PopularityOptions::default(),
        ));
        self.rank_costs = vec![1.0; usize::from(dimensions.ranks)];
        self.pending_counts =
            vec![vec![0.0; usize::from(dimensions.experts)]; usize::from(dimensions.layers)];
        self.last_counts.clear();
    }

    /// Records a member's counts.
    pub fn record_counts(&mut self, counts: &GroupCounts) {
        for (rank, cost) in counts.ranks.iter().zip(&counts.rank_costs) {
            if let Some(known) = self.rank_costs.get_mut(usize::from(*rank)) {
                *known = cost.clamp(0.1, 100.0);
            }
        }

        for (layer, tokens) in &counts.layers {
            let Some(sums) = self.pending_counts.get_mut(usize::from(*layer)) else {
                continue;
            };

            for (sum, count) in sums.iter_mut().zip(tokens) {
                *sum += decode_count(*count);
            }
        }

        self.pending_until = self.pending_until.max(counts.until_step);
    }

    /// Returns a better map, if one is worth its cost.
    pub fn plan(&mut self, map: &ExpertMap, now: Moment) -> Option<Plan> {
        let popularity = self.popularity.as_mut()?;

        for (layer, tokens) in self.pending_counts.iter_mut().enumerate() {
            let until_step = self.pending_until;
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

fn dimensions_of(state: &EngineState) -> Option<Dimensions> {
    let experts = state.layers.first()?.tokens.len() as u16;

    Some(Dimensions {
        ranks: state.group_ranks,
        experts,
        layers: state.layers.len() as Layer,
        slots_per_rank: state.slots_per_rank,
    })
}

fn has_decreased(before: &[Vec<u64>], now: &[Vec<u64>]) -> bool {
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
