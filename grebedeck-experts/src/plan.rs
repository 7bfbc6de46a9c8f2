//! Decides on the next expert map of a group and whether it is worth its cost.
//!
//! The planner balances the shares of replicas first, since that loads no weights. While the
//! slowest rank of a layer remains above the ideal time, it considers loading one more replica: one
//! of the heaviest experts of the slowest rank, on one of the least loaded ranks, where it evicts
//! the replica with the lowest load if no slot is free. A move is accepted if the time that it
//! saves, over the period for which popularity is expected to last and weighted by the options,
//! exceeds the cost of loading.

use grebedeck_core::{Expert, Layer, Moment, Rank};

use crate::map::{ExpertMap, LayerMap, Move, Replica};
use crate::popularity::Popularity;
use crate::share::{DEFAULT_PASSES, balance};

/// Options of the planner. Costs are expressed in milliseconds of a group's step time.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// Accepted excess of the slowest rank's time over the ideal time, as a fraction.
    pub tolerance: f32,
    /// Minimum gain for a change of a layer, as a fraction of the layer's ideal time.
    pub min_gain: f32,
    /// Weight of step time in the total cost.
    pub skew_weight: f32,
    /// Weight of loading experts and of switches in the total cost.
    pub cost_weight: f32,
    /// Cost of loading one expert of one layer, in milliseconds.
    pub move_cost_ms: f32,
    /// Cost of a switch without moves, in milliseconds.
    pub switch_cost_ms: f32,
    /// Steps from a change of popularity to the switch that follows it.
    pub lag_steps: f32,
    /// Typical duration of a step, in milliseconds.
    pub step_ms: f32,
    /// Maximum period over which a gain is counted, in steps.
    pub max_horizon_steps: f32,
    /// Maximum number of moves in one plan, so that loading ends before the plan is stale.
    pub max_moves: usize,
}

impl Default for PlanOptions {
    fn default() -> Self {
        PlanOptions {
            tolerance: 0.03,
            min_gain: 0.03,
            skew_weight: 3.0,
            cost_weight: 1.0,
            move_cost_ms: 44.0,
            switch_cost_ms: 6.0,
            lag_steps: 200.0,
            step_ms: 6.0,
            max_horizon_steps: 20_000.0,
            max_moves: 16,
        }
    }
}

/// The planner's input: the state of a group.
#[derive(Clone, Debug)]
pub struct GroupState<'a> {
    /// The current map.
    pub map: &'a ExpertMap,
    /// The estimated popularity.
    pub popularity: &'a Popularity,
    /// Time that a single rank of normal speed would need for all tokens of one layer, in
    /// milliseconds.
    pub layer_work_ms: f32,
    /// Time per token of each rank, relative to a rank of normal speed.
    pub rank_costs: &'a [f32],
    /// Maximum number of experts whose replicas or shares may change; each changed expert is sent
    /// to every member.
    pub max_changed_experts: usize,
}

/// A map that is worth switching to.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The proposed map.
    pub map: ExpertMap,
    /// The experts to load, those with the highest gain first.
    pub moves: Vec<Move>,
    /// Expected gain in milliseconds per step.
    pub gain_ms_per_step: f32,
}

/// Token bucket that limits the size of map changes sent to members, in changed experts.
#[derive(Clone, Debug)]
pub struct ChangeBudget {
    available: f32,
    refilled_at: Moment,
}

/// Refill rate of [`ChangeBudget`]; each changed expert takes about 6 bytes per member.
const CHANGED_EXPERTS_PER_S: f32 = 200.0;
/// Capacity of [`ChangeBudget`]: a whole map of 60 layers with 128 experts.
const MAX_SAVED_CHANGED_EXPERTS: f32 = 7_680.0;

impl Default for ChangeBudget {
    fn default() -> Self {
        ChangeBudget { available: MAX_SAVED_CHANGED_EXPERTS, refilled_at: Moment::ZERO }
    }
}

impl ChangeBudget {
    /// Refills the bucket and returns how many experts may change now.
    pub fn available(&mut self, now: Moment) -> usize {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f32();
        self.refilled_at = now;
        self.available =
            (self.available + elapsed_s * CHANGED_EXPERTS_PER_S).min(MAX_SAVED_CHANGED_EXPERTS);

        self.available.max(0.0) as usize
    }

    /// Removes the number of changed experts of a plan from the bucket.
    pub fn spend(&mut self, changed: usize) {
        self.available -= changed as f32;
    }
}

/// Decides on the next map of a group; see the [module](self).
#[derive(Clone, Debug, Default)]
pub struct Planner {
    options: PlanOptions,
}

/// A proposed change of one layer.
struct LayerPlan {
    layer: Layer,
    map: LayerMap,
    moves: Vec<(Move, f32)>,
    gain: f32,
    /// Number of experts whose replicas or shares change.
    changed: usize,
}

impl LayerPlan {
    fn move_gain(&self) -> f32 {
        self.moves.iter().map(|(_, gain)| gain).sum()
    }

    fn gain_per_changed(&self) -> f32 {
        self.gain / self.changed.max(1) as f32
    }
}

impl Planner {
    /// Creates a planner.
    pub fn new(options: PlanOptions) -> Self {
        Planner { options }
    }

    /// Returns a better map if one is worth its cost.
    pub fn plan(&self, group: &GroupState<'_>) -> Option<Plan> {
        let layers = group.map.layers.len();
        // Every layer may propose at least one move; `limit_moves` keeps those that gain most.
        let max_layer_moves = self.options.max_moves.div_ceil(layers.max(1));
        let all = 0..layers as Layer;
        let mut plans: Vec<_> =
            all.filter_map(|l| self.plan_layer(group, l, max_layer_moves)).collect();

        self.limit_moves(group, &mut plans);
        limit_changed_experts(&mut plans, group.max_changed_experts);
        let saved_ms: f32 = plans.iter().map(|p| self.saved_ms(group, p)).sum();
        let mut moves: Vec<_> = plans.iter().flat_map(|p| &p.moves).copied().collect();
        let move_cost_ms_sum = moves.len() as f32 * self.options.move_cost_ms;
        let cost = (self.options.switch_cost_ms + move_cost_ms_sum) * self.options.cost_weight;

        if plans.is_empty() || saved_ms <= cost {
            return None;
        }

        let gain: f32 = plans.iter().map(|p| p.gain).sum();
        let mut map = group.map.clone();

        for plan in plans {
            map.layers[usize::from(plan.layer)] = plan.map;
        }

        moves.sort_by(|a, b| b.1.total_cmp(&a.1));
        Some(Plan {
            map,
            moves: moves.into_iter().map(|m| m.0).collect(),
            gain_ms_per_step: gain * group.layer_work_ms,
        })
    }

    /// Keeps the moves of the layers that gain most by moves, up to the maximum; the other layers
    /// are planned again with changes of shares alone.
    fn limit_moves(&self, group: &GroupState<'_>, plans: &mut Vec<LayerPlan>) {
        plans.sort_by(|a, b| b.move_gain().total_cmp(&a.move_gain()));
        let mut moves = 0;

        for plan in std::mem::take(plans) {
            moves += plan.moves.len();

            if moves <= self.options.max_moves {
                plans.push(plan);
            } else {
                plans.extend(self.plan_layer(group, plan.layer, 0));
            }
        }
    }

    /// Returns the weighted time saved by a layer's plan over its horizon, in milliseconds.
    fn saved_ms(&self, group: &GroupState<'_>, plan: &LayerPlan) -> f32 {
        let horizon_ms = self.horizon_ms(group, plan.layer, plan.moves.len());

        plan.gain * horizon_ms * self.options.skew_weight
    }

    /// Returns the time saved by a gain of one unit of the layer's work over the period for which
    /// it lasts, in milliseconds, if `moves` experts have to be loaded first.
    fn horizon_ms(&self, group: &GroupState<'_>, layer: Layer, moves: usize) -> f32 {
        let options = &self.options;
        let expected_steps = group.popularity.horizon_steps(layer).min(options.max_horizon_steps);
        let loading_steps = moves as f32 * options.move_cost_ms / options.step_ms;
        let remaining_steps = expected_steps - options.lag_steps - loading_steps;
        // New shares take effect without loading, so they count at least until the next decision.
        let min_steps = if moves == 0 { options.lag_steps } else { 0.0 };

        remaining_steps.max(min_steps) * group.layer_work_ms
    }

    fn plan_layer(
        &self,
        group: &GroupState<'_>,
        layer: Layer,
        max_layer_moves: usize,
    ) -> Option<LayerPlan> {
        let fractions = group.popularity.fractions(layer);
        let costs = group.rank_costs;
        let mut map = group.map.layers[usize::from(layer)].clone();

        let before = max_rank_time(&map.rank_loads(fractions, costs.len() as Rank), costs);
        let mut loads = balance(&mut map, fractions, costs, DEFAULT_PASSES);
        let mut moves: Vec<(Move, f32)> = Vec::new();

        let ideal = ideal_time(costs);
        let move_cost = self.options.move_cost_ms * self.options.cost_weight;

        while moves.len() < max_layer_moves {
            let now = max_rank_time(&loads, costs);

            if now <= ideal * (1.0 + self.options.tolerance) {
                break;
            }

            let Some(candidate) =
                best_move(&map, fractions, &loads, costs, group.map.slots_per_rank)
            else {
                break;
            };

            let gain = now - candidate.max_time;
            let horizon_ms = self.horizon_ms(group, layer, moves.len() + 1);

            if gain * horizon_ms * self.options.skew_weight <= move_cost {
                break;
            }

            moves.push((Move { layer, expert: candidate.expert, rank: candidate.to }, gain));
            map = candidate.map;
            loads = candidate.loads;
        }

        // A later move may have evicted the replica of an earlier one, or restored an evicted
        // replica.
        let in_use = &group.map.layers[usize::from(layer)];
        moves.retain(|(m, _)| map.holds(m.expert, m.rank) && !in_use.holds(m.expert, m.rank));
        moves.sort_by_key(|(m, _)| (m.expert, m.rank));
        moves.dedup_by_key(|(m, _)| (m.expert, m.rank));

        let gain = before - max_rank_time(&loads, costs);

        // Gains within the noise are ignored, which keeps the difference between the maps small.
        if gain < self.options.min_gain * ideal {
            return None;
        }

        let same = map.experts.iter().zip(&in_use.experts).filter(|(a, b)| a == b).count();
        let changed = map.experts.len() - same;
        Some(LayerPlan { layer, map, moves, gain, changed })
    }
}

/// Keeps the layers with the highest gain per changed expert, up to `max_changed_experts`.
fn limit_changed_experts(plans: &mut Vec<LayerPlan>, max_changed_experts: usize) {
    plans.sort_by(|a, b| b.gain_per_changed().total_cmp(&a.gain_per_changed()));
    let mut changed = 0;

    plans.retain(|plan| {
        changed += plan.changed;
        changed <= max_changed_experts
    });
}

/// A tried move with the resulting map and loads of the layer.
struct Candidate {
    expert: Expert,
    to: Rank,
    map: LayerMap,
    loads: Vec<f32>,
    max_time: f32,
}

/// Number of experts of the slowest rank, the heaviest ones, that are tried as a move.
const TRIED_EXPERTS: usize = 2;
/// Number of ranks, the least loaded ones, that are tried for each expert.
const TRIED_RANKS: usize = 3;
/// Passes of share balancing for each tried move.
const CANDIDATE_PASSES: usize = 6;

fn best_move(
    map: &LayerMap,
    fractions: &[f32],
    loads: &[f32],
    costs: &[f32],
    slots_per_rank: u16,
) -> Option<Candidate> {
    let from = slowest_rank(loads, costs);
    let mut candidates = Vec::new();

    for expert in experts_by_load(map, fractions, from).into_iter().take(TRIED_EXPERTS) {
        let is_without_replica = |r: &Rank| !map.holds(expert, *r);

        for to in
            ranks_by_time(loads, costs).into_iter().filter(is_without_replica).take(TRIED_RANKS)
        {
            candidates.extend(try_move(map, fractions, costs, slots_per_rank, expert, to));
        }
    }

    candidates.into_iter().min_by(|a, b| a.max_time.total_cmp(&b.max_time))
}

fn try_move(
    map: &LayerMap,
    fractions: &[f32],
    costs: &[f32],
    slots_per_rank: u16,
    expert: Expert,
    to: Rank,
) -> Option<Candidate> {
    let mut next = map.clone();

    if next.expert_count(to) >= usize::from(slots_per_rank) {
        let evicted = least_loaded_replica(&next, fractions, to)?;
        evict(&mut next.experts[usize::from(evicted)], to);
    }

    next.experts[usize::from(expert)].push(Replica { rank: to, share: 0.0 });
    let loads = balance(&mut next, fractions, costs, CANDIDATE_PASSES);
    let max_time = max_rank_time(&loads, costs);

    Some(Candidate { expert, to, map: next, loads, max_time })
}

/// Returns the expert whose replica on the rank has the lowest load, of those with other replicas.
fn least_loaded_replica(map: &LayerMap, fractions: &[f32], rank: Rank) -> Option<Expert> {
    let load_of = |expert: usize| {
        let replicas = &map.experts[expert];
        let own = replicas.iter().find(|r| r.rank == rank)?;

        (replicas.len() > 1).then_some((expert as Expert, own.share * fractions[expert]))
    };

    let least = (0..map.experts.len()).filter_map(load_of).min_by(|a, b| a.1.total_cmp(&b.1));
    least.map(|(expert, _)| expert)
}

/// Removes a rank's replica and distributes its share to the others.
fn evict(replicas: &mut Vec<Replica>, rank: Rank) {
    replicas.retain(|r| r.rank != rank);
    let total: f32 = replicas.iter().map(|r| r.share).sum();
    let even = 1.0 / replicas.len() as f32;

    for replica in replicas {
        replica.share = if total > 1e-6 { replica.share / total } else { even };
    }
}

fn experts_by_load(map: &LayerMap, fractions: &[f32], rank: Rank) -> Vec<Expert> {
    let load_of = |expert: usize| {
        let own = map.experts[expert].iter().find(|r| r.rank == rank)?;

        Some((expert as Expert, own.share * fractions[expert]))
    };

    let mut held: Vec<_> = (0..map.experts.len()).filter_map(load_of).collect();
    held.sort_by(|a, b| b.1.total_cmp(&a.1));
    held.into_iter().map(|(expert, _)| expert).collect()
}

fn ranks_by_time(loads: &[f32], costs: &[f32]) -> Vec<Rank> {
    let mut ranks: Vec<Rank> = (0..loads.len() as Rank).collect();
    let time = |r: &Rank| loads[usize::from(*r)] * costs[usize::from(*r)];
    ranks.sort_by(|a, b| time(a).total_cmp(&time(b)));

    ranks
}

fn slowest_rank(loads: &[f32], costs: &[f32]) -> Rank {
    ranks_by_time(loads, costs).last().copied().unwrap_or(0)
}

/// Returns the time of a layer with perfect balance, in units of the layer's whole work.
fn ideal_time(costs: &[f32]) -> f32 {
    1.0 / costs.iter().map(|c| 1.0 / c).sum::<f32>()
}

/// Returns the slowest rank's time, in units of the layer's whole work.
pub fn max_rank_time(loads: &[f32], costs: &[f32]) -> f32 {
    loads.iter().zip(costs).map(|(l, c)| l * c).fold(0.0, f32::max)
}
